/** One entry process that serves routes: its parts wired together, its start, its periodic work, its stop. */

import { randomBytes } from "node:crypto";
import { ConfigBook, type ConfigDecoder } from "@bramleymoor/discovery/config";
import { Follower } from "@bramleymoor/discovery/follower";
import type { KeyedLog } from "@bramleymoor/discovery/log";
import { ServerBook, type ServerDecoder } from "@bramleymoor/discovery/servers";
import { Membership, membershipDefaults } from "@bramleymoor/membership/membership";
import type { Route, RouteConfig } from "@bramleymoor/model/route";
import type { EntryVm } from "@bramleymoor/model/vm";
import type { EventLog } from "@bramleymoor/observe/events";
import { CallMetrics } from "@bramleymoor/observe/metrics";
import { CallError } from "@bramleymoor/protocol/kinds";
import { Sweep } from "@bramleymoor/proxy/sweep";
import { RouteTable } from "@bramleymoor/routing/table";
import { Splits } from "@bramleymoor/routing/split";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { KeepingAgent } from "./agent.js";
import { LoadAsker } from "./asks.js";
import { delay, monotonicMs, wallClockMs } from "./clock.js";
import { FirstDeadlines } from "./elapsed.js";
import { ForwardTask, type ForwardParts } from "./forward.js";
import { Front } from "./front.js";
import { LoopLag } from "./looplag.js";
import { MemberWatch } from "./memberwatch.js";
import { PeerSocket } from "./peersocket.js";
import { Reporter } from "./reporter.js";
import { Services } from "./services.js";
import type { GatewaySettings } from "./settings.js";
import { Sharing } from "./sharing.js";
import { SideServers } from "./sideservers.js";
import type { Wire } from "./wire.js";

/** What the platform in use gives an entry process. */
export interface PlatformParts {
    readonly log: KeyedLog;
    /** Calls of the store so far. */
    readonly storeCalls: () => number;
    /** Log lines dropped so far, as nobody read them fast enough. */
    readonly droppedLines: () => number;
    readonly wire: Wire;
    readonly decodeConfig: ConfigDecoder;
    readonly decodeServer: ServerDecoder;
    /** Key of the record that holds the configuration. */
    readonly configKey: string;
}

