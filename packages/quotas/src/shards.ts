/** How the quota of an account is split into shards, and what the present configuration says of each account. */

import type { ClientAccount } from "@bramleymoor/model/route";

/** What one shard of an account grants. */
export interface ShardLimit {
    readonly perSecond: number;
    /** Most tokens that the shard may hold. */
    readonly capacity: number;
}

/** The rate and the burst of an account. */
export type Quota = Pick<ClientAccount, "ratePerSecond" | "burst">;

/** Returns the number of shards of a quota. */
export const shardCount = ({ burst }: Quota): number =>
    Math.max(1, Math.min(maxShards, Math.floor(burst / minShardBurst)));

/** Returns the limit of one shard of a quota; zero if the quota has no such shard. */
export const shardLimit = (quota: Quota, shard: number): ShardLimit => {
    const shards = shardCount(quota);
    return shard >= shards
        ? { perSecond: 0, capacity: 0 }
        : {
              perSecond: quota.ratePerSecond / shards,
              capacity: Math.max(minCapacity, quota.burst / shards),
          };
};

interface KnownQuota {
    readonly quota: Quota;
    /** The quota before; undefined if the account had none. */
    readonly before: Quota | undefined;
    readonly changedAt: number;
}

/** The quotas of the accounts of the present configuration, and what they were just before. */
export class QuotaTable {
    #quotas: ReadonlyMap<string, KnownQuota> = new Map();

    /** Applies the accounts of a newer configuration. */
    update(accounts: readonly ClientAccount[], now: number): void {
        this.#quotas = new Map(
            accounts
                .filter(it => it.ratePerSecond > 0)
                .map(({ name, ratePerSecond, burst }) => {
                    const known = this.#quotas.get(name);
                    const isSame =
                        known?.quota.ratePerSecond === ratePerSecond && known.quota.burst === burst;
                    return [
                        name,
                        known && isSame
                            ? known
                            : { quota: { ratePerSecond, burst }, before: known?.quota, changedAt: now },
                    ];
                }),
        );
    }

    /** Returns the quota of an account; undefined if it has none. */
    find(account: string): Quota | undefined {
        return this.#quotas.get(account)?.quota;
    }

    /** Returns when the account's quota was first known, in monotonic milliseconds. */
    knownSince(account: string): number {
        const known = this.#quotas.get(account);
        return known && !known.before ? known.changedAt : -Infinity;
    }

    /**
     * Returns the limit of one shard of an account. A change takes effect at once where it lowers the limit of a shard, and
     * later where it raises it: until then, other members may hold shards of the former quota, of which there may be fewer.
     */
    limitOf(account: string, shard: number, now: number): ShardLimit {
        const known = this.#quotas.get(account);
        if (!known) {
            return { perSecond: 0, capacity: 0 };
        }
        const limit = shardLimit(known.quota, shard);
        if (!known.before || now - known.changedAt >= raiseDelayMs) {
            return limit;
        }
        const before = shardLimit(known.before, shard);
        return {
            perSecond: Math.min(limit.perSecond, before.perSecond),
            capacity: Math.min(limit.capacity, before.capacity),
        };
    }
}

const maxShards = 8;
/** With a smaller bucket, a shard overflows between the questions of few askers. */
const minShardBurst = 4;
/** A bucket of one token is full while it waits for the next request, which leaves a sixth of the rate unused at five times the load. */
const minCapacity = 2;
/** A version of the configuration reaches all members in touch in 1.3 s. */
const raiseDelayMs = 1_500;
