/** Which server incarnations are leaving, and which want no requests for a time. */

import { incarnationKey, type ServerEntry } from "@bramleymoor/model/route";
import type { ServerStatement } from "@bramleymoor/balance/statement";
import { maxServersPerMessage, type AvailabilityReport, type LimitMessage } from "./messages.js";

/** A change of what is known of a server. */
export type AvailabilityChange =
    | { readonly key: string; readonly kind: "leaving" }
    | { readonly key: string; readonly kind: "not-now"; readonly durationMs: number };

interface Pause {
    /** Time before which the server gets no requests. */
    readonly until: number;
    /** Time after which the pause is forgotten, even if no request has been sent since. */
    readonly forgetAt: number;
    /** When the request that goes first was sent; undefined if none is in flight. */
    readonly trialSentAt: number | undefined;
}

/** A leaving server that peers are told of. */
interface Announcement {
    readonly since: number;
    readonly sentAt: number;
}

/**
 * What one entry VM knows of servers' availability, by incarnation. It doesn't depend on the store's records, and holds
 * for incarnations whose records disappear and return.
 */
export class ServerAvailability {
    readonly #self: string;
    /** Incarnations that are leaving, the oldest first. */
    readonly #leaving = new Set<string>();
    readonly #pauses = new Map<string, Pause>();
    /** Leaving servers that this entry VM was the first to hear of, as far as it knows. */
    readonly #announcements = new Map<string, Announcement>();
    /** Pauses that peers haven't been told of. */
    readonly #newPauses = new Set<string>();
    #sentAt = -Infinity;

    /** @param self stable name of this entry VM */
    constructor(self: string) {
        this.#self = self;
    }

    /** Whether the server has said that it is leaving. */
    isLeaving(key: string): boolean {
        return this.#leaving.has(key);
    }

    /** Earliest time at which a request may be sent to a server, if none that goes first is in flight until then. */
    nextSendAt(key: string, now: number): number {
        const pause = this.#pauses.get(key);
        if (!pause || pause.forgetAt <= now) {
            return -Infinity;
        }
        if (now < pause.until) {
            return pause.until;
        }
        const trialEndsAt = (pause.trialSentAt ?? -Infinity) + trialTimeoutMs;
        return trialEndsAt > now ? Math.min(trialEndsAt, now + trialResponseMs) : -Infinity;
    }

    /** Records what a server said in a response; returns what has changed. */
    record(
        server: ServerEntry,
        { leaving, notNowMs = 0 }: Pick<ServerStatement, "leaving" | "notNowMs">,
        now: number,
    ): readonly AvailabilityChange[] {
        const key = incarnationKey(server);
        const changes: AvailabilityChange[] = [];
        if (leaving && !this.#leaving.has(key)) {
            this.#addLeaving(key);
            this.#announcements.set(key, { since: now, sentAt: -Infinity });
            changes.push({ key, kind: "leaving" });
        }
        if (notNowMs > 0) {
            const durationMs = Math.min(notNowMs, maxPauseMs);
            if (this.#pause(key, durationMs, now)) {
                changes.push({ key, kind: "not-now", durationMs });
            }
        } else if (this.#pauses.get(key)?.trialSentAt !== undefined) {
            this.#pauses.delete(key);
        }
        return changes;
    }

    /** Records that a request is sent to a server. */
    recordSend(key: string, now: number): void {
        const pause = this.#pauses.get(key);
        if (pause && now >= pause.until) {
            this.#pauses.set(key, { ...pause, trialSentAt: now });
        }
    }

    /** Records that a request that was sent at `sentAt` has ended, with or without a response. */
    recordEnd(key: string, sentAt: number): void {
        const pause = this.#pauses.get(key);
        if (pause?.trialSentAt === sentAt) {
            this.#pauses.set(key, { ...pause, trialSentAt: undefined });
        }
    }

