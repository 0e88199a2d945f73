/** One entry VM's view of the store: the active configuration and the registered backend servers. */

import type { AccountTable, KeyHash } from "@bramleymoor/accounts/table";
import { ConfigCache, type ConfigDecoder } from "@bramleymoor/discovery/config";
import {
    EvacuationCache,
    maxEvacuatedDomains,
    type EvacuationDecoder,
} from "@bramleymoor/discovery/evacuation";
import { Follower, type EvacuationChange } from "@bramleymoor/discovery/follower";
import type { KeyedLog } from "@bramleymoor/discovery/log";
import type { DiscoveryMessage } from "@bramleymoor/discovery/messages";
import { ServerCache, type KnownServer, type ServerDecoder } from "@bramleymoor/discovery/servers";
import type { RouteConfig } from "@bramleymoor/model/route";
import type { EventLog } from "@bramleymoor/observe/event-log";
import { delay } from "@bramleymoor/proxy/delay";
import type { RouteTable } from "@bramleymoor/routing/table";
import { ConfigActivation } from "./configactivation.js";

/** The store, and the decoders of its records. */
export interface StoreAdapter {
    readonly log: KeyedLog;
    readonly decodeConfig: ConfigDecoder;
    readonly decodeServer: ServerDecoder;
    readonly decodeEvacuation: EvacuationDecoder;
    /** Key of the record that holds the configuration. */
    readonly configKey: string;
}

/** Dependencies of a `StoreView` besides the store. */
export interface StoreViewOptions {
    readonly events: EventLog;
    /** Returns monotonic milliseconds. */
    readonly clock: () => number;
    /** Returns this entry VM's rank among the readers of the store; 0 for the primary reader. */
    readonly readerRank: () => number;
    /** Returns the peer addresses of the other entry VMs. */
    readonly peers: () => readonly string[];
    /** Peer addresses to ask at the start, while no other entry VMs are known. */
    readonly seeds: readonly string[];
    /** Whether the whole system starts for the first time. */
    readonly isFirstStart: boolean;
    /** Returns a random number of at least 0 and below 1. */
    readonly random: () => number;
    /** Sends a message to peers; returns false if it is too large. */
    readonly sendToPeers: (peers: readonly string[], message: DiscoveryMessage) => boolean;
    /** Hashes the keys of client accounts. */
    readonly keyHash: KeyHash;
    /** Resolves in a later turn of the event loop. */
    readonly nextTurn: () => Promise<void>;
    /** Called with each newer configuration, once it is in force. */
    readonly onConfig: (config: RouteConfig) => void;
    /** Called when `evacuatedDomains` has changed. */
    readonly onEvacuation: (change: EvacuationChange) => void;
}

/** Follows the store, by reading it or through messages from peers, and logs each change. */
export class StoreView {
    readonly #options: StoreViewOptions;
    readonly #configKey: string;
    readonly #config: ConfigCache;
    readonly #activation: ConfigActivation;
    readonly #servers: ServerCache;
    readonly #follower: Follower;

