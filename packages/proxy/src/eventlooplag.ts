/** Event loop lag: how long input may have waited in this process's accepted connections before it is read. */

/** Measures the lag by how late a periodic task runs. */
export class EventLoopLag {
    #lagMs = 0;
    /** How late the latest run was, until the input is read that waited for as long. */
    #unreadMs = 0;
    #dueAt: number;

    /** @param dueAt when the periodic task runs for the first time, in monotonic milliseconds like all times here */
    constructor(dueAt: number) {
        this.#dueAt = dueAt;
    }

    /** Records a run of the periodic task, which is due again at `nextDueAt`. */
    recordRun(now: number, nextDueAt: number): void {
        const lateMs = this.#lateMs(now);
        this.#lagMs = Math.max(lateMs, this.#lagMs * lagDecay);
        this.#dueAt = nextDueAt;
        this.#unreadMs = lateMs;
        if (lateMs > 0) {
            setImmediate(() => (this.#unreadMs = 0));
        }
    }

    /** Returns how long input has recently waited unread at most, in milliseconds. */
    lagMs(now: number): number {
        return Math.max(this.#lagMs, this.#lateMs(now));
    }

    /**
     * Returns for how long at most input that is read now has waited unread, to within two periods of the task. It may have
     * arrived directly after the input of the turn before was read, so that the delays of two runs count.
     */
    unreadMs(now: number): number {
        return this.#unreadMs + this.#lateMs(now);
    }

    #lateMs(now: number): number {
        return Math.max(0, now - this.#dueAt);
    }
}

/** Factor by which a past lag decays from one run to the next. */
const lagDecay = 0.8;
