/** Follows the store for one entry VM: reads it in turn with the others, and hands on and takes what they read. */

import type { RouteConfig } from "@bramleymoor/model/route";
import { Cadence, type CadenceSettings } from "./cadence.js";
import type { ConfigBook } from "./config.js";
import { HistoryGoneError, type KeyedLog, type KeyedTopic } from "./log.js";
import type { News } from "./news.js";
import type { ServerBook, ServerNews } from "./servers.js";

/** What a follower tells. */
export interface FollowerEvents {
    /** A newer configuration, `ageMs` after the store was asked; `source` is "store" or a peer's address. */
    readonly config: (config: RouteConfig, source: string, ageMs: number) => void;
    /** The usable servers have changed. */
    readonly servers: (news: ServerNews, source: string, ageMs: number) => void;
    /** Reading began to fail, or works again. */
    readonly store: (topic: KeyedTopic, reachable: boolean, reason: string) => void;
}

/** What a follower needs. */
export interface FollowerParts {
    readonly log: KeyedLog;
    readonly config: ConfigBook;
    readonly servers: ServerBook;
    readonly clock: () => number;
    /** Resolves after a time, or when the signal aborts. */
    readonly delay: (ms: number, signal: AbortSignal) => Promise<void>;
    /** This entry VM's place among the readers, 0 for the first. */
    readonly rank: () => number;
    /** Addresses of the other entry VMs. */
    readonly peers: () => readonly string[];
    /** Sends to peers; false if the message is too large. */
    readonly tell: (peers: readonly string[], news: News) => boolean;
    readonly events: FollowerEvents;
}

/** Follows both topics. */
export class Follower {
    readonly #parts: FollowerParts;
    readonly #configCadence = new Cadence(configCadence);
    readonly #serverCadence = new Cadence(serverCadence);
    #askedAt = -Infinity;

    constructor(parts: FollowerParts) {
        this.#parts = parts;
    }

    /** Runs until the signal aborts. */
    async run(signal: AbortSignal): Promise<void> {
        await Promise.all([
            this.#loop("configuration", this.#configCadence, signal),
            this.#loop("servers", this.#serverCadence, signal),
        ]);
    }

    /**
     * Takes a peer's message.
     *
     * @param unreadMs how long it may have lain unread, because this process was paused or busy
     */
    take(news: News, from: string, unreadMs: number): void {
        const { clock } = this.#parts;
        const now = clock();
        if (news.topic === "question") {
            this.#answer(news, from);
            return;
        }
        const { passTo, ...told } = news;
        const aged = { ...told, ageMs: told.ageMs + unreadMs };
        if (passTo) {
            this.#tell(passTo, aged);
        }
        if (aged.topic === "servers") {
            this.#takeServers(aged, from, now);
        } else {
            this.#takeConfig(aged, from, now);
        }
    }

