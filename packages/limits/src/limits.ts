/** The request limits of the backend servers of all services, named or as they are cold, and this entry VM's shares of them. */

import { incarnationKey, type ServerEntry } from "@bramleymoor/model/route";
import { hashRank } from "@bramleymoor/placement/placement";
import { maxColdServersPerMessage, maxLimitsPerMessage, type LimitMessage } from "./messages.js";
import { ServerLimit, type ColdLimit } from "./serverlimit.js";

/** What was sent to a limited server in a period. */
export interface ReportedUsage {
    /** Incarnation key of the server. */
    readonly key: string;
    readonly perSecond: number;
    /** Requests per second that this entry VM may send. */
    readonly share: number;
    readonly requests: number;
    readonly probes: number;
    readonly periodMs: number;
}

/** Divides the servers' request limits among the entry VMs that send to them. */
export class RequestLimits {
    readonly #self: string;
    readonly #limits = new Map<string, ServerLimit>();
    /** When this entry VM last changed a server's limit or its claim, for as long as that is repeated to peers. */
    readonly #changedAt = new Map<string, number>();
    readonly #startedAt: number;
    #reportedAt: number;
    #sentAt = -Infinity;
    #tickedAt: number;
    #released = false;

    /** @param self stable name of this entry VM */
    constructor(self: string, now: number) {
        this.#self = self;
        this.#startedAt = now;
        this.#reportedAt = now;
        this.#tickedAt = now;
    }

