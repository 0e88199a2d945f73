/** One entry process that serves routes: its parts wired together, its start, its periodic work, its stop. */

import { randomBytes } from "node:crypto";
import type { Membership } from "@bramleymoor/membership/membership";
import type { Route } from "@bramleymoor/model/route";
import type { EntryVm } from "@bramleymoor/model/vm";
import type { EventLog } from "@bramleymoor/observe/event-log";
import { CallMetrics } from "@bramleymoor/observe/metrics";
import { CallError } from "@bramleymoor/protocol/errors";
import { delay } from "@bramleymoor/proxy/delay";
import { TimerSet } from "@bramleymoor/proxy/timers";
import { TrafficSplits } from "@bramleymoor/routing/split";
import { KeepAliveAgent } from "./agent.js";
import { HttpLoadClient } from "./loadclient.js";
import { monotonicMs, wallClockMs } from "./clock.js";
import { ElapsedTimeEstimator } from "./elapsed.js";
import { ForwardTask, type ForwardOptions } from "./forward.js";
import { FrontendServer } from "./frontend.js";
import { formatAddress, createMembership } from "./createmembership.js";
import { StoreView, type StoreAdapter } from "./storeview.js";
import { EventLoopLag } from "./eventlooplag.js";
import { MemberTracker } from "./membertracker.js";
import { PeerSocket } from "./peersocket.js";
import { RequestReporter } from "./reporter.js";
import { ServiceDispatchers } from "./servicedispatchers.js";
import type { GatewaySettings } from "./settings.js";
import { TrafficPartitioner } from "./trafficpartitioner.js";
import { AuxiliaryServers } from "./auxiliaryservers.js";
import type { WireFormat } from "./wireformat.js";

/** What the platform in use gives an entry process. */
export interface PlatformAdapter extends StoreAdapter {
    /** Calls of the store so far. */
    readonly storeCalls: () => number;
    /** Log lines dropped so far, as nobody read them fast enough. */
    readonly droppedLines: () => number;
    readonly wire: WireFormat;
}

