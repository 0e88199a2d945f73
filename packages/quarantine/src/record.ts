/** One request under which servers have ended. */

import { maxEndings, type CrashReport } from "./messages.js";

/** A claim of an entry VM to be the one that sends a quarantined request next. */
interface Trial {
    readonly by: string;
    readonly claimedAt: number;
    /** Whether a server has ended under it. */
    readonly failed: boolean;
}

/** What is known of one request. */
export class CrashRecord {
    /** When servers ended while they ran it, by incarnation key, the oldest first. */
    readonly #endings = new Map<string, number>();
    #answeredAt = -Infinity;
    #trial: Trial | undefined = undefined;
    #failedTrials = 0;

    /** Number of servers that have ended under it since it was last answered. */
    get endings(): number {
        return this.#endings.size;
    }

    /** When a server last ended under it or answered it; never later for being heard of again. */
    get changedAt(): number {
        return Math.max(this.#answeredAt, this.lastEndingAt);
    }

    /** When the last server ended under it; -Infinity if none has. */
    get lastEndingAt(): number {
        return Math.max(-Infinity, ...this.#endings.values());
    }

    /**
     * Whether several servers ended under it, not all at one moment, as those of a failure domain or of an operator's mistake
     * do, and none has answered it since.
     */
    get isSuspect(): boolean {
        return this.#endings.size >= endingsToQuarantine && this.#moments() >= momentsToQuarantine;
    }

    /** When it may be sent once more, to see whether servers still end under it. */
    get nextTrialAt(): number {
        const waitMs = trialWaitsMs[Math.min(this.#failedTrials, trialWaitsMs.length - 1)] ?? 0;
        return Math.max(this.lastEndingAt + waitMs, (this.#trial?.claimedAt ?? -Infinity) + trialTimeoutMs);
    }

    /** Records that a server ended while it ran the request; returns whether that is new. */
    addEnding(server: string, at: number): boolean {
        if (at <= this.#answeredAt || this.#endings.has(server)) {
            return false;
        }
        this.#endings.set(server, at);
        this.#recordTrialEnding(at);
        const [oldest] = this.#endings.keys();
        if (this.#endings.size > maxEndings && oldest !== undefined) {
            this.#endings.delete(oldest);
        }
        return true;
    }

    /** Records that a server answered it; returns whether that clears it of anything. */
    recordAnswer(at: number): boolean {
        this.#answeredAt = Math.max(this.#answeredAt, at);
        const cleared = [...this.#endings].filter(([, endedAt]) => endedAt <= at);
        cleared.forEach(([server]) => this.#endings.delete(server));
        if (cleared.length > 0) {
            this.#trial = undefined;
            this.#failedTrials = 0;
        }
        return cleared.length > 0;
    }

    /** Claims the next trial for an entry VM; of claims made at the same time, that of the lowest name holds. */
    claimTrial(by: string, claimedAt: number): void {
        const known = this.#trial;
        const isConcurrent = known !== undefined && Math.abs(known.claimedAt - claimedAt) < trialTimeoutMs;
        if (!known || (isConcurrent ? by < known.by : claimedAt > known.claimedAt)) {
            this.#trial = { by, claimedAt, failed: false };
        }
    }

    /** Whether an entry VM holds the trial. */
    holdsTrial(vm: string): boolean {
        return this.#trial?.by === vm;
    }

    /** Ends an entry VM's trial. */
    endTrial(vm: string): void {
        if (this.#trial?.by === vm) {
            this.#trial = { ...this.#trial, by: "" };
        }
    }

    /** Records the number of failed trials that another entry VM knows of. */
    recordFailedTrials(count: number): void {
        this.#failedTrials = Math.max(this.#failedTrials, count);
    }

    /** Returns how many of its endings are also another request's. */
    countShared(other: CrashRecord): number {
        return [...this.#endings.keys()].filter(it => other.#endings.has(it)).length;
    }

    /** Returns the report of an entry VM about it. */
    report(key: string, self: string, now: number): CrashReport {
        const ago = (at: number): number => Math.max(0, Math.round(now - at));
        return {
            key,
            endings: [...this.#endings].map(([server, at]) => ({ server, agoMs: ago(at) })),
            ...(this.#answeredAt === -Infinity ? {} : { answeredAgoMs: ago(this.#answeredAt) }),
            ...(this.#failedTrials > 0 ? { failedTrials: this.#failedTrials } : {}),
            ...(this.#trial?.by === self ? { trialAgoMs: ago(this.#trial.claimedAt) } : {}),
        };
    }

    #recordTrialEnding(at: number): void {
        const trial = this.#trial;
        if (trial && !trial.failed && at >= trial.claimedAt && at - trial.claimedAt < trialTimeoutMs) {
            this.#trial = { ...trial, failed: true };
            this.#failedTrials++;
        }
    }

    /** Number of moments at which servers ended; those that end together count as one. */
    #moments(): number {
        let moments = 0;
        let last = -Infinity;
        for (const at of [...this.#endings.values()].sort((a, b) => a - b)) {
            if (at - last > momentMs) {
                moments++;
                last = at;
            }
        }
        return moments;
    }
}

const endingsToQuarantine = 3;
const momentsToQuarantine = 2;
/** Longer than a request that crashes its server takes to crash the next one in the same attempt. */
const momentMs = 250;
/** Time from the last ending to the next trial, by the number of failed trials. */
const trialWaitsMs: readonly number[] = [1_000, 30_000, 60_000, 120_000, 300_000];
/** Time after which a trial of which nothing is heard counts as over. */
const trialTimeoutMs = 2_000;