/** One run of the entry process. */
export class GatewayNode {
    #settings: GatewaySettings;
    readonly #platform: PlatformParts;
    readonly #events: EventLog;
    readonly #metrics = new CallMetrics(false);
    readonly #incarnation = randomBytes(incarnationBytes).toString("base64url");
    readonly #config: ConfigBook;
    readonly #servers: ServerBook;
    readonly #peers: PeerSocket;
    readonly #watch: MemberWatch;
    readonly #membership: Membership;
    readonly #follower: Follower;
    readonly #services: Services;
    readonly #agents = {
        kept: new KeepingAgent({ idleMs: keepIdleMs, marginMs: keepMarginMs, clock: monotonicMs }),
        fresh: new KeepingAgent({ idleMs: 0, marginMs: keepMarginMs, clock: monotonicMs }),
    };
    readonly #asker: LoadAsker;
    readonly #splits = new Splits();
    readonly #deadlines = new FirstDeadlines();
    readonly #lag = new LoopLag(monotonicMs());
    readonly #sharing: Sharing;
    readonly #reporter: Reporter;
    readonly #front: Front;
    readonly #side: SideServers;
    readonly #forwarding: ForwardParts;
    readonly #ended = new AbortController();
    #table: RouteTable | undefined = undefined;
    #lastId = 0;
    #followedRevision = -1;
    #state: "starting" | "serving" | "stopping" = "starting";

    constructor(settings: GatewaySettings, platform: PlatformParts, events: EventLog) {
        this.#settings = settings;
        this.#platform = platform;
        this.#events = events;
        this.#config = new ConfigBook(platform.configKey, platform.decodeConfig);
        this.#servers = new ServerBook(platform.decodeServer);
        this.#asker = new LoadAsker(platform.wire, this.#agents.kept);
        this.#services = new Services({
            asker: this.#asker,
            clock: monotonicMs,
            random: Math.random,
            balance: { compared: comparedServers, domain: settings.place.domain },
            repeats: settings.repeats,
        });
        this.#peers = new PeerSocket({
            gossip: message => this.#membership.receive(message, monotonicMs()),
            news: (news, from) => this.#follower.take(news, from, this.#lag.lagMs(turnMs, monotonicMs())),
            refused: (address, reason) => events.emit("peer-refused", { address, reason }),
        });
        this.#watch = new MemberWatch(settings.id, settings.seeds.length > 0, events);
        this.#membership = this.#join();
        this.#sharing = new Sharing({
            self: settings.id,
            processorShare: settings.processorShare,
            membership: this.#membership,
            members: () => this.#watch.members,
            prefer: (service, own) => this.#services.dispatcher(service)?.balancer.prefer(own),
            now: monotonicMs(),
        });
        this.#reporter = new Reporter({
            events,
            metrics: this.#metrics,
            version: () => this.#config.config?.version ?? 0,
            waiting: service => this.#services.dispatcher(service)?.waiting ?? 0,
            serversAgeMs: () => monotonicMs() - this.#servers.asOf,
        });
        this.#follower = this.#makeFollower();
        this.#forwarding = this.#makeForwarding();
        this.#watchTotals();
        this.#front = new Front(
            (req, res) => new ForwardTask(this.#forwarding, req, res).run(),
            (reason, address) => events.emit("request-malformed", { address, reason }),
        );
        this.#side = new SideServers({
            wire: platform.wire,
            metrics: this.#metrics,
            isReady: () => this.#state === "serving",
            dispatchers: (host, domain) => this.#sharing.dispatchers(host, domain),
            addressTtlMs: () => this.#settings.addressTtlMs,
        });
    }

    #watchTotals(): void {
        const { storeCalls, droppedLines } = this.#platform;
        this.#metrics.watch("bm_store_calls_total", "Calls of the store.", storeCalls);
        this.#metrics.watch("bm_dropped_lines_total", "Log lines dropped.", droppedLines);
        this.#metrics.watch(
            "bm_load_questions_total",
            "Load questions to backend servers.",
            () => this.#asker.asked,
        );
        this.#metrics.watch(
            "bm_peer_bytes_total",
            "Bytes to and from other entry VMs.",
            () => this.#peers.bytes,
        );
    }

    /** Listens everywhere, joins the peers and follows the store. */
    async start(): Promise<void> {
        const { front, peers, metrics, id } = this.#settings;
        await Promise.all([
            this.#front.listen(front.port, front.host),
            this.#side.listen(this.#settings),
            this.#peers.listen(peers.port, peers.host),
        ]);
        this.#events.emit("started", {
            id,
            incarnation: this.#incarnation,
            callers: addressOf(front),
            peers: addressOf(peers),
            operators: addressOf(metrics),
        });
        this.#keepDoing("following the store", this.#follower.run(this.#ended.signal));
        this.#keepDoing("gossiping", this.#gossip());
        this.#keepDoing("looking at queues and demand", this.#turns());
    }

    /**
     * Takes changed settings. The bounds are used at once; name, place, ports and seeds from the next start, as
     * callers and peers know them. Gives the names of those that wait for it.
     */
    follow(changed: GatewaySettings): readonly string[] {
        const { repeats, addressTtlMs, stopMs } = changed;
        const waiting = fixedSettings.filter(
            name => JSON.stringify(changed[name]) !== JSON.stringify(this.#settings[name]),
        );
        this.#settings = { ...this.#settings, repeats, addressTtlMs, stopMs };
        this.#services.boundRepeats(repeats);
        return waiting;
    }

    /**
     * Planned stop: not ready and out of the answers at once, serving callers with old answers for a while, then
     * closing each connection with its last answer.
     */
    async stop(signal: string): Promise<void> {
        if (this.#state === "stopping") {
            return;
        }
        this.#state = "stopping";
        const { stopMs, addressTtlMs } = this.#settings;
        this.#events.emit("stop-asked", { signal });
        this.#membership.leave(monotonicMs());
        this.#front.beginStop();
        await delay(Math.min(addressTtlMs + leaveSpreadMs, stopMs / 2), this.#ended.signal);
        const finished = new AbortController();
        const finishing = this.#front.finish().finally(() => finished.abort());
        await Promise.race([finishing, delay(stopMs - stopReserveMs, finished.signal)]);
        this.#close();
        this.#events.emit("stopped", { cut: this.#front.inFlight });
    }

    #close(): void {
        this.#ended.abort();
        this.#side.close();
        this.#peers.close();
        Object.values(this.#agents).forEach(it => it.destroy());
    }

    #join(): Membership {
        const { id, place, front, peers, seeds } = this.#settings;
        const self: EntryVm = {
            id,
            incarnation: this.#incarnation,
            place,
            callerAddress: addressOf(front),
            peerAddress: addressOf(peers),
            state: "alive",
            load: 0,
        };
        const settings = {
            ...membershipDefaults,
            periodMs: gossipPeriodMs,
            pingTimeoutMs,
            cluster,
            startedAt: wallClockMs(),
            seeds: seeds.map(host => `${host}:${peers.port}`),
        };
        const random = xoroshiro128plus(randomBytes(4).readInt32LE());
        const membership = new Membership(self, this.#peers, settings, random, monotonicMs());
        membership.members.subscribe(list => {
            this.#watch.follow(list);
            const count = (state: EntryVm["state"]): number => list.filter(vm => vm.state === state).length;
            this.#metrics.members({
                alive: count("alive"),
                suspect: count("suspect"),
                leaving: count("leaving"),
            });
        });
        return membership;
    }

    #makeFollower(): Follower {
        return new Follower({
            log: this.#platform.log,
            config: this.#config,
            servers: this.#servers,
            clock: monotonicMs,
            delay,
            rank: () => this.#watch.readerRank,
            peers: () => this.#watch.others.map(vm => vm.peerAddress),
            tell: (peers, news) => this.#peers.tell(peers, news),
            events: {
                config: (config, origin, ageMs) => this.#tookConfig(config, origin, ageMs),
                servers: ({ changes }, origin, ageMs) => {
                    const told = changes.map(
                        ({ id, entry }) => `${id} ${entry ? (entry.leaving ? "leaving" : "ready") : "gone"}`,
                    );
                    this.#events.emit("servers-changed", {
                        changes: told.join(", "),
                        origin,
                        ageMs: Math.round(ageMs),
                    });
                },
                store: (topic, reachable, reason) =>
                    reachable
                        ? this.#events.emit("store-back", { topic })
                        : this.#events.emit("store-lost", { topic, reason }),
            },
        });
    }

    #tookConfig(config: RouteConfig, origin: string, ageMs: number): void {
        this.#table = new RouteTable(config.routes);
        this.#front.follow(config.limits);
        this.#metrics.version(config.version);
        const { version, routes } = config;
        this.#events.emit("routes-accepted", {
            version,
            routes: routes.length,
            origin,
            ageMs: Math.round(ageMs),
        });
        this.#followServers();
    }

    #followServers(): void {
        if (this.#config.config) {
            this.#services.follow(this.#config.config, this.#servers.servers());
            this.#sharing.follow(this.#config.config, this.#servers.servers());
        }
        if (this.#state === "starting" && this.#config.config && this.#servers.position !== undefined) {
            this.#state = "serving";
            this.#events.emit("ready", { version: this.#config.config.version });
        }
    }

    #makeForwarding(): ForwardParts {
        return {
            wire: this.#platform.wire,
            clock: monotonicMs,
            sweep: new Sweep(monotonicMs, sweepPeriodMs),
            nextId: () => ++this.#lastId,
            route: (host, target) => this.#findRoute(host, target),
            maxBodyBytes: () => this.#config.config?.limits.maxBodyBytes ?? 0,
            serviceOf: route => this.#splits.serviceOf(route, Math.random),
            dispatcher: service => this.#services.dispatcher(service),
            elapsedMs: (route, deadlineMs) =>
                this.#deadlines.elapsedMs(`${route.host}${route.pathPrefix}`, deadlineMs),
            requested: service => this.#services.budget(service)?.requested(monotonicMs()),
            mayRepeat: service =>
                this.#services.budget(service)?.take(monotonicMs(), this.#watch.sharers) ?? false,
            agents: this.#agents,
            isBehind: () => this.#lag.isBehind(turnMs, monotonicMs()),
            extraHeaders: req => this.#front.extraHeaders(req),
            done: record => this.#reporter.done(record),
        };
    }

    #findRoute(host: string, target: string): Route {
        if (!this.#table || this.#state === "starting") {
            throw new CallError("not-ready", "", notReadyRetryMs);
        }
        const route = this.#table.find(host, target);
        if (!route) {
            throw new CallError("no-route");
        }
        this.#sharing.count(route.host);
        return route;
    }

    async #gossip(): Promise<void> {
        while (!this.#ended.signal.aborted) {
            const now = monotonicMs();
            const dueAt = this.#membership.tick(now);
            await delay(Math.max(leastSleepMs, dueAt - now), this.#ended.signal);
        }
    }

    /** Looks at queues often, and at demand and servers now and then. */
    async #turns(): Promise<void> {
        while (!this.#ended.signal.aborted) {
            await delay(turnMs, this.#ended.signal);
            this.#turn(monotonicMs());
        }
    }

    #turn(now: number): void {
        this.#lag.ran(turnMs, now);
        this.#services.tick();
        if (this.#servers.revision !== this.#followedRevision || this.#state === "starting") {
            this.#followedRevision = this.#servers.revision;
            this.#followServers();
        }
        this.#sharing.turn(now);
    }

    /** A process that can't do one of these any more must end, so that it is started anew. */
    #keepDoing(doing: string, work: Promise<void>): void {
        work.catch((err: unknown) => {
            const reason = err instanceof Error ? String(err.stack) : String(err);
            this.#events.emit("internal-error", { doing, reason });
            throw err;
        });
    }
}

