/** Timers that run on a clock supplied by the caller. */

interface Timer {
    readonly dueAt: number;
    readonly wake: () => void;
}

/** Promises that resolve at a given time. */
export class Timers {
    #timers: readonly Timer[] = [];

    /** Resolves to undefined at the first `fire` whose time is `dueAt` or later. */
    waitUntil(dueAt: number): Promise<undefined> {
        return new Promise(resolve => {
            const wake = (): void => resolve(undefined);
            this.#timers = [...this.#timers, { dueAt, wake }];
        });
    }

    /** Resolves the promises that are due at `now`. */
    fire(now: number): void {
        const due = this.#timers.filter(timer => timer.dueAt <= now);
        this.#timers = this.#timers.filter(timer => timer.dueAt > now);
        due.forEach(timer => timer.wake());
    }

    /** Returns the time at which the next promise is due; Infinity if there is none. */
    nextDueAt(): number {
        return this.#timers.reduce((earliest, timer) => Math.min(earliest, timer.dueAt), Infinity);
    }
}
