/**
 * Timers that judge whether something has arrived in time. When this process was paused or busy, what has arrived in the
 * meantime is still unread when its timers run, so a timer that is due runs after pending input is read.
 */

import { readPendingInput } from "./unreadinput.js";

/** A timer that can be rescheduled or cancelled. */
export interface Timer {
    /** Due time on the set's clock, in milliseconds; Infinity for never. */
    dueAt: number;
}

/** Calls `onDue` after `ms` and once pending input is read; returns a function that cancels the call. */
export const startTimeout = (ms: number, onDue: () => void): (() => void) => {
    let cancelled = false;
    const timer = setTimeout(() => {
        void readPendingInput().then(() => {
            if (!cancelled) {
                onDue();
            }
        });
    }, ms);
    return () => {
        cancelled = true;
        clearTimeout(timer);
    };
};

/**
 * Coarse timers that share one interval, so that a call needs no system timer of its own. Runs callbacks at their due
 * times or, while the event loop isn't late, at most `periodMs` later.
 */
export class TimerSet {
    readonly #clock: () => number;
    readonly #periodMs: number;
    readonly #timers = new Map<Timer, () => void>();
    #interval: NodeJS.Timeout | undefined = undefined;
    #readingInput = false;

    constructor(clock: () => number, periodMs: number) {
        this.#clock = clock;
        this.#periodMs = periodMs;
    }

    /** Calls `onDue` once at the due time, unless the timer is cancelled first. */
    schedule(dueAt: number, onDue: () => void): Timer {
        const timer = { dueAt };
        this.#timers.set(timer, onDue);
        this.#interval ??= setInterval(() => this.#fireDueTimers(), this.#periodMs);
        return timer;
    }

    /** Cancels a timer. */
    cancel(timer: Timer): void {
        this.#timers.delete(timer);
    }

    #fireDueTimers(): void {
        if (this.#timers.size === 0) {
            clearInterval(this.#interval);
            this.#interval = undefined;
            return;
        }
        if (!this.#readingInput && this.#dueTimers().length > 0) {
            this.#readingInput = true;
            void readPendingInput().then(() => this.#runDueTimers());
        }
    }

    #runDueTimers(): void {
        this.#readingInput = false;
        for (const [timer, onDue] of this.#dueTimers()) {
            if (this.#timers.delete(timer)) {
                onDue();
            }
        }
    }

    #dueTimers(): readonly (readonly [Timer, () => void])[] {
        const now = this.#clock();
        return [...this.#timers].filter(([timer]) => timer.dueAt <= now);
    }
}
