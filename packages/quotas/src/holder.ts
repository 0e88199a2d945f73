/** The part of one entry VM that holds shards and grants their tokens. */

import type { MemberView } from "./members.js";
import { maxStatedMs, maxTokensPerMessage, type QuotaAsk, type QuotaReply } from "./messages.js";
import type { QuotaTable, ShardLimit } from "./shards.js";
import { TokenBucket } from "./tokenbucket.js";
import { WindowCounter } from "./windowcounter.js";

/**
 * How far requests may exceed the quotas, and how many tokens a member ranked second may grant of an account while the first one is
 * silent.
 */
export interface ReserveLimits {
    /** Length of the window in which they are counted, in milliseconds. */
    readonly windowMs: number;
    /** Tokens in any such window. */
    readonly tokens: number;
    /** Requests beyond a quota that are permitted in a window, as a share of it. */
    readonly overRatio: number;
}

/** What a bucket grants. */
interface HeldLimit extends ShardLimit {
    /** Tokens in any window. */
    readonly perWindow: number;
}

interface HeldBucket {
    readonly account: string;
    /** Index of the shard; undefined for the reserve. */
    readonly shard: number | undefined;
    readonly bucket: TokenBucket;
    /** Tokens granted in a window and the time by which their use may lag behind, which the permitted excess of the window covers. */
    readonly granted: WindowCounter;
    askedAt: number;
    /** Number of the last question of each asker. */
    readonly lastNumbers: Map<string, number>;
}

/** Grants tokens of the shards that the view of the members assigns to one entry VM. */
export class QuotaHolder {
    readonly #self: string;
    readonly #table: QuotaTable;
    readonly #view: MemberView;
    #reserve: ReserveLimits;
    readonly #held = new Map<string, HeldBucket>();
    /** When the process was last known to run. */
    #ranAt: number;
    /** Shards held at this time are begun anew. */
    #resetAt = -Infinity;

    constructor(self: string, table: QuotaTable, view: MemberView, reserve: ReserveLimits, now: number) {
        this.#self = self;
        this.#table = table;
        this.#view = view;
        this.#reserve = reserve;
        this.#ranAt = now;
    }

    /** Number of shards and reserves with state. */
    get size(): number {
        return this.#held.size;
    }

    /** Changes the limits of the reserve. */
    setReserve(reserve: ReserveLimits): void {
        this.#reserve = reserve;
    }

    /** Answers a question; undefined if it is repeated or overtaken by a later one of the same asker. */
    answer(ask: QuotaAsk, now: number): QuotaReply | undefined {
        this.#recordRun(now);
        this.#view.learn(ask, now);
        const { n, account, shard } = ask;
        const { first, second } = this.#view.holders(account, shard);
        const isReserve = first !== this.#self && second === this.#self && shard === 0 && ask.isFirstSilent;
        const share = this.#view.share(now);
        if (!this.#table.find(account) || share === 0 || (first !== this.#self && !isReserve)) {
            return { n, tokens: 0 };
        }
        const held = this.#bucket(account, isReserve ? undefined : shard, now);
        if (n <= (held.lastNumbers.get(ask.from) ?? -1)) {
            return undefined;
        }
        held.lastNumbers.set(ask.from, n);
        const { perSecond, capacity, perWindow } = this.#refill(held, now);
        if (!isReserve) {
            held.bucket.putBack(ask.returned, capacity, now - ask.returnedAgeMs);
            held.granted.remove(ask.returned, now - ask.returnedAgeMs);
        }
        const leftInWindow = Math.max(0, Math.floor(perWindow - held.granted.count(now)));
        const tokens = held.bucket.take(Math.min(ask.wanted, maxTokensPerMessage, leftInWindow));
        held.granted.add(tokens, now);
        if (ask.wanted > 0) {
            held.askedAt = now;
        }
        const nextMs =
            perSecond > 0
                ? Math.ceil(
                      Math.max(
                          held.bucket.msToNext(perSecond),
                          held.granted.msUntilBelow(Math.floor(perWindow), now),
                      ),
                  )
                : unusedShardMs;
        return { n, tokens, nextMs: Math.min(maxStatedMs, nextMs) };
    }

