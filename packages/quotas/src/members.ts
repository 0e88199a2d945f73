/** One entry VM's view of the members: which of them hold a shard, and which part of the quotas this part of them may grant. */

import { hashRank } from "@bramleymoor/placement/placement";

/** The members that hold a shard, by their rank; undefined if there are too few. */
export interface Holders {
    readonly first: string | undefined;
    /** Holds the reserve while the first one is silent. */
    readonly second: string | undefined;
}

/** The members as the membership protocol sees them. */
export interface MemberIds {
    /** Members that are alive, including this one; not those that are suspected or leaving. */
    readonly alive: readonly string[];
    /** Members that have said that they are leaving. */
    readonly leaving: readonly string[];
    /** Time until this entry VM may be expected to know all members, in milliseconds; Infinity while it hasn't met any other. */
    readonly settleMs: number;
}

/** The largest number of members known, as members tell it to one another. */
export interface LargestCount {
    readonly members: number;
    /** Time since that number was last reached, in milliseconds. */
    readonly membersAgeMs: number;
}

interface Loss {
    readonly id: string;
    readonly at: number;
}

/** The members as one of them sees them. */
export class MemberView {
    readonly #self: string;
    #alive: ReadonlySet<string> = new Set();
    #leaving: ReadonlySet<string> = new Set();
    #holders = new Map<string, Holders>();
    /** Members that were alive, within the time in which a bucket fills. */
    #losses: readonly Loss[] = [];
    #changedAt: number;
    /** From when on this entry VM holds shards. */
    #holdsFrom = Infinity;
    #largest = 0;
    #largestAt = -Infinity;
    /** When a larger share takes effect; Infinity while there is none. The first one does at once. */
    #shareRisesAt = -Infinity;
    #share = 0;

    constructor(self: string, now: number) {
        this.#self = self;
        this.#changedAt = now;
    }

    /** Applies a newer list of members. */
    update({ alive, leaving, settleMs }: MemberIds, now: number): void {
        this.#holdsFrom = Math.min(this.#holdsFrom, now + settleMs);
        const members = new Set(alive);
        const lost = [...this.#alive].filter(it => !members.has(it));
        const left = leaving.filter(it => !this.#leaving.has(it)).length;
        if (lost.length > 0 || members.size !== this.#alive.size) {
            this.#holders = new Map();
            this.#changedAt = now;
            this.#losses = [
                ...this.#losses.filter(it => now - it.at < lossMemoryMs),
                ...lost.map(id => ({ id, at: now })),
            ];
        }
        this.#alive = members;
        this.#leaving = new Set(leaving);
        this.#largest = Math.max(0, this.#largest - left);
        this.#refreshLargest(now);
    }

    /** Takes over the largest number of members that another member knows, if it is larger. */
    learn({ members, membersAgeMs }: LargestCount, now: number): void {
        this.#refreshLargest(now);
        if (members > this.#largest && membersAgeMs < largestMemoryMs) {
            this.#largest = members;
            this.#largestAt = now - membersAgeMs;
        }
    }

    /** Returns the largest number of members known. */
    largest(now: number): LargestCount {
        this.#refreshLargest(now);
        return { members: this.#largest, membersAgeMs: Math.round(now - this.#largestAt) };
    }

    /** Returns the part of the quotas that the members known to this one may grant together, from 0 to 1. */
    share(now: number): number {
        this.#refreshLargest(now);
        if (now < this.#holdsFrom) {
            return 0;
        }
        const share = shareOfMembers(this.#alive.size / Math.max(1, this.#largest));
        // While many members start together, each learns of the others one after the other.
        const isStarting = now < this.#holdsFrom + startMs;
        if (share <= this.#share || isStarting) {
            this.#share = share;
            this.#shareRisesAt = Infinity;
        } else if (this.#shareRisesAt === Infinity) {
            this.#shareRisesAt = now + riseDelayMs;
        } else if (now >= this.#shareRisesAt) {
            this.#share = share;
            this.#shareRisesAt = Infinity;
        }
        return this.#share;
    }

    /** Returns the members that hold a shard. */
    holders(account: string, shard: number): Holders {
        const key = `${account}/${shard}`;
        let holders = this.#holders.get(key);
        if (!holders) {
            holders = this.#rank(key);
            this.#holders.set(key, holders);
        }
        return holders;
    }

    /**
     * Returns since when tokens of a shard that this entry VM holds have accrued. After its start that is a little earlier than it may
     * grant: those that held the shard before have stopped, or hold most other shards of the account.
     */
    heldSince(account: string, shard: number): number {
        const key = `${account}/${shard}`;
        const own = hashRank(key, this.#self);
        const losses = this.#losses.filter(it => hashRank(key, it.id) >= own).map(it => it.at);
        return Math.max(this.#holdsFrom - startCreditMs, ...losses);
    }

    /** Since when the ranks of all members are the same. */
    get changedAt(): number {
        return Math.max(this.#holdsFrom, this.#changedAt);
    }

    #rank(key: string): Holders {
        const holders: { first: string | undefined; second: string | undefined } = {
            first: undefined,
            second: undefined,
        };
        let [firstRank, secondRank] = [-1, -1];
        for (const id of this.#alive) {
            const rank = hashRank(key, id);
            if (rank > firstRank) {
                holders.second = holders.first;
                holders.first = id;
                [firstRank, secondRank] = [rank, firstRank];
            } else if (rank > secondRank) {
                holders.second = id;
                secondRank = rank;
            }
        }
        return holders;
    }

    #refreshLargest(now: number): void {
        if (this.#alive.size >= this.#largest || now - this.#largestAt >= largestMemoryMs) {
            this.#largest = this.#alive.size;
            this.#largestAt = now;
        }
    }
}

/**
 * Returns the part of the quotas that a part of the members may grant. Two parts that together are all members never grant more than
 * the whole. A part of two thirds or more grants at least 0.98, as missing members are far more often dead than cut off.
 *
 * @param part from 0 to 1
 */
export const shareOfMembers = (part: number): number => {
    if (part > 0.5) {
        return 1 - shareOfMembers(1 - part);
    }
    return part <= thirdPart
        ? smallPartSlope * part
        : smallPartSlope * thirdPart +
              ((part - thirdPart) / (0.5 - thirdPart)) * (0.5 - smallPartSlope * thirdPart);
};

const thirdPart = 1 / 3;
/** A third of the members may grant a fiftieth. */
const smallPartSlope = 0.06;
/**
 * A member that starts with many others follows an outage of seconds, in which nobody granted anything. One that starts alone takes
 * over so few shards of an account that what accrues in this time is within the permitted excess of a window.
 */
const startCreditMs = 1_000;
/** Time in which a member that has started learns of all others. */
const startMs = 2_000;
/** Views of joining halves agree within a second. */
const riseDelayMs = 1_000;
/** A member that is missing for longer counts as replaced. */
const largestMemoryMs = 600_000;
/** Time in which the bucket of any but very slow quotas fills. */
const lossMemoryMs = 600_000;
