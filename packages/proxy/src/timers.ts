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
    readonly #dues = new Map<Timer, () => void>();
    #timer: NodeJS.Timeout | undefined = undefined;

    constructor(clock: () => number, periodMs: number) {
        this.#clock = clock;
        this.#periodMs = periodMs;
    }

    /** Calls `onDue` once when the time has come, unless it is removed before. */
    schedule(dueAt: number, onDue: () => void): Timer {
        const due = { dueAt };
        this.#dues.set(due, onDue);
        this.#timer ??= setInterval(() => this.#look(), this.#periodMs);
        return due;
    }

    /** Forgets a due time. */
    cancel(due: Timer): void {
        this.#dues.delete(due);
    }

    #look(): void {
        if (this.#dues.size === 0) {
            clearInterval(this.#timer);
            this.#timer = undefined;
            return;
        }
        const now = this.#clock();
        for (const [due, onDue] of this.#dues) {
            if (due.dueAt <= now) {
                this.#dues.delete(due);
                onDue();
            }
        }
    }
}
