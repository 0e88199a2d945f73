/** The tokens of one account that one entry VM has, and which shard it asks for more. */

import { maxStatedMs } from "./messages.js";

/** A token that a request has taken. */
export interface Token {
    /** Shard that it came from; undefined for one of the reserve, which isn't returned. */
    readonly shard: number | undefined;
    /** When it was asked for, in monotonic milliseconds. */
    readonly askedAt: number;
}

/** What to do for requests that wait for a token. */
export type NextStep =
    | { readonly kind: "ask"; readonly shard: number; readonly holder: string; readonly wanted: number }
    | { readonly kind: "ask-reserve"; readonly holder: string; readonly wanted: number }
    /** Every shard that may have tokens has been asked and hasn't answered yet. */
    | { readonly kind: "wait" }
    | Refusal;

/** Why a request gets no token. */
export type Refusal =
    /** No shard has a token before `retryAfterMs` have passed. */
    | { readonly kind: "over-quota"; readonly retryAfterMs: number }
    /** No shard that can be reached has a token. */
    | { readonly kind: "unavailable"; readonly retryAfterMs: number };

/** Unused tokens of a shard. */
export interface ReturnedTokens {
    readonly returned: number;
    /** Time since the first of them was asked for, in milliseconds. */
    readonly returnedAgeMs: number;
}

/** What is known of one shard, or of the reserve. */
interface ShardState {
    /** The member that this is known of. */
    holder: string | undefined;
    emptyUntil: number;
    silentUntil: number;
    /** Whether an answer is awaited. */
    isAsked: boolean;
    returned: number;
    returnedAskedAt: number;
}

/** A batch of tokens. */
interface Batch {
    readonly shard: number | undefined;
    readonly askedAt: number;
    count: number;
}

/** Finds the members that hold a shard. */
export type FindHolders = (shard: number) => {
    readonly first: string | undefined;
    readonly second: string | undefined;
};

/** One entry VM's tokens of one account. */
export class QuotaLease {
    /** Number of the shard that is asked next, modulo the number of shards. */
    #nextShard: number;
    readonly #leaseMs: number;
    readonly #shards = new Map<number | undefined, ShardState>();
    #batches: readonly Batch[] = [];
    #demandPerMs = 0;
    #usedAt: number;

    /**
     * @param firstShard any number; those of all entry VMs should be spread
     * @param leaseMs time after a question in which the tokens that it got may be used, in milliseconds
     */
    constructor(firstShard: number, leaseMs: number, now: number) {
        this.#leaseMs = leaseMs;
        this.#nextShard = firstShard;
        this.#usedAt = now;
    }

    /** When a token was last wanted, in monotonic milliseconds. */
    get usedAt(): number {
        return this.#usedAt;
    }

    /** Counts a request that wants a token. */
    recordDemand(now: number): void {
        this.#demandPerMs = this.#demandAt(now) + 1 / demandMemoryMs;
        this.#usedAt = now;
    }

    /** Takes a token; undefined if there is none. */
    take(now: number): Token | undefined {
        this.sweep(now);
        const [batch] = this.#batches;
        if (!batch) {
            return undefined;
        }
        batch.count--;
        if (batch.count === 0) {
            this.#batches = this.#batches.slice(1);
        }
        return { shard: batch.shard, askedAt: batch.askedAt };
    }

    /** Takes back a token whose request hasn't run. */
    putBack({ shard, askedAt }: Token, now: number): void {
        this.#addTokens(shard, 1, askedAt, now);
    }

