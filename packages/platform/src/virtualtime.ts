/** Virtual time for tests and fuzzing: timers fire in order, as fast as the process can run them. */

import type { Sleep } from "./timers.js";

interface Waiter {
    readonly at: number;
    readonly order: number;
    readonly wake: () => void;
}

const settle = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

/** A clock that only moves when told to. */
export class VirtualTime {
    #now = 0;
    #order = 0;
    #waiters: Waiter[] = [];

    /** Present virtual time in milliseconds. */
    now(): number {
        return this.#now;
    }

    /** Waits in virtual time; see Sleep. */
    readonly sleep: Sleep = (ms, signal) =>
        new Promise(resolve => {
            if (signal?.aborted) {
                resolve();
                return;
            }
            const abort = (): void => {
                this.#waiters = this.#waiters.filter(other => other !== waiter);
                resolve();
            };
            const wake = (): void => {
                signal?.removeEventListener("abort", abort);
                resolve();
            };
            const waiter = { at: this.#now + Math.max(0, ms), order: this.#order++, wake };
            this.#waiters.push(waiter);
            signal?.addEventListener("abort", abort, { once: true });
        });

    /** Moves the clock by `ms`, waking each waiter at its time and letting its tasks run. */
    async advance(ms: number): Promise<void> {
        const end = this.#now + ms;
        await settle();
        for (let next = this.#due(end); next; next = this.#due(end)) {
            this.#now = next.at;
            next.wake();
            await settle();
        }
        this.#now = end;
    }

    #due(end: number): Waiter | undefined {
        let best: Waiter | undefined;
        for (const waiter of this.#waiters) {
            if (!best || waiter.at < best.at || (waiter.at === best.at && waiter.order < best.order)) {
                best = waiter;
            }
        }
        if (!best || best.at > end) {
            return undefined;
        }
        this.#waiters = this.#waiters.filter(other => other !== best);
        return best;
    }
}
