/** Connects the servers' request limits with the responses that name them, the other entry VMs and the log. */

import { RequestLimits } from "@bramleymoor/limits/limits";
import type { LimitMessage } from "@bramleymoor/limits/messages";
import { incarnationKey, type ServerEntry } from "@bramleymoor/model/route";
import type { EventLog } from "@bramleymoor/observe/event-log";

/** Dependencies of a `LimitExchange`. */
export interface LimitExchangeOptions {
    /** Stable name of this entry VM. */
    readonly self: string;
    readonly events: EventLog;
    /** Returns whether this entry VM has met the others, or has none to meet. */
    readonly hasMetPeers: () => boolean;
    /** Sends a message to all other entry VMs. */
    readonly send: (message: LimitMessage) => void;
    /** Current monotonic milliseconds. */
    readonly now: number;
}

/** One entry VM's request limits, kept up to date and logged. */
export class LimitExchange {
    readonly limits: RequestLimits;
    readonly #options: LimitExchangeOptions;

    constructor(options: LimitExchangeOptions) {
        this.#options = options;
        this.limits = new RequestLimits(options.self, options.now);
    }

    /** Records the limit that a server named: Infinity if none, undefined if it can't be parsed. */
    record(server: ServerEntry, perSecond: number | undefined, now: number): void {
        const { id, service } = server;
        if (perSecond === undefined) {
            this.#options.events.emit("request-limit-unreadable", { server: id, service });
        } else if (this.limits.record(server, perSecond, now)) {
            this.#logLimit(incarnationKey(server), "own response");
        }
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
    }

    /** Updates the shares, sends what is due and logs the use of limited servers. To be called often. */
    tick(now: number): void {
        this.#send(this.limits.tick(this.#options.hasMetPeers(), now));
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