const addressOf = ({ host, port }: { readonly host: string; readonly port: number }): string =>
    `${host}:${port}`;

const fixedSettings = [
    "id",
    "place",
    "front",
    "ready",
    "directory",
    "peers",
    "metrics",
    "seeds",
    "processorShare",
] as const satisfies readonly (keyof GatewaySettings)[];

/** One deployment has one cluster; its network keeps others out. */
const cluster = "gateway";
const incarnationBytes = 9;
/** Servers asked before a send; the trials of the platform's page gain little beyond 3 to 6. */
const comparedServers = 3;
/** A dead entry VM is suspected within about a second among a few dozen. */
const gossipPeriodMs = 300;
/** Many round trips between failure domains, less than a period. */
const pingTimeoutMs = 250;
/** Below the 10 s after which servers close idle connections. */
const keepIdleMs = 8_000;
/** Servers tell that time in whole seconds, so up to one may be missing. */
const keepMarginMs = 1_500;
/** Lateness of timeouts that callers don't notice. */
const sweepPeriodMs = 10;
/** About the time of a start. */
const notReadyRetryMs = 300;
/** Time for the news of a leaving entry VM to reach the others. */
const leaveSpreadMs = 500;
/** Kept back from the grace period for the last lines and the end of the process. */
const stopReserveMs = 400;
const leastSleepMs = 5;
/** Queued requests are looked at so often when nothing else happens. */
const turnMs = 50;
