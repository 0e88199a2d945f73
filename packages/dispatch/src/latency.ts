/** Lognormal model of a service's recent latencies, and the evidence that a latency gives about its server. */

/** Learns mean and variance of the log latency; deviations are clamped, so that a few slow servers have little effect. */
export class LatencyModel {
    #logMean = 0;
    #logVariance = minSigma ** 2;
    #count = 0;

    /** Whether enough latencies are known for estimates. */
    get isReady(): boolean {
        return this.#count >= minSamples;
    }

    /** Median latency in milliseconds. */
    get medianMs(): number {
        return Math.exp(this.#logMean);
    }

    /** Records the latency of a response, in milliseconds. */
    record(latencyMs: number): void {
        const weight = 1 / Math.min(++this.#count, maxSampleWindow);
        const limit = this.isReady ? maxDeviationSigmas * this.#sigma : Infinity;
        const deviation = clamp(logOf(latencyMs) - this.#logMean, limit);
        this.#logMean += deviation * weight;
        this.#logVariance += (deviation ** 2 - this.#logVariance) * weight;
    }

    /** Returns the latency in milliseconds that is `z` standard deviations of the log latency above the median. */
    latencyAtZ(z: number): number {
        return Math.exp(this.#logMean + z * this.#sigma);
    }

    /** Returns the log-likelihood ratio of "the server is slow" to "it isn't", given a response's latency. */
    responseEvidence(latencyMs: number): number {
        const deviation = logOf(latencyMs) - this.#logMean;
        return clamp((slowLogFactor * (deviation - slowLogFactor / 2)) / this.#sigma ** 2, maxEvidence);
    }

    /** Returns the same given a request that is unanswered for `ageMs`. */
    pendingEvidence(ageMs: number): number {
        const deviation = logOf(ageMs) - this.#logMean;
        const slow = upperTail((deviation - slowLogFactor) / this.#sigma);
        return clamp(Math.log(slow / upperTail(deviation / this.#sigma)), maxEvidence);
    }

    get #sigma(): number {
        return Math.max(minSigma, Math.sqrt(this.#logVariance));
    }
}

const logOf = (latencyMs: number): number => Math.log(Math.max(latencyMs, minLatencyMs));

const clamp = (value: number, limit: number): number => Math.max(-limit, Math.min(limit, value));

/** Returns the probability that a standard normal variable exceeds z (Abramowitz and Stegun 26.2.17). */
const upperTail = (z: number): number => {
    if (z < 0) {
        return 1 - upperTail(-z);
    }
    const t = 1 / (1 + 0.2316419 * z);
    const sum =
        t * (0.31938153 + t * (-0.356563782 + t * (1.781477937 + t * (-1.821255978 + t * 1.330274429))));
    return Math.max(1e-9, (Math.exp((-z * z) / 2) / Math.sqrt(2 * Math.PI)) * sum);
};

/** Logarithm of the factor by which a slow server is slower. */
const slowLogFactor = Math.log(3);
const minSigma = 0.3;
const minLatencyMs = 0.05;
/** Number of latencies needed before the model gives estimates. */
const minSamples = 50;
/** Number of latencies over which mean and variance are averaged. */
const maxSampleWindow = 1_000;
/** Standard deviations to which the deviation of a latency is clamped. */
const maxDeviationSigmas = 2.5;
const maxEvidence = 5;
