/** Event loop lag: how long input may have waited in this process's accepted connections before it is read. */

/** Measures the lag by how late a periodic task runs. */
export class EventLoopLag {
    #lagMs = 0;
    #dueAt: number;

    /** @param dueAt when the periodic task runs for the first time, in monotonic milliseconds like all times here */
    constructor(dueAt: number) {
        this.#dueAt = dueAt;
    }

    /** Records a run of the periodic task, which is due again at `nextDueAt`. */
    recordRun(now: number, nextDueAt: number): void {
        this.#lagMs = Math.max(this.#lateMs(now), this.#lagMs * lagDecay);
        this.#dueAt = nextDueAt;
    }

    /** Returns how long input that is read now may have waited unread, in milliseconds. */
    lagMs(now: number): number {
        return Math.max(this.#lagMs, this.#lateMs(now));
    }

    #lateMs(now: number): number {
        return Math.max(0, now - this.#dueAt);
    }
}

/** Factor by which a past lag decays from one run to the next. */
const lagDecay = 0.8;
