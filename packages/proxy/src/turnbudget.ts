/** Bounds the requests that are begun in one turn of the event loop, so that other input is read in time between them. */

/** Dependencies of a `TurnBudget`. */
export interface TurnBudgetOptions {
    /** Whether so many connections wait to be accepted that most turns should only accept one. */
    readonly isCrowded: () => boolean;
    /** Returns monotonic milliseconds. */
    readonly clock: () => number;
}

/** Lets requests begin, a few per turn, in the order of their arrival. */
export class TurnBudget {
    readonly #options: TurnBudgetOptions;
    readonly #waiting: (() => void)[] = [];
    /** When requests last began after a wait. */
    #begunAt = -Infinity;
    #since = -Infinity;
    #begun = 0;

    constructor(options: TurnBudgetOptions) {
        this.#options = options;
    }

    /** Returns undefined if a request may begin at once, or else a promise that resolves when it may. */
    take(): Promise<void> | undefined {
        const { clock, isCrowded } = this.#options;
        const now = clock();
        if (now - this.#since >= shortTurnMs) {
            this.#since = now;
            this.#begun = 0;
        }
        if (this.#waiting.length === 0 && this.#begun < maxBegunPerTurn && !isCrowded()) {
            this.#begun++;
            return undefined;
        }
        if (this.#waiting.length === 0) {
            setImmediate(() => this.#beginNext());
        }
        return new Promise(resolve => this.#waiting.push(resolve));
    }

    #beginNext(): void {
        const { clock, isCrowded } = this.#options;
        const now = clock();
        if (!isCrowded() || now - this.#begunAt >= crowdedIntervalMs) {
            this.#begunAt = now;
            this.#waiting.splice(0, maxBegunPerTurn).forEach(begin => begin());
        }
        if (this.#waiting.length > 0) {
            setImmediate(() => this.#beginNext());
        }
    }
}

/** Requests that are begun in one turn while others wait. */
const maxBegunPerTurn = 2;
/** Time between two turns in which requests begin while connections wait; to accept one costs about an eighth of a request. */
const crowdedIntervalMs = 4;
/** Requests that begin further apart than this are in turns of their own. */
const shortTurnMs = 5;
