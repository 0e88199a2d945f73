/** Which backend servers are cold, and which have to answer a probe before they are sent a request. */

import {
    incarnationKey,
    type ServerEntry,
    type ServiceSettings,
    type SlowStart,
} from "@bramleymoor/model/route";
import { maxColdServersPerMessage, type LimitMessage } from "./messages.js";

/** The servers and services that an entry VM knows. */
export interface KnownServers {
    /** Each entry is the same object until it is written anew. */
    readonly entries: readonly ServerEntry[];
    readonly services: ReadonlyMap<string, Pick<ServiceSettings, "slowStart">>;
    /** Whether all registered servers are known. */
    readonly isComplete: boolean;
}

/** Limit of a cold server. */
export interface ColdPeriod {
    /** Requests per second that the server bears while it is cold. */
    readonly perSecond: number;
    /** End of the cold period, in monotonic milliseconds. */
    readonly until: number;
}

/** What is known of one incarnation of a service with a slow start. Times are monotonic milliseconds. */
interface ColdState {
    entry: ServerEntry;
    slowStart: SlowStart;
    /** End of the cold period by the server's entry; only a newer entry shortens it. */
    entryUntil: number;
    /** End of the cold period by a statement in a response to a probe, of this entry VM or a peer. */
    statedUntil: number;
    /** When that statement was recorded. */
    statedAt: number;
    /** When the server was marked as cold, and the end of that mark; a probe sent later decides instead. */
    markedAt: number;
    markedUntil: number;
    /** When the last probe that was answered was sent. */
    probedAt: number;
    /** End of the time in which the state is known by that probe. */
    knownUntil: number;
    /** When the last response to a request or probe arrived. */
    answeredAt: number;
    /** Requests sent since the last answer to a probe. */
    sends: number;
    /** When something last made the state uncertain: a failure, or a peer that takes the server for cold. */
    doubtedAt: number;
    /** Probes without an answer since the last one with an answer. */
    unanswered: number;
    /** Time before which a server that hasn't answered a probe isn't probed again for a request. */
    retryAt: number;
    /** Time until which this entry VM repeats its own probe's statement to peers, and when it last did. */
    announceUntil: number;
    announcedAt: number;
    /** Whether the server was cold when changes were last taken. */
    wasCold: boolean;
}

/**
 * What one entry VM knows of the cold periods of servers, by incarnation. Servers of services without a slow start aren't
 * recorded, and never cold.
 */
export class ColdServers {
    readonly #self: string;
    readonly #states = new Map<string, ColdState>();
    /** Servers that are or were cold, or that peers are told of; all others are warm, and not looked through. */
    readonly #watched = new Map<string, ColdState>();
    #wasComplete = false;

    /** @param self stable name of this entry VM */
    constructor(self: string) {
        this.#self = self;
    }

