/** Coarse timers that share one interval, so that a call needs no system timer of its own. */

/** A timer that can be rescheduled or cancelled. */
export interface Timer {
    /** Due time on the set's clock, in milliseconds; Infinity for never. */
    dueAt: number;
}

/** Runs callbacks at their due times, at most `periodMs` late. */
export class TimerSet {
    readonly #clock: () => number;
    readonly #periodMs: number;
    readonly #timers = new Map<Timer, () => void>();
    #interval: NodeJS.Timeout | undefined = undefined;

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
        const now = this.#clock();
        for (const [timer, onDue] of this.#timers) {
            if (timer.dueAt <= now) {
                this.#timers.delete(timer);
                onDue();
            }
        }
    }
}
