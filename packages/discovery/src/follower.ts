/** Keeps one entry VM's copy of the store current by its own reads and by updates that entry VMs exchange. */

import type { RouteConfig } from "@bramleymoor/model/route";
import { ReadSchedule, type ReadScheduleSettings } from "./schedule.js";
import {
    OutdatedEraError,
    RecordsExpiredError,
    type KeyedLog,
    type KeyedPage,
    type KeyedTopic,
} from "./log.js";
import type { DiscoveryMessage, TopicMessage } from "./messages.js";
import { evacuationFields, PeerExchange, type PeerExchangeOptions } from "./peerexchange.js";
import type { ServerCache, ServerUpdate } from "./servers.js";

/** Failure domains whose evacuation has begun or ended. */
export interface EvacuationChange {
    readonly begun: readonly string[];
    readonly ended: readonly string[];
}

/** Callbacks of a follower. */
export interface FollowerEvents {
    /** A newer configuration arrived, `ageMs` after the store was read; `origin` is "store" or a peer's address. */
    readonly configChanged: (config: RouteConfig, origin: string, ageMs: number) => void;
    /** Evacuations of failure domains have begun or ended, `ageMs` after the store was read. */
    readonly evacuationChanged: (change: EvacuationChange, origin: string, ageMs: number) => void;
    /** The registered servers have changed. */
    readonly serversChanged: (update: ServerUpdate, origin: string, ageMs: number) => void;
    /** The store has come back from an older copy, in which the topic ends at offset `end`. */
    readonly eraChanged: (topic: KeyedTopic, era: number, end: number, origin: string) => void;
    /** Reads of a topic began to fail, for `reason`, or succeed again. */
    readonly storeStatusChanged: (topic: KeyedTopic, reachable: boolean, reason: string) => void;
}

/** Dependencies of a follower. */
export interface FollowerOptions extends PeerExchangeOptions {
    readonly log: KeyedLog;
    readonly clock: () => number;
    /** Resolves after `ms` milliseconds, or when the signal aborts. */
    readonly delay: (ms: number, signal: AbortSignal) => Promise<void>;
    /** Whether the whole system starts for the first time, so that no callers are waiting. */
    readonly isFirstStart: boolean;
    readonly events: FollowerEvents;
}

/** Follows both topics of the store. */
export class Follower {
    readonly #options: FollowerOptions;
    readonly #configSchedule = new ReadSchedule(configSchedule);
    readonly #serverSchedule = new ReadSchedule(serverSchedule);
    readonly #exchange: PeerExchange;
    /** Up to where peers have announced a configuration without its text; it has to be read from the store. */
    #announced: { readonly era: number | undefined; readonly to: number } | undefined = undefined;
    #startedAt = 0;
    #configSleep = new AbortController();

    constructor(options: FollowerOptions) {
        this.#options = options;
        this.#exchange = new PeerExchange(options);
    }

    /** Runs until the signal aborts. */
    async run(signal: AbortSignal): Promise<void> {
        this.#startedAt = this.#options.clock();
        await Promise.all([
            this.#pollTopic("configuration", this.#configSchedule, signal),
            this.#pollTopic("servers", this.#serverSchedule, signal),
        ]);
    }

    /**
     * Handles a peer's message.
     *
     * @param unreadMs how long it may have waited to be read because this process was paused or busy, in milliseconds
     */
    receive(message: DiscoveryMessage, from: string, unreadMs: number): void {
        const { clock } = this.#options;
        const now = clock();
        if (message.topic === "question") {
            this.#exchange.respond(message, from, now);
            return;
        }
        const { passTo, ...content } = message;
        const aged = { ...content, ageMs: content.ageMs + unreadMs };
        if (passTo) {
            this.#exchange.send(passTo, aged);
        }
        if (aged.topic === "servers") {
            this.#applyServers(aged, from, now);
        } else {
            this.#applyConfig(aged, from, now);
        }
    }