    /** Returns the number of cold servers. */
    count(now: number): number {
        return [...this.#watched.values()].filter(it => isCold(it, now)).length;
    }

    /** Whether a server is cold or counts as cold; not if its service has no slow start. */
    isCold(key: string, now: number): boolean {
        const state = this.#states.get(key);
        return state !== undefined && isCold(state, now);
    }

    /** Requests per second that a server bears while it is cold; undefined if its service has no slow start. */
    coldRateOf(key: string): number | undefined {
        return this.#states.get(key)?.slowStart.requestsPerSecond;
    }

    /**
     * Returns the period in which a server's requests are limited; undefined if it isn't cold. One that is only marked as cold
     * isn't limited, as it gets no request before it has answered a probe.
     */
    periodOf(key: string, now: number): ColdPeriod | undefined {
        const state = this.#states.get(key);
        if (!state || limitedUntil(state) <= now) {
            return undefined;
        }
        return { perSecond: state.slowStart.requestsPerSecond, until: limitedUntil(state) };
    }

    /**
     * Whether a server must answer a probe before it is sent a request, as its state isn't known.
     *
     * @param acceptsAnyAnswer whether a response to a request shows the state well enough, as a limit that the server names
     *     bounds the requests between two probes
     */
    mustProbe(key: string, acceptsAnyAnswer: boolean, now: number): boolean {
        const state = this.#states.get(key);
        if (!state) {
            return false;
        }
        const answeredAt = acceptsAnyAnswer ? state.answeredAt : -Infinity;
        return (
            now >= Math.max(state.knownUntil, answeredAt + knownForMs) ||
            state.doubtedAt > Math.max(state.probedAt, answeredAt) ||
            state.markedAt > state.probedAt ||
            (!acceptsAnyAnswer && state.sends >= maxSendsPerProbe)
        );
    }

    /** Whether a server that gets requests should be probed, so that it isn't noticed late that it has become cold. */
    isProbeDue(key: string, now: number): boolean {
        const state = this.#states.get(key);
        return (
            state !== undefined &&
            state.sends > 0 &&
            now >= state.retryAt &&
            now - state.probedAt >= probeIntervalMs
        );
    }

    /** Earliest time at which a server that hasn't answered its last probe may be probed for a request. */
    nextProbeAt(key: string): number {
        return this.#states.get(key)?.retryAt ?? -Infinity;
    }

    /**
     * Applies the current servers and services.
     *
     * @param wallClockMs milliseconds since 1970
     * @returns the keys of the servers whose cold period may have changed
     */
    update(
        { entries, services, isComplete }: KnownServers,
        wallClockMs: number,
        now: number,
    ): readonly string[] {
        const changed: string[] = [];
        const gone = new Set(this.#states.keys());
        for (const entry of entries) {
            const slowStart = services.get(entry.service)?.slowStart;
            if (slowStart) {
                const key = incarnationKey(entry);
                gone.delete(key);
                if (this.#updateOne(key, entry, slowStart, wallClockMs, now)) {
                    changed.push(key);
                }
            }
        }
        for (const key of gone) {
            this.#states.delete(key);
            this.#watched.delete(key);
        }
        this.#wasComplete ||= isComplete;
        return [...changed, ...gone];
    }

    /**
     * Records a server's response to a probe.
     *
     * @param remainingColdMs how long the server stays cold, in milliseconds; undefined if that can't be parsed
     * @param sentAt when the probe was sent
     * @returns whether the cold period may have changed
     */
    recordProbe(key: string, remainingColdMs: number | undefined, sentAt: number, now: number): boolean {
        const state = this.#states.get(key);
        if (!state) {
            return false;
        }
        state.answeredAt = now;
        state.unanswered = 0;
        state.retryAt = -Infinity;
        if (remainingColdMs === undefined && state.markedAt > state.probedAt) {
            // Without a readable statement the mark stands.
            this.#watched.set(key, state);
            state.statedUntil = Math.max(state.statedUntil, state.markedUntil);
        }
        if (sentAt >= state.probedAt) {
            state.probedAt = sentAt;
            state.knownUntil = Math.max(sentAt + knownForMs, now + minKnownMs);
            state.sends = 0;
        }
        if (remainingColdMs === 0) {
            this.#recordWarm(state, sentAt, now);
        } else if (remainingColdMs !== undefined) {
            this.#watched.set(key, state);
            this.#recordCold(state, remainingColdMs, sentAt, now);
        }
        return true;
    }

    /** Records that a response to a request has arrived. */
    recordAnswer(key: string, now: number): void {
        const state = this.#states.get(key);
        if (state) {
            state.answeredAt = now;
        }
    }

    /** Records that a request is sent to a server. */
    recordSend(key: string): void {
        const state = this.#states.get(key);
        if (state) {
            state.sends++;
        }
    }

    /** Records that a request got no response, or no connection. */
    recordFailure(key: string, now: number): void {
        const state = this.#states.get(key);
        if (state) {
            state.doubtedAt = now;
        }
    }

    /** Records that a probe got no response. */
    recordUnansweredProbe(key: string, now: number): void {
        const state = this.#states.get(key);
        if (state) {
            state.doubtedAt = now;
            state.retryAt = now + Math.min(maxRetryMs, firstRetryMs * 2 ** state.unanswered);
            state.unanswered = Math.min(state.unanswered + 1, maxDoublings);
        }
    }

    /**
     * Marks the servers of a failure domain as cold from a time on, as requests return to them. Each is cold for its service's
     * slow start, unless a probe that is sent at `from` or later is answered otherwise.
     *
     * @returns the keys of the marked servers
     */
    markDomain(domain: string, from: number): readonly string[] {
        const marked = [...this.#states].filter(([, it]) => it.entry.domain === domain);
        for (const [key, state] of marked) {
            this.#watched.set(key, state);
            state.markedAt = from;
            state.markedUntil = from + state.slowStart.durationMs;
        }
        return marked.map(([key]) => key);
    }

    /**
     * Applies a peer's message.
     *
     * @returns the keys of the servers whose cold period may have changed
     */
    receive({ cold = [] }: LimitMessage, now: number): readonly string[] {
        const changed: string[] = [];
        for (const { key, remainingMs, claimed } of cold) {
            const state = this.#states.get(key);
            if (!state) {
                continue;
            }
            if (remainingMs !== undefined && remainingMs > 0) {
                this.#watched.set(key, state);
                state.statedUntil = Math.max(state.statedUntil, endOf(remainingMs, now));
                state.statedAt = now;
                changed.push(key);
            } else if (claimed && limitedUntil(state) <= now) {
                // The message that told of the cold period was lost, or this entry VM has seen its end.
                state.doubtedAt = now;
            }
        }
        return changed;
    }

    /**
     * Returns the keys of the servers that have become cold or warm since the last call, and marks them as taken. To be called
     * often, as cold periods end by themselves.
     */
    takeChanges(now: number): readonly { readonly key: string; readonly remainingMs: number }[] {
        const changes: { readonly key: string; readonly remainingMs: number }[] = [];
        for (const [key, state] of this.#watched) {
            const cold = isCold(state, now);
            if (cold !== state.wasCold) {
                state.wasCold = cold;
                const until = Math.max(limitedUntil(state), state.markedUntil);
                changes.push({ key, remainingMs: cold ? until - now : 0 });
            }
            if (!cold && now > state.announceUntil) {
                this.#watched.delete(key);
            }
        }
        return changes;
    }

    /** Returns the messages to send to all peers, if any are due: immediately after a probe's statement, then repeatedly. */
    takeMessages(now: number): readonly LimitMessage[] {
        const due = [...this.#watched].filter(
            ([, it]) =>
                now <= it.announceUntil && now - it.announcedAt >= announceIntervalMs && it.statedUntil > now,
        );
        const cold = due.map(([key, state]) => {
            state.announcedAt = now;
            return { key, remainingMs: Math.ceil(state.statedUntil - now) };
        });
        return Array.from({ length: Math.ceil(cold.length / maxColdServersPerMessage) }, (_, i) => ({
            from: this.#self,
            limits: [],
            cold: cold.slice(i * maxColdServersPerMessage, (i + 1) * maxColdServersPerMessage),
        }));
    }

    #updateOne(
        key: string,
        entry: ServerEntry,
        slowStart: SlowStart,
        wallClockMs: number,
        now: number,
    ): boolean {
        const state = this.#states.get(key);
        if (!state) {
            const ageMs = Math.max(0, wallClockMs - entry.bornAt);
            const bornUntil = this.#wasComplete ? now + slowStart.durationMs - ageMs : -Infinity;
            const entryUntil = Math.max(endOf(entry.warmUpMs, now), bornUntil);
            const added = { ...unknownState, entry, slowStart, entryUntil };
            this.#states.set(key, added);
            if (entryUntil > now) {
                this.#watched.set(key, added);
            }
            return entryUntil > now;
        }
        const isRewritten = state.entry !== entry && state.entry.warmUpMs + entry.warmUpMs > 0;
        const isReconfigured = state.slowStart.requestsPerSecond !== slowStart.requestsPerSecond;
        if (isRewritten) {
            state.entryUntil = endOf(entry.warmUpMs, now);
            this.#watched.set(key, state);
        }
        state.entry = entry;
        state.slowStart = slowStart;
        return isRewritten || isReconfigured;
    }

    #recordWarm(state: ColdState, sentAt: number, now: number): void {
        // A probe that was sent before the server became known as cold says nothing of it.
        if (sentAt >= state.statedAt) {
            state.statedUntil = -Infinity;
            state.statedAt = now;
        }
    }

    #recordCold(state: ColdState, remainingMs: number, sentAt: number, now: number): void {
        const known = limitedUntil(state);
        const until = endOf(remainingMs, now);
        state.statedUntil = sentAt >= state.statedAt ? until : Math.max(state.statedUntil, until);
        state.statedAt = now;
        if (until > Math.max(known, now) + toleranceMs || known <= now) {
            state.announceUntil = now + announceMs;
            state.announcedAt = -Infinity;
        }
    }
}

