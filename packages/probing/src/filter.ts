/** Bounds the harm of stale and misleading load reports. */

import type { LoadReport } from "@bramleymoor/protocol/messages";

/** What this process knows itself when a report of a server arrives. */
export interface LocalLoad {
    /** This entry VM's requests in progress at the server. */
    readonly inFlight: number;
    /** Requests in progress that the server is given at most, by all entry VMs. */
    readonly limit: number;
}

/** Why a report was dropped. */
export type DropReason = "future" | "old" | "reordered" | "frozen" | "reversed";

const maxAgeMs = 2000;
const frozenAfter = 8;
const reversedAfter = 16;
const reversedCorrelation = -0.5;
const memory = 0.9;

interface History {
    readonly measuredAt: number;
    readonly report: LoadReport;
    readonly own: number;
    /** Equal reports in a row while this process's own requests in progress changed. */
    readonly equal: number;
    readonly steps: number;
    /** Decaying sums over steps of own times reported, own squared, reported squared. */
    readonly cross: number;
    readonly ownSquared: number;
    readonly reportedSquared: number;
}

/**
 * Lets a report through only between what this process knows itself and all but one of the server's slots: no
 * report makes a server look emptier than our own requests show, and none takes its last slot.
 */
export class ReportFilter {
    readonly #histories = new Map<string, History>();
    readonly #dropped = new Map<DropReason, number>();

    /** Reports dropped so far, by reason. */
    get dropped(): ReadonlyMap<DropReason, number> {
        return this.#dropped;
    }

    /** The report as far as it may be believed; undefined if it was dropped. */
    accept(
        address: string,
        report: LoadReport,
        ageMs: number,
        own: LocalLoad,
        now: number,
    ): LoadReport | undefined {
        const before = this.#histories.get(address);
        const measuredAt = now - ageMs;
        const mistimed = reasonOfTime(ageMs, measuredAt, before);
        if (mistimed) {
            return this.#drop(mistimed);
        }
        const history = extend(before, report, measuredAt, own.inFlight);
        this.#histories.set(address, history);
        const distrusted = reasonOfHistory(history);
        if (distrusted) {
            return this.#drop(distrusted);
        }
        return { ...report, inFlight: bound(report.inFlight, own) };
    }

    /** Forgets servers that the accepted text no longer has. */
    retainServers(addresses: ReadonlySet<string>): void {
        for (const address of this.#histories.keys()) {
            if (!addresses.has(address)) {
                this.#histories.delete(address);
            }
        }
    }

    #drop(reason: DropReason): undefined {
        this.#dropped.set(reason, (this.#dropped.get(reason) ?? 0) + 1);
        return undefined;
    }
}

const bound = (reported: number, own: LocalLoad): number => {
    return Math.max(own.inFlight, Math.min(reported, own.limit - 1));
};

const reasonOfTime = (
    ageMs: number,
    measuredAt: number,
    before: History | undefined,
): DropReason | undefined => {
    if (!(ageMs >= 0)) {
        return "future";
    }
    if (ageMs > maxAgeMs) {
        return "old";
    }
    return before && measuredAt < before.measuredAt ? "reordered" : undefined;
};

const reasonOfHistory = (history: History): DropReason | undefined => {
    if (history.equal >= frozenAfter) {
        return "frozen";
    }
    const scale = Math.sqrt(history.ownSquared * history.reportedSquared);
    if (history.steps >= reversedAfter && history.cross < reversedCorrelation * scale) {
        return "reversed";
    }
    return undefined;
};

const extend = (
    before: History | undefined,
    report: LoadReport,
    measuredAt: number,
    own: number,
): History => {
    if (!before) {
        const none = { equal: 0, steps: 0, cross: 0, ownSquared: 0, reportedSquared: 0 };
        return { measuredAt, report, own, ...none };
    }
    const ownStep = own - before.own;
    const step = report.inFlight - before.report.inFlight;
    return {
        measuredAt,
        report,
        own,
        equal: countEqual(before, report, ownStep),
        steps: before.steps + (ownStep !== 0 && step !== 0 ? 1 : 0),
        cross: before.cross * memory + ownStep * step,
        ownSquared: before.ownSquared * memory + ownStep * ownStep,
        reportedSquared: before.reportedSquared * memory + step * step,
    };
};

const countEqual = (before: History, report: LoadReport, ownStep: number): number => {
    const same = report.inFlight === before.report.inFlight && report.latencyMs === before.report.latencyMs;
    if (!same) {
        return 0;
    }
    return before.equal + (ownStep === 0 ? 0 : 1);
};
