/** Tells whether this process runs behind, so that what it reads may be long past. */

/** Watches how late a periodic task runs. */
export class EventLoopLag {
    #lagMs = 0;
    #seenAt: number;

    constructor(now: number) {
        this.#seenAt = now;
    }

    /** Tells that a task has run which was to run `periodMs` after the last time. */
    recordRun(periodMs: number, now: number): void {
        const lateMs = Math.max(0, now - this.#seenAt - periodMs);
        this.#seenAt = now;
        this.#lagMs = Math.max(lateMs, this.#lagMs * lagMemory);
    }

    /** How long what is read now may have lain unread, in milliseconds. */
    lagMs(periodMs: number, now: number): number {
        return Math.max(this.#lagMs, now - this.#seenAt - periodMs);
    }

    /** Whether requests may have waited unread for a time that matters to their callers. */
    isLagging(periodMs: number, now: number): boolean {
        return this.lagMs(periodMs, now) > behindMs;
    }
}

/** Resolves when whatever had reached this process's sockets by now has been read, ends of connections included. */
export const drainPendingInput = async (): Promise<void> => {
    for (let turn = 0; turn < turnsToEnd; turn++) {
        await new Promise(resolve => setImmediate(resolve));
    }
};

/** Turns of the event loop from a request's bytes to the end of the connection right behind them. */
const turnsToEnd = 4;
/** Part of a lag that is remembered from one run to the next. */
const lagMemory = 0.8;
/** A tenth of the time after which a caller's leaving must be known to a server. */
const behindMs = 50;