    /** Lets tokens accrue, and forgets shards that are no longer held or used. To be called at least every 100 ms. */
    tick(now: number): void {
        this.#recordRun(now);
        for (const [key, held] of this.#held) {
            const { account, shard } = held;
            const { first, second } = this.#view.holders(account, shard ?? 0);
            const holder = shard === undefined ? second : first;
            const { capacity } = this.#refill(held, now);
            const isIdle = now - held.askedAt >= idleMs && held.bucket.tokens >= capacity;
            if (holder !== this.#self || !this.#table.find(account) || isIdle) {
                this.#held.delete(key);
            }
        }
    }

    /** After a pause of the process, others may have granted its shards: it begins anew, with empty buckets. */
    #recordRun(now: number): void {
        if (now - this.#ranAt > pauseMs) {
            this.#held.clear();
            this.#resetAt = now;
        }
        this.#ranAt = Math.max(now, this.#ranAt);
    }

    #bucket(account: string, shard: number | undefined, now: number): HeldBucket {
        const key = shard === undefined ? account : `${account}/${shard}`;
        let held = this.#held.get(key);
        if (!held) {
            const since = Math.max(
                this.#resetAt,
                shard === undefined ? this.#view.changedAt : this.#view.heldSince(account, shard),
                this.#table.knownSince(account),
            );
            // A shard that was forgotten, or not asked for yet, has accrued tokens since this entry VM began to hold it.
            const bucket = new TokenBucket(0, Math.min(since, now));
            const granted = new WindowCounter(this.#reserve.windowMs * (1 + this.#reserve.overRatio));
            held = { account, shard, bucket, granted, askedAt: now, lastNumbers: new Map() };
            this.#held.set(key, held);
        }
        return held;
    }

    #refill({ account, shard, bucket }: HeldBucket, now: number): HeldLimit {
        const limit =
            shard === undefined ? this.#reserveLimit(account) : this.#shardLimit(account, shard, now);
        bucket.refill(limit.perSecond, limit.capacity, now);
        return limit;
    }

    /**
     * The quota allows rate and burst in each window, so that an account which always sends too much may use its burst once a window:
     * tokens accrue that much faster than the rate, and the tokens of each window are bounded.
     */
    #shardLimit(account: string, shard: number, now: number): HeldLimit {
        const { perSecond, capacity } = this.#table.limitOf(account, shard, now);
        const share = this.#view.share(now);
        const seconds = this.#reserve.windowMs / msPerSecond;
        const { overRatio } = this.#reserve;
        const perWindow = (perSecond * seconds + capacity) * (1 + overRatio * usedExcessShare);
        const sustained = perWindow / (seconds * (1 + overRatio));
        return {
            perSecond: perSecond > 0 ? Math.max(perSecond, sustained) * share : 0,
            capacity,
            perWindow: perWindow * share,
        };
    }

    /** A bucket of half the reserve that fills once in a window grants the whole reserve at most in any window. */
    #reserveLimit(account: string): HeldLimit {
        const { windowMs, tokens } = this.#reserve;
        const perSecond = (tokens / 2 / windowMs) * msPerSecond;
        const { ratePerSecond = 0 } = this.#table.find(account) ?? {};
        return { perSecond: Math.min(perSecond, ratePerSecond), capacity: tokens / 2, perWindow: tokens };
    }
}

const msPerSecond = 1_000;
/** Share of the permitted excess that is granted; the rest is for holders that change. */
const usedExcessShare = 0.5;
/** A shard without a rate gets one soon if the quota was raised. */
const unusedShardMs = 500;
/** A longer gap between two calls counts as a pause of the process. */
const pauseMs = 500;
/** Time without a question after which the state of a full shard is forgotten. */
const idleMs = 30_000;
