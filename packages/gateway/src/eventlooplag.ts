/** Event loop lag: how long input may have waited in this process's sockets before it is read. */

/** Measures the lag by how late a periodic task runs. */
export class EventLoopLag {
    #lagMs = 0;
    #lastRunAt: number;

    constructor(now: number) {
        this.#lastRunAt = now;
    }

    /** Records a run of the task that is due `periodMs` after its previous run. */
    recordRun(periodMs: number, now: number): void {
        const lateMs = Math.max(0, now - this.#lastRunAt - periodMs);
        this.#lastRunAt = now;
        this.#lagMs = Math.max(lateMs, this.#lagMs * lagDecay);
    }

    /** Returns how long input that is read now may have waited unread, in milliseconds. */
    lagMs(periodMs: number, now: number): number {
        return Math.max(this.#lagMs, now - this.#lastRunAt - periodMs);
    }
}

/** Resolves when all input that has already reached this process's sockets is read, connection ends included. */
export const drainPendingInput = async (): Promise<void> => {
    for (let i = 0; i < loopTurns; i++) {
        await new Promise(resolve => setImmediate(resolve));
    }
};

/** Event loop turns from reading a request's bytes to reading the connection end that directly follows them. */
const loopTurns = 4;
/** Factor by which a past lag decays from one run to the next. */
const lagDecay = 0.8;