    /** Sets expired tokens aside to be returned. */
    sweep(now: number): void {
        const isExpired = ({ askedAt }: Batch): boolean => now - askedAt >= this.#leaseMs;
        if (this.#batches.some(isExpired)) {
            const expired = this.#batches.filter(isExpired);
            this.#batches = this.#batches.filter(it => !isExpired(it));
            expired.forEach(it => this.#setAside(it));
        }
    }

    /** Returns how many tokens to ask for when `waiting` requests wait. */
    wanted(waiting: number, now: number): number {
        return Math.max(waiting, Math.floor(this.#demandAt(now) * expectedUseMs));
    }

    /**
     * Returns what to do for requests that wait for a token; a shard that is to be asked counts as asked from then on.
     *
     * @param shards number of shards of the account
     * @param wanted number of tokens to ask for
     */
    nextStep(shards: number, wanted: number, findHolders: FindHolders, now: number): NextStep {
        const states = this.#statesInOrder(shards, findHolders);
        for (const { shard, state } of states) {
            const { holder } = state;
            if (
                holder !== undefined &&
                !state.isAsked &&
                now >= state.silentUntil &&
                now >= state.emptyUntil
            ) {
                state.isAsked = true;
                return { kind: "ask", shard, holder, wanted };
            }
        }
        const { second: holder } = findHolders(0);
        const reserve = this.#stateOf(undefined, holder);
        if (reserve.isAsked || states.some(it => it.state.isAsked)) {
            return { kind: "wait" };
        }
        const refusal = this.refusal(shards, findHolders, now);
        const mayAskReserve = now >= reserve.silentUntil && now >= reserve.emptyUntil;
        if (refusal.kind === "unavailable" && holder !== undefined && mayAskReserve) {
            reserve.isAsked = true;
            return { kind: "ask-reserve", holder, wanted };
        }
        return refusal;
    }

    /** Returns why a request gets no token, when no shard that it was asked of has given one. */
    refusal(shards: number, findHolders: FindHolders, now: number): Refusal {
        const states = this.#statesInOrder(shards, findHolders).map(it => it.state);
        const isSilent = states.some(it => it.holder === undefined || now < it.silentUntil);
        const nextAt = Math.min(...states.map(it => Math.max(it.emptyUntil, it.silentUntil)));
        const retryAfterMs = Math.max(minRetryMs, nextAt - now);
        return { kind: isSilent ? "unavailable" : "over-quota", retryAfterMs };
    }

    /** Has the shard after the given one be asked next, as that one had too few tokens. */
    moveOn(shard: number): void {
        this.#nextShard = shard + 1;
    }

    /**
     * Records an answer of a shard's holder.
     *
     * @param askedAt when it was asked
     * @param nextMs time until it has another token, in milliseconds; undefined if it doesn't hold the shard
     */
    recordGrant(
        shard: number | undefined,
        tokens: number,
        nextMs: number | undefined,
        askedAt: number,
        now: number,
    ): void {
        const state = this.#shards.get(shard);
        if (state) {
            state.isAsked = false;
        }
        if (state && nextMs === undefined) {
            state.silentUntil = now + notHeldMs;
        } else if (state) {
            state.silentUntil = -Infinity;
            state.emptyUntil = now + Math.min(Math.max(nextMs ?? 0, tokens === 0 ? 1 : 0), maxEmptyMs);
        }
        this.#addTokens(shard, tokens, askedAt, now);
    }

    /** Records that a shard's holder hasn't answered in time. */
    recordSilence(shard: number | undefined, now: number): void {
        const state = this.#shards.get(shard);
        if (state) {
            state.isAsked = false;
            state.silentUntil = now + silentMs;
        }
    }

    /** Takes the tokens to return to a shard. */
    takeReturned(shard: number, now: number): ReturnedTokens {
        const state = this.#shards.get(shard);
        if (!state || state.returned === 0) {
            return { returned: 0, returnedAgeMs: 0 };
        }
        const { returned, returnedAskedAt } = state;
        state.returned = 0;
        state.returnedAskedAt = Infinity;
        return { returned, returnedAgeMs: Math.min(maxStatedMs, Math.max(0, now - returnedAskedAt)) };
    }

    /** Shards that have tokens to be returned. */
    get returnedShards(): readonly number[] {
        return [...this.#shards].flatMap(([shard, { returned }]) =>
            shard !== undefined && returned > 0 ? [shard] : [],
        );
    }

    /** Returns what is known of the shards, in the order in which they are asked. */
    #statesInOrder(
        shards: number,
        findHolders: FindHolders,
    ): readonly { readonly shard: number; readonly state: ShardState }[] {
        return Array.from({ length: shards }, (_, i) => {
            const shard = (this.#nextShard + i) % shards;
            return { shard, state: this.#stateOf(shard, findHolders(shard).first) };
        });
    }

    #demandAt(now: number): number {
        return this.#demandPerMs * Math.exp(-Math.max(0, now - this.#usedAt) / demandMemoryMs);
    }

    #addTokens(shard: number | undefined, count: number, askedAt: number, now: number): void {
        if (count === 0) {
            return;
        }
        const batch = { shard, askedAt, count };
        if (now - askedAt >= this.#leaseMs) {
            this.#setAside(batch);
        } else {
            this.#batches = [...this.#batches, batch].sort((a, b) => a.askedAt - b.askedAt);
        }
    }

    #setAside({ shard, askedAt, count }: Batch): void {
        const state = this.#shards.get(shard);
        if (state && shard !== undefined) {
            state.returned += count;
            state.returnedAskedAt = Math.min(state.returnedAskedAt, askedAt);
        }
    }

    /** Returns what is known of a shard; what was known of a former holder says nothing of a new one. */
    #stateOf(shard: number | undefined, holder: string | undefined): ShardState {
        let state = this.#shards.get(shard);
        if (!state || state.holder !== holder) {
            state = {
                holder,
                emptyUntil: -Infinity,
                silentUntil: -Infinity,
                isAsked: false,
                returned: 0,
                returnedAskedAt: Infinity,
            };
            this.#shards.set(shard, state);
        }
        return state;
    }
}

/** For how long tokens are asked for in advance, at the present demand. */
const expectedUseMs = 200;
/** Time over which the demand is averaged. */
const demandMemoryMs = 1_000;
/** A silent holder isn't asked again before this, so that not every request waits for it. */
const silentMs = 250;
/** Views of the members differ for a few gossip messages. */
const notHeldMs = 100;
/** Shortest time after which the caller of a refused request may return; others wait for the same next token. */
const minRetryMs = 50;
/** A holder may get more tokens than it expected, as members join. */
const maxEmptyMs = 5_000;
