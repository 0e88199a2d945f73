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

/** Age in milliseconds above which reports are dropped. */
const maxAgeMs = 2000;
/** Number of equal reports during changes of the local load from which on reports are dropped. */
const frozenAfterReports = 8;
/** Changes of both the local and the reported load that are needed to judge their correlation. */
const reversedAfterSteps = 16;
/** Reports are dropped while their changes correlate with those of the local load by less than this. */
const reversedCorrelation = -0.5;
/** Weight of the sums of the correlation after each further report. */
const decayFactor = 0.9;

interface History {
    readonly measuredAt: number;
    readonly report: LoadReport;
    /** This entry VM's requests in flight when the report arrived. */
    readonly localInFlight: number;
    /** Consecutive equal reports during which this entry VM's requests in flight changed. */
    readonly equalReports: number;
    /** Reports at which both the local and the reported requests in flight changed. */
    readonly steps: number;
    /** Decaying sums over the changes: local times reported, local squared, reported squared. */
    readonly cross: number;
    readonly localSquared: number;
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
        local: LocalLoad,
        now: number,
    ): LoadReport | undefined {
        const previous = this.#histories.get(address);
        const measuredAt = now - ageMs;
        const timeReason = timeDropReason(ageMs, measuredAt, previous);
        if (timeReason) {
            return this.#drop(timeReason);
        }
        const history = extendHistory(previous, report, measuredAt, local.inFlight);
        this.#histories.set(address, history);
        const historyReason = historyDropReason(history);
        if (historyReason) {
            return this.#drop(historyReason);
        }
        return { ...report, inFlight: clampInFlight(report.inFlight, local) };
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

const clampInFlight = (reported: number, local: LocalLoad): number => {
    return Math.max(local.inFlight, Math.min(reported, local.limit - 1));
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
    if (history.equalReports >= frozenAfterReports) {
        return "frozen";
    }
    const scale = Math.sqrt(history.localSquared * history.reportedSquared);
    if (history.steps >= reversedAfterSteps && history.cross < reversedCorrelation * scale) {
        return "reversed";
    }
    return undefined;
};

const extendHistory = (
    previous: History | undefined,
    report: LoadReport,
    measuredAt: number,
    localInFlight: number,
): History => {
    if (!previous) {
        const initial = { equalReports: 0, steps: 0, cross: 0, localSquared: 0, reportedSquared: 0 };
        return { measuredAt, report, localInFlight, ...initial };
    }
    const localStep = localInFlight - previous.localInFlight;
    const reportedStep = report.inFlight - previous.report.inFlight;
    return {
        measuredAt,
        report,
        localInFlight,
        equalReports: countEqualReports(previous, report, localStep),
        steps: previous.steps + (localStep !== 0 && reportedStep !== 0 ? 1 : 0),
        cross: previous.cross * decayFactor + localStep * reportedStep,
        localSquared: previous.localSquared * decayFactor + localStep * localStep,
        reportedSquared: previous.reportedSquared * decayFactor + reportedStep * reportedStep,
    };
};

const countEqualReports = (previous: History, report: LoadReport, localStep: number): number => {
    const same =
        report.inFlight === previous.report.inFlight && report.latencyMs === previous.report.latencyMs;
    if (!same) {
        return 0;
    }
    return previous.equalReports + (localStep === 0 ? 0 : 1);
};