    /** Number of servers that name a limit. */
    get limitedServers(): number {
        return [...this.#limits.values()].filter(it => it.perSecond !== Infinity).length;
    }

    /**
     * Records the limit that a server named in a response.
     *
     * @param perSecond Infinity if it named none
     * @returns whether the limit has changed
     */
    record(server: ServerEntry, perSecond: number, now: number): boolean {
        const key = incarnationKey(server);
        if (perSecond === Infinity && !this.#hasNamedLimit(key)) {
            return false;
        }
        const changed = this.#limitOf(key).recordLimit(perSecond, now, now);
        if (changed) {
            this.#changedAt.set(key, now);
        }
        return changed;
    }

    /**
     * Applies a peer's message.
     *
     * @param unreadMs how long it may have waited unread, in milliseconds
     * @returns the incarnation keys of the servers whose limit has changed
     */
    receive({ from, limits, cold = [] }: LimitMessage, unreadMs: number, now: number): readonly string[] {
        const changed: string[] = [];
        for (const { key, perSecond = Infinity, ageMs, claimed } of limits) {
            if (perSecond === Infinity && !this.#hasNamedLimit(key)) {
                continue;
            }
            const limit = this.#limitOf(key);
            limit.recordClaim({ vm: from, rank: hashRank(key, from) }, claimed, now);
            if (limit.recordLimit(perSecond, now - ageMs - unreadMs, now)) {
                changed.push(key);
            }
        }
        for (const { key, claimed } of cold) {
            const limit = this.#limits.get(key);
            const claim = { vm: from, rank: hashRank(key, from) };
            if (claimed !== undefined && limit?.recordClaim(claim, claimed, now) && limit.claimed) {
                // A claimant that settles sooner than claims are repeated has to hear of this one.
                this.#changedAt.set(key, now);
            }
        }
        return changed;
    }

    /** Limits the requests to a cold server; undefined if it isn't cold. */
    setCold(key: string, cold: ColdLimit | undefined): void {
        if (cold || this.#limits.has(key)) {
            this.#limitOf(key).setCold(cold);
        }
    }

    /**
     * Updates the claims and returns the messages to send to all peers, if any are due. To be called often.
     *
     * @param hasPeers whether this entry VM knows whom to ask for their claims
     * @param fleetShare part of all entry VMs that this one knows to be running, above 0 and at most 1; it divides the same part
     *     of cold servers' limits
     */
    tick(hasPeers: boolean, now: number, fleetShare = 1): readonly LimitMessage[] {
        const paused = now - this.#tickedAt > maxTickGapMs;
        this.#tickedAt = now;
        for (const [key, limit] of this.#limits) {
            const dropped = paused && limit.dropClaim();
            const settlesSoon = limit.perSecond === Infinity && now - this.#startedAt >= startupMs;
            const settlingMs = settlesSoon ? coldSettleMs : settleMs;
            const updated =
                !this.#released &&
                limit.updateClaim(hasPeers ? settlingMs : isolatedSettleMs, now, fleetShare);
            if (dropped || updated) {
                this.#changedAt.set(key, now);
            }
            this.#forgetIfOver(key, limit, now);
        }
        return this.#messagesIfDue(now);
    }

    /** Gives up all shares, before this entry VM stops; returns the messages to send to all peers. */
    release(now: number): readonly LimitMessage[] {
        this.#released = true;
        for (const [key, limit] of this.#limits) {
            if (limit.dropClaim()) {
                this.#changedAt.set(key, now);
            }
        }
        return this.#messagesIfDue(now);
    }

    /** Returns the limit that a server names; Infinity if it names none. */
    limitOf(key: string): number {
        return this.#limits.get(key)?.perSecond ?? Infinity;
    }

    /** Requests per second that may be sent to a server from here; Infinity if it has no limit. */
    shareOf(key: string, now: number): number {
        return this.#limits.get(key)?.shareOf(now) ?? Infinity;
    }

    /** Earliest time at which a request may be sent to a server; Infinity if that isn't known. */
    nextSendAt(key: string, now: number): number {
        const limit = this.#limits.get(key);
        if (!limit) {
            return -Infinity;
        }
        return limit.limitAt(now) !== Infinity && now - this.#tickedAt > maxTickGapMs
            ? Infinity
            : limit.nextSendAt(now);
    }

    /** Whether the server hasn't named its limit for a while, and this entry VM may ask it with a request. */
    isDue(key: string, now: number): boolean {
        return this.#limits.get(key)?.isDue(now) ?? false;
    }

    /** Records that there are requests that a server could serve. */
    recordDemand(key: string, now: number): void {
        this.#limits.get(key)?.recordDemand(now);
    }

    /** Records that a request is sent to a server. */
    recordSend(key: string, now: number): void {
        this.#limits.get(key)?.recordSend(now);
    }

    /** Records that a probe is sent to a server. */
    recordProbe(key: string): void {
        this.#limits.get(key)?.recordProbe();
    }

    /** Returns what was sent to each limited server if a reporting period has ended; otherwise nothing. */
    takeUsage(now: number): readonly ReportedUsage[] {
        const periodMs = now - this.#reportedAt;
        if (periodMs < usagePeriodMs) {
            return [];
        }
        this.#reportedAt = now;
        return [...this.#limits]
            .map(([key, limit]) => ({
                key,
                perSecond: limit.perSecond,
                share: limit.shareOf(now),
                ...limit.takeUsage(),
                periodMs,
            }))
            .filter(it => it.perSecond !== Infinity && it.requests + it.probes > 0);
    }

    /** Whether a server has named a limit, or has ended one lately. */
    #hasNamedLimit(key: string): boolean {
        return (this.#limits.get(key)?.namedAt ?? -Infinity) !== -Infinity;
    }

    #limitOf(key: string): ServerLimit {
        const known = this.#limits.get(key);
        if (known) {
            return known;
        }
        const limit = new ServerLimit({ vm: this.#self, rank: hashRank(key, this.#self) });
        this.#limits.set(key, limit);
        return limit;
    }

    #forgetIfOver(key: string, limit: ServerLimit, now: number): void {
        const changedAt = this.#changedAt.get(key) ?? -Infinity;
        if (now - changedAt >= repeatMs) {
            this.#changedAt.delete(key);
        }
        const ended = limit.limitAt(now) === Infinity && !this.#changedAt.has(key);
        if (limit.isOutdated(now) || ended) {
            this.#limits.delete(key);
            this.#changedAt.delete(key);
        }
    }

    #messagesIfDue(now: number): readonly LimitMessage[] {
        const hasNews = [...this.#changedAt.values()].some(it => it > this.#sentAt);
        const settles = [...this.#limits.values()].some(it => it.isCold(now) && it.isSettling(now));
        const intervalMs = settles ? coldMessageIntervalMs : messageIntervalMs;
        if (now - this.#sentAt < (hasNews ? minMessageIntervalMs : intervalMs)) {
            return [];
        }
        const known = [...this.#limits].filter(([key, it]) => it.claimed || this.#changedAt.has(key));
        const limits = known
            .filter(([key]) => this.#hasNamedLimit(key))
            .map(([key, { perSecond, namedAt, claimed }]) => ({
                key,
                ...(perSecond === Infinity ? {} : { perSecond }),
                ageMs: Math.round(now - namedAt),
                claimed,
            }));
        const cold = known.filter(([, it]) => it.isCold(now)).map(([key, { claimed }]) => ({ key, claimed }));
        if (limits.length + cold.length > 0) {
            this.#sentAt = now;
        }
        return [
            ...chunksOf(limits, maxLimitsPerMessage).map(it => ({ from: this.#self, limits: it })),
            ...chunksOf(cold, maxColdServersPerMessage).map(it => ({
                from: this.#self,
                limits: [],
                cold: it,
            })),
        ];
    }
}

const chunksOf = <T>(items: readonly T[], size: number): readonly (readonly T[])[] =>
    Array.from({ length: Math.ceil(items.length / size) }, (_, i) => items.slice(i * size, (i + 1) * size));

/** Bounds the log volume to one line per limited server in this time. */
const usagePeriodMs = 2_000;
/** Interval at which claims are repeated; peers keep a claim for several of them. */
const messageIntervalMs = 1_000;
/** Bounds the messages of an entry VM whose servers change their limits all the time. */
const minMessageIntervalMs = 100;
/** Changes are repeated for this time, as messages may be lost. */
const repeatMs = 3_000;
/** Two intervals between messages, in which a claimant hears of all others unless both messages of one are lost. */
const settleMs = 2_200;
/**
 * Three messages of each claimant at their shorter interval. A cold period is too short to settle longer, and its margin bears a
 * holder that has missed all three.
 */
const coldSettleMs = 400;
/** Time from the start in which an entry VM may not have met all others, so that it settles as long as for any limit. */
const startupMs = 5_000;
/** Interval at which claims on cold servers are repeated while they settle. */
const coldMessageIntervalMs = 150;
/** An entry VM that has met no other one is probably cut off from them. */
const isolatedSettleMs = 15_000;
/** A longer gap between two ticks is a pause of the process, in which peers may have taken over its shares. */
const maxTickGapMs = 1_000;
