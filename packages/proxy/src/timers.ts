/** One timer for the deadlines of all calls, so that a call needs none of its own. */

/** A due time that can be moved or taken away. */
export interface Timer {
    /** Milliseconds of the sweep's clock; Infinity for never. */
    dueAt: number;
}

/** Calls back at due times, at most `periodMs` late. */
export class TimerSet {
    readonly #clock: () => number;
    readonly #periodMs: number;
    readonly #timers = new Map<Timer, () => void>();
    #interval: NodeJS.Timeout | undefined = undefined;

    constructor(clock: () => number, periodMs: number) {
        this.#clock = clock;
        this.#periodMs = periodMs;
    }

    /** Calls `onDue` once when the time has come, unless it is removed before. */
    schedule(dueAt: number, onDue: () => void): Timer {
        const due = { dueAt };
        this.#timers.set(due, onDue);
        this.#interval ??= setInterval(() => this.#fireDueTimers(), this.#periodMs);
        return due;
    }

    /** Forgets a due time. */
    cancel(due: Timer): void {
        this.#timers.delete(due);
    }

    #fireDueTimers(): void {
        if (this.#timers.size === 0) {
            clearInterval(this.#interval);
            this.#interval = undefined;
            return;
        }
        const now = this.#clock();
        for (const [due, onDue] of this.#timers) {
            if (due.dueAt <= now) {
                this.#timers.delete(due);
                onDue();
            }
        }
    }
}
