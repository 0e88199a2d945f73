/** The entry process that serves routes: connects its components, and runs its start, periodic work and shutdown. */

import { randomBytes } from "node:crypto";
import type { Membership } from "@bramleymoor/membership/membership";
import type { Route } from "@bramleymoor/model/route";
import type { EntryVm } from "@bramleymoor/model/vm";
import type { EventLog } from "@bramleymoor/observe/event-log";
import { CallMetrics } from "@bramleymoor/observe/metrics";
import { CallError } from "@bramleymoor/protocol/errors";
import { delay } from "@bramleymoor/proxy/delay";
import { EventLoopLag } from "@bramleymoor/proxy/eventlooplag";
import { TimerSet } from "@bramleymoor/proxy/timers";
import { TrafficSplits } from "@bramleymoor/routing/split";
import { KeepAliveAgent } from "./agent.js";
import { AuxiliaryServers } from "./auxiliaryservers.js";
import { monotonicMs, wallClockMs } from "./clock.js";
import { addressesToAskAtStart, createMembership, formatAddress } from "./createmembership.js";
import { CrashExchange } from "./crashexchange.js";
import { DemandExchange } from "./demand.js";
import type { RecordStatement } from "./dispatcher.js";
import { ElapsedTimeEstimator } from "./elapsed.js";
import { ForwardTask, type ForwardOptions } from "./forward.js";
import { FrontendServer } from "./frontend.js";
import { runGossip } from "./gossip.js";
import { HttpProbeClient } from "./probeclient.js";
import { StatementExchange } from "./statementexchange.js";
import { MemberTracker } from "./membertracker.js";
import { registerNodeMetrics } from "./nodemetrics.js";
import { PeerSocket } from "./peersocket.js";
import { RequestReporter } from "./reporter.js";
import { ServiceDispatchers } from "./servicedispatchers.js";
import type { GatewaySettings } from "./settings.js";
import { StoreView, type StoreAdapter } from "./storeview.js";
import { TrafficPartitioner } from "./trafficpartitioner.js";
import type { WireFormat } from "./wireformat.js";

