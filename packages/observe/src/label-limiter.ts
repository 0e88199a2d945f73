/** Bounds the number of values of a metric label. */

/** Keeps the first distinct values up to a limit and replaces all others by "other". */
export class LabelLimiter {
    readonly #limit: number;
    readonly #values = new Set<string>();

    /**
     * @param limit maximum number of distinct values
     */
    constructor(limit: number) {
        this.#limit = limit;
    }

    /** Returns the value if it is valid and within the limit, otherwise "other". */
    label(value: string): string {
        if (this.#values.has(value)) {
            return value;
        }
        if (this.#values.size >= this.#limit || !labelPattern.test(value)) {
            return otherLabel;
        }
        this.#values.add(value);
        return value;
    }
}

/** Label value of everything over the limit. */
export const otherLabel = "other";

const labelPattern = /^[\w.@:-]{1,64}$/;