    constructor(
        { log, decodeConfig, decodeServer, decodeEvacuation, configKey }: StoreAdapter,
        options: StoreViewOptions,
    ) {
        this.#options = options;
        this.#configKey = configKey;
        this.#activation = new ConfigActivation({ hash: options.keyHash, nextTurn: options.nextTurn });
        const { clock, readerRank, peers, seeds, isFirstStart, random, sendToPeers, events } = options;
        const evacuation = new EvacuationCache(decodeEvacuation, domain =>
            events.emit("record-skipped", {
                topic: "configuration",
                record: domain,
                reason: `${maxEvacuatedDomains} failure domains are evacuated`,
            }),
        );
        this.#config = new ConfigCache(configKey, decodeConfig, evacuation);
        this.#servers = new ServerCache(
            decodeServer,
            service => this.#config.config?.services.get(service)?.slowStart !== undefined,
        );
        this.#follower = new Follower({
            log,
            config: this.#config,
            servers: this.#servers,
            clock,
            delay,
            rank: readerRank,
            peers,
            seeds,
            isFirstStart,
            random,
            send: sendToPeers,
            events: {
                configChanged: (config, origin, ageMs) => this.#applyConfig(config, origin, ageMs),
                evacuationChanged: (change, origin, ageMs) => this.#applyEvacuation(change, origin, ageMs),
                serversChanged: ({ changes }, origin, ageMs) => {
                    const descriptions = changes.map(
                        ({ id, entry }) => `${id} ${entry ? (entry.leaving ? "leaving" : "ready") : "gone"}`,
                    );
                    events.emit("servers-changed", {
                        changes: descriptions.join(", "),
                        origin,
                        ageMs: Math.round(ageMs),
                    });
                },
                eraChanged: (topic, era, end, origin) =>
                    events.emit("store-restored", { topic, era, end, origin }),
                storeStatusChanged: (topic, reachable, reason) =>
                    reachable
                        ? events.emit("store-back", { topic })
                        : events.emit("store-lost", { topic, reason }),
            },
        });
    }

    /** The active configuration; undefined before the first. */
    get config(): RouteConfig | undefined {
        return this.#activation.active?.config;
    }

    /** The routes of the active configuration; undefined before the first. */
    get table(): RouteTable | undefined {
        return this.#activation.active?.routes;
    }

    /** The client accounts of the active configuration; undefined before the first, or if it has none. */
    get accounts(): AccountTable | undefined {
        return this.#activation.active?.accounts;
    }

    /** All servers that may be used or are leaving. */
    get servers(): readonly KnownServer[] {
        return this.#servers.servers();
    }

    /** Names of the failure domains whose servers get no requests and no probes. */
    get evacuatedDomains(): ReadonlySet<string> {
        return this.#config.evacuation.domains;
    }

    /** Increases with every change of `servers`. */
    get serversRevision(): number {
        return this.#servers.revision;
    }

    /** Era of the store: how often it has come back from an older copy; 0 if it doesn't say. */
    get era(): number {
        return this.#servers.era;
    }

    /** Whether a configuration has been accepted and the servers have been read at least once. */
    get isComplete(): boolean {
        return this.config !== undefined && this.#servers.position !== undefined;
    }

    /** Returns the age of the list of servers, in milliseconds. */
    serversAgeMs(now: number): number {
        return now - this.#servers.asOf;
    }

    /** Returns the time since the configuration was last known to be current, in milliseconds. */
    configAgeMs(now: number): number {
        return now - this.#config.asOf;
    }

    /** Follows the store until the signal aborts. */
    run(signal: AbortSignal): Promise<void> {
        return this.#follower.run(signal);
    }

    /**
     * Processes a peer's message.
     *
     * @param unreadMs how long the message may have waited unread, in milliseconds
     */
    receive(message: DiscoveryMessage, from: string, unreadMs: number): void {
        this.#follower.receive(message, from, unreadMs);
    }

    #applyConfig(config: RouteConfig, origin: string, ageMs: number): void {
        const { events, clock, onConfig } = this.#options;
        const receivedAt = clock();
        this.#activation.activate(config, {
            onActive: ({ version, routes }) => {
                events.emit("routes-accepted", {
                    version,
                    routes: routes.length,
                    origin,
                    ageMs: Math.round(ageMs + clock() - receivedAt),
                });
                onConfig(config);
            },
            onInvalid: reason =>
                events.emit("record-skipped", { topic: "configuration", record: this.#configKey, reason }),
        });
    }

    #applyEvacuation(change: EvacuationChange, origin: string, ageMs: number): void {
        const { begun, ended } = change;
        const { events, onEvacuation } = this.#options;
        const source = { origin, ageMs: Math.round(ageMs) };
        begun.forEach(domain => events.emit("evacuation-began", { domain, ...source }));
        ended.forEach(domain => events.emit("evacuation-ended", { domain, ...source }));
        onEvacuation(change);
    }
}
