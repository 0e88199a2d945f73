/** Follows the store for one entry VM: reads it in turn with the others, and hands on and takes what they read. */

import type { RouteConfig } from "@bramleymoor/model/route";
import { ReadSchedule, type ReadScheduleSettings } from "./schedule.js";
import type { ConfigCache } from "./config.js";
import { RecordsExpiredError, type KeyedLog, type KeyedTopic } from "./log.js";
import type { DiscoveryMessage } from "./messages.js";
import type { ServerCache, ServerUpdate } from "./servers.js";

/** What a follower tells. */
export interface FollowerEvents {
    /** A newer configuration, `ageMs` after the store was asked; `source` is "store" or a peer's address. */
    readonly configChanged: (config: RouteConfig, source: string, ageMs: number) => void;
    /** The usable servers have changed. */
    readonly serversChanged: (news: ServerUpdate, source: string, ageMs: number) => void;
    /** Reading began to fail, or works again. */
    readonly storeStatusChanged: (topic: KeyedTopic, reachable: boolean, reason: string) => void;
}

/** What a follower needs. */
export interface FollowerOptions {
    readonly log: KeyedLog;
    readonly config: ConfigCache;
    readonly servers: ServerCache;
    readonly clock: () => number;
    /** Resolves after a time, or when the signal aborts. */
    readonly delay: (ms: number, signal: AbortSignal) => Promise<void>;
    /** This entry VM's place among the readers, 0 for the first. */
    readonly rank: () => number;
    /** Addresses of the other entry VMs. */
    readonly peers: () => readonly string[];
    /** Sends to peers; false if the message is too large. */
    readonly send: (peers: readonly string[], news: DiscoveryMessage) => boolean;
    readonly events: FollowerEvents;
}

/** Follows both topics. */
export class Follower {
    readonly #parts: FollowerOptions;
    readonly #configSchedule = new ReadSchedule(configSchedule);
    readonly #serverSchedule = new ReadSchedule(serverSchedule);
    #askedAt = -Infinity;

    constructor(parts: FollowerOptions) {
        this.#parts = parts;
    }

    /** Runs until the signal aborts. */
    async run(signal: AbortSignal): Promise<void> {
        await Promise.all([
            this.#loop("configuration", this.#configSchedule, signal),
            this.#loop("servers", this.#serverSchedule, signal),
        ]);
    }

    /**
     * Takes a peer's message.
     *
     * @param unreadMs how long it may have lain unread, because this process was paused or busy
     */
    receive(news: DiscoveryMessage, from: string, unreadMs: number): void {
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
        this.#tookServers(servers.apply(news, now - ageMs), from, ageMs);
    }

    #takeConfig({ to, text, ageMs }: TopicNews<"configuration">, from: string, now: number): void {
        const { config, events } = this.#parts;
        if (text === undefined && to > (config.position ?? -1)) {
            this.#ask(from, now);
            return;
        }
        const value = text === undefined ? undefined : new TextEncoder().encode(text);
        if (config.apply({ to, value }, now - ageMs) && config.config) {
            events.configChanged(config.config, from, ageMs);
        }
    }

    async #loop(topic: KeyedTopic, cadence: ReadSchedule, signal: AbortSignal): Promise<void> {
        const { clock, delay, rank } = this.#parts;
        while (!signal.aborted) {
            const asOf = topic === "servers" ? this.#parts.servers.asOf : this.#parts.config.asOf;
            const waitMs = cadence.nextReadAt(asOf, rank()) - clock();
            if (waitMs > 0) {
                await delay(Math.min(waitMs, longestSleepMs), signal);
                this.#parts.servers.expire(clock());
                continue;
            }
            await this.#readOnce(topic, cadence);
        }
    }

    async #readOnce(topic: KeyedTopic, cadence: ReadSchedule): Promise<void> {
        const { clock, events } = this.#parts;
        try {
            await (topic === "servers" ? this.#readServers() : this.#readConfig());
            if (cadence.failing) {
                events.storeStatusChanged(topic, true, "");
            }
            cadence.recordSuccess();
        } catch (err) {
            if (!cadence.failing) {
                events.storeStatusChanged(topic, false, err instanceof Error ? err.message : String(err));
            }
            cadence.recordFailure(clock());
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
                return servers.applyRecords(page, asOf);
            },
            async () => servers.applyLatest(await log.readLatest("servers"), asOf),
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
                return config.applyRecords(await log.read("configuration", from, waitMs), asOf);
            },
            async () => config.applyRecords(await log.readLatest("configuration"), asOf),
        );
        if (newer && config.config) {
            this.#parts.events.configChanged(config.config, "store", clock() - asOf);
        }
        const news = config.update;
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
            if (err instanceof RecordsExpiredError) {
                return await newest();
            }
            throw err;
        }
    }

    #tookServers(news: ServerUpdate, source: string, ageMs: number): void {
        if (news.changes.length > 0) {
            this.#parts.events.serversChanged(news, source, ageMs);
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
    #tell(peers: readonly string[], news: DiscoveryMessage): void {
        if (!this.#parts.send(peers, news) && news.topic === "configuration") {
            this.#parts.send(peers, { topic: "configuration", ageMs: news.ageMs, to: news.to });
        }
    }

    /** Asks a peer for what is missing here, not more often than it can answer. */
    #ask(peer: string, now: number): void {
        if (now - this.#askedAt < askEveryMs) {
            return;
        }
        this.#askedAt = now;
        const { config, servers, send: tell } = this.#parts;
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
        const since = question.servers === undefined ? undefined : servers.changesSince(question.servers);
        const news = since ?? servers.fullUpdate();
        if (news) {
            this.#tell([from], { topic: "servers", ageMs: clock() - servers.asOf, news });
        }
        const known = config.update;
        if (known?.value && known.to > (question.configuration ?? -1)) {
            const text = new TextDecoder().decode(known.value);
            this.#tell([from], { topic: "configuration", ageMs: clock() - config.asOf, to: known.to, text });
        }
    }
}

type TopicNews<T extends DiscoveryMessage["topic"]> = Extract<DiscoveryMessage, { readonly topic: T }>;

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
const configSchedule: ReadScheduleSettings = {
    primaryAgeMs: 0,
    standbyAgeMs: 900,
    standbyStepMs: 100,
    maxAgeMs: 1_300,
    firstRetryMs: 250,
    maxRetryMs: 2_000,
};

/** A leaving server must get no new work after 2 s. */
const serverSchedule: ReadScheduleSettings = {
    primaryAgeMs: 600,
    standbyAgeMs: 1_000,
    standbyStepMs: 100,
    maxAgeMs: 1_300,
    firstRetryMs: 250,
    maxRetryMs: 2_000,
};