/** What an entry process needs from the platform that it runs on. */
export interface PlatformAdapter extends StoreAdapter {
    /** Returns the number of store calls so far. */
    readonly storeCalls: () => number;
    /** Returns the number of log lines dropped so far because the output was not read fast enough. */
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
    readonly #storeView: StoreView;
    readonly #peerSocket: PeerSocket;
    readonly #members: MemberTracker;
    readonly #membership: Membership;
    readonly #dispatchers: ServiceDispatchers;
    readonly #agents = {
        pooled: new KeepAliveAgent({
            idleMs: keepAliveIdleMs,
            marginMs: keepAliveMarginMs,
            clock: monotonicMs,
        }),
        unpooled: new KeepAliveAgent({ idleMs: 0, marginMs: keepAliveMarginMs, clock: monotonicMs }),
    };
    readonly #probeClient: HttpProbeClient;
    readonly #statements: StatementExchange;
    readonly #crashes: CrashExchange;
    readonly #splits = new TrafficSplits();
    readonly #elapsedTimes = new ElapsedTimeEstimator();
    readonly #lag = new EventLoopLag(monotonicMs() + tickMs);
    readonly #demand: DemandExchange;
    readonly #partitioner: TrafficPartitioner;
    readonly #reporter: RequestReporter;
    readonly #frontend: FrontendServer;
    readonly #auxiliaryServers: AuxiliaryServers;
    readonly #forwardOptions: ForwardOptions;
    readonly #closed = new AbortController();
    readonly #recordStatement: RecordStatement = (server, statement, source) =>
        this.#statements.record(server, statement, source, monotonicMs());
    #lastId = 0;
    #appliedRevision = -1;
    #state: "starting" | "serving" | "stopping" = "starting";

    constructor(settings: GatewaySettings, platform: PlatformAdapter, events: EventLog) {
        this.#settings = settings;
        this.#platform = platform;
        this.#events = events;
        this.#statements = new StatementExchange({
            self: settings.id,
            events,
            hasMetPeers: () => this.#members.budgetDivisor !== Infinity,
            send: message =>
                this.#peerSocket.sendLimits(
                    this.#members.others.map(vm => vm.peerAddress),
                    message,
                ),
            onLeaving: () => this.#applyStoreView(),
            now: monotonicMs(),
        });
        this.#crashes = new CrashExchange({
            self: settings.id,
            events,
            members: () => this.#members.members.map(vm => vm.id),
            send: message =>
                this.#peerSocket.sendCrashes(
                    this.#members.others.map(vm => vm.peerAddress),
                    message,
                ),
            probe: async server => this.#dispatchers.dispatcher(server.service)?.checkServer(server),
            clock: monotonicMs,
        });
        this.#probeClient = new HttpProbeClient(platform.wire, this.#agents.pooled);
        this.#dispatchers = new ServiceDispatchers({
            probeClient: this.#probeClient,
            clock: monotonicMs,
            random: Math.random,
            balance: { candidateCount: comparedServers, domain: settings.place.domain },
            retryLimits: settings.retryLimits,
            probesPerServerPerSecond: settings.probesPerServerPerSecond,
            limiter: this.#statements.rules,
            recordStatement: this.#recordStatement,
            recordProbe: (server, isAlive, sentAt) => this.#crashes.recordProbe(server, isAlive, sentAt),
        });
        this.#peerSocket = new PeerSocket({
            onGossip: message => this.#membership.receive(message, monotonicMs()),
            onDiscovery: (message, from) =>
                this.#storeView.receive(message, from, this.#lag.lagMs(monotonicMs())),
            onLimits: message => {
                const now = monotonicMs();
                this.#statements.receive(message, this.#lag.lagMs(now), now);
            },
            onCrashes: message => this.#crashes.receive(message),
            onRejected: (address, reason) => events.emit("peer-refused", { address, reason }),
        });
        this.#members = new MemberTracker(settings.id, settings.seeds.length > 0, events);
        this.#membership = this.#createMembership();
        this.#demand = new DemandExchange({
            self: settings.id,
            membership: this.#membership,
            members: () => this.#members.members,
            now: monotonicMs(),
        });
        this.#partitioner = new TrafficPartitioner({
            self: settings.id,
            processorShare: settings.processorShare,
            linkMbps: settings.linkMbps,
            membership: this.#membership,
            members: () => this.#members.members,
            setPreferredServers: (service, serverIds) =>
                this.#dispatchers.dispatcher(service)?.balancer.setPreferredServers(serverIds),
            demand: this.#demand,
        });
        this.#reporter = new RequestReporter({
            events,
            metrics: this.#metrics,
            version: () => this.#storeView.config?.version ?? 0,
            waiting: service => this.#dispatchers.dispatcher(service)?.waiting ?? 0,
            serversAgeMs: () => this.#storeView.serversAgeMs(monotonicMs()),
        });
        this.#storeView = new StoreView(platform, {
            events,
            clock: monotonicMs,
            readerRank: () => this.#members.readerRank,
            peers: () => this.#members.others.map(vm => vm.peerAddress),
            seeds: addressesToAskAtStart(settings),
            isFirstStart: settings.isFirstStart,
            random: Math.random,
            sendToPeers: (peers, message) => this.#peerSocket.sendDiscovery(peers, message),
            onConfig: config => {
                this.#frontend.setLimits(config.limits);
                this.#metrics.setConfigVersion(config.version);
                this.#applyStoreView();
            },
        });
        this.#forwardOptions = this.#makeForwardOptions();
        registerNodeMetrics(this.#metrics, {
            storeCalls: platform.storeCalls,
            droppedLines: platform.droppedLines,
            probesSent: () => this.#probeClient.probesSent,
            peerBytes: () => this.#peerSocket.bytes,
            sendsCancelledAtOnce: () => this.#reporter.cancelledAtOnce,
            storeEra: () => this.#storeView.era,
            limitedServers: () => this.#statements.limits.limitedServers,
            quarantinedRequests: () => this.#crashes.quarantined,
            lagMs: () => this.#lag.lagMs(monotonicMs()),
        });
        this.#frontend = new FrontendServer({
            serve: (req, res) => new ForwardTask(this.#forwardOptions, req, res).run(),
            onMalformed: (reason, address) => events.emit("request-malformed", { address, reason }),
            onAccepted: waitMs => this.#metrics.recordAcceptWait(waitMs),
            clock: monotonicMs,
        });
        this.#auxiliaryServers = new AuxiliaryServers({
            wire: platform.wire,
            metrics: this.#metrics,
            isReady: () => this.#state === "serving",
            entryVmsFor: (host, domain) => this.#partitioner.entryVmsFor(host, domain),
            addressTtlMs: () => this.#settings.addressTtlMs,
        });
    }

    /** Listens on all ports, joins the other entry VMs and follows the store. */
    async start(): Promise<void> {
        const { front, peers, metrics, id } = this.#settings;
        await Promise.all([
            this.#frontend.listen(front.port, front.host),
            this.#auxiliaryServers.listen(this.#settings),
            this.#peerSocket.listen(peers.port, peers.host),
        ]);
        this.#events.emit("started", {
            id,
            incarnation: this.#incarnation,
            callers: formatAddress(front),
            peers: formatAddress(peers),
            operators: formatAddress(metrics),
        });
        this.#runTask("following the store", this.#storeView.run(this.#closed.signal));
        this.#runTask("exchanging gossip", runGossip(this.#membership, this.#closed.signal));
        this.#runTask("periodic work", this.#runTicks());
    }

    /**
     * Applies changed settings. The limits take effect immediately. Id, place, addresses, seeds and processor share
     * take effect at the next start, as callers and peers know them; returns the names of such settings that differ.
     */
    reload(changed: GatewaySettings): readonly string[] {
        const { retryLimits, probesPerServerPerSecond, addressTtlMs, shutdownGraceMs } = changed;
        const pendingRestart = restartOnlySettings.filter(
            name => JSON.stringify(changed[name]) !== JSON.stringify(this.#settings[name]),
        );
        this.#settings = {
            ...this.#settings,
            retryLimits,
            probesPerServerPerSecond,
            addressTtlMs,
            shutdownGraceMs,
        };
        this.#dispatchers.setRetryLimits(retryLimits);
        this.#dispatchers.setProbeLimit(probesPerServerPerSecond);
        return pendingRestart;
    }

    /**
     * Shuts down gracefully: immediately reports not ready and leaves the address lists, keeps serving callers that
     * still use an older address list, then drains the connections and closes everything when the grace period ends.
     */
    async stop(signal: string): Promise<void> {
        if (this.#state === "stopping") {
            return;
        }
        this.#state = "stopping";
        const { shutdownGraceMs, addressTtlMs } = this.#settings;
        this.#events.emit("stop-asked", { signal });
        this.#membership.leave(monotonicMs());
        this.#statements.release(monotonicMs());
        this.#frontend.beginDrain();
        await delay(Math.min(addressTtlMs + leavePropagationMs, shutdownGraceMs / 2), this.#closed.signal);
        const finished = new AbortController();
        const finishing = this.#frontend.drain().finally(() => finished.abort());
        await Promise.race([finishing, delay(shutdownGraceMs - exitReserveMs, finished.signal)]);
        this.#close();
        this.#events.emit("stopped", { cut: this.#frontend.inFlight });
    }

    #close(): void {
        this.#closed.abort();
        this.#auxiliaryServers.close();
        this.#peerSocket.close();
        Object.values(this.#agents).forEach(it => it.destroy());
    }

    #createMembership(): Membership {
        const membership = createMembership(
            this.#settings,
            this.#incarnation,
            this.#peerSocket,
            monotonicMs(),
            wallClockMs(),
        );
        membership.members.subscribe(members => {
            this.#members.update(members);
            const count = (state: EntryVm["state"]): number =>
                members.filter(vm => vm.state === state).length;
            this.#metrics.setMemberCounts({
                alive: count("alive"),
                suspect: count("suspect"),
                leaving: count("leaving"),
            });
        });
        return membership;
    }

    #applyStoreView(): void {
        const { config, isComplete } = this.#storeView;
        const servers = this.#statements.markLeaving(this.#storeView.servers);
        if (config) {
            this.#dispatchers.update(config, servers);
            this.#partitioner.update(config, servers);
        }
        if (this.#state === "starting" && config && isComplete) {
            this.#state = "serving";
            this.#events.emit("ready", { version: config.version });
        }
    }

    #makeForwardOptions(): ForwardOptions {
        return {
            wire: this.#platform.wire,
            clock: monotonicMs,
            timers: new TimerSet(monotonicMs, timerPeriodMs),
            nextId: () => ++this.#lastId,
            findRoute: (host, target) => this.#findRoute(host, target),
            maxBodyBytes: () => this.#storeView.config?.limits.maxBodyBytes ?? 0,
            chooseService: route => {
                const service = this.#splits.chooseService(route, Math.random);
                this.#demand.countService(service);
                return service;
            },
            dispatcher: service => this.#dispatchers.dispatcher(service),
            elapsedMs: (route, deadlineMs) =>
                this.#elapsedTimes.elapsedMs(`${route.host}${route.pathPrefix}`, deadlineMs),
            countRequest: service => this.#dispatchers.retryBudget(service)?.recordRequest(monotonicMs()),
            tryRetry: service =>
                this.#dispatchers.retryBudget(service)?.tryTake(monotonicMs(), this.#members.budgetDivisor) ??
                false,
            recordStatement: this.#recordStatement,
            agents: this.#agents,
            lagMs: () => this.#lag.lagMs(monotonicMs()),
            acceptWaitMs: req => this.#frontend.acceptWaitMs(req),
            countAhead: req => this.#frontend.countAhead(req),
            extraHeaders: req => this.#frontend.extraHeaders(req),
            crashGuard: this.#crashes,
            onSendLost: send => this.#reporter.reportLostSend(send),
            onDone: record => this.#reporter.report(record),
        };
    }

    #findRoute(host: string, target: string): Route {
        const { table } = this.#storeView;
        if (!table || this.#state === "starting") {
            throw new CallError("not-ready", "", notReadyRetryMs);
        }
        const route = table.find(host, target);
        if (!route) {
            throw new CallError("no-route");
        }
        this.#demand.countHost(route.host);
        return route;
    }

    /** Runs periodic work until the node is closed. */
    async #runTicks(): Promise<void> {
        while (!this.#closed.signal.aborted) {
            await delay(tickMs, this.#closed.signal);
            this.#tick(monotonicMs());
        }
    }

    #tick(now: number): void {
        this.#lag.recordRun(now, now + tickMs);
        this.#dispatchers.tick();
        if (this.#storeView.serversRevision !== this.#appliedRevision || this.#state === "starting") {
            this.#appliedRevision = this.#storeView.serversRevision;
            this.#applyStoreView();
        }
        if (this.#demand.tick(now)) {
            this.#partitioner.updateDemand(now);
            this.#dispatchers.updateDemand(this.#demand, this.#members.budgetDivisor, now);
        }
        this.#statements.tick(now);
        this.#crashes.tick();
        this.#dispatchers.takeProbeUsage(now).forEach(it => this.#reporter.reportProbes(it));
    }

    /** Watches a background task: if one fails, the error is rethrown, so that the process ends and is restarted. */
    #runTask(doing: string, task: Promise<void>): void {
        task.catch((err: unknown) => {
            const reason = err instanceof Error ? String(err.stack) : String(err);
            this.#events.emit("internal-error", { doing, reason });
            throw err;
        });
    }
}

/** Settings that only take effect at the next start. */
const restartOnlySettings = [
    "id",
    "place",
    "front",
    "ready",
    "directory",
    "peers",
    "metrics",
    "seeds",
    "processorShare",
    "linkMbps",
] as const satisfies readonly (keyof GatewaySettings)[];

/** Enough random bytes that no two runs get the same incarnation. */
const incarnationBytes = 9;
/** Servers compared before a send; comparing more than 3 to 6 gains little. */
const comparedServers = 3;
/** Below the 10 s after which servers close idle connections. */
const keepAliveIdleMs = 8_000;
/** Servers announce their idle timeout in whole seconds, so the real one may be up to 1 s shorter. */
const keepAliveMarginMs = 1_500;
/** Interval at which request timeouts are checked; callers don't notice a delay of this length. */
const timerPeriodMs = 10;
/** About the time from the start of the process until it is ready. */
const notReadyRetryMs = 300;
/** Time for the other entry VMs to learn by gossip that this one is leaving. */
const leavePropagationMs = 500;
/** Part of the grace period that is reserved for writing the last log lines and exiting. */
const exitReserveMs = 400;
/** Interval of the periodic work, which also checks queued requests while nothing else triggers it. */
const tickMs = 50;
