/**
 * Timers that judge whether something has arrived in time. When this process was paused or busy, what has arrived in the
 * meantime is still unread when its timers run, so a timer that is due runs after pending input is read.
 */

import { readPendingInput } from "./unreadinput.js";

/** A timer that can be rescheduled or cancelled. */
export interface Timer {
    /** Due time on the set's clock, in milliseconds; Infinity for never. */
    dueAt: number;
}

/** Calls `onDue` after `ms` and once pending input is read; returns a function that cancels the call. */
export const startTimeout = (ms: number, onDue: () => void): (() => void) => {
    let cancelled = false;
    const timer = setTimeout(() => {
        void readPendingInput().then(() => {
            if (!cancelled) {
                onDue();
            }
        });
    }, ms);
    return () => {
        cancelled = true;
        clearTimeout(timer);
    };
};

/**
 * Coarse timers that share one system timer, which runs when the earliest of them is due. Runs callbacks at their due times or,
 * while the event loop isn't late, at most `periodMs` later.
 */
export class TimerSet {
    readonly #clock: () => number;
    readonly #periodMs: number;
    readonly #timers = new Map<Timer, () => void>();
    #timeout: NodeJS.Timeout | undefined = undefined;
    /** When `#timeout` is due. */
    #wakesAt = Infinity;
    /** When timers were last run. */
    #ranAt = -Infinity;
    #readingInput = false;
    readonly #onChange = (timer: Timer): void => {
        if (this.#timers.has(timer)) {
            this.#wakeFor(timer.dueAt);
        }
    };

    constructor(clock: () => number, periodMs: number) {
        this.#clock = clock;
        this.#periodMs = periodMs;
    }

    /** Calls `onDue` once at the due time, unless the timer is cancelled first. */
    schedule(dueAt: number, onDue: () => void): Timer {
        const timer = new SharedTimer(dueAt, this.#onChange);
        this.#timers.set(timer, onDue);
        this.#wakeFor(dueAt);
        return timer;
    }

    /** Cancels a timer. */
    cancel(timer: Timer): void {
        this.#timers.delete(timer);
        if (this.#timers.size === 0) {
            this.#sleep();
        }
    }

    #fireDueTimers(): void {
        this.#sleep();
        if (this.#readingInput) {
            return;
        }
        if (this.#dueTimers().length > 0) {
            this.#readingInput = true;
            void readPendingInput().then(() => this.#runDueTimers());
        } else {
            this.#wakeForEarliest();
        }
    }

    #runDueTimers(): void {
        this.#readingInput = false;
        this.#ranAt = this.#clock();
        try {
            for (const [timer, onDue] of this.#dueTimers()) {
                if (this.#timers.delete(timer)) {
                    onDue();
                }
            }
        } finally {
            this.#wakeForEarliest();
        }
    }

    #dueTimers(): readonly (readonly [Timer, () => void])[] {
        const now = this.#clock();
        return [...this.#timers].filter(([timer]) => timer.dueAt <= now);
    }

    #wakeForEarliest(): void {
        let earliest = Infinity;
        for (const { dueAt } of this.#timers.keys()) {
            earliest = Math.min(earliest, dueAt);
        }
        this.#wakeFor(earliest);
    }

    /** Has the system timer run at most a period after `dueAt`. */
    #wakeFor(dueAt: number): void {
        if (dueAt + this.#periodMs < this.#wakesAt) {
            const now = this.#clock();
            const wakesAt = Math.min(Math.max(dueAt, this.#ranAt + this.#periodMs, now), now + maxSleepMs);
            if (wakesAt < this.#wakesAt) {
                clearTimeout(this.#timeout);
                this.#wakesAt = wakesAt;
                this.#timeout = setTimeout(() => this.#fireDueTimers(), Math.ceil(wakesAt - now));
            }
        }
    }

    #sleep(): void {
        clearTimeout(this.#timeout);
        this.#wakesAt = Infinity;
    }
}

/** A timer of a `TimerSet`. */
class SharedTimer implements Timer {
    #dueAt: number;
    readonly #onChange: (timer: Timer) => void;

    /** @param onChange called when the due time has changed */
    constructor(dueAt: number, onChange: (timer: Timer) => void) {
        this.#dueAt = dueAt;
        this.#onChange = onChange;
    }

    get dueAt(): number {
        return this.#dueAt;
    }

    set dueAt(dueAt: number) {
        this.#dueAt = dueAt;
        this.#onChange(this);
    }
}

/** Shorter than the longest time that a system timer takes. */
const maxSleepMs = 60_000;
