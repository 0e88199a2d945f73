/**
 * One process's part of a service's probe budget. The parts of all processes together stay inside the budget of
 * the service in every second, whatever the processes believe of each other: a part follows from settings and the
 * accepted text only. The argument is in docs/design/05-measuring.md.
 */

import type { Service } from "@bramleymoor/model/spec";

/** Settings that all entry VMs share, but for the ordinal. */
export interface ProbeSettings {
    /** This entry VM's own number, from 0, unique among the entry VMs. */
    readonly ordinal: number;
    /** Ordinals there may ever be; an ordinal at or above it never probes. */
    readonly ordinalCount: number;
    /** Processes with the same ordinal that may run at the same time: one, and one that is paused unawares. */
    readonly processesPerOrdinal: number;
    /** Server time that a probe costs, in milliseconds. */
    readonly probeCostMs: number;
    /** Time from leave to the answer at most; a probe without an answer is cancelled by then. Milliseconds. */
    readonly probeTimeoutMs: number;
    /** A process that was paused for longer may have been replaced, and never probes again. Milliseconds. */
    readonly retireAfterMs: number;
}

/** Settings that suit up to 32 entry VMs. */
export const probeDefaults: Omit<ProbeSettings, "ordinal"> = {
    ordinalCount: 32,
    processesPerOrdinal: 2,
    probeCostMs: 6,
    probeTimeoutMs: 200,
    retireAfterMs: 10_000,
};

/** The budget is kept in each window of so many milliseconds. */
export const budgetWindowMs = 1000;

const clockDriftMs = 50;

/** Gives out leave to probe one service, never more than its part in a window and never two at once. */
export class ProbeBudget {
    readonly #settings: ProbeSettings;
    readonly #windowMs: number;
    #quota: number;
    #waitUntil: number;
    #seenAt: number;
    #retired = false;
    #taken: readonly number[] = [];

    /** @param now when the process started or learned of the service; the first probe waits a full window */
    constructor(settings: ProbeSettings, service: Service, now: number) {
        check(settings);
        this.#settings = settings;
        this.#windowMs = budgetWindowMs + settings.probeTimeoutMs + clockDriftMs;
        this.#quota = quotaOf(settings, service);
        this.#waitUntil = now + this.#windowMs;
        this.#seenAt = now;
    }

    /** Probes that this process may send in each window. */
    get quota(): number {
        return this.#quota;
    }

    /** Follows a newly accepted text. */
    updateService(service: Service): void {
        this.#quota = quotaOf(this.#settings, service);
    }

    /** Tells that the process runs; call it often enough that a longer gap can only be a pause. */
    detectPause(now: number): void {
        const gap = now - this.#seenAt;
        this.#seenAt = now;
        if (gap > this.#settings.retireAfterMs) {
            this.#retired = true;
        }
        if (gap < 0 || gap > this.#settings.probeTimeoutMs) {
            this.#waitUntil = now + this.#windowMs;
        }
    }

    /** Takes leave for one probe, which must be sent at once and cancelled at the probe timeout. */
    tryAcquire(now: number): boolean {
        this.detectPause(now);
        if (!this.#mayTake(now)) {
            return false;
        }
        this.#taken = [...this.#taken, now].slice(-this.#quota);
        return true;
    }

    /** Why a probe may or may not be sent now, in one sentence. */
    explain(now: number): string {
        if (this.#retired) {
            return "This process was paused for too long and probes no more.";
        }
        if (this.#quota === 0) {
            return "The service's probe budget is too small for this entry VM to have a part.";
        }
        if (now < this.#waitUntil) {
            return "The process started or was paused a moment ago and waits a full window.";
        }
        return `At most ${this.#quota} probes in ${this.#windowMs} ms.`;
    }

    #mayTake(now: number): boolean {
        if (this.#retired || this.#quota === 0 || now < this.#waitUntil) {
            return false;
        }
        const last = this.#taken.at(-1);
        if (last !== undefined && now - last < this.#windowMs / this.#quota) {
            return false;
        }
        return this.#taken.filter(at => now - at < this.#windowMs).length < this.#quota;
    }
}

/** Server time that all probes of a service together may cost in a window, in milliseconds. */
export const budgetMsOf = (service: Service): number => {
    const slots = service.servers
        .filter(server => !server.leaving)
        .reduce((sum, server) => sum + server.slots, 0);
    return service.probeBudget * slots * budgetWindowMs;
};

/** Probes in a window for the process with the settings' ordinal. */
export const quotaOf = (settings: ProbeSettings, service: Service): number => {
    const { ordinal, ordinalCount: ordinals, processesPerOrdinal, probeCostMs } = settings;
    if (ordinal >= ordinals) {
        return 0;
    }
    const all = Math.floor(budgetMsOf(service) / (probeCostMs * processesPerOrdinal));
    const place = (ordinal + offsetOf(service.name)) % ordinals;
    const extra = place < all % ordinals ? 1 : 0;
    return Math.floor(all / ordinals) + extra;
};

const offsetOf = (name: string): number => {
    return [...name].reduce((sum, char) => (sum * 31 + (char.codePointAt(0) ?? 0)) % 65_521, 0);
};

const check = (settings: ProbeSettings): void => {
    if (!Number.isInteger(settings.ordinal) || settings.ordinal < 0) {
        throw new RangeError(`ordinal must be a whole number from 0, not ${settings.ordinal}`);
    }
    if (settings.ordinalCount < 1 || settings.processesPerOrdinal < 1 || settings.probeCostMs <= 0) {
        throw new RangeError("ordinals, processesPerOrdinal and probeCostMs must be positive");
    }
};