    /**
     * Applies a peer's message. A server that turned the peer's requests away gets this entry VM's next request alone.
     *
     * @param unreadMs how long the message may have waited unread, in milliseconds
     * @returns what has changed
     */
    receive({ servers = [] }: LimitMessage, unreadMs: number, now: number): readonly AvailabilityChange[] {
        const changes: AvailabilityChange[] = [];
        for (const { key, leaving, notNowMs = 0 } of servers) {
            if (leaving && !this.#leaving.has(key)) {
                this.#addLeaving(key);
                changes.push({ key, kind: "leaving" });
            }
            const forgetAt = now + Math.min(notNowMs, maxPauseMs) - unreadMs;
            if (forgetAt > now && !this.#pauses.has(key)) {
                this.#pauses.set(key, { until: now, forgetAt, trialSentAt: undefined });
            }
        }
        return changes;
    }

    /** Forgets what is over, and returns the messages to send to all peers, if any are due. To be called often. */
    tick(now: number): readonly LimitMessage[] {
        for (const [key, { forgetAt }] of this.#pauses) {
            if (forgetAt <= now) {
                this.#pauses.delete(key);
            }
        }
        for (const [key, { since }] of this.#announcements) {
            if (now - since > announceMs) {
                this.#announcements.delete(key);
            }
        }
        if (now - this.#sentAt < minMessageIntervalMs) {
            return [];
        }
        const reports = [...this.#takeLeavingReports(now), ...this.#takePauseReports(now)];
        if (reports.length > 0) {
            this.#sentAt = now;
        }
        return Array.from({ length: Math.ceil(reports.length / maxServersPerMessage) }, (_, i) => ({
            from: this.#self,
            limits: [],
            servers: reports.slice(i * maxServersPerMessage, (i + 1) * maxServersPerMessage),
        }));
    }

    #addLeaving(key: string): void {
        this.#leaving.add(key);
        const [oldest] = this.#leaving;
        if (this.#leaving.size > maxLeavingServers && oldest !== undefined) {
            this.#leaving.delete(oldest);
        }
    }

    /** Returns whether the server took requests until now. */
    #pause(key: string, durationMs: number, now: number): boolean {
        const known = this.#pauses.get(key);
        const until = Math.max(known?.until ?? -Infinity, now + durationMs);
        this.#pauses.set(key, { until, forgetAt: until + idlePauseMs, trialSentAt: undefined });
        const isNew = known === undefined || known.until <= now;
        if (isNew && durationMs >= minAnnouncedPauseMs) {
            this.#newPauses.add(key);
        }
        return isNew;
    }

    #takeLeavingReports(now: number): readonly AvailabilityReport[] {
        const due = [...this.#announcements].filter(([, { sentAt }]) => now - sentAt >= repeatMs);
        due.forEach(([key, it]) => this.#announcements.set(key, { ...it, sentAt: now }));
        return due.map(([key]) => ({ key, leaving: true }));
    }

    #takePauseReports(now: number): readonly AvailabilityReport[] {
        const reports = [...this.#newPauses].map(key => {
            const remainingMs = (this.#pauses.get(key)?.until ?? now) - now;
            return { key, notNowMs: Math.round(Math.max(0, remainingMs)) };
        });
        this.#newPauses.clear();
        return reports;
    }
}

/** Longest time for which a server is left alone at its word. */
const maxPauseMs = 300_000;
/** Time after the end of a pause in which requests that come together are preceded by one. */
const idlePauseMs = 60_000;
/** Time without a response after which another request goes alone. */
const trialTimeoutMs = 2_000;
/** Expected time until the response to the request that goes first, of a server that isn't slow. */
const trialResponseMs = 100;
/** Bounds the memory; more than leave in a day. */
const maxLeavingServers = 10_000;
/** Leaving servers are announced again for this time, to entry VMs that missed a message or have just started. */
const announceMs = 60_000;
const repeatMs = 2_000;
/** Peers aren't told of shorter pauses, which are nearly over when they hear of them. */
const minAnnouncedPauseMs = 1_000;
/** Bounds the messages of an entry VM that hears of many servers. */
const minMessageIntervalMs = 100;
