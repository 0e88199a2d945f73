/** A fleet of followers over one store, under virtual time: no sockets, no real waits. */

import type { RouteConfig, ServerEntry } from "@bramleymoor/model/route";
import { ConfigCache } from "../src/config.js";
import { Follower } from "../src/follower.js";
import { RecordsExpiredError, type KeyedLog, type KeyedPage, type KeyedTopic } from "../src/log.js";
import type { DiscoveryMessage } from "../src/messages.js";
import { ServerCache } from "../src/servers.js";

/** Time that moves when everything waits. */
export class VirtualTime {
    #now = 0;
    #timers: { readonly at: number; readonly fire: () => void }[] = [];

    get now(): number {
        return this.#now;
    }

    wait(ms: number): Promise<void> {
        return new Promise(resolve => this.after(ms, resolve));
    }

    after(ms: number, fire: () => void): void {
        this.#timers.push({ at: this.#now + ms, fire });
    }

    async run(until: number): Promise<void> {
        for (;;) {
            await new Promise(resolve => setImmediate(resolve));
            this.#timers.sort((a, b) => a.at - b.at);
            const next = this.#timers[0];
            if (!next || next.at > until) {
                this.#now = until;
                return;
            }
            this.#timers.shift();
            this.#now = next.at;
            next.fire();
        }
    }
}

const topics = ["configuration", "servers"] as const;

/** A store of two keyed logs. */
export class FakeStore {
    readonly #time: VirtualTime;
    readonly #records: Record<
        KeyedTopic,
        { readonly key: string; readonly value: Uint8Array | undefined }[]
    > = { configuration: [], servers: [] };
    readonly #first: Record<KeyedTopic, number> = { configuration: 0, servers: 0 };
    calls = 0;
    /** Ids of the entry VMs that get no answer; "all" for everyone. */
    readonly turnedAway = new Set<string>();

    constructor(time: VirtualTime) {
        this.#time = time;
    }

    put(topic: KeyedTopic, key: string, value: unknown): void {
        const bytes = value === undefined ? undefined : new TextEncoder().encode(JSON.stringify(value));
        this.#records[topic].push({ key, value: bytes });
    }

    /** Drops every record but the newest of each key. */
    compact(): void {
        topics.forEach(topic => (this.#first[topic] = this.#records[topic].length));
    }

    /** The store as one entry VM sees it. */
    seenBy(id: string): KeyedLog {
        return {
            read: (topic, from, waitMs) => this.#read(id, topic, from, waitMs),
            readLatest: topic => this.#newest(id, topic),
        };
    }

    async #read(id: string, topic: KeyedTopic, from: number, waitMs: number): Promise<KeyedPage> {
        await this.#answer(id);
        if (from < this.#first[topic]) {
            throw new RecordsExpiredError(topic);
        }
        for (let waited = 0; this.#records[topic].length <= from && waited < waitMs; waited += pollMs) {
            await this.#time.wait(pollMs);
        }
        const records = this.#records[topic].slice(from).map((it, i) => ({ ...it, offset: from + i }));
        return { records, end: this.#records[topic].length };
    }

    async #newest(id: string, topic: KeyedTopic): Promise<KeyedPage> {
        await this.#answer(id);
        const byKey = new Map(this.#records[topic].map((it, offset) => [it.key, { ...it, offset }]));
        const records = [...byKey.values()].filter(it => it.value).sort((a, b) => a.offset - b.offset);
        return { records, end: this.#records[topic].length };
    }

    async #answer(id: string): Promise<void> {
        this.calls++;
        await this.#time.wait(answerMs);
        if (this.turnedAway.has(id) || this.turnedAway.has("all")) {
            throw new Error("503");
        }
    }
}

/** One entry VM's knowledge. */
export interface FleetVm {
    readonly id: string;
    readonly servers: ServerCache;
    readonly config: ConfigCache;
}

/** Entry VMs that all know each other once `knownAt` has come; the first one is the first reader. */
export class Fleet {
    readonly time = new VirtualTime();
    readonly store = new FakeStore(this.time);
    readonly vms: FleetVm[] = [];
    /** Vms that neither send nor receive. */
    readonly frozen = new Set<string>();
    /** Whether the n-th message gets lost. */
    loses: (n: number) => boolean = () => false;
    /** Bytes of messages between entry VMs. */
    bytes = 0;
    messages = 0;
    /** Messages by sender. */
    readonly sent = new Map<string, number>();
    readonly #followers = new Map<string, Follower>();
    readonly #ended = new AbortController();
    readonly #knownAt: number;

    constructor(count: number, knownAt: number) {
        this.#knownAt = knownAt;
        for (let i = 0; i < count; i++) {
            this.#add(`vm${i}`);
        }
    }

    start(): void {
        this.#followers.forEach(it => void it.run(this.#ended.signal));
    }

    stop(): void {
        this.#ended.abort();
    }

    /** Gives an entry VM a message that lay unread for a while. */
    deliverLate(to: string, news: DiscoveryMessage, unreadMs: number): void {
        this.#followers.get(to)?.receive(news, "late", unreadMs);
    }

    #add(id: string): void {
        const servers = new ServerCache(
            (_, value) => JSON.parse(new TextDecoder().decode(value)) as ServerEntry,
        );
        const config = new ConfigCache(
            "config",
            value => JSON.parse(new TextDecoder().decode(value)) as RouteConfig,
        );
        this.vms.push({ id, servers, config });
        const index = this.vms.length - 1;
        const follower = new Follower({
            log: this.store.seenBy(id),
            config,
            servers,
            clock: () => this.time.now,
            delay: ms => this.time.wait(ms),
            rank: () => (this.time.now < this.#knownAt ? 1 : index),
            peers: () =>
                this.time.now < this.#knownAt ? [] : this.vms.map(it => it.id).filter(it => it !== id),
            send: (peers, news) => {
                peers.forEach(it => this.#carry(id, it, news));
                return true;
            },
            events: {
                configChanged: () => undefined,
                serversChanged: () => undefined,
                storeStatusChanged: () => undefined,
            },
        });
        this.#followers.set(id, follower);
    }

    #carry(from: string, to: string, news: DiscoveryMessage): void {
        this.sent.set(from, (this.sent.get(from) ?? 0) + 1);
        this.bytes += JSON.stringify(news).length;
        if (this.loses(this.messages++) || this.frozen.has(from)) {
            return;
        }
        this.time.after(wayMs, () => {
            if (!this.frozen.has(to)) {
                this.#followers.get(to)?.receive(news, from, 0);
            }
        });
    }
}

const answerMs = 4;
const pollMs = 20;
const wayMs = 1;
