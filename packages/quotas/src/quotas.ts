/** One entry VM's part in the quotas: the shards that it holds, and the tokens that its requests need. */

import type { ClientAccount } from "@bramleymoor/model/route";
import { hashRank } from "@bramleymoor/placement/placement";
import { QuotaHolder, type ReserveLimits } from "./holder.js";
import { QuotaLease, type Refusal, type Token } from "./lease.js";
import { MemberView, type MemberIds } from "./members.js";
import { maxTokensPerMessage, type QuotaAsk, type QuotaReply } from "./messages.js";
import { QuotaTable, shardCount } from "./shards.js";

/** Called with the token that a request gets, or with why it gets none. */
export type OnToken = (result: TokenResult) => void;

/** What became of a request for a token. */
export type TokenResult = { readonly kind: "token"; readonly token: Token } | Refusal;

/** Dependencies of `Quotas`. */
export interface QuotasOptions {
    /** Stable name of this entry VM. */
    readonly self: string;
    /** Identifies this run of it. */
    readonly run: string;
    readonly reserve: ReserveLimits;
    /** Time after a question in which the tokens that it got may be used, in milliseconds. */
    readonly leaseMs: number;
    /** Sends a question to another entry VM; may lose it. */
    readonly send: (to: string, ask: QuotaAsk) => void;
    /** Monotonic milliseconds. */
    readonly now: number;
}

/** Totals since the start. */
export interface QuotaCounts {
    /** Tokens that requests got. */
    granted: number;
    /** Requests that got none. */
    refused: number;
    /** Questions sent to other entry VMs. */
    asked: number;
    /** Questions without an answer in time. */
    unanswered: number;
}

interface Question {
    readonly account: string;
    /** Undefined for the reserve. */
    readonly shard: number | undefined;
    readonly askedAt: number;
    readonly wanted: number;
    isLate: boolean;
}

interface AccountState {
    readonly lease: QuotaLease;
    /** Requests that wait for a token, in order. */
    readonly waiting: WaitingRequest[];
    /** Tokens asked for in questions whose answers are awaited. */
    awaited: number;
    /** Number of answers with fewer tokens than asked for, and of silent holders. */
    shortAnswers: number;
}

interface WaitingRequest {
    readonly onToken: OnToken;
    /** Number of short answers from which on every shard has been asked for it. */
    readonly maxShortAnswers: number;
}

/** Asks for tokens, and answers those who ask. */
export class Quotas {
    /** Totals since the start. */
    readonly counts: Readonly<QuotaCounts>;
    readonly #counts: QuotaCounts = { granted: 0, refused: 0, asked: 0, unanswered: 0 };
    readonly #options: QuotasOptions;
    readonly #table = new QuotaTable();
    readonly #view: MemberView;
    readonly #holder: QuotaHolder;
    readonly #accounts = new Map<string, AccountState>();
    /** Questions whose answer may still come, by their number, which rises. */
    readonly #questions = new Map<number, Question>();
    #lastNumber = 0;

    constructor(options: QuotasOptions) {
        const { self, reserve, now } = options;
        this.counts = this.#counts;
        this.#options = options;
        this.#view = new MemberView(self, now);
        this.#holder = new QuotaHolder(self, this.#table, this.#view, reserve, now);
    }

    /** Number of accounts and shards with state. */
    get size(): number {
        return this.#accounts.size + this.#holder.size;
    }

    /** Applies the accounts of a newer configuration. */
    updateAccounts(accounts: readonly ClientAccount[], now: number): void {
        this.#table.update(accounts, now);
    }

    /** Applies a newer list of members. */
    updateMembers(members: MemberIds, now: number): void {
        this.#view.update(members, now);
    }

    /** Changes the limits of the reserve. */
    setReserve(reserve: ReserveLimits): void {
        this.#holder.setReserve(reserve);
    }

