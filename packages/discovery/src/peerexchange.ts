/** What an entry VM sends to its peers about the store: what it has read, its questions, and the responses to theirs. */

import type { ConfigCache } from "./config.js";
import type { DiscoveryMessage, TopicMessage } from "./messages.js";
import type { ServerCache } from "./servers.js";

/** Dependencies of a `PeerExchange`. */
export interface PeerExchangeOptions {
    readonly config: ConfigCache;
    readonly servers: ServerCache;
    /** Returns this entry VM's rank among the readers; 0 is the primary reader. */
    readonly rank: () => number;
    /** Returns the addresses of the other entry VMs. */
    readonly peers: () => readonly string[];
    /** Addresses of entry VMs to ask while no others are known; they may be stale or down. */
    readonly seeds: readonly string[];
    /** Returns a random number of at least 0 and below 1. */
    readonly random: () => number;
    /** Sends a message to peers; returns false if it is too large to be sent to all of them. */
    readonly send: (peers: readonly string[], message: DiscoveryMessage) => boolean;
}

/** Sends one entry VM's messages, at limited rates. */
export class PeerExchange {
    readonly #options: PeerExchangeOptions;
    #requestedAt = -Infinity;
    #offeredAt = -Infinity;
    #askedAt = -Infinity;

    constructor(options: PeerExchangeOptions) {
        this.#options = options;
    }

    /** When `ask` was last called; -Infinity before the first time. */
    get askedAt(): number {
        return this.#askedAt;
    }

    /** Sends a message. A configuration that is too large is sent without its text; peers then read the store. */
    send(peers: readonly string[], message: DiscoveryMessage): void {
        if (!this.#options.send(peers, message) && message.topic === "configuration") {
            this.#options.send(peers, { ...message, text: undefined });
        }
    }

    /**
     * Sends what was read to the peers, if this is one of the first readers: in a large fleet, every standby would
     * otherwise send to every peer. If there are many peers, one of each group forwards the message to the rest.
     */
    broadcast(message: TopicMessage<"servers" | "configuration">): void {
        const peers = this.#options.peers();
        if (this.#options.rank() >= maxBroadcasters) {
            return;
        }
        if (peers.length <= maxDirectPeers) {
            this.send(peers, message);
            return;
        }
        const size = Math.ceil(Math.sqrt(peers.length));
        for (let at = 0; at < peers.length; at += size) {
            const [first, ...passTo] = peers.slice(at, at + size);
            this.send(first === undefined ? [] : [first], { ...message, passTo });
        }
    }

    /** Asks a random peer, or a random seed while no peers are known, for what has changed in both topics. */
    ask(now: number): void {
        const { peers, seeds, random, send } = this.#options;
        const known = peers();
        const candidates = known.length > 0 ? known : seeds;
        const peer = candidates[Math.floor(random() * candidates.length)];
        this.#askedAt = now;
        if (peer !== undefined) {
            send([peer], this.#question());
        }
    }

    /** Requests the missing changes, or the whole configuration, from a peer, at a limited rate. */
    requestMissing(peer: string, now: number, wholeConfig = false): void {
        if (now - this.#requestedAt < minRequestIntervalMs) {
            return;
        }
        this.#requestedAt = now;
        this.#options.send([peer], this.#question(wholeConfig));
    }

    /** Requests what is missing from the first of the peers, if there is one. */
    requestFromFirstPeer(now: number): void {
        const [peer] = this.#options.peers();
        if (peer !== undefined) {
            this.requestMissing(peer, now);
        }
    }

    /** Sends a peer what it has asked for. */
    respond(request: TopicMessage<"question">, from: string, now: number): void {
        const { config, servers } = this.#options;
        const isSameEra = (request.era ?? servers.era) === servers.era;
        const since = isSameEra ? request.servers : undefined;
        const update =
            (since === undefined ? undefined : servers.changesSince(since)) ?? servers.fullUpdate();
        if (update) {
            this.send([from], { topic: "servers", ageMs: now - servers.asOf, news: update });
        }
        const isNewer = !isSameEra || (config.position ?? -1) > (request.configuration ?? -1);
        this.#sendConfig(from, now, isNewer);
    }

    /** Sends the configuration to a peer that has an older version, if this is one of the first readers. */
    offerConfig(peer: string, now: number): void {
        if (this.#options.rank() <= maxBroadcasters && now - this.#offeredAt >= minRequestIntervalMs) {
            this.#offeredAt = now;
            this.#sendConfig(peer, now);
        }
    }

    /** Sends what is known of the configuration; without its text if the receiver has that and asks for its age only. */
    #sendConfig(peer: string, now: number, withText = true): void {
        const { config } = this.#options;
        const known = config.update;
        if (known?.value) {
            this.#sendLaterEvacuations(peer, now);
            this.send([peer], {
                topic: "configuration",
                ageMs: now - config.asOf,
                era: known.era,
                to: known.to,
                version: config.config?.version,
                ...(withText ? { text: new TextDecoder().decode(known.value) } : {}),
                ...evacuationFields(config),
            });
        }
    }

    /**
     * Sends the evacuated domains on their own if they are known as of a later offset than the configuration, whose newest version
     * has to be read from the store. Without a version and a text, they only announce that one.
     */
    #sendLaterEvacuations(peer: string, now: number): void {
        const { config } = this.#options;
        const { asOf, update } = config.evacuation;
        if (update && config.isBeyond(update.era, update.to)) {
            this.send([peer], { topic: "configuration", ageMs: now - asOf, ...update });
        }
    }

    #question(wholeConfig = false): TopicMessage<"question"> {
        const { config, servers } = this.#options;
        return {
            topic: "question",
            era: servers.era,
            ...(servers.position === undefined ? {} : { servers: servers.position }),
            ...(config.position === undefined || wholeConfig ? {} : { configuration: config.position }),
        };
    }
}

/** Returns the evacuated domains as of the configuration's offset; nothing if they are only known as of another one. */
export const evacuationFields = ({
    era,
    position,
    evacuation,
}: ConfigCache): Pick<TopicMessage<"configuration">, "evacuated" | "carriedOver" | "ended"> => {
    const { update } = evacuation;
    if (!update || update.era !== era || update.to !== position) {
        return {};
    }
    const { evacuated, carriedOver, ended } = update;
    return {
        evacuated,
        ...(carriedOver ? { carriedOver } : {}),
        ...(ended ? { ended } : {}),
    };
};

/** Many round trips between peers; a repeated request before the reply can arrive would only waste bandwidth. */
const minRequestIntervalMs = 150;
/** A link of 7 Mbit/s carries this many datagrams of a few kilobytes within 0.2 s. */
const maxDirectPeers = 32;
/** The primary and two standbys, so that updates still arrive on time if two of them fail. */
const maxBroadcasters = 3;
