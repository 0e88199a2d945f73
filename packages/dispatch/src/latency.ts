/** The distribution of a service's recent latencies. */

/** Counts latencies in logarithmic buckets; old ones fade as new ones come. */
export class LatencyHistogram {
    readonly #counts = new Float64Array(bucketCount);
    #total = 0;
    #sumMs = 0;

    /** Latencies counted, faded ones in part. */
    get count(): number {
        return this.#total;
    }

    /** Mean in milliseconds; undefined before the first. */
    get meanMs(): number | undefined {
        return this.#total > 0 ? this.#sumMs / this.#total : undefined;
    }

    add(latencyMs: number): void {
        if (this.#total >= fadeAt) {
            this.#fade();
        }
        const bucket = bucketOf(latencyMs);
        this.#counts[bucket] = (this.#counts[bucket] ?? 0) + 1;
        this.#total++;
        this.#sumMs += latencyMs;
    }

    /** Upper bound of the bucket in which the quantile lies; undefined while there are too few. */
    quantile(q: number): number | undefined {
        if (this.#total < enough) {
            return undefined;
        }
        let left = q * this.#total;
        const bucket = this.#counts.findIndex(count => (left -= count) <= 0);
        return boundOf(bucket < 0 ? bucketCount - 1 : bucket);
    }

    #fade(): void {
        this.#counts.forEach((count, at) => (this.#counts[at] = count / 2));
        this.#total /= 2;
        this.#sumMs /= 2;
    }
}

const bucketOf = (latencyMs: number): number => {
    const bucket = Math.ceil(Math.log(Math.max(latencyMs, leastMs) / leastMs) / Math.log(growth));
    return Math.min(bucketCount - 1, bucket);
};

const boundOf = (bucket: number): number => leastMs * growth ** bucket;

const leastMs = 0.1;
const growth = 1.05;
/** Reaches 0.1 ms x 1.05^320, about 10 minutes. */
const bucketCount = 320;
const fadeAt = 4_000;
/** Latencies needed before a quantile is worth having. */
const enough = 50;