    /** Gets a token for a request; calls `onToken` once, possibly at once. */
    request(account: string, onToken: OnToken, now: number): void {
        let state = this.#accounts.get(account);
        if (!state) {
            const firstShard = Math.floor(hashRank(account, this.#options.self) * firstShards);
            const lease = new QuotaLease(firstShard, this.#options.leaseMs, now);
            state = { lease, waiting: [], awaited: 0, shortAnswers: 0 };
            this.#accounts.set(account, state);
        }
        state.lease.recordDemand(now);
        const quota = this.#table.find(account);
        const maxShortAnswers = state.shortAnswers + (quota ? shardCount(quota) : 1);
        state.waiting.push({ onToken, maxShortAnswers });
        this.#advance(account, state, now);
    }

    /** Takes back the token of a request that hasn't run. */
    putBack(account: string, token: Token, now: number): void {
        this.#accounts.get(account)?.lease.putBack(token, now);
    }

    /** Answers another entry VM's question; undefined to say nothing. */
    receiveAsk(ask: QuotaAsk, now: number): QuotaReply | undefined {
        return this.#holder.answer(ask, now);
    }

    /** Processes an answer. */
    receiveReply({ n, tokens, nextMs }: QuotaReply, now: number): void {
        const question = this.#questions.get(n);
        this.#questions.delete(n);
        const state = question && this.#accounts.get(question.account);
        if (!state) {
            return;
        }
        if (!question.isLate) {
            state.awaited -= question.wanted;
        }
        this.#recordGrant(state, question, { n, tokens, nextMs }, now);
        this.#advance(question.account, state, now);
    }

    /** When `tick` has to be called at the latest, in monotonic milliseconds; Infinity if no answer is awaited. */
    get nextTimeoutAt(): number {
        for (const { askedAt, isLate } of this.#questions.values()) {
            if (!isLate) {
                return askedAt + answerMs;
            }
        }
        return Infinity;
    }

    /** Gives up questions that weren't answered in time, returns unused tokens and forgets idle accounts. */
    tick(now: number): void {
        this.#holder.tick(now);
        for (const [n, question] of this.#questions) {
            if (now - question.askedAt >= lateAnswerMs) {
                this.#questions.delete(n);
            }
            const state = this.#accounts.get(question.account);
            if (!question.isLate && now - question.askedAt >= answerMs) {
                question.isLate = true;
                this.#counts.unanswered++;
                if (state) {
                    state.awaited -= question.wanted;
                    state.lease.recordSilence(question.shard, now);
                    this.#countShortAnswer(state, question.shard);
                    this.#advance(question.account, state, now);
                }
            }
        }
        for (const [account, { lease, waiting }] of this.#accounts) {
            lease.sweep(now);
            lease.returnedShards.forEach(shard => this.#returnTokens(account, lease, shard, now));
            if (waiting.length === 0 && now - lease.usedAt >= idleMs) {
                this.#accounts.delete(account);
            }
        }
    }

    /** Serves the requests that wait, as far as tokens are known, and asks for more if some are left. */
    #advance(account: string, state: AccountState, now: number): void {
        const { lease, waiting } = state;
        while (waiting.length > 0) {
            const token = lease.take(now);
            if (token) {
                this.#counts.granted++;
                waiting.shift()?.onToken({ kind: "token", token });
                continue;
            }
            const quota = this.#table.find(account);
            const shards = quota ? shardCount(quota) : 1;
            const findHolders = (shard: number) => this.#view.holders(account, shard);
            const exhausted = waiting.findIndex(it => state.shortAnswers < it.maxShortAnswers);
            if (exhausted !== 0) {
                const refusal = lease.refusal(shards, findHolders, now);
                this.#refuse(waiting.splice(0, exhausted === -1 ? waiting.length : exhausted), refusal);
                continue;
            }
            if (state.awaited >= waiting.length) {
                return;
            }
            const wanted = Math.min(lease.wanted(waiting.length, now) - state.awaited, maxTokensPerMessage);
            const step = lease.nextStep(shards, wanted, findHolders, now);
            if (step.kind === "ask") {
                this.#ask(account, state, step.shard, step, now);
            } else if (step.kind === "ask-reserve") {
                this.#ask(account, state, undefined, step, now);
            } else if (step.kind === "wait") {
                return;
            } else {
                this.#refuse(waiting.splice(0), step);
            }
        }
    }

    #refuse(requests: readonly WaitingRequest[], refusal: Refusal): void {
        this.#counts.refused += requests.length;
        requests.forEach(it => it.onToken(refusal));
    }

    #recordGrant(
        state: AccountState,
        { shard, wanted, askedAt }: Pick<Question, "shard" | "wanted" | "askedAt">,
        { tokens, nextMs }: QuotaReply,
        now: number,
    ): void {
        state.lease.recordGrant(shard, tokens, nextMs, askedAt, now);
        if (tokens < wanted) {
            this.#countShortAnswer(state, shard);
        }
    }

    #countShortAnswer(state: AccountState, shard: number | undefined): void {
        if (shard !== undefined) {
            state.shortAnswers++;
            state.lease.moveOn(shard);
        }
    }

    #ask(
        account: string,
        state: AccountState,
        shard: number | undefined,
        { holder, wanted }: { readonly holder: string; readonly wanted: number },
        now: number,
    ): void {
        const returned = shard === undefined ? noneReturned : state.lease.takeReturned(shard, now);
        const ask: QuotaAsk = {
            from: this.#options.run,
            n: ++this.#lastNumber,
            account,
            shard: shard ?? 0,
            wanted,
            ...returned,
            isFirstSilent: shard === undefined,
            ...this.#view.largest(now),
        };
        if (holder === this.#options.self) {
            const grant = this.#holder.answer(ask, now) ?? { n: ask.n, tokens: 0 };
            this.#recordGrant(state, { shard, wanted, askedAt: now }, grant, now);
            return;
        }
        state.awaited += wanted;
        this.#questions.set(ask.n, { account, shard, askedAt: now, wanted, isLate: false });
        this.#counts.asked++;
        this.#options.send(holder, ask);
    }

    #returnTokens(account: string, lease: QuotaLease, shard: number, now: number): void {
        const { first: holder } = this.#view.holders(account, shard);
        const ask: QuotaAsk = {
            from: this.#options.run,
            n: ++this.#lastNumber,
            account,
            shard,
            wanted: 0,
            ...lease.takeReturned(shard, now),
            isFirstSilent: false,
            ...this.#view.largest(now),
        };
        if (holder === this.#options.self) {
            this.#holder.answer(ask, now);
        } else if (holder !== undefined) {
            this.#options.send(holder, ask);
        }
    }
}

const noneReturned = { returned: 0, returnedAgeMs: 0 } as const;
/** Time after which a holder counts as silent; a round trip takes 1 to 3 ms. */
const answerMs = 40;
/** Time after which an answer is ignored; until then, tokens that come too late to be used are returned. */
const lateAnswerMs = 1_000;
/** Time without a request after which what is known of an account is forgotten. */
const idleMs = 30_000;
/** A multiple of any number of shards. */
const firstShards = 840;
