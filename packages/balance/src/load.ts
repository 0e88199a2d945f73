/** Load of a backend server as it reports it, and whether the latest report is fresh enough to choose by. */

import type { LoadReport } from "./types.js";

interface StoredReport {
    readonly report: LoadReport;
    /** Requests of this entry VM that are included in the report. */
    readonly ownRequests: number;
    readonly takenAt: number;
    readonly receivedAt: number;
}

/** Reported load of one incarnation of a server. */
export class ServerLoad {
    #latest: StoredReport | undefined = undefined;
    /** Whether a probe is waiting for its response. */
    #probeInFlight = false;
    /** Whether the last probe got no response. */
    #lastProbeFailed = false;
    /** Whether the server responds to probes without reporting a load. */
    #reportsNoLoad = false;

    /** The latest report; undefined before the first. */
    get report(): LoadReport | undefined {
        return this.#latest?.report;
    }

    /** Whether a response to a probe is expected; false for a server that didn't respond to the previous one. */
    get probePending(): boolean {
        return this.#probeInFlight && !this.#lastProbeFailed;
    }

    /** Age of the latest report in milliseconds; 0 if there is none. */
    ageMs(now: number): number {
        return this.#latest ? now - this.#latest.takenAt : 0;
    }

    /**
     * Whether a probe would add nothing: the latest report is fresh, or the server reports no load. A report is fresh
     * from its receipt on, as another one would take as long to arrive.
     */
    isFresh(now: number): boolean {
        return (
            this.#reportsNoLoad ||
            (this.#latest !== undefined && now - this.#latest.receivedAt <= maxFreshAgeMs)
        );
    }

    /** Whether there is a report that still tells how busy the server is, or none is to be had. */
    isKnown(now: number): boolean {
        return (
            this.#reportsNoLoad ||
            this.#lastProbeFailed ||
            (this.#latest !== undefined && now - this.#latest.takenAt <= otherRequestsTtlMs)
        );
    }

    /**
     * Whether a recent report shows a slow period in which a request would be delayed for longer than the rest of
     * the period is likely to last.
     *
     * @param baselineMs latency of a request on a server that isn't slow
     */
    isInSlowPeriod(now: number, baselineMs: number): boolean {
        if (!this.#latest || now - this.#latest.takenAt > slowReportTtlMs) {
            return false;
        }
        return (this.#latest.report.slowdown - 1) * baselineMs > remainingSlowPeriodMs;
    }

    /** Slowdown according to the latest report, if that was made at `since` or later. */
    slowdownSince(since: number): number | undefined {
        return this.#latest && this.#latest.takenAt >= since ? this.#latest.report.slowdown : undefined;
    }

    /** Requests of other entry VMs that run or wait on the server. */
    otherRequests(now: number): number {
        if (!this.#latest || now - this.#latest.takenAt > otherRequestsTtlMs) {
            return 0;
        }
        const { report, ownRequests } = this.#latest;
        return Math.max(0, report.running + report.waiting - ownRequests);
    }

    /**
     * Expected processing time as a multiple of the normal one. A request's time is determined by the server's
     * speed when it starts; the reported slowdown decays towards `priorSlowdown` as the report ages.
     */
    slowdown(now: number): number {
        if (!this.#latest) {
            return priorSlowdown;
        }
        const decay = Math.exp((this.#latest.takenAt - now) / slowdownDecayMs);
        return priorSlowdown + (this.#latest.report.slowdown - priorSlowdown) * decay;
    }

    /** Records that a probe was sent. */
    recordProbeSent(): void {
        this.#probeInFlight = true;
    }

    /**
     * Records a report.
     *
     * @param ownRequests requests of this entry VM that are included in the report
     * @param takenAt the earliest time at which the report may have been made
     */
    recordReport(report: LoadReport, ownRequests: number, takenAt: number, receivedAt: number): void {
        this.#probeInFlight = false;
        this.#lastProbeFailed = false;
        this.#reportsNoLoad = false;
        if (this.#latest === undefined || takenAt >= this.#latest.takenAt) {
            this.#latest = { report, ownRequests, takenAt, receivedAt };
        }
    }

    /** Records a response to a probe that contains no load report. */
    recordResponseWithoutLoad(): void {
        this.#probeInFlight = false;
        this.#lastProbeFailed = false;
        this.#reportsNoLoad = true;
    }

    /** Records that a probe got no response. */
    recordUnansweredProbe(): void {
        this.#probeInFlight = false;
        this.#lastProbeFailed = true;
    }
}

/** Time after its receipt for which a report is used without a new probe: a sixth of the time for which a server keeps its speed. */
const maxFreshAgeMs = 25;
/** Time after which the reported requests of other entry VMs have probably ended: two normal requests. */
const otherRequestsTtlMs = 300;
/** Time constant of the decay: a server keeps its speed for about 150 ms, and a probe may come at any time within. */
const slowdownDecayMs = 100;
/** Half of the time for which a server keeps its speed: the mean remainder of a slow period when it is noticed. */
const remainingSlowPeriodMs = 75;
/** A third of the time for which a server keeps its speed; an older report no longer holds requests back. */
const slowReportTtlMs = 50;
/** Slowdown assumed for a server without a report: between 1 for a normal one and 1.8, the mean of all. */
const priorSlowdown = 1.4;