/** Time until which the requests to a server are limited. */
const limitedUntil = ({ entryUntil, statedUntil }: ColdState): number => Math.max(entryUntil, statedUntil);

const isCold = (state: ColdState, now: number): boolean =>
    now < limitedUntil(state) || (now < state.markedUntil && state.markedAt > state.probedAt);

/** Returns the end of a cold period that a server or peer states. */
const endOf = (remainingMs: number, now: number): number =>
    remainingMs > 0 ? now + Math.min(remainingMs, maxColdMs) : -Infinity;

const unknownState = {
    entryUntil: -Infinity,
    statedUntil: -Infinity,
    statedAt: -Infinity,
    markedAt: -Infinity,
    markedUntil: -Infinity,
    probedAt: -Infinity,
    knownUntil: -Infinity,
    answeredAt: -Infinity,
    sends: 0,
    doubtedAt: -Infinity,
    unanswered: 0,
    retryAt: -Infinity,
    announceUntil: -Infinity,
    announcedAt: -Infinity,
    wasCold: false,
} as const;

/** Time after a probe that was answered, or after a response, in which a server's state counts as known. */
const knownForMs = 500;
/** The same from when the answer is read: with a late event loop, no request would be sent otherwise. */
const minKnownMs = 100;
/**
 * Requests that may follow an answer to a probe. Bounds what a server that has just become cold gets from one entry VM at any
 * rate, for at most one probe per two requests.
 */
const maxSendsPerProbe = 2;
/** Below `knownForMs`, so that requests needn't wait for a probe while probes are sent at this interval. */
const probeIntervalMs = 400;
/** Longest cold period that is taken at a server's word, so that a wrong statement doesn't limit it for long. */
const maxColdMs = 60_000;
/** A later end than the known one is news only beyond this time, as statements take some time to arrive. */
const toleranceMs = 250;
/** Statements of own probes are repeated for this time, as messages may be lost. */
const announceMs = 3_000;
const announceIntervalMs = 500;
/** A server that refuses connections answers a probe at once; the interval doubles up to the maximum. */
const firstRetryMs = 100;
const maxRetryMs = 2_000;
/** Bounds the exponent; `maxRetryMs` is reached earlier. */
const maxDoublings = 6;