/** One run of the entry process. */
export class GatewayNode {
    #settings: GatewaySettings;
    readonly #platform: PlatformAdapter;
    readonly #events: EventLog;
    readonly #metrics = new CallMetrics(false);
    readonly #incarnation = randomBytes(incarnationBytes).toString("base64url");
    readonly #knowledge: StoreView;
    readonly #peers: PeerSocket;
    readonly #watch: MemberTracker;
    readonly #membership: Membership;
    readonly #services: ServiceDispatchers;
    readonly #agents = {
        kept: new KeepAliveAgent({ idleMs: keepIdleMs, marginMs: keepMarginMs, clock: monotonicMs }),
        fresh: new KeepAliveAgent({ idleMs: 0, marginMs: keepMarginMs, clock: monotonicMs }),
    };
    readonly #asker: HttpLoadClient;
    readonly #splits = new TrafficSplits();
    readonly #deadlines = new ElapsedTimeEstimator();
    readonly #lag = new EventLoopLag(monotonicMs());
    readonly #sharing: TrafficPartitioner;
    readonly #reporter: RequestReporter;
    readonly #front: FrontendServer;
    readonly #side: AuxiliaryServers;
    readonly #forwarding: ForwardOptions;
    readonly #ended = new AbortController();
    #lastId = 0;
    #followedRevision = -1;
    #state: "starting" | "serving" | "stopping" = "starting";

    constructor(settings: GatewaySettings, platform: PlatformAdapter, events: EventLog) {
        this.#settings = settings;
        this.#platform = platform;
        this.#events = events;
        this.#asker = new HttpLoadClient(platform.wire, this.#agents.kept);
        this.#services = new ServiceDispatchers({
            loadClient: this.#asker,
            clock: monotonicMs,
            random: Math.random,
            balance: { candidateCount: comparedServers, domain: settings.place.domain },
            retryLimits: settings.retryLimits,
        });
        this.#peers = new PeerSocket({
            onGossip: message => this.#membership.receive(message, monotonicMs()),
            onNews: (news, from) =>
                this.#knowledge.receive(news, from, this.#lag.lagMs(turnMs, monotonicMs())),
            onRejected: (address, reason) => events.emit("peer-refused", { address, reason }),
        });
        this.#watch = new MemberTracker(settings.id, settings.seeds.length > 0, events);
        this.#membership = this.#join();
        this.#sharing = new TrafficPartitioner({
            self: settings.id,
            processorShare: settings.processorShare,
            membership: this.#membership,
            members: () => this.#watch.members,
            setPreferredServers: (service, own) =>
                this.#services.dispatcher(service)?.balancer.setPreferredServers(own),
            now: monotonicMs(),
        });
        this.#reporter = new RequestReporter({
            events,
            metrics: this.#metrics,
            version: () => this.#knowledge.config?.version ?? 0,
            waiting: service => this.#services.dispatcher(service)?.waiting ?? 0,
            serversAgeMs: () => this.#knowledge.serversAgeMs(monotonicMs()),
        });
        this.#knowledge = new StoreView(platform, {
            events,
            clock: monotonicMs,
            readerRank: () => this.#watch.readerRank,
            peers: () => this.#watch.others.map(vm => vm.peerAddress),
            sendToPeers: (peers, news) => this.#peers.sendNews(peers, news),
            onConfig: config => {
                this.#front.setLimits(config.limits);
                this.#metrics.setConfigVersion(config.version);
                this.#followKnowledge();
            },
        });
        this.#forwarding = this.#makeForwarding();
        this.#watchTotals();
        this.#front = new FrontendServer(
            (req, res) => new ForwardTask(this.#forwarding, req, res).run(),
            (reason, address) => events.emit("request-malformed", { address, reason }),
        );
        this.#side = new AuxiliaryServers({
            wire: platform.wire,
            metrics: this.#metrics,
            isReady: () => this.#state === "serving",
            entryVmsFor: (host, domain) => this.#sharing.entryVmsFor(host, domain),
            addressTtlMs: () => this.#settings.addressTtlMs,
        });
    }

    #watchTotals(): void {
        const { storeCalls, droppedLines } = this.#platform;
        this.#metrics.registerCounter("bm_store_calls_total", "Calls of the store.", storeCalls);
        this.#metrics.registerCounter("bm_dropped_lines_total", "Log lines dropped.", droppedLines);
        this.#metrics.registerCounter(
            "bm_load_questions_total",
            "Load questions to backend servers.",
            () => this.#asker.queriesSent,
        );
        this.#metrics.registerCounter(
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
            callers: formatAddress(front),
            peers: formatAddress(peers),
            operators: formatAddress(metrics),
        });
        this.#keepDoing("following the store", this.#knowledge.run(this.#ended.signal));
        this.#keepDoing("gossiping", this.#gossip());
        this.#keepDoing("looking at queues and demand", this.#turns());
    }

    /**
     * Takes changed settings. The bounds are used at once; name, place, ports and seeds from the next start, as
     * callers and peers know them. Gives the names of those that wait for it.
     */
    reload(changed: GatewaySettings): readonly string[] {
        const { retryLimits: repeats, addressTtlMs, shutdownGraceMs: stopMs } = changed;
        const waiting = fixedSettings.filter(
            name => JSON.stringify(changed[name]) !== JSON.stringify(this.#settings[name]),
        );
        this.#settings = { ...this.#settings, retryLimits: repeats, addressTtlMs, shutdownGraceMs: stopMs };
        this.#services.setRetryLimits(repeats);
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
        const { shutdownGraceMs: stopMs, addressTtlMs } = this.#settings;
        this.#events.emit("stop-asked", { signal });
        this.#membership.leave(monotonicMs());
        this.#front.beginDrain();
        await delay(Math.min(addressTtlMs + leaveSpreadMs, stopMs / 2), this.#ended.signal);
        const finished = new AbortController();
        const finishing = this.#front.drain().finally(() => finished.abort());
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
        const membership = createMembership(
            this.#settings,
            this.#incarnation,
            this.#peers,
            monotonicMs(),
            wallClockMs(),
        );
        membership.members.subscribe(list => {
            this.#watch.update(list);
            const count = (state: EntryVm["state"]): number => list.filter(vm => vm.state === state).length;
            this.#metrics.setMemberCounts({
                alive: count("alive"),
                suspect: count("suspect"),
                leaving: count("leaving"),
            });
        });
        return membership;
    }

    #followKnowledge(): void {
        const { config, servers, isComplete } = this.#knowledge;
        if (config) {
            this.#services.update(config, servers);
            this.#sharing.update(config, servers);
        }
        if (this.#state === "starting" && config && isComplete) {
            this.#state = "serving";
            this.#events.emit("ready", { version: config.version });
        }
    }

    #makeForwarding(): ForwardOptions {
        return {
            wire: this.#platform.wire,
            clock: monotonicMs,
            timers: new TimerSet(monotonicMs, timerPeriodMs),
            nextId: () => ++this.#lastId,
            findRoute: (host, target) => this.#findRoute(host, target),
            maxBodyBytes: () => this.#knowledge.config?.limits.maxBodyBytes ?? 0,
            pickService: route => this.#splits.chooseService(route, Math.random),
            dispatcher: service => this.#services.dispatcher(service),
            elapsedMs: (route, deadlineMs) =>
                this.#deadlines.elapsedMs(`${route.host}${route.pathPrefix}`, deadlineMs),
            countRequest: service => this.#services.retryBudget(service)?.recordRequest(monotonicMs()),
            tryRetry: service =>
                this.#services.retryBudget(service)?.tryTake(monotonicMs(), this.#watch.budgetDivisor) ??
                false,
            agents: this.#agents,
            isLagging: () => this.#lag.isLagging(turnMs, monotonicMs()),
            extraHeaders: req => this.#front.extraHeaders(req),
            onDone: record => this.#reporter.report(record),
        };
    }

    #findRoute(host: string, target: string): Route {
        const { table } = this.#knowledge;
        if (!table || this.#state === "starting") {
            throw new CallError("not-ready", "", notReadyRetryMs);
        }
        const route = table.find(host, target);
        if (!route) {
            throw new CallError("no-route");
        }
        this.#sharing.countRequest(route.host);
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
        this.#lag.recordRun(turnMs, now);
        this.#services.tick();
        if (this.#knowledge.serversRevision !== this.#followedRevision || this.#state === "starting") {
            this.#followedRevision = this.#knowledge.serversRevision;
            this.#followKnowledge();
        }
        this.#sharing.tick(now);
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

/** Random bytes, so that no two runs are alike. */
const incarnationBytes = 9;
/** Servers asked before a send; the trials of the platform's page gain little beyond 3 to 6. */
const comparedServers = 3;
/** Below the 10 s after which servers close idle connections. */
const keepIdleMs = 8_000;
/** Servers tell that time in whole seconds, so up to one may be missing. */
const keepMarginMs = 1_500;
/** Lateness of timeouts that callers don't notice. */
const timerPeriodMs = 10;
/** About the time of a start. */
const notReadyRetryMs = 300;
/** Time for the news of a leaving entry VM to reach the others. */
const leaveSpreadMs = 500;
/** Kept back from the grace period for the last lines and the end of the process. */
const stopReserveMs = 400;
/** Keeps a deadline that has just passed from spinning the loop. */
const leastSleepMs = 5;
/** Queued requests are looked at so often when nothing else happens. */
const turnMs = 50;
