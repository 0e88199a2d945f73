/** Moving averages of a service's latency, learned from its responses. */

/** Latency of one service. */
export class LatencyModel {
    #baselineMs = initialBaselineMs;
    #saturatedMs = initialBaselineMs * initialSaturationFactor;
    #meanLatencyMs = initialBaselineMs * initialMeanFactor;

    /** Latency on a server that isn't slow and has slots to spare, in milliseconds. */
    get baselineMs(): number {
        return this.#baselineMs;
    }

    /** Mean latency over all servers, in milliseconds. */
    get meanLatencyMs(): number {
        return this.#meanLatencyMs;
    }

    /** Latency on a saturated server, one whose last slots are in use, as a multiple of the baseline; at least 1. */
    get saturationFactor(): number {
        return Math.max(1, this.#saturatedMs / this.#baselineMs);
    }

    /** Whether using a server's last slots costs more in latency than it gains in throughput. */
    get degradesWhenSaturated(): boolean {
        return this.saturationFactor > maxWorthwhileSaturationFactor;
    }

    /**
     * Records the latency of a response.
     *
     * @param latencyMs from the grant of the slot to the response
     * @param saturated whether the server's last slots were in use
     * @param costFactor expected latency as a multiple of the baseline, without the effect of saturation
     */
    record(latencyMs: number, saturated: boolean, costFactor: number): void {
        const normalizedMs = latencyMs / costFactor;
        this.#meanLatencyMs += (latencyMs - this.#meanLatencyMs) * ewmaWeight;
        if (saturated) {
            this.#saturatedMs += (normalizedMs - this.#saturatedMs) * ewmaWeight;
        } else {
            this.#baselineMs += (normalizedMs - this.#baselineMs) * ewmaWeight;
        }
    }
}

/** Assumed until responses arrive: a request's processing time in the deployments that this is designed for. */
const initialBaselineMs = 120;
/** A server with two slots takes 203 ms per request with both in use, and 124 ms with one. */
const initialSaturationFactor = 1.5;
/** Mean latency over normal and slow servers, as a multiple of the baseline. */
const initialMeanFactor = 1.5;
/** Averages over about the last 25 responses, a second or less of a busy service. */
const ewmaWeight = 0.04;
/** Above this factor, requests on a server's last slots finish sooner one after the other than at the same time. */
const maxWorthwhileSaturationFactor = 1.35;
