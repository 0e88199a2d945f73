/** Which server incarnations are leaving. */

import { incarnationKey, type ServerEntry } from "@bramleymoor/model/route";
import type { ServerStatement } from "@bramleymoor/balance/statement";
import { maxServersPerMessage, type AvailabilityReport, type LimitMessage } from "./messages.js";

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
    /** Leaving servers that this entry VM was the first to hear of, as far as it knows. */
    readonly #announcements = new Map<string, Announcement>();
    #sentAt = -Infinity;

    /** @param self stable name of this entry VM */
    constructor(self: string) {
        this.#self = self;
    }

    /** Whether the server has said that it is leaving. */
    isLeaving(key: string): boolean {
        return this.#leaving.has(key);
    }

    /** Records what a server said in a response; returns its incarnation key if it has become known to be leaving. */
    record(
        server: ServerEntry,
        { leaving }: Pick<ServerStatement, "leaving">,
        now: number,
    ): readonly string[] {
        const key = incarnationKey(server);
        if (!leaving || this.#leaving.has(key)) {
            return [];
        }
        this.#addLeaving(key);
        this.#announcements.set(key, { since: now, sentAt: -Infinity });
        return [key];
    }

    /** Applies a peer's message; returns the incarnation keys of the servers that have become known to be leaving. */
    receive({ servers = [] }: LimitMessage): readonly string[] {
        const changed = servers.filter(it => it.leaving && !this.#leaving.has(it.key)).map(it => it.key);
        changed.forEach(it => this.#addLeaving(it));
        return changed;
    }

    /** Forgets what is over, and returns the messages to send to all peers, if any are due. To be called often. */
    tick(now: number): readonly LimitMessage[] {
        for (const [key, { since }] of this.#announcements) {
            if (now - since > announceMs) {
                this.#announcements.delete(key);
            }
        }
        if (now - this.#sentAt < minMessageIntervalMs) {
            return [];
        }
        const reports = this.#takeLeavingReports(now);
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

    #takeLeavingReports(now: number): readonly AvailabilityReport[] {
        const due = [...this.#announcements].filter(([, { sentAt }]) => now - sentAt >= repeatMs);
        due.forEach(([key, it]) => this.#announcements.set(key, { ...it, sentAt: now }));
        return due.map(([key]) => ({ key, leaving: true }));
    }
}

/** Bounds the memory; more than leave in a day. */
const maxLeavingServers = 10_000;
/** Leaving servers are announced again for this time, to entry VMs that missed a message or have just started. */
const announceMs = 60_000;
const repeatMs = 2_000;
/** Bounds the messages of an entry VM that hears of many servers. */
const minMessageIntervalMs = 100;
