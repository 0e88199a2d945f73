/** One timer for the deadlines of all calls, so that a call needs none of its own. */

/** A due time that can be moved or taken away. */
export interface Due {
    /** Milliseconds of the sweep's clock; Infinity for never. */
    at: number;
}

/** Calls back at due times, at most `periodMs` late. */
export class Sweep {
    readonly #clock: () => number;
    readonly #periodMs: number;
    readonly #dues = new Map<Due, () => void>();
    #timer: NodeJS.Timeout | undefined = undefined;

    constructor(clock: () => number, periodMs: number) {
        this.#clock = clock;
        this.#periodMs = periodMs;
    }

    /** Calls `onDue` once when the time has come, unless it is removed before. */
    add(at: number, onDue: () => void): Due {
        const due = { at };
        this.#dues.set(due, onDue);
        this.#timer ??= setInterval(() => this.#look(), this.#periodMs);
        return due;
    }

    /** Forgets a due time. */
    remove(due: Due): void {
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
            if (due.at <= now) {
                this.#dues.delete(due);
                onDue();
            }
        }
    }
}
