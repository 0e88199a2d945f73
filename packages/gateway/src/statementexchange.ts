/** Connects what servers say of themselves with the balancers, the other entry VMs and the log. */

import type { ServerStatement, StatementSource } from "@bramleymoor/balance/statement";
import type { KnownServer } from "@bramleymoor/discovery/servers";
import { ServerAvailability, type AvailabilityChange } from "@bramleymoor/limits/availability";
import { RequestLimits } from "@bramleymoor/limits/limits";
import type { LimitMessage } from "@bramleymoor/limits/messages";
import { SendRules } from "@bramleymoor/limits/sendrules";
import { incarnationKey, type ServerEntry } from "@bramleymoor/model/route";
import type { EventLog } from "@bramleymoor/observe/event-log";

/** Dependencies of a `StatementExchange`. */
export interface StatementExchangeOptions {
    /** Stable name of this entry VM. */
    readonly self: string;
    readonly events: Pick<EventLog, "emit">;
    /** Returns whether this entry VM has met the others, or has none to meet. */
    readonly hasMetPeers: () => boolean;
    /** Sends a message to all other entry VMs. */
    readonly send: (message: LimitMessage) => void;
    /** Called when a server has become known to be leaving. */
    readonly onLeaving: () => void;
    /** Current monotonic milliseconds. */
    readonly now: number;
}

/** What one entry VM knows from servers' statements, its own and its peers', kept up to date and logged. */
export class StatementExchange {
    readonly limits: RequestLimits;
    /** When requests may be sent. */
    readonly rules: SendRules;
    readonly #options: StatementExchangeOptions;
    readonly #availability: ServerAvailability;
    /** When an unreadable statement of a server was last logged. */
    readonly #unreadableAt = new Map<string, number>();

    constructor(options: StatementExchangeOptions) {
        this.#options = options;
        this.limits = new RequestLimits(options.self, options.now);
        this.#availability = new ServerAvailability(options.self);
        this.rules = new SendRules(this.limits, this.#availability);
    }

    /** Records a server's statement; one of another incarnation says nothing of this server. */
    record(server: ServerEntry, statement: ServerStatement, source: StatementSource, now: number): void {
        if (statement.serverId !== undefined && statement.serverId !== server.id) {
            return;
        }
        this.#recordLimit(server, statement.requestLimit, source, now);
        this.#logUnreadable(server, statement, now);
        this.#applied(this.#availability.record(server, statement, now), "own response");
    }

    /** Returns servers as registered, with those marked as leaving that have said so themselves. */
    markLeaving(servers: readonly KnownServer[]): readonly KnownServer[] {
        return servers.map(it =>
            !it.entry.leaving && this.#availability.isLeaving(incarnationKey(it.entry))
                ? { ...it, entry: { ...it.entry, leaving: true } }
                : it,
        );
    }

    /**
     * Processes a peer's message.
     *
     * @param unreadMs how long the message may have waited unread, in milliseconds
     */
    receive(message: LimitMessage, unreadMs: number, now: number): void {
        for (const key of this.limits.receive(message, unreadMs, now)) {
            this.#logLimit(key, message.from);
        }
        this.#applied(this.#availability.receive(message, unreadMs, now), message.from);
    }

    /** Updates the shares, sends what is due and logs the use of limited servers. To be called often. */
    tick(now: number): void {
        this.#send(this.limits.tick(this.#options.hasMetPeers(), now));
        this.#send(this.#availability.tick(now));
        for (const { key, perSecond, share, requests, probes, periodMs } of this.limits.takeUsage(now)) {
            this.#options.events.emit("request-limit-usage", {
                server: key,
                limit: formatLimit(perSecond),
                share,
                requests,
                probes,
                periodMs: Math.round(periodMs),
            });
        }
    }

    /** Gives up all shares, before this entry VM stops. */
    release(now: number): void {
        this.#send(this.limits.release(now));
        this.#send(this.#availability.tick(now));
    }

    /** Records a limit; that a server names none says something only in a response to a request that it served. */
    #recordLimit(
        server: ServerEntry,
        perSecond: number | undefined,
        source: StatementSource,
        now: number,
    ): void {
        const { id, service } = server;
        if (perSecond === undefined) {
            this.#options.events.emit("request-limit-unreadable", { server: id, service });
        } else if (
            (perSecond !== Infinity || source === "response") &&
            this.limits.record(server, perSecond, now)
        ) {
            this.#logLimit(incarnationKey(server), "own response");
        }
    }

    #logUnreadable(server: ServerEntry, { leaving, notNowMs }: ServerStatement, now: number): void {
        const unreadable = [
            ...(leaving === undefined ? ["leaving"] : []),
            ...(notNowMs === undefined ? ["not now"] : []),
        ];
        for (const statement of unreadable) {
            const { id, service } = server;
            const key = `${statement} ${incarnationKey(server)}`;
            if (now - (this.#unreadableAt.get(key) ?? -Infinity) >= unreadableLogIntervalMs) {
                this.#unreadableAt.delete(key);
                this.#unreadableAt.set(key, now);
                this.#options.events.emit("backend-statement-unreadable", { server: id, service, statement });
            }
        }
        const [oldest] = this.#unreadableAt.keys();
        if (this.#unreadableAt.size > maxUnreadableServers && oldest !== undefined) {
            this.#unreadableAt.delete(oldest);
        }
    }

    #applied(changes: readonly AvailabilityChange[], origin: string): void {
        for (const change of changes) {
            if (change.kind === "leaving") {
                this.#options.events.emit("backend-leaving", { server: change.key, origin });
            } else {
                this.#options.events.emit("backend-not-now", {
                    server: change.key,
                    ms: Math.round(change.durationMs),
                });
            }
        }
        if (changes.some(it => it.kind === "leaving")) {
            this.#options.onLeaving();
        }
    }

    #send(messages: readonly LimitMessage[]): void {
        messages.forEach(it => this.#options.send(it));
    }

    #logLimit(server: string, origin: string): void {
        const limit = formatLimit(this.limits.limitOf(server));
        this.#options.events.emit("request-limit-changed", { server, limit, origin });
    }
}

const formatLimit = (perSecond: number): string => (perSecond === Infinity ? "none" : String(perSecond));

/** Bounds the log volume to a line per server and kind of statement in this time. */
const unreadableLogIntervalMs = 10_000;
/** Bounds the memory. */
const maxUnreadableServers = 1_000;
