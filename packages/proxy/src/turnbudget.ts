/** Bounds the requests that are begun in one turn of the event loop, so that other input is read in time between them. */

/** Lets requests begin, a few per turn, in the order of their arrival. */
export class TurnBudget {
    readonly #isCrowded: () => boolean;
    readonly #waiting: (() => void)[] = [];
    #turnsWithout = 0;
    #since = -Infinity;
    #begun = 0;

    /** @param isCrowded whether so many connections wait to be accepted that most turns should only accept one */
    constructor(isCrowded: () => boolean) {
        this.#isCrowded = isCrowded;
    }

    /**
     * Returns undefined if a request may begin at once, or else a promise that resolves when it may.
     *
     * @param now monotonic milliseconds
     */
    take(now: number): Promise<void> | undefined {
        if (now - this.#since >= shortTurnMs) {
            this.#since = now;
            this.#begun = 0;
        }
        if (this.#waiting.length === 0 && this.#begun < maxBegunPerTurn && !this.#isCrowded()) {
            this.#begun++;
            return undefined;
        }
        if (this.#waiting.length === 0) {
            setImmediate(() => this.#beginNext());
        }
        return new Promise(resolve => this.#waiting.push(resolve));
    }

    #beginNext(): void {
        if (!this.#isCrowded() || ++this.#turnsWithout >= turnsPerBegin) {
            this.#turnsWithout = 0;
            this.#waiting.splice(0, maxBegunPerTurn).forEach(begin => begin());
        }
        if (this.#waiting.length > 0) {
            setImmediate(() => this.#beginNext());
        }
    }
}

/** Requests that are begun in one turn while others wait. */
const maxBegunPerTurn = 2;
/** Turns for each in which requests begin while connections wait; to accept one costs about an eighth of a request. */
const turnsPerBegin = 8;
/** Requests that begin further apart than this are in turns of their own. */
const shortTurnMs = 5;
