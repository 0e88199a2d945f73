/** One entry VM's view of the request limit that one backend server names, and its share of that limit. */

/** Sends to a limited server in a period. */
export interface LimitUsage {
    readonly requests: number;
    readonly probes: number;
}

/** Identifies an entry VM's place in the order in which entry VMs may claim a share of a server's limit. */
export interface Claimant {
    /** Stable name of the entry VM. */
    readonly vm: string;
    /** Position in the order; the highest ranks hold the shares. */
    readonly rank: number;
}

interface PeerClaim {
    readonly rank: number;
    readonly until: number;
}

/**
 * The request limit of one server incarnation. Only the highest-ranking claimants send to the server, each at an equal
 * share of the limit and evenly spaced. A new claimant waits before it sends, so that it has heard of the others and
 * they of it.
 */
export class ServerLimit {
    readonly #self: Claimant;
    readonly #claims = new Map<string, PeerClaim>();
    #perSecond = Infinity;
    /** When the server named the limit that is known. */
    #namedAt = -Infinity;
    /** When an answer of the server or a message of a peer last confirmed the limit. */
    #confirmedAt = -Infinity;
    #wantedAt = -Infinity;
    #sentAt = -Infinity;
    /** When this entry VM's own claim takes effect; undefined without a claim. */
    #holdsFrom: number | undefined = undefined;
    #usage: LimitUsage = { requests: 0, probes: 0 };

    constructor(self: Claimant) {
        this.#self = self;
    }

    /** Requests per second that the server takes from all entry VMs together; Infinity if it names no limit. */
    get perSecond(): number {
        return this.#perSecond;
    }

    /** When the server named the limit that is known. */
    get namedAt(): number {
        return this.#namedAt;
    }

    /** Whether this entry VM claims a share. */
    get claimed(): boolean {
        return this.#holdsFrom !== undefined;
    }

    /**
     * Records the limit that the server named at `namedAt`; an older one than the known one is ignored.
     *
     * @returns whether the limit has changed
     */
    recordLimit(perSecond: number, namedAt: number, now: number): boolean {
        this.#confirmedAt = now;
        if (namedAt < this.#namedAt) {
            return false;
        }
        const changed = perSecond !== this.#perSecond;
        this.#namedAt = namedAt;
        this.#perSecond = perSecond;
        return changed;
    }

    /** Records that a peer claims a share, or no longer does. */
    recordClaim({ vm, rank }: Claimant, claimed: boolean, now: number): void {
        if (claimed) {
            this.#claims.set(vm, { rank, until: now + claimTtlMs });
        } else {
            this.#claims.delete(vm);
        }
    }

    /** Records that this entry VM has requests that the server could serve. */
    recordDemand(now: number): void {
        this.#wantedAt = now;
    }

    recordSend(now: number): void {
        this.#sentAt = now;
        this.#usage = { ...this.#usage, requests: this.#usage.requests + 1 };
    }

    recordProbe(): void {
        this.#usage = { ...this.#usage, probes: this.#usage.probes + 1 };
    }

    /**
     * Claims a share or gives it up.
     *
     * @param settleMs how long a new claim waits for the claims of others
     * @returns whether this entry VM's claim has changed
     */
    updateClaim(settleMs: number, now: number): boolean {
        for (const [vm, { until }] of this.#claims) {
            if (now >= until) {
                this.#claims.delete(vm);
            }
        }
        const wanted = now - this.#wantedAt < demandTtlMs;
        const higher = [...this.#claims.values()].filter(it => it.rank > this.#self.rank).length;
        const before = this.claimed;
        if (this.#perSecond === Infinity || !wanted || higher >= this.#maxHolders) {
            this.#holdsFrom = undefined;
        } else {
            this.#holdsFrom = Math.min(this.#holdsFrom ?? Infinity, now + settleMs);
        }
        return before !== this.claimed;
    }

    /** Gives up the claim, as it may have lapsed while this process was paused; returns whether there was one. */
    dropClaim(): boolean {
        const before = this.claimed;
        this.#holdsFrom = undefined;
        return before;
    }

    /** Requests per second that this entry VM may send. */
    shareOf(now: number): number {
        if (this.#perSecond === Infinity) {
            return Infinity;
        }
        return this.#holdsFrom === undefined || now < this.#holdsFrom ? 0 : this.#perSecond / this.#holders;
    }

    /** Earliest time at which this entry VM may send; Infinity while it has no share. */
    nextSendAt(): number {
        if (this.#perSecond === Infinity) {
            return -Infinity;
        }
        if (this.#holdsFrom === undefined) {
            return Infinity;
        }
        const intervalMs = Math.min(msPerSecond / this.#perSecond, maxIntervalMs) * this.#holders;
        return Math.max(this.#holdsFrom, this.#sentAt) + intervalMs;
    }

    /** Whether the limit should be confirmed by a request of this entry VM, which holds a share of it. */
    isDue(now: number): boolean {
        const askedAt = Math.max(this.#namedAt, this.#sentAt);
        return this.#perSecond !== Infinity && this.claimed && now - askedAt >= confirmIntervalMs;
    }

    /** Whether nothing has confirmed the limit for so long that it may be forgotten. */
    isOutdated(now: number): boolean {
        return !this.claimed && now - this.#confirmedAt > limitTtlMs;
    }

    /** Returns and resets what was sent since the last call. */
    takeUsage(): LimitUsage {
        const usage = this.#usage;
        this.#usage = { requests: 0, probes: 0 };
        return usage;
    }

    /** Number of claimants among whom the limit is divided, this one included. */
    get #holders(): number {
        return Math.min(this.#maxHolders, this.#claims.size + 1);
    }

    /**
     * Largest number of holders. Each may send one request at any moment, whatever its share, so their number is limited
     * by the requests per second.
     */
    get #maxHolders(): number {
        return Math.min(maxHolders, Math.max(1, Math.floor(this.#perSecond)));
    }
}

/** Enough that a service whose servers all name limits is served by most of its entry VMs. */
const maxHolders = 6;
/** A silent holder keeps its share for several times the interval between its messages. */
const claimTtlMs = 10_000;
/** Time without requests after which an entry VM gives up its share. */
const demandTtlMs = 10_000;
/** Longest interval between requests to a server; only an answer shows that a very low limit has ended. */
const maxIntervalMs = 10_000;
/** Interval at which a limited server that isn't needed gets a request, as only a response shows that the limit has ended. */
const confirmIntervalMs = 2_000;
/** Time after which a limit that neither the server nor a peer confirms is forgotten. */
const limitTtlMs = 60_000;
const msPerSecond = 1_000;
