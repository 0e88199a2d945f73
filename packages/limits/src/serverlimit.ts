/** One entry VM's view of the request limit of one backend server, named or as it is cold, and its share of that limit. */

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

/** Limit of a server for the time in which it is cold. */
export interface ColdLimit {
    /** Requests per second that the server bears from all entry VMs together. */
    readonly perSecond: number;
    /** End of the cold period, in monotonic milliseconds. */
    readonly until: number;
    /** Largest number of entry VMs among which the limit is divided. */
    readonly maxHolders: number;
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
    /** Limit that the server names. */
    #perSecond = Infinity;
    #cold: ColdLimit | undefined = undefined;
    /** Part of the entry VMs that this one knows to be running; another part may divide the cold limit as well. */
    #fleetShare = 1;
    /** When the server named the limit that is known. */
    #namedAt = -Infinity;
    /** When an answer of the server or a message of a peer last confirmed the limit. */
    #confirmedAt = -Infinity;
    #wantedAt = -Infinity;
    #sentAt = -Infinity;
    /** When this entry VM's own claim takes effect; undefined without a claim. */
    #holdsFrom: number | undefined = undefined;
    /** Number of known claimants of a higher rank. */
    #higherClaimants = 0;
    #usage: LimitUsage = { requests: 0, probes: 0 };

    constructor(self: Claimant) {
        this.#self = self;
    }

    /** Requests per second that the server names for all entry VMs together; Infinity if it names no limit. */
    get perSecond(): number {
        return this.#perSecond;
    }

    /** When the server named the limit that is known; -Infinity if it has never named one. */
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

    /** Sets the limit of a cold server; undefined if it isn't cold. */
    setCold(cold: ColdLimit | undefined): void {
        this.#cold = cold;
    }

    /** Whether the server is limited because it is cold. */
    isCold(now: number): boolean {
        return this.#cold !== undefined && now < this.#cold.until;
    }

    /** Effective limit: the lower of the named one and that of a cold server. Infinity if there is none. */
    limitAt(now: number): number {
        const coldLimit = this.#cold && this.isCold(now) ? this.#cold.perSecond * this.#fleetShare : Infinity;
        return Math.min(this.#perSecond, coldLimit);
    }

    /** Whether this entry VM has a claim that isn't in effect yet. */
    isSettling(now: number): boolean {
        return this.#holdsFrom !== undefined && now < this.#holdsFrom;
    }

    /**
     * Records that a peer claims a share, or no longer does.
     *
     * @returns whether the claim is new
     */
    recordClaim({ vm, rank }: Claimant, claimed: boolean, now: number): boolean {
        if (!claimed) {
            this.#claims.delete(vm);
            return false;
        }
        const isNew = !this.#claims.has(vm);
        this.#claims.set(vm, { rank, until: now + claimTtlMs });
        return isNew;
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
     * @param fleetShare part of all entry VMs that this one knows to be running, above 0 and at most 1
     * @returns whether this entry VM's claim has changed
     */
    updateClaim(settleMs: number, now: number, fleetShare = 1): boolean {
        this.#fleetShare = fleetShare;
        for (const [vm, { until }] of this.#claims) {
            if (now >= until) {
                this.#claims.delete(vm);
            }
        }
        const wanted = now - this.#wantedAt < demandTtlMs;
        const higher = [...this.#claims.values()].filter(it => it.rank > this.#self.rank).length;
        this.#higherClaimants = higher;
        const before = this.claimed;
        if (this.limitAt(now) === Infinity || !wanted || higher >= this.#maxHolders(now)) {
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
        const perSecond = this.limitAt(now);
        if (perSecond === Infinity) {
            return Infinity;
        }
        return this.#holdsFrom === undefined || now < this.#holdsFrom ? 0 : perSecond / this.#holders(now);
    }

    /** Earliest time at which this entry VM may send; Infinity while it has no share. */
    nextSendAt(now: number): number {
        const perSecond = this.limitAt(now);
        if (perSecond === Infinity) {
            return -Infinity;
        }
        if (this.#holdsFrom === undefined) {
            return Infinity;
        }
        const requestMs = Math.min(msPerSecond / perSecond, maxIntervalMs);
        const intervalMs = requestMs * this.#holders(now);
        // A cold period is short: its holders begin one after the other, at the limit's rate.
        const firstMs = this.isCold(now) ? requestMs * (1 + this.#higherClaimants) : intervalMs;
        return Math.max(this.#holdsFrom + firstMs, this.#sentAt + intervalMs);
    }

    /** Whether the limit should be confirmed by a request of this entry VM, which holds a share of it. */
    isDue(now: number): boolean {
        const askedAt = Math.max(this.#namedAt, this.#sentAt);
        return this.#perSecond !== Infinity && this.claimed && now - askedAt >= confirmIntervalMs;
    }

    /** Whether nothing has confirmed the limit for so long that it may be forgotten. */
    isOutdated(now: number): boolean {
        return !this.claimed && !this.isCold(now) && now - this.#confirmedAt > limitTtlMs;
    }

    /** Returns and resets what was sent since the last call. */
    takeUsage(): LimitUsage {
        const usage = this.#usage;
        this.#usage = { requests: 0, probes: 0 };
        return usage;
    }

    /** Number of claimants among whom the limit is divided, this one included. */
    #holders(now: number): number {
        return Math.min(this.#maxHolders(now), this.#claims.size + 1);
    }

    /**
     * Largest number of holders. Each may send one request at any moment, whatever its share, so their number is limited
     * by the requests per second.
     */
    #maxHolders(now: number): number {
        const cold = this.isCold(now) ? this.#cold : undefined;
        const perSecond = Math.min(this.#perSecond, cold?.perSecond ?? Infinity);
        return Math.min(cold?.maxHolders ?? maxHolders, maxHolders, Math.max(1, Math.floor(perSecond)));
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