    #takeServers({ news, ageMs }: TopicNews<"servers">, from: string, now: number): void {
        const { servers } = this.#parts;
        if (news.from > (servers.position ?? 0)) {
            this.#ask(from, now);
            return;
        }
        this.#tookServers(servers.take(news, now - ageMs), from, ageMs);
    }

    #takeConfig({ to, text, ageMs }: TopicNews<"configuration">, from: string, now: number): void {
        const { config, events } = this.#parts;
        if (text === undefined && to > (config.position ?? -1)) {
            this.#ask(from, now);
            return;
        }
        const value = text === undefined ? undefined : new TextEncoder().encode(text);
        if (config.take({ to, value }, now - ageMs) && config.config) {
            events.config(config.config, from, ageMs);
        }
    }

    async #loop(topic: KeyedTopic, cadence: Cadence, signal: AbortSignal): Promise<void> {
        const { clock, delay, rank } = this.#parts;
        while (!signal.aborted) {
            const asOf = topic === "servers" ? this.#parts.servers.asOf : this.#parts.config.asOf;
            const waitMs = cadence.dueAt(asOf, rank()) - clock();
            if (waitMs > 0) {
                await delay(Math.min(waitMs, longestSleepMs), signal);
                this.#parts.servers.expire(clock());
                continue;
            }
            await this.#readOnce(topic, cadence);
        }
    }

    async #readOnce(topic: KeyedTopic, cadence: Cadence): Promise<void> {
        const { clock, events } = this.#parts;
        try {
            await (topic === "servers" ? this.#readServers() : this.#readConfig());
            if (cadence.failing) {
                events.store(topic, true, "");
            }
            cadence.succeeded();
        } catch (err) {
            if (!cadence.failing) {
                events.store(topic, false, err instanceof Error ? err.message : String(err));
            }
            cadence.failed(clock());
            if (this.#parts.config.position === undefined || this.#parts.servers.position === undefined) {
                this.#askAnyone();
            }
        }
    }

    async #readServers(): Promise<void> {
        const { log, servers, clock } = this.#parts;
        const asOf = clock();
        const isFirst = servers.position === undefined;
        const news = await this.#sinceOrNewest(
            servers.position,
            async from => {
                const page = await log.read("servers", from, 0);
                return servers.readOn(page, asOf);
            },
            async () => servers.replace(await log.newest("servers"), asOf),
        );
        this.#tookServers(news, "store", clock() - asOf);
        if (!isFirst) {
            this.#tellAll({ topic: "servers", ageMs: clock() - asOf, news });
        }
    }

    async #readConfig(): Promise<void> {
        const { log, config, clock, rank } = this.#parts;
        const asOf = clock();
        const isFirst = config.position === undefined;
        const newer = await this.#sinceOrNewest(
            config.position,
            async from => {
                const waitMs = rank() === 0 ? longPollMs : 0;
                return config.read(await log.read("configuration", from, waitMs), asOf);
            },
            async () => config.read(await log.newest("configuration"), asOf),
        );
        if (newer && config.config) {
            this.#parts.events.config(config.config, "store", clock() - asOf);
        }
        const news = config.news;
        if (news && !isFirst) {
            const text = newer && news.value ? new TextDecoder().decode(news.value) : undefined;
            const ageMs = clock() - asOf;
            this.#tellAll({
                topic: "configuration",
                ageMs,
                to: news.to,
                ...(text === undefined ? {} : { text }),
            });
        }
    }

    async #sinceOrNewest<T>(
        position: number | undefined,
        since: (from: number) => Promise<T>,
        newest: () => Promise<T>,
    ): Promise<T> {
        if (position === undefined) {
            return await newest();
        }
        try {
            return await since(position);
        } catch (err) {
            if (err instanceof HistoryGoneError) {
                return await newest();
            }
            throw err;
        }
    }

    #tookServers(news: ServerNews, source: string, ageMs: number): void {
        if (news.changes.length > 0) {
            this.#parts.events.servers(news, source, ageMs);
        }
    }

    /**
     * Hands on what was read, if this is one of the first readers: in a large fleet all stand-ins would otherwise
     * tell all. Many peers are reached by way of one in each group. What a start reads is news to nobody.
     */
    #tellAll(news: TopicNews<"servers" | "configuration">): void {
        const peers = this.#parts.peers();
        if (this.#parts.rank() >= tellersAtMost) {
            return;
        }
        if (peers.length <= toldAtOnce) {
            this.#tell(peers, news);
            return;
        }
        const size = Math.ceil(Math.sqrt(peers.length));
        for (let at = 0; at < peers.length; at += size) {
            const [first, ...passTo] = peers.slice(at, at + size);
            this.#tell(first === undefined ? [] : [first], { ...news, passTo });
        }
    }

    /** A message that is too large is told without its content; the peer then reads the store itself. */
    #tell(peers: readonly string[], news: News): void {
        if (!this.#parts.tell(peers, news) && news.topic === "configuration") {
            this.#parts.tell(peers, { topic: "configuration", ageMs: news.ageMs, to: news.to });
        }
    }

    /** Asks a peer for what is missing here, not more often than it can answer. */
    #ask(peer: string, now: number): void {
        if (now - this.#askedAt < askEveryMs) {
            return;
        }
        this.#askedAt = now;
        const { config, servers, tell } = this.#parts;
        tell([peer], {
            topic: "question",
            ...(servers.position === undefined ? {} : { servers: servers.position }),
            ...(config.position === undefined ? {} : { configuration: config.position }),
        });
    }

    #askAnyone(): void {
        const [peer] = this.#parts.peers();
        if (peer !== undefined) {
            this.#ask(peer, this.#parts.clock());
        }
    }

    #answer(question: TopicNews<"question">, from: string): void {
        const { config, servers, clock } = this.#parts;
        const since = question.servers === undefined ? undefined : servers.since(question.servers);
        const news = since ?? servers.everything();
        if (news) {
            this.#tell([from], { topic: "servers", ageMs: clock() - servers.asOf, news });
        }
        const known = config.news;
        if (known?.value && known.to > (question.configuration ?? -1)) {
            const text = new TextDecoder().decode(known.value);
            this.#tell([from], { topic: "configuration", ageMs: clock() - config.asOf, to: known.to, text });
        }
    }
}

type TopicNews<T extends News["topic"]> = Extract<News, { readonly topic: T }>;

/** Half of the shortest bound on a configuration's way, so that a stand-in has time to act. */
const longPollMs = 500;
/** Ranks change meanwhile, so that a new first reader looks again within this. */
const longestSleepMs = 500;
/** Many round trips; a fresh question before an answer could come would only cost bytes. */
const askEveryMs = 150;
/** A link of 7 Mbit/s carries so many datagrams of a few kilobytes within 0.2 s. */
const toldAtOnce = 32;
/** The first reader and two stand-ins, so that the loss of two goes unnoticed. */
const tellersAtMost = 3;

/** A new version must be in force everywhere within 2 s; a stand-in reads before that. */
const configCadence: CadenceSettings = {
    firstMs: 0,
    standInMs: 900,
    stepMs: 100,
    latestMs: 1_300,
    retryMs: 250,
    retryMostMs: 2_000,
};

/** A leaving server must get no new work after 2 s. */
const serverCadence: CadenceSettings = {
    firstMs: 600,
    standInMs: 1_000,
    stepMs: 100,
    latestMs: 1_300,
    retryMs: 250,
    retryMostMs: 2_000,
};
