/** Limits the effect of stale and misleading load reports. */

import type { LoadReport } from "@bramleymoor/protocol/messages";

/** What this process itself knows of a server when a load report of it arrives. */
export interface LocalLoad {
    /** This entry VM's requests in flight at the server. */
    readonly inFlight: number;
    /** Maximum number of requests in flight at the server, from all entry VMs. */
    readonly limit: number;
}

/**
 * Why a report was dropped: measured in the future, too old, older than the last one, unchanged while the local
 * load changed, or falling while the local load rises.
 */
export type DropReason = "future" | "old" | "reordered" | "frozen" | "reversed";

/** Older reports are dropped. */
const maxAgeMs = 2000;
/** Equal reports during changes of the local load after which reports are dropped. */
const frozenAfterReports = 8;
/** Steps in which both the local load and the report changed that are needed to judge their correlation. */
const reversedAfterSteps = 16;
/** Reports are dropped while their changes correlate with those of the local load by less than this. */
const reversedCorrelation = -0.5;
/** Weight of the sums of the correlation after each further report. */
const decayFactor = 0.9;

interface History {
    readonly measuredAt: number;
    readonly report: LoadReport;
    /** This entry VM's requests in flight when the report arrived. */
    readonly own: number;
    /** Consecutive equal reports during which this entry VM's requests in flight changed. */
    readonly equal: number;
    /** Reports at which both the local and the reported requests in flight changed. */
    readonly steps: number;
    /** Decaying sums over the changes: local times reported, local squared, reported squared. */
    readonly cross: number;
    readonly ownSquared: number;
    readonly reportedSquared: number;
}

/**
 * Clamps reported requests in flight to between this entry VM's own requests and all but one of the server's
 * slots: no report makes a server look less loaded than the local requests show, and none takes its last slot.
 */
export class ReportFilter {
    readonly #histories = new Map<string, History>();
    readonly #dropped = new Map<DropReason, number>();

    /** Number of dropped reports by reason. */
    get dropped(): ReadonlyMap<DropReason, number> {
        return this.#dropped;
    }

    /** Returns the report with clamped values, or undefined if it was dropped. */
    accept(
        address: string,
        report: LoadReport,
        ageMs: number,
        own: LocalLoad,
        now: number,
    ): LoadReport | undefined {
        const previous = this.#histories.get(address);
        const measuredAt = now - ageMs;
        const timeReason = timeDropReason(ageMs, measuredAt, previous);
        if (timeReason) {
            return this.#drop(timeReason);
        }
        const history = extendHistory(previous, report, measuredAt, own.inFlight);
        this.#histories.set(address, history);
        const historyReason = historyDropReason(history);
        if (historyReason) {
            return this.#drop(historyReason);
        }
        return { ...report, inFlight: clampInFlight(report.inFlight, own) };
    }

    /** Removes the servers that the accepted configuration no longer has. */
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

const clampInFlight = (reported: number, own: LocalLoad): number => {
    return Math.max(own.inFlight, Math.min(reported, own.limit - 1));
};

const timeDropReason = (
    ageMs: number,
    measuredAt: number,
    previous: History | undefined,
): DropReason | undefined => {
    if (!(ageMs >= 0)) {
        return "future";
    }
    if (ageMs > maxAgeMs) {
        return "old";
    }
    return previous && measuredAt < previous.measuredAt ? "reordered" : undefined;
};

const historyDropReason = (history: History): DropReason | undefined => {
    if (history.equal >= frozenAfterReports) {
        return "frozen";
    }
    const scale = Math.sqrt(history.ownSquared * history.reportedSquared);
    if (history.steps >= reversedAfterSteps && history.cross < reversedCorrelation * scale) {
        return "reversed";
    }
    return undefined;
};

const extendHistory = (
    previous: History | undefined,
    report: LoadReport,
    measuredAt: number,
    own: number,
): History => {
    if (!previous) {
        const initial = { equal: 0, steps: 0, cross: 0, ownSquared: 0, reportedSquared: 0 };
        return { measuredAt, report, own, ...initial };
    }
    const ownStep = own - previous.own;
    const step = report.inFlight - previous.report.inFlight;
    return {
        measuredAt,
        report,
        own,
        equal: countEqualReports(previous, report, ownStep),
        steps: previous.steps + (ownStep !== 0 && step !== 0 ? 1 : 0),
        cross: previous.cross * decayFactor + ownStep * step,
        ownSquared: previous.ownSquared * decayFactor + ownStep * ownStep,
        reportedSquared: previous.reportedSquared * decayFactor + step * step,
    };
};

const countEqualReports = (previous: History, report: LoadReport, ownStep: number): number => {
    const same =
        report.inFlight === previous.report.inFlight && report.latencyMs === previous.report.latencyMs;
    if (!same) {
        return 0;
    }
    return previous.equal + (ownStep === 0 ? 0 : 1);
};
