/** Connects what servers say of themselves with the balancers, the other entry VMs and the log. */

import type { ServerStatement, StatementSource } from "@bramleymoor/balance/statement";
import type { KnownServer } from "@bramleymoor/discovery/servers";
import { ServerAvailability, type AvailabilityChange } from "@bramleymoor/limits/availability";
import { ColdServers } from "@bramleymoor/limits/coldservers";
import { RequestLimits } from "@bramleymoor/limits/limits";
import type { LimitMessage } from "@bramleymoor/limits/messages";
import { SendRules } from "@bramleymoor/limits/sendrules";
import { incarnationKey, type RouteConfig, type ServerEntry } from "@bramleymoor/model/route";
import type { EventLog } from "@bramleymoor/observe/event-log";
import type { SlowStartMargin } from "./settings.js";

/** Dependencies of a `StatementExchange`. */
export interface StatementExchangeOptions {
    /** Stable name of this entry VM. */
    readonly self: string;
    readonly events: Pick<EventLog, "emit">;
    /** Returns whether this entry VM has met the others, or has none to meet. */
    readonly hasMetPeers: () => boolean;
    /** Returns the part of all entry VMs that is running as far as this one knows, above 0 and at most 1. */
    readonly runningShare: () => number;
    /** Returns the margin of the requests to cold servers. */
    readonly slowStartMargin: () => SlowStartMargin;
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
    readonly #cold: ColdServers;
    /** When an unreadable statement of a server was last logged. */
    readonly #unreadableAt = new Map<string, number>();

    constructor(options: StatementExchangeOptions) {
        this.#options = options;
        this.limits = new RequestLimits(options.self, options.now);
        this.#availability = new ServerAvailability(options.self);
        this.#cold = new ColdServers(options.self);
        this.rules = new SendRules(this.limits, this.#availability, this.#cold);
    }

    /** Returns the number of cold servers. */
    coldServers(now: number): number {
        return this.#cold.count(now);
    }

    /**
     * Records a server's statement; one of another incarnation says nothing of this server.
     *
     * @param sentAt when the probe was sent that the statement responds to; undefined if it doesn't respond to one
     */
    record(
        server: ServerEntry,
        statement: ServerStatement,
        source: StatementSource,
        now: number,
        sentAt?: number,
    ): void {
        if (statement.serverId !== undefined && statement.serverId !== server.id) {
            return;
        }
        this.#recordCold(incarnationKey(server), statement, sentAt, now);
        this.#recordLimit(server, statement.requestLimit, source, now);
        this.#logUnreadable(server, statement, now);
        this.#applied(this.#availability.record(server, statement, now), "own response");
    }

    /**
     * Applies the current servers, each entry the same object until it is written anew, and the services' settings.
     *
     * @param isComplete whether all registered servers are known
     * @param wallClockMs milliseconds since 1970
     */
    updateServers(
        servers: readonly KnownServer[],
        { services }: Pick<RouteConfig, "services">,
        isComplete: boolean,
        wallClockMs: number,
        now: number,
    ): void {
        const known = { entries: servers.map(it => it.entry), services, isComplete };
        this.#applyCold(this.#cold.update(known, wallClockMs, now), "store", now);
    }

    /**
     * Marks a failure domain's servers as cold from a time on, as its evacuation has ended. Each is cold for its service's slow
     * start, unless a probe that is sent at `from` or later is answered otherwise.
     */
    markDomainCold(domain: string, from: number, now: number): void {
        this.#applyCold(this.#cold.markDomain(domain, from), "evacuation", now);
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
        this.#applyCold(this.#cold.receive(message, now), message.from, now);
    }

    /** Updates the shares, sends what is due and logs the use of limited servers. To be called often. */
    tick(now: number): void {
        this.#logCold("expiry", now);
        this.#send(this.limits.tick(this.#options.hasMetPeers(), now, this.#options.runningShare()));
        this.#send(this.#cold.takeMessages(now));
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

    /** Records an answer and, from a response to a probe, whether the server is cold; peers are told immediately. */
    #recordCold(
        key: string,
        { remainingColdMs }: ServerStatement,
        sentAt: number | undefined,
        now: number,
    ): void {
        if (sentAt === undefined) {
            this.#cold.recordAnswer(key, now);
        } else if (this.#cold.recordProbe(key, remainingColdMs, sentAt, now)) {
            this.#applyCold([key], "own probe", now);
            this.#send(this.#cold.takeMessages(now));
        }
    }

    /** Limits the requests to the servers whose cold period may have changed. */
    #applyCold(keys: readonly string[], origin: string, now: number): void {
        const { slack } = this.#options.slowStartMargin();
        const maxHolders = Math.min(maxColdHolders, 1 + Math.floor(slack / 2));
        for (const key of keys) {
            const period = this.#cold.periodOf(key, now);
            this.limits.setCold(key, period && { ...period, maxHolders });
        }
        if (keys.length > 0) {
            this.#logCold(origin, now);
        }
    }

    #logCold(origin: string, now: number): void {
        for (const { key: server, remainingMs } of this.#cold.takeChanges(now)) {
            if (remainingMs > 0) {
                const fields = { server, remainingMs: Math.round(remainingMs), origin };
                this.#options.events.emit("backend-cold", fields);
            } else {
                this.#options.events.emit("backend-warm", { server, origin });
            }
        }
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

    #logUnreadable(
        server: ServerEntry,
        { leaving, notNowMs, remainingColdMs }: ServerStatement,
        now: number,
    ): void {
        const key = incarnationKey(server);
        const usesSlowStart = this.#cold.coldRateOf(key) !== undefined;
        const unreadable = [
            ...(leaving === undefined ? ["leaving"] : []),
            ...(notNowMs === undefined ? ["not now"] : []),
            ...(remainingColdMs === undefined && usesSlowStart ? ["slow start"] : []),
        ];
        for (const statement of unreadable) {
            const { id, service } = server;
            const logKey = `${statement} ${key}`;
            if (now - (this.#unreadableAt.get(logKey) ?? -Infinity) >= unreadableLogIntervalMs) {
                this.#unreadableAt.delete(logKey);
                this.#unreadableAt.set(logKey, now);
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

/**
 * Largest number of entry VMs that share a cold server's limit. Each may send one request at any moment, and in two halves of the
 * fleet that don't hear one another there are twice as many.
 */
const maxColdHolders = 3;
/** Bounds the log volume to a line per server and kind of statement in this time. */
const unreadableLogIntervalMs = 10_000;
/** Bounds the memory. */
const maxUnreadableServers = 1_000;
