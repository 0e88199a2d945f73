/** A moving average of samples that are taken at any intervals. */

/** Averages samples with weights that decay exponentially with age. */
export class MovingAverage {
    readonly #timeConstantMs: number;
    #value: number | undefined = undefined;
    #sampledAt: number | undefined = undefined;

    constructor(timeConstantMs: number) {
        this.#timeConstantMs = timeConstantMs;
    }

    /** The average; undefined before the first sample. */
    get value(): number | undefined {
        return this.#value;
    }

    /** Adds a sample, which counts for the time since the one before. */
    add(sample: number, now: number): void {
        const elapsedMs = now - (this.#sampledAt ?? now);
        this.#sampledAt = now;
        const before = this.#value ?? sample;
        this.#value = before + (sample - before) * (1 - Math.exp(-elapsedMs / this.#timeConstantMs));
    }
}