    #applyServers({ news: update, ageMs }: TopicMessage<"servers">, from: string, now: number): void {
        const { servers } = this.#options;
        if (servers.leavesGap(update)) {
            this.#exchange.requestMissing(from, now);
            return;
        }
        const era = eraOf(servers);
        const applied = servers.apply(update, now - ageMs);
        this.#reportServers(applied, from, ageMs);
        this.#reportEra("servers", era, servers, from);
    }

    #applyConfig(message: TopicMessage<"configuration">, from: string, now: number): void {
        const { era, to, text, version, ageMs } = message;
        const { config, events } = this.#options;
        this.#applyEvacuation(message, from, now);
        const isKnownVersion = version !== undefined && version <= (config.config?.version ?? -1);
        if (text === undefined && !isKnownVersion && config.isBeyond(era, to)) {
            this.#followAnnouncement(era, to, from, now);
            return;
        }
        const value = text === undefined ? undefined : new TextEncoder().encode(text);
        const eraBefore = eraOf(config);
        if (config.apply({ era, to, value }, now - ageMs) && config.config) {
            events.configChanged(config.config, from, ageMs);
        }
        this.#reportEra("configuration", eraBefore, config, from);
        if ((era ?? config.era) === config.era && to === config.position) {
            this.#compareVersions(version, from, now);
        }
    }

    /** Applies the evacuated domains; a message of an older build has none, so that they have to be read from elsewhere. */
    #applyEvacuation(message: TopicMessage<"configuration">, from: string, now: number): void {
        const { era, to, evacuated, carriedOver, ended, ageMs } = message;
        const { evacuation } = this.#options.config;
        if (evacuated === undefined) {
            if (evacuation.isBeyond(era, to)) {
                this.#followAnnouncement(era, to, from, now);
            }
            evacuation.confirm(era, to, now - ageMs);
            return;
        }
        const update = { era, to, evacuated, carriedOver, ended };
        const before = evacuation.domains;
        evacuation.apply(update, now - ageMs);
        this.#reportEvacuation(before, from, ageMs);
        if (evacuation.isMissingFrom(update)) {
            this.#exchange.offerConfig(from, now);
        }
    }

    #reportEvacuation(before: ReadonlySet<string>, origin: string, ageMs: number): void {
        const { domains } = this.#options.config.evacuation;
        if (domains !== before) {
            const begun = [...domains].filter(it => !before.has(it));
            const ended = [...before].filter(it => !domains.has(it));
            this.#options.events.evacuationChanged({ begun, ended }, origin, ageMs);
        }
    }

    /**
     * Asks a peer for its newer version, or sends it this one. At the same position versions only differ if the store has
     * come back without the newer one, which then only peers have. A few of them offer it.
     */
    #compareVersions(version: number | undefined, peer: string, now: number): void {
        const { config } = this.#options;
        const own = config.config?.version;
        if (version === undefined || own === undefined || version === own) {
            return;
        }
        if (version > own) {
            this.#exchange.requestMissing(peer, now, true);
        } else {
            this.#exchange.offerConfig(peer, now);
        }
    }

    #reportEra(
        topic: KeyedTopic,
        before: number | undefined,
        { era, position = 0 }: Pick<ServerCache, "era" | "position">,
        origin: string,
    ): void {
        if (before !== undefined && era !== before) {
            this.#options.events.eraChanged(topic, era, position, origin);
        }
    }

    /** Reads a configuration that a peer knows, from the store or, if the store can't be read, from the peer. */
    #followAnnouncement(era: number | undefined, to: number, from: string, now: number): void {
        if (this.#configSchedule.failing) {
            this.#exchange.requestMissing(from, now);
            return;
        }
        this.#announced = { era, to };
        this.#configSleep.abort();
    }

    get #hasAnnouncement(): boolean {
        const { config } = this.#options;
        if (!this.#announced) {
            return false;
        }
        const { era, to } = this.#announced;
        return config.isBeyond(era, to) || config.evacuation.isBeyond(era, to);
    }

    async #pollTopic(topic: KeyedTopic, schedule: ReadSchedule, signal: AbortSignal): Promise<void> {
        const { clock } = this.#options;
        while (!signal.aborted) {
            const now = clock();
            const readAt = this.#nextReadAt(topic, schedule);
            if (readAt <= now || (topic === "configuration" && this.#hasAnnouncement)) {
                await this.#readOnce(topic, schedule);
                continue;
            }
            const askAt = schedule.failing ? this.#nextAskAtWithoutStore(topic) : this.#nextAskAt(topic);
            if (askAt <= now) {
                this.#exchange.ask(now);
                continue;
            }
            await this.#sleep(topic, Math.min(readAt - now, askAt - now, maxSleepMs), signal);
            this.#options.servers.expire(clock());
        }
    }

    /** Returns up to where a topic is known, and when the store held nothing newer. */
    #knownOf(topic: KeyedTopic): Pick<ServerCache, "position" | "asOf"> {
        const { config, servers } = this.#options;
        return topic === "servers"
            ? servers
            : { position: config.readFrom, asOf: Math.min(config.asOf, config.evacuation.asOf) };
    }

    /** Returns when to read the store: the first time only when peers have had time to respond. */
    #nextReadAt(topic: KeyedTopic, schedule: ReadSchedule): number {
        const { seeds, isFirstStart } = this.#options;
        const { position, asOf } = this.#knownOf(topic);
        if (position === undefined && !schedule.failing && seeds.length > 0) {
            return this.#startedAt + (isFirstStart ? firstStartAskMs : startAskMs);
        }
        return schedule.nextReadAt(asOf, this.#options.rank());
    }

    /**
     * Returns when to ask a peer for what it has read, which costs the store no call: at once after the start, later when
     * no update has come for a while. The primary reader doesn't ask.
     */
    #nextAskAt(topic: KeyedTopic): number {
        const { position, asOf } = this.#knownOf(topic);
        if (position !== undefined && this.#options.rank() === 0) {
            return Infinity;
        }
        return Math.max(
            position === undefined ? this.#startedAt : asOf + askAgeMs,
            this.#exchange.askedAt + askIntervalMs,
        );
    }

    /** Returns when to ask a peer while the store can't be read: a peer may have read what this entry VM has missed. */
    #nextAskAtWithoutStore(topic: KeyedTopic): number {
        const { asOf } = this.#knownOf(topic);
        return topic === "servers"
            ? Infinity
            : Math.max(this.#startedAt, asOf + askAgeMs, this.#exchange.askedAt + outageAskIntervalMs);
    }

    /** Sleeps until `ms` have passed, the signal aborts, or a configuration is announced that has to be read. */
    async #sleep(topic: KeyedTopic, ms: number, signal: AbortSignal): Promise<void> {
        const sleep = new AbortController();
        if (topic === "configuration") {
            this.#configSleep = sleep;
        }
        const stop = (): void => sleep.abort();
        signal.addEventListener("abort", stop);
        await this.#options.delay(ms, sleep.signal);
        signal.removeEventListener("abort", stop);
    }

    async #readOnce(topic: KeyedTopic, schedule: ReadSchedule): Promise<void> {
        const { clock, events } = this.#options;
        try {
            await (topic === "servers" ? this.#readServers() : this.#readConfig());
            if (schedule.failing) {
                events.storeStatusChanged(topic, true, "");
            }
            schedule.recordSuccess();
        } catch (err) {
            if (!schedule.failing) {
                events.storeStatusChanged(topic, false, err instanceof Error ? err.message : String(err));
            }
            schedule.recordFailure(clock());
            if (this.#options.config.position === undefined || this.#options.servers.position === undefined) {
                this.#exchange.requestFromFirstPeer(clock());
            }
        }
    }

    /** Reads the servers and passes on what has changed; not the result of the initial read, which peers know already. */
    async #readServers(): Promise<void> {
        const { log, servers, clock } = this.#options;
        const asOf = clock();
        const isInitialRead = servers.position === undefined;
        const era = eraOf(servers);
        const update = await this.#readSinceOrLatest(
            servers.position,
            async from => servers.applyRecords(await this.#readPage("servers", from, 0), asOf),
            async () =>
                servers.applyLatest(checkEra("servers", await log.readLatest("servers"), servers.era), asOf),
        );
        this.#reportServers(update, "store", clock() - asOf);
        this.#reportEra("servers", era, servers, "store");
        if (!isInitialRead) {
            this.#exchange.broadcast({ topic: "servers", ageMs: clock() - asOf, news: update });
        }
    }

    async #readConfig(): Promise<void> {
        const { log, config, clock } = this.#options;
        const asOf = clock();
        const isInitialRead = config.position === undefined;
        const era = eraOf(config);
        const evacuatedBefore = config.evacuation.domains;
        this.#announced = undefined;
        const isNewer = await this.#readSinceOrLatest(
            config.readFrom,
            async from => {
                const waitMs = this.#options.rank() === 0 ? longPollMs : 0;
                const page = await this.#readPage("configuration", from, waitMs);
                // A store that waited in vain held nothing newer for as long as it waited.
                const waitedMs = page.records.length === 0 && clock() - asOf >= waitMs ? waitMs : 0;
                return config.applyRecords(page, asOf + waitedMs);
            },
            async () => {
                const page = checkEra(
                    "configuration",
                    await log.readLatest("configuration"),
                    config.newestEra,
                );
                return config.applyLatest(page, asOf);
            },
        );
        this.#reportEvacuation(evacuatedBefore, "store", clock() - asOf);
        if (isNewer && config.config) {
            this.#options.events.configChanged(config.config, "store", clock() - asOf);
        }
        this.#reportEra("configuration", era, config, "store");
        const update = config.update;
        if (update && !isInitialRead) {
            const text = isNewer && update.value ? new TextDecoder().decode(update.value) : undefined;
            const ageMs = clock() - config.asOf;
            this.#exchange.broadcast({
                topic: "configuration",
                ageMs,
                era: update.era,
                to: update.to,
                version: config.config?.version,
                ...(text === undefined ? {} : { text }),
                ...evacuationFields(config),
            });
        }
    }

    /**
     * Reads records from an offset of the known era on.
     *
     * @throws RecordsExpiredError if a new era has begun, in which the offset means something else
     */
    async #readPage(topic: KeyedTopic, from: number, waitMs: number): Promise<KeyedPage> {
        const { log, servers, config } = this.#options;
        const knownEra = (): number => (topic === "servers" ? servers.era : config.newestEra);
        const eraAtRead = knownEra();
        const page = checkEra(topic, await log.read(topic, from, waitMs), knownEra());
        if ((page.era ?? eraAtRead) !== eraAtRead || knownEra() !== eraAtRead) {
            throw new RecordsExpiredError(topic);
        }
        return page;
    }

    /** Reads on from a position, or the latest records if there is none or its records have expired. */
    async #readSinceOrLatest<T>(
        position: number | undefined,
        readSince: (from: number) => Promise<T>,
        readLatest: () => Promise<T>,
    ): Promise<T> {
        if (position === undefined) {
            return await readLatest();
        }
        try {
            return await readSince(position);
        } catch (err) {
            if (err instanceof RecordsExpiredError) {
                return await readLatest();
            }
            throw err;
        }
    }

    #reportServers(update: ServerUpdate, origin: string, ageMs: number): void {
        if (update.changes.length > 0) {
            this.#options.events.serversChanged(update, origin, ageMs);
        }
    }
}

