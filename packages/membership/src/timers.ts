/** Timeouts of waiting tasks, in the time that the caller tells. */

interface Waiting {
    readonly at: number;
    readonly wake: () => void;
}

/** Promises that settle when their time has come. */
export class Timers {
    #waiting: readonly Waiting[] = [];

    /** Settles, without a value, at the first `fire` at or after `at`. */
    waitUntil(at: number): Promise<undefined> {
        return new Promise(resolve => {
            const wake = (): void => resolve(undefined);
            this.#waiting = [...this.#waiting, { at, wake }];
        });
    }

    /** Settles what has come due. */
    fire(now: number): void {
        const due = this.#waiting.filter(waiting => waiting.at <= now);
        this.#waiting = this.#waiting.filter(waiting => waiting.at > now);
        due.forEach(waiting => waiting.wake());
    }

    /** When the next one comes due; Infinity if none waits. */
    nextDueAt(): number {
        return this.#waiting.reduce((least, waiting) => Math.min(least, waiting.at), Infinity);
    }
}
