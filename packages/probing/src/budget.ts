/**
 * One process's part of a service's probe budget. The parts of all processes together stay within the budget of
 * the service in every second, whatever the processes know of each other: a part depends only on settings and the
 * accepted configuration. The argument is in docs/design/05-measuring.md.
 */

import type { Service } from "@bramleymoor/model/spec";

/** Probe settings; the same for all entry VMs, except the ordinal. */
export interface ProbeSettings {
    /** Number of this entry VM, from 0, unique among the entry VMs. */
    readonly ordinal: number;
    /** Number of ordinals with a part of the budget; an entry VM whose ordinal is not below it never probes. */
    readonly ordinalCount: number;
    /** Processes with the same ordinal that may exist at the same time: one, and a paused one that it replaced. */
    readonly processesPerOrdinal: number;
    /** Server time that a probe is charged with, in milliseconds. */
    readonly probeCostMs: number;
    /** Maximum time from `tryAcquire` to the response, in milliseconds; the probe is cancelled by then. */
    readonly probeTimeoutMs: number;
    /** A process that was paused for longer may have been replaced and never probes again; milliseconds. */
    readonly retireAfterMs: number;
}

/** Settings for up to 32 entry VMs. */
export const probeDefaults: Omit<ProbeSettings, "ordinal"> = {
    ordinalCount: 32,
    processesPerOrdinal: 2,
    probeCostMs: 6,
    probeTimeoutMs: 200,
    retireAfterMs: 10_000,
};

/** The budget applies to every window of this length, in milliseconds. */
export const budgetWindowMs = 1000;

/** Margin for clock drift, added to the window. */
const clockDriftMs = 50;

/** Limits the probes of one service to its part per window, evenly spaced. */
export class ProbeBudget {
    readonly #settings: ProbeSettings;
    readonly #windowMs: number;
    #quota: number;
    #blockedUntil: number;
    #lastSeenAt: number;
    #retired = false;
    #acquiredAt: readonly number[] = [];

    /** @param now when the process started or first saw the service; the first probe waits for a full window */
    constructor(settings: ProbeSettings, service: Service, now: number) {
        checkSettings(settings);
        this.#settings = settings;
        this.#windowMs = budgetWindowMs + settings.probeTimeoutMs + clockDriftMs;
        this.#quota = quotaOf(settings, service);
        this.#blockedUntil = now + this.#windowMs;
        this.#lastSeenAt = now;
    }

    /** Probes that this process may send per window. */
    get quota(): number {
        return this.#quota;
    }

    /** Updates the quota from a newly accepted configuration. */
    updateService(service: Service): void {
        this.#quota = quotaOf(this.#settings, service);
    }

    /** Detects pauses of the process; must be called so often that a longer gap can only be a pause. */
    detectPause(now: number): void {
        const gapMs = now - this.#lastSeenAt;
        this.#lastSeenAt = now;
        if (gapMs > this.#settings.retireAfterMs) {
            this.#retired = true;
        }
        if (gapMs < 0 || gapMs > this.#settings.probeTimeoutMs) {
            this.#blockedUntil = now + this.#windowMs;
        }
    }

    /** Returns whether a probe may be sent now. It must be sent at once and cancelled at the probe timeout. */
    tryAcquire(now: number): boolean {
        this.detectPause(now);
        if (!this.#canAcquire(now)) {
            return false;
        }
        this.#acquiredAt = [...this.#acquiredAt, now].slice(-this.#quota);
        return true;
    }

    /** Returns a sentence that says why a probe may or may not be sent now. */
    explain(now: number): string {
        if (this.#retired) {
            return "This process was paused for too long and probes no more.";
        }
        if (this.#quota === 0) {
            return "The service's probe budget is too small for this entry VM to have a part.";
        }
        if (now < this.#blockedUntil) {
            return "The process started or was paused a moment ago and waits a full window.";
        }
        return `At most ${this.#quota} probes in ${this.#windowMs} ms.`;
    }

    #canAcquire(now: number): boolean {
        if (this.#retired || this.#quota === 0 || now < this.#blockedUntil) {
            return false;
        }
        const lastAt = this.#acquiredAt.at(-1);
        if (lastAt !== undefined && now - lastAt < this.#windowMs / this.#quota) {
            return false;
        }
        return this.#acquiredAt.filter(at => now - at < this.#windowMs).length < this.#quota;
    }
}

/** Returns the server time that all probes of a service may cost per window, in milliseconds. */
export const budgetMsOf = (service: Service): number => {
    const slots = service.servers
        .filter(server => !server.leaving)
        .reduce((sum, server) => sum + server.slots, 0);
    return service.probeBudget * slots * budgetWindowMs;
};

/** Returns the probes per window for a process with the settings' ordinal. */
export const quotaOf = (settings: ProbeSettings, service: Service): number => {
    const { ordinal, ordinalCount, processesPerOrdinal, probeCostMs } = settings;
    if (ordinal >= ordinalCount) {
        return 0;
    }
    const totalProbes = Math.floor(budgetMsOf(service) / (probeCostMs * processesPerOrdinal));
    const position = (ordinal + hashOffset(service.name)) % ordinalCount;
    const extra = position < totalProbes % ordinalCount ? 1 : 0;
    return Math.floor(totalProbes / ordinalCount) + extra;
};

const hashOffset = (name: string): number => {
    return [...name].reduce((sum, char) => (sum * 31 + (char.codePointAt(0) ?? 0)) % 65_521, 0);
};

const checkSettings = (settings: ProbeSettings): void => {
    if (!Number.isInteger(settings.ordinal) || settings.ordinal < 0) {
        throw new RangeError(`ordinal must be a non-negative integer, not ${settings.ordinal}`);
    }
    if (settings.ordinalCount < 1 || settings.processesPerOrdinal < 1 || settings.probeCostMs <= 0) {
        throw new RangeError("ordinalCount, processesPerOrdinal and probeCostMs must be positive");
    }
};
