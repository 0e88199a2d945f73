/** A lognormal model of a service's recent latencies, and what a latency or a silence says of its server. */

/** Learns mean and spread of the logarithm of the latencies; a few slow servers hardly move it. */
export class LatencyModel {
    #mean = 0;
    #variance = leastSigma ** 2;
    #count = 0;

    /** Whether enough latencies are known to judge by. */
    get ready(): boolean {
        return this.#count >= enough;
    }

    /** Middle latency in milliseconds. */
    get medianMs(): number {
        return Math.exp(this.#mean);
    }

    add(latencyMs: number): void {
        const weight = 1 / Math.min(++this.#count, memory);
        const most = this.ready ? maxDeviation * this.#sigma : Infinity;
        const deviation = clamp(logOf(latencyMs) - this.#mean, most);
        this.#mean += deviation * weight;
        this.#variance += (deviation ** 2 - this.#variance) * weight;
    }

    /** Latency that a share `1 - q` of the calls exceeds, for the standard normal's quantile `z` of q. */
    latencyAt(z: number): number {
        return Math.exp(this.#mean + z * this.#sigma);
    }

    /** Log-likelihood ratio of "its server is slow" to "it isn't", from an answer's latency. */
    answerEvidence(latencyMs: number): number {
        const deviation = logOf(latencyMs) - this.#mean;
        return clamp((slowShift * (deviation - slowShift / 2)) / this.#sigma ** 2, maxEvidence);
    }

    /** The same from a request that has had no answer for so long. */
    silenceEvidence(ageMs: number): number {
        const deviation = logOf(ageMs) - this.#mean;
        const slow = upperTail((deviation - slowShift) / this.#sigma);
        return clamp(Math.log(slow / upperTail(deviation / this.#sigma)), maxEvidence);
    }

    get #sigma(): number {
        return Math.max(leastSigma, Math.sqrt(this.#variance));
    }
}

const logOf = (latencyMs: number): number => Math.log(Math.max(latencyMs, leastMs));

const clamp = (value: number, most: number): number => Math.max(-most, Math.min(most, value));

/** Probability that a standard normal variable exceeds z (Abramowitz and Stegun 26.2.17). */
const upperTail = (z: number): number => {
    if (z < 0) {
        return 1 - upperTail(-z);
    }
    const t = 1 / (1 + 0.2316419 * z);
    const sum =
        t * (0.31938153 + t * (-0.356563782 + t * (1.781477937 + t * (-1.821255978 + t * 1.330274429))));
    return Math.max(1e-9, (Math.exp((-z * z) / 2) / Math.sqrt(2 * Math.PI)) * sum);
};

/** Logarithm of how many times slower a slow server is. */
const slowShift = Math.log(3);
const leastSigma = 0.3;
const leastMs = 0.05;
/** Latencies needed before the model is worth having. */
const enough = 50;
/** Latencies that the model remembers. */
const memory = 1_000;
/** In spreads; what lies farther out counts as this far. */
const maxDeviation = 2.5;
const maxEvidence = 5;
