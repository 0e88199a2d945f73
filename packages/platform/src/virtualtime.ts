/** Virtual time for tests and fuzzing: timers fire in order and without real delays. */

import type { Sleep } from "./timers.js";

interface Timer {
    readonly at: number;
    readonly order: number;
    readonly wake: () => void;
}

/** Lets promise callbacks that are ready run. */
const runPendingTasks = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

/** A clock that advances only by `advance`. */
export class VirtualTime {
    #now = 0;
    #order = 0;
    #timers: Timer[] = [];

    /** Returns the present virtual time in milliseconds. */
    now(): number {
        return this.#now;
    }

    /** Waits in virtual time; see `Sleep`. */
    readonly sleep: Sleep = (ms, signal) =>
        new Promise(resolve => {
            if (signal?.aborted) {
                resolve();
                return;
            }
            const abort = (): void => {
                this.#timers = this.#timers.filter(other => other !== timer);
                resolve();
            };
            const wake = (): void => {
                signal?.removeEventListener("abort", abort);
                resolve();
            };
            const timer = { at: this.#now + Math.max(0, ms), order: this.#order++, wake };
            this.#timers.push(timer);
            signal?.addEventListener("abort", abort, { once: true });
        });

    /** Advances the clock by `ms` milliseconds; fires each timer at its time and lets the tasks that it starts run. */
    async advance(ms: number): Promise<void> {
        const end = this.#now + ms;
        await runPendingTasks();
        for (let next = this.#takeDue(end); next; next = this.#takeDue(end)) {
            this.#now = next.at;
            next.wake();
            await runPendingTasks();
        }
        this.#now = end;
    }

    #takeDue(end: number): Timer | undefined {
        let next: Timer | undefined;
        for (const timer of this.#timers) {
            if (!next || timer.at < next.at || (timer.at === next.at && timer.order < next.order)) {
                next = timer;
            }
        }
        if (!next || next.at > end) {
            return undefined;
        }
        this.#timers = this.#timers.filter(other => other !== next);
        return next;
    }
}
