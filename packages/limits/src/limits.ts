/** The request limits that the backend servers of all services name, and this entry VM's shares of them. */

import { incarnationKey, type ServerEntry } from "@bramleymoor/model/route";
import { hashRank } from "@bramleymoor/placement/placement";
import { maxLimitsPerMessage, type LimitMessage } from "./messages.js";
import { ServerLimit } from "./serverlimit.js";

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
    #reportedAt: number;
    #sentAt = -Infinity;
    #tickedAt: number;
    #released = false;

    /** @param self stable name of this entry VM */
    constructor(self: string, now: number) {
        this.#self = self;
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
        if (perSecond === Infinity && !this.#limits.has(key)) {
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
    receive({ from, limits }: LimitMessage, unreadMs: number, now: number): readonly string[] {
        const changed: string[] = [];
        for (const { key, perSecond = Infinity, ageMs, claimed } of limits) {
            if (perSecond === Infinity && !this.#limits.has(key)) {
                continue;
            }
            const limit = this.#limitOf(key);
            limit.recordClaim({ vm: from, rank: hashRank(key, from) }, claimed, now);
            if (limit.recordLimit(perSecond, now - ageMs - unreadMs, now)) {
                changed.push(key);
            }
        }
        return changed;
    }

    /**
     * Updates the claims and returns the messages to send to all peers, if any are due. To be called often.
     *
     * @param hasPeers whether this entry VM knows whom to ask for their claims
     */
    tick(hasPeers: boolean, now: number): readonly LimitMessage[] {
        const paused = now - this.#tickedAt > maxTickGapMs;
        this.#tickedAt = now;
        for (const [key, limit] of this.#limits) {
            const dropped = paused && limit.dropClaim();
            const updated = !this.#released && limit.updateClaim(hasPeers ? settleMs : isolatedSettleMs, now);
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

    /** Requests per second that may be sent to a server from here; Infinity if it names no limit. */
    shareOf(key: string, now: number): number {
        return this.#limits.get(key)?.shareOf(now) ?? Infinity;
    }

    /** Earliest time at which a request may be sent to a server; Infinity if that isn't known. */
    nextSendAt(key: string, now: number): number {
        const limit = this.#limits.get(key);
        if (!limit) {
            return -Infinity;
        }
        return limit.perSecond !== Infinity && now - this.#tickedAt > maxTickGapMs
            ? Infinity
            : limit.nextSendAt();
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
        const ended = limit.perSecond === Infinity && !this.#changedAt.has(key);
        if (limit.isOutdated(now) || ended) {
            this.#limits.delete(key);
            this.#changedAt.delete(key);
        }
    }

    #messagesIfDue(now: number): readonly LimitMessage[] {
        const hasNews = [...this.#changedAt.values()].some(it => it > this.#sentAt);
        if (now - this.#sentAt < (hasNews ? minMessageIntervalMs : messageIntervalMs)) {
            return [];
        }
        const limits = [...this.#limits]
            .filter(([key, limit]) => limit.claimed || this.#changedAt.has(key))
            .map(([key, { perSecond, namedAt, claimed }]) => ({
                key,
                ...(perSecond === Infinity ? {} : { perSecond }),
                ageMs: Math.round(now - namedAt),
                claimed,
            }));
        if (limits.length > 0) {
            this.#sentAt = now;
        }
        return Array.from({ length: Math.ceil(limits.length / maxLimitsPerMessage) }, (_, i) => ({
            from: this.#self,
            limits: limits.slice(i * maxLimitsPerMessage, (i + 1) * maxLimitsPerMessage),
        }));
    }
}

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
/** An entry VM that has met no other one is probably cut off from them. */
const isolatedSettleMs = 15_000;
/** A longer gap between two ticks is a pause of the process, in which peers may have taken over its shares. */
const maxTickGapMs = 1_000;