/** Returns the known era; undefined before the first read. */
const eraOf = ({ era, position }: Pick<ServerCache, "era" | "position">): number | undefined =>
    position === undefined ? undefined : era;

/** Returns the page; throws an OutdatedEraError if it is of an older era than the known one. */
const checkEra = (topic: KeyedTopic, page: KeyedPage, knownEra: number): KeyedPage => {
    if (page.era !== undefined && page.era < knownEra) {
        throw new OutdatedEraError(topic, page.era, knownEra);
    }
    return page;
};

/** Half of the shortest limit on the propagation of a configuration, so that a standby has time to take over. */
const longPollMs = 500;
/** Age from which a peer is asked: an update of the primary reader is overdue, and no standby reads yet. */
const askAgeMs = 800;
/** Time between two questions; several fit between the age from which a peer is asked and the first read of a standby. */
const askIntervalMs = 50;
/** The same while the store can't be read. An evacuation has to be known within 5 s. */
const outageAskIntervalMs = 1_000;
/** Time after the start in which a peer may respond before the store is read; callers are waiting after a power failure. */
const startAskMs = 40;
/** The same for the first start: all machines start within 0.3 s of each other. */
const firstStartAskMs = 500;
/** Ranks change while a reader waits; a new primary notices within this time. */
const maxSleepMs = 500;

/** A new version has to be in force everywhere within 2 s; a standby reads before that. */
const configSchedule: ReadScheduleSettings = {
    primaryAgeMs: 0,
    standbyAgeMs: 900,
    standbyStepMs: 100,
    maxAgeMs: 1_300,
    firstRetryMs: 250,
    maxRetryMs: 2_000,
};

/** A leaving server must receive no new requests after 2 s. */
const serverSchedule: ReadScheduleSettings = {
    primaryAgeMs: 600,
    standbyAgeMs: 1_000,
    standbyStepMs: 100,
    maxAgeMs: 1_300,
    firstRetryMs: 250,
    maxRetryMs: 2_000,
};
