/** What one backend server has told of its load, and whether it is worth asking again. */

import type { LoadReport } from "./types.js";

interface HeldReport {
    readonly report: LoadReport;
    /** Requests of this entry VM that the report counted. */
    readonly own: number;
    readonly at: number;
}

/** The load of one incarnation of a server, as told. */
export class ServerLoad {
    #newest: HeldReport | undefined = undefined;
    /** Whether a load question has no answer yet. */
    #asked = false;
    /** Whether the last load question stayed without an answer. */
    #mute = false;
    /** Whether the server answers such questions without telling its load. */
    #tellsNothing = false;

    /** The newest report; undefined if there was none. */
    get report(): LoadReport | undefined {
        return this.#newest?.report;
    }

    /** Whether the load is about to be known; a server that doesn't answer such questions isn't waited for. */
    get awaited(): boolean {
        return this.#asked && !this.#mute;
    }

    /** Age of the newest report, in milliseconds; 0 if there is none. */
    ageMs(now: number): number {
        return this.#newest ? now - this.#newest.at : 0;
    }

    /** Whether asking would tell nothing new. */
    isFresh(now: number): boolean {
        return this.#tellsNothing || (this.#newest !== undefined && now - this.#newest.at <= freshMs);
    }

    /**
     * Whether the newest report, as long as it can be relied on, tells of a slow spell in which a request would take
     * longer than the wait for the spell's end.
     *
     * @param usualMs time of a request on a calm server
     */
    knownSlow(now: number, usualMs: number): boolean {
        if (!this.#newest || now - this.#newest.at > askAgainMs) {
            return false;
        }
        return (this.#newest.report.slowdown - 1) * usualMs > spellMs;
    }

    /** Requests of other entry VMs running or waiting there. */
    others(now: number): number {
        if (!this.#newest || now - this.#newest.at > othersMemoryMs) {
            return 0;
        }
        const { report, own } = this.#newest;
        return Math.max(0, report.running + report.waiting - own);
    }

    /** How much longer work takes there; its speed at the start settles a request's time, and what was told fades. */
    slowdown(now: number): number {
        if (!this.#newest) {
            return unknownSlowdown;
        }
        const faded = Math.exp((this.#newest.at - now) / slowdownMemoryMs);
        return unknownSlowdown + (this.#newest.report.slowdown - unknownSlowdown) * faded;
    }

    /** Takes note of a load question on its way. */
    asked(): void {
        this.#asked = true;
    }

    /** Takes a report made at `at`, when `own` requests of this entry VM were there. */
    reported(report: LoadReport, own: number, at: number): void {
        this.#asked = false;
        this.#mute = false;
        this.#tellsNothing = false;
        if (this.#newest === undefined || at >= this.#newest.at) {
            this.#newest = { report, own, at };
        }
    }

    /** Takes note of an answer to a load question that says nothing of load. */
    answeredWithoutLoad(): void {
        this.#asked = false;
        this.#mute = false;
        this.#tellsNothing = true;
    }

    /** Takes note of a load question that brought no answer. */
    unanswered(): void {
        this.#asked = false;
        this.#mute = true;
    }
}

/** Age up to which a report decides without asking again: a sixth of the time for which a speed lasts. */
const freshMs = 25;
/** Other entry VMs' requests are taken to have ended after this; two usual requests. */
const othersMemoryMs = 300;
/** Speeds last for about 150 ms, and a report comes at any moment of that. */
const slowdownMemoryMs = 100;
/** Half of the time for which a speed lasts, which is what is left of a spell when it is seen. */
const spellMs = 75;
/** A third of the time for which a speed lasts. */
const askAgainMs = 50;
/** Slowdown expected of a server of which nothing is known: between a calm one and the mean of all, 1.8. */
const unknownSlowdown = 1.4;
