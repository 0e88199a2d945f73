/** How long a service's requests take, learned from answers. */

/** Times of one service. */
export class LatencyModel {
    #usualMs = firstUsualMs;
    #crowdedMs = firstUsualMs * firstCrowdedFactor;
    #meanMs = firstUsualMs * firstMeanFactor;

    /** Time of a request on a calm server with slots to spare, in milliseconds. */
    get baselineMs(): number {
        return this.#usualMs;
    }

    /** Mean time of a request on whatever server it got, in milliseconds. */
    get meanLatencyMs(): number {
        return this.#meanMs;
    }

    /** How much longer a request takes on a server whose last slots are in use. */
    get saturationFactor(): number {
        return Math.max(1, this.#crowdedMs / this.#usualMs);
    }

    /** Whether the last slots of a server cost more than they bring. */
    get degradesWhenSaturated(): boolean {
        return this.saturationFactor > crowdedWorthwhile;
    }

    /**
     * Takes note of an answer.
     *
     * @param otherCost expected time as a multiple of the usual one, crowding left out
     */
    record(ms: number, crowded: boolean, otherCost: number): void {
        const usual = ms / otherCost;
        this.#meanMs += (ms - this.#meanMs) * weight;
        if (crowded) {
            this.#crowdedMs += (usual - this.#crowdedMs) * weight;
        } else {
            this.#usualMs += (usual - this.#usualMs) * weight;
        }
    }
}

/** Assumed until answers tell more: work of both deployments of the brief. */
const firstUsualMs = 120;
/** Seen on servers of two slots: 203 ms with both in use, 124 ms with one. */
const firstCrowdedFactor = 1.5;
/** Mean over calm and slow servers, likewise. */
const firstMeanFactor = 1.5;
/** Remembers about the last 25 answers, a second or less of a busy service. */
const weight = 0.04;
/** Above this factor two requests on one server's last slots are served faster one after the other. */
const crowdedWorthwhile = 1.35;
