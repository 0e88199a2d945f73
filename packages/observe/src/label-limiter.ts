/** Keeps the number of a metric's label values bounded. */

/** Admits the first values that it sees and calls all others "other". */
export class LabelLimiter {
    readonly #limit: number;
    readonly #admitted = new Set<string>();

    /**
     * @param limit most values admitted
     */
    constructor(limit: number) {
        this.#limit = limit;
    }

    /** The value itself if it is admitted, otherwise "other". */
    label(value: string): string {
        if (this.#admitted.has(value)) {
            return value;
        }
        if (this.#admitted.size >= this.#limit || !labelPattern.test(value)) {
            return otherLabel;
        }
        this.#admitted.add(value);
        return value;
    }
}

/** Label of everything that has none of its own. */
export const otherLabel = "other";

const labelPattern = /^[\w.@:-]{1,64}$/;
