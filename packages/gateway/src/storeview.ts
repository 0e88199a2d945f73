/** What one entry VM knows from the store: the configuration in force and the registered backend servers. */

import { ConfigCache, type ConfigDecoder } from "@bramleymoor/discovery/config";
import { Follower } from "@bramleymoor/discovery/follower";
import type { KeyedLog } from "@bramleymoor/discovery/log";
import type { DiscoveryMessage } from "@bramleymoor/discovery/messages";
import { ServerCache, type KnownServer, type ServerDecoder } from "@bramleymoor/discovery/servers";
import type { RouteConfig } from "@bramleymoor/model/route";
import type { EventLog } from "@bramleymoor/observe/event-log";
import { delay } from "@bramleymoor/proxy/delay";
import { RouteTable } from "@bramleymoor/routing/table";

/** The store, and how its records are read. */
export interface StoreAdapter {
    readonly log: KeyedLog;
    readonly decodeConfig: ConfigDecoder;
    readonly decodeServer: ServerDecoder;
    /** Key of the record that holds the configuration. */
    readonly configKey: string;
}

/** What knowledge needs besides the store. */
export interface StoreViewOptions {
    readonly events: EventLog;
    readonly clock: () => number;
    /** This entry VM's place among the readers of the store, 0 for the first. */
    readonly readerRank: () => number;
    /** Addresses of the other entry VMs. */
    readonly peers: () => readonly string[];
    /** Sends to peers; false if the message is too large. */
    readonly sendToPeers: (peers: readonly string[], news: DiscoveryMessage) => boolean;
    /** Told of a newer configuration. */
    readonly onConfig: (config: RouteConfig) => void;
}

/** Follows the store, alone or by what peers hand on, and logs each change of belief. */
export class StoreView {
    readonly #parts: StoreViewOptions;
    readonly #config: ConfigCache;
    readonly #servers: ServerCache;
    readonly #follower: Follower;
    #table: RouteTable | undefined = undefined;

    constructor({ log, decodeConfig, decodeServer, configKey }: StoreAdapter, parts: StoreViewOptions) {
        this.#parts = parts;
        this.#config = new ConfigCache(configKey, decodeConfig);
        this.#servers = new ServerCache(decodeServer);
        const { clock, readerRank: rank, peers, sendToPeers: tell, events } = parts;
        this.#follower = new Follower({
            log,
            config: this.#config,
            servers: this.#servers,
            clock,
            delay,
            rank,
            peers,
            send: tell,
            events: {
                configChanged: (config, origin, ageMs) => this.#configured(config, origin, ageMs),
                serversChanged: ({ changes }, origin, ageMs) => {
                    const told = changes.map(
                        ({ id, entry }) => `${id} ${entry ? (entry.leaving ? "leaving" : "ready") : "gone"}`,
                    );
                    events.emit("servers-changed", {
                        changes: told.join(", "),
                        origin,
                        ageMs: Math.round(ageMs),
                    });
                },
                storeStatusChanged: (topic, reachable, reason) =>
                    reachable
                        ? events.emit("store-back", { topic })
                        : events.emit("store-lost", { topic, reason }),
            },
        });
    }

    /** The configuration in force; undefined before the first. */
    get config(): RouteConfig | undefined {
        return this.#config.config;
    }

    /** Its routes. */
    get table(): RouteTable | undefined {
        return this.#table;
    }

    /** Every server that may be used or is leaving. */
    get servers(): readonly KnownServer[] {
        return this.#servers.servers();
    }

    /** Grows whenever `servers` gives something else. */
    get serversRevision(): number {
        return this.#servers.revision;
    }

    /** Whether there is a configuration, and the servers have been read at least once. */
    get isComplete(): boolean {
        return this.#config.config !== undefined && this.#servers.position !== undefined;
    }

    /** Age of what is known of the servers, in milliseconds. */
    serversAgeMs(now: number): number {
        return now - this.#servers.asOf;
    }

    /** Runs until the signal aborts. */
    run(signal: AbortSignal): Promise<void> {
        return this.#follower.run(signal);
    }

    /**
     * Takes a peer's message.
     *
     * @param unreadMs how long it may have lain unread
     */
    receive(news: DiscoveryMessage, from: string, unreadMs: number): void {
        this.#follower.receive(news, from, unreadMs);
    }

    #configured(config: RouteConfig, origin: string, ageMs: number): void {
        this.#table = new RouteTable(config.routes);
        const { version, routes } = config;
        this.#parts.events.emit("routes-accepted", {
            version,
            routes: routes.length,
            origin,
            ageMs: Math.round(ageMs),
        });
        this.#parts.onConfig(config);
    }
}
