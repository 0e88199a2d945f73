/** The entry process that serves routes: connects its components, and runs its start, periodic work and shutdown. */

import { randomBytes } from "node:crypto";
import type { IncomingMessage } from "node:http";
import { setImmediate as nextTurn } from "node:timers/promises";
import { KeyHash } from "@bramleymoor/accounts/table";
import { ReadPacer } from "@bramleymoor/input/pacer";
import type { Membership } from "@bramleymoor/membership/membership";
import type { Route, ServerEntry } from "@bramleymoor/model/route";
import type { EntryVm } from "@bramleymoor/model/vm";
import type { EventLog } from "@bramleymoor/observe/event-log";
import { CallMetrics } from "@bramleymoor/observe/metrics";
import { CallError } from "@bramleymoor/protocol/errors";
import { delay } from "@bramleymoor/proxy/delay";
import { EventLoopLag } from "@bramleymoor/proxy/eventlooplag";
import { ageOfRequest, type RequestAge } from "@bramleymoor/proxy/requestage";
import { TimerSet } from "@bramleymoor/proxy/timers";
import { TurnBudget } from "@bramleymoor/proxy/turnbudget";
import { LingerReset } from "@bramleymoor/reset/exitreset";
import { TrafficSplits } from "@bramleymoor/routing/split";
import { Subject } from "rxjs";
import { KeepAliveAgent, type ConnectionObserver } from "./agent.js";
import { findAccount } from "./accountcheck.js";
import { AuxiliaryServers } from "./auxiliaryservers.js";
import { BufferBudget } from "./bufferbudget.js";
import { monotonicMs, wallClockMs } from "./clock.js";
import { addressesToAskAtStart, createMembership, formatAddress } from "./createmembership.js";
import { CrashExchange } from "./crashexchange.js";
import { DemandExchange } from "./demand.js";
import type { RecordStatement } from "./dispatcher.js";
import { ElapsedTimeEstimator } from "./elapsed.js";
import { ForwardTask } from "./forward.js";
import type { ForwardOptions } from "./forwardoptions.js";
import { FrontendServer } from "./frontend.js";
import { runGossip } from "./gossip.js";
import { ageAtPeerMs, PeerForwarder } from "./peerforward.js";
import { HttpProbeClient } from "./probeclient.js";
import { StatementExchange } from "./statementexchange.js";
import { MemberTracker } from "./membertracker.js";
import { registerNodeMetrics } from "./nodemetrics.js";
import { PeerSocket } from "./peersocket.js";
import { QuotaExchange } from "./quotaexchange.js";
import { ReachExchange } from "./reachexchange.js";
import { RequestReporter } from "./reporter.js";
import { ServiceDispatchers } from "./servicedispatchers.js";
import type { GatewaySettings } from "./settings.js";
import { StopPlan } from "./stopplan.js";
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
    /** Reads all connections but those to the store. */
    readonly #pacer = new ReadPacer(monotonicMs);
    readonly #incarnation = randomBytes(incarnationBytes).toString("base64url");
    readonly #storeView: StoreView;
    readonly #peerSocket: PeerSocket;
    readonly #members: MemberTracker;
    readonly #membership: Membership;
    readonly #dispatchers: ServiceDispatchers;
    readonly #reach: ReachExchange;
    /** Connections to backend servers. */
    readonly #agents: ForwardOptions["agents"];
    /** Connections to peers, for requests. */
    readonly #peerAgents = createAgents(this.#pacer);
    readonly #probeClient: HttpProbeClient;
    /** Probes on new connections. */
    readonly #linkProbeClient: HttpProbeClient;
    readonly #statements: StatementExchange;
    readonly #crashes: CrashExchange;
    readonly #timers = new TimerSet(monotonicMs, timerPeriodMs);
    readonly #quotas: QuotaExchange;
    readonly #splits = new TrafficSplits();
    readonly #elapsedTimes = new ElapsedTimeEstimator();
    readonly #lag = new EventLoopLag(monotonicMs() + tickMs);
    readonly #demand: DemandExchange;
    readonly #partitioner: TrafficPartitioner;
    readonly #reporter: RequestReporter;
    readonly #frontend: FrontendServer;
    /** Serves the requests of peers that can't reach the servers. */
    readonly #peerFrontend: FrontendServer;
    readonly #auxiliaryServers: AuxiliaryServers;
    readonly #evacuationChanged = new Subject<void>();
    readonly #closed = new AbortController();
    readonly #recordStatement: RecordStatement = (server, statement, source, sentAt) =>
        this.#statements.record(server, statement, source, monotonicMs(), sentAt);
    #lastId = 0;
    #appliedRevision = -1;
    #state: "starting" | "serving" | "stopping" = "starting";
    #stopPlan: StopPlan | undefined = undefined;
    /** Resolves when the node has stopped; undefined until it is asked to. */
    #stopped: Promise<void> | undefined = undefined;

    constructor(settings: GatewaySettings, platform: PlatformAdapter, events: EventLog) {
        this.#settings = settings;
        this.#platform = platform;
        this.#events = events;
        this.#statements = new StatementExchange({
            self: settings.id,
            events,
            hasMetPeers: () => this.#members.budgetDivisor !== Infinity,
            runningShare: () => this.#members.runningShare,
            slowStartMargin: () => this.#settings.slowStartMargin,
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
            isCutOff: () => this.#reach.isCutOff,
            clock: monotonicMs,
        });
        this.#quotas = new QuotaExchange({
            self: settings.id,
            incarnation: this.#incarnation,
            limits: settings.quotaLimits,
            events,
            timers: this.#timers,
            send: (address, ask) => this.#peerSocket.sendQuotaAsk(address, ask),
            clock: monotonicMs,
        });
        this.#reach = new ReachExchange({
            self: settings.id,
            events,
            others: () => this.#members.others,
            send: (addresses, message) => this.#peerSocket.sendReach(addresses, message),
            probe: server => this.#probeLink(server),
            hasRoom: () => this.#hasRoomForPeers(),
            random: Math.random,
            clock: monotonicMs,
        });
        this.#reach.lost.subscribe(() => {
            this.#crashes.forgetUnclear();
            this.#dispatchers.releaseWaiting();
            this.#agents.pooled.closeIdle();
        });
        this.#agents = createAgents(this.#pacer, this.#reach.connections);
        const onInternalError = (doing: string, err: unknown): void => this.#reportInternalError(doing, err);
        this.#probeClient = new HttpProbeClient(platform.wire, this.#agents, onInternalError);
        this.#linkProbeClient = new HttpProbeClient(platform.wire, this.#agents, onInternalError);
        this.#dispatchers = new ServiceDispatchers({
            probeClient: this.#probeClient,
            clock: monotonicMs,
            random: Math.random,
            balance: { candidateCount: comparedServers, domain: settings.place.domain },
            retryLimits: settings.retryLimits,
            probesPerServerPerSecond: settings.probesPerServerPerSecond,
            maxHedgeRatio: settings.maxHedgeRatio,
            limiter: this.#statements.rules,
            recordStatement: this.#recordStatement,
            recordProbe: (server, isAlive, sentAt) => {
                this.#crashes.recordProbe(server, isAlive, sentAt);
                this.#reach.recordProbe(server, isAlive, sentAt);
            },
        });
        this.#peerSocket = new PeerSocket(
            {
                onGossip: message => this.#membership.receive(message, monotonicMs()),
                onDiscovery: (message, from) =>
                    this.#storeView.receive(message, from, this.#lag.lagMs(monotonicMs())),
                onLimits: message => {
                    const now = monotonicMs();
                    this.#statements.receive(message, this.#lag.lagMs(now), now);
                },
                onCrashes: message => this.#crashes.receive(message, this.#lag.lagMs(monotonicMs())),
                onReach: message => this.#reach.receive(message, this.#lag.lagMs(monotonicMs())),
                onQuotaAsk: ask => this.#quotas.receiveAsk(ask),
                onQuotaReply: reply => this.#quotas.receiveReply(reply),
                onRejected: (address, reason) => events.emit("peer-refused", { address, reason }),
            },
            monotonicMs,
        );
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
            isCutOff: vm => this.#reach.isCutOffVm(vm),
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
            keyHash: new KeyHash(randomBytes(keySecretBytes)),
            nextTurn,
            onConfig: config => {
                this.#frontend.setLimits(config.limits);
                this.#peerFrontend.setLimits(config.limits);
                this.#metrics.setConfigVersion(config.version);
                this.#quotas.updateAccounts(config.accounts ?? []);
                this.#applyStoreView();
            },
            onEvacuation: ({ ended }) => {
                const now = monotonicMs();
                ended.forEach(domain => this.#statements.markDomainCold(domain, now, now));
                this.#applyStoreView();
                this.#evacuationChanged.next();
            },
        });
        registerNodeMetrics(this.#metrics, {
            storeCalls: platform.storeCalls,
            droppedLines: platform.droppedLines,
            probesSent: () => this.#probeClient.probesSent,
            peerBytes: () => this.#peerSocket.bytes,
            sendsCancelledAtOnce: () => this.#reporter.cancelledAtOnce,
            storeEra: () => this.#storeView.era,
            limitedServers: () => this.#statements.limits.limitedServers,
            coldServers: () => this.#statements.coldServers(monotonicMs()),
            cutOff: () => Number(this.#reach.isCutOff),
            evacuatedDomains: () => this.#storeView.evacuatedDomains.size,
            quarantinedRequests: () => this.#crashes.quarantined,
            quotaCounts: () => this.#quotas.counts,
            lagMs: () => this.#lag.lagMs(monotonicMs()),
        });
        const shared = this.#makeSharedOptions();
        this.#frontend = this.#createFrontend(frontend => ({
            ...shared,
            ...connectionOptions(frontend),
            ageOf: req => this.#ageOf(frontend, req),
            findRoute: (host, target) => this.#findRoute(host, target),
            peers: this.#createPeerForwarder(() => this.#reach.helpers),
        }));
        this.#peerFrontend = this.#createFrontend(frontend => ({
            ...shared,
            ...connectionOptions(frontend),
            ageOf: req => ({ ...this.#ageOf(frontend, req), peerMs: ageAtPeerMs(req) }),
            findRoute: (host, target) => this.#findRouteForPeer(host, target),
            // No request takes a second hop: without links, one of a peer is refused.
            peers: this.#createPeerForwarder(() => []),
        }));
        this.#auxiliaryServers = new AuxiliaryServers({
            wire: platform.wire,
            metrics: this.#metrics,
            isReady: () => this.#state === "serving",
            entryVmsFor: (host, domain) => this.#partitioner.entryVmsFor(host, domain),
            addressTtlMs: () => this.#settings.addressTtlMs,
            pacer: this.#pacer,
            onInternalError: (doing, err) => this.#reportInternalError(doing, err),
        });
    }

    /** Listens on all ports, joins the other entry VMs and follows the store. */
    async start(): Promise<void> {
        const { front, peers, metrics, id } = this.#settings;
        await Promise.all([
            this.#frontend.listen(front.port, front.host),
            this.#auxiliaryServers.listen(this.#settings),
            this.#peerSocket.listen(peers.port, peers.host),
            this.#peerFrontend.listen(peers.port, peers.host),
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
        const { retryLimits, probesPerServerPerSecond, quotaLimits, maxAccountsAgeMs, maxHedgeRatio } =
            changed;
        const { addressTtlMs, shutdownGraceMs, slowStartMargin } = changed;
        if (maxHedgeRatio !== this.#settings.maxHedgeRatio) {
            this.#events.emit("hedging-changed", {
                ratio: maxHedgeRatio,
                previous: this.#settings.maxHedgeRatio,
            });
        }
        const pendingRestart = restartOnlySettings.filter(
            name => JSON.stringify(changed[name]) !== JSON.stringify(this.#settings[name]),
        );
        this.#settings = {
            ...this.#settings,
            retryLimits,
            probesPerServerPerSecond,
            maxAccountsAgeMs,
            quotaLimits,
            maxHedgeRatio,
            addressTtlMs,
            shutdownGraceMs,
            slowStartMargin,
        };
        this.#dispatchers.setRetryLimits(retryLimits);
        this.#dispatchers.setProbeLimit(probesPerServerPerSecond);
        this.#quotas.setLimits(quotaLimits);
        this.#dispatchers.setMaxHedgeRatio(maxHedgeRatio);
        return pendingRestart;
    }

    /**
     * Shuts down gracefully: immediately reports not ready and leaves the address lists, keeps serving callers that
     * still use an older address list, then drains the connections and closes everything when the grace period ends. Later
     * calls change nothing, and resolve when the first one does.
     */
    stop(signal: string): Promise<void> {
        this.#stopped ??= this.#stop(signal);
        return this.#stopped;
    }

    async #stop(signal: string): Promise<void> {
        this.#state = "stopping";
        const plan = new StopPlan(monotonicMs(), this.#settings);
        this.#stopPlan = plan;
        this.#events.emit("stop-asked", { signal });
        this.#membership.leave(monotonicMs());
        this.#statements.release(monotonicMs());
        this.#frontend.beginDrain();
        this.#peerFrontend.beginDrain();
        await delay(plan.drainAt - monotonicMs(), this.#closed.signal);
        const finished = new AbortController();
        const finishing = Promise.all([this.#frontend.drain(), this.#peerFrontend.drain()]).finally(() =>
            finished.abort(),
        );
        await Promise.race([finishing, this.#waitForEnd(plan, finished.signal)]);
        this.#close();
        this.#events.emit("stopped", { cut: this.#frontend.inFlight + this.#peerFrontend.inFlight });
    }

    /** Resolves at the end of the grace period, before which requests that still wait for a server are refused. */
    async #waitForEnd(plan: StopPlan, finished: AbortSignal): Promise<void> {
        await delay(plan.lastSendAt - monotonicMs(), finished);
        this.#dispatchers.releaseWaiting();
        await delay(plan.endsAt - monotonicMs(), finished);
    }

    #close(): void {
        this.#closed.abort();
        this.#auxiliaryServers.close();
        this.#peerSocket.close();
        [this.#agents, this.#peerAgents].flatMap(it => Object.values(it)).forEach(it => it.destroy());
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
            const isOwnSeed = this.#settings.seeds.every(host => host === this.#settings.peers.host);
            this.#quotas.updateMembers(members, this.#members.settleMs(isOwnSeed));
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
        const { config, isComplete, evacuatedDomains } = this.#storeView;
        if (config) {
            const now = monotonicMs();
            this.#statements.updateServers(this.#storeView.servers, config, isComplete, wallClockMs(), now);
        }
        const servers = this.#statements
            .markLeaving(this.#storeView.servers)
            .map(it => ({ ...it, evacuated: evacuatedDomains.has(it.entry.domain) }));
        const inUse = servers.filter(it => !it.evacuated).map(it => it.entry);
        this.#reach.updateServers(
            inUse.filter(it => !it.leaving && config?.services.has(it.service)),
            servers.filter(it => it.evacuated).map(it => it.entry),
        );
        if (config) {
            this.#dispatchers.update(config, servers);
            this.#partitioner.update(config, servers);
        }
        if (this.#state === "starting" && config && isComplete) {
            this.#state = "serving";
            this.#events.emit("ready", { version: config.version });
        }
    }

    #createFrontend(optionsFor: (frontend: FrontendServer) => ForwardOptions): FrontendServer {
        const frontend: FrontendServer = new FrontendServer({
            serve: (req, res) => new ForwardTask(options, req, res).run(),
            onMalformed: (reason, address) => this.#events.emit("request-malformed", { address, reason }),
            onInternalError: (doing, err) => this.#reportInternalError(doing, err),
            onServed: waitMs => this.#metrics.recordAcceptWait(waitMs),
            onUnread: waitMs => this.#events.emit("connection-unread", { waitMs: Math.round(waitMs) }),
            pacer: this.#pacer,
            clock: monotonicMs,
        });
        const options = optionsFor(frontend);
        return frontend;
    }

    #createPeerForwarder(helpers: () => readonly EntryVm[]): PeerForwarder {
        return new PeerForwarder({
            wire: this.#platform.wire,
            isCutOff: () => this.#reach.isCutOff,
            helpers,
            agents: this.#peerAgents,
            random: Math.random,
            clock: monotonicMs,
        });
    }

    /** Returns the options of requests from callers and from peers alike. */
    #makeSharedOptions(): Omit<
        ForwardOptions,
        keyof ReturnType<typeof connectionOptions> | "ageOf" | "findRoute" | "peers"
    > {
        return {
            wire: this.#platform.wire,
            clock: monotonicMs,
            timers: this.#timers,
            turns: new TurnBudget({
                isCrowded: () => this.#frontend.isCrowded || this.#peerFrontend.isCrowded,
                clock: monotonicMs,
            }),
            nextId: () => ++this.#lastId,
            authenticate: (req, route) =>
                findAccount(req, route, {
                    table: this.#storeView.accounts,
                    ageMs: this.#storeView.configAgeMs(monotonicMs()),
                    maxAgeMs: this.#settings.maxAccountsAgeMs,
                }),
            hasAccounts: () => this.#storeView.accounts !== undefined,
            quotas: this.#quotas,
            takeHedgeGrant: async account => {
                const grant = account && (await this.#quotas.acquire(account, monotonicMs()));
                return { release: () => grant?.release(monotonicMs()) };
            },
            maxBodyBytes: () => this.#storeView.config?.limits.maxBodyBytes ?? 0,
            chooseService: route => {
                const service = this.#splits.chooseService(route, Math.random);
                if (!this.#reach.isCutOff) {
                    this.#demand.countService(service);
                }
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
            linksLost: this.#reach.lost,
            evacuationChanged: this.#evacuationChanged,
            stopPlan: () => this.#stopPlan,
            responseBuffers: new BufferBudget(responseBufferBytes),
            exitReset: new LingerReset(reason => this.#events.emit("exit-reset-failed", { reason })),
            lagMs: () => this.#lag.lagMs(monotonicMs()),
            crashGuard: this.#crashes,
            onSendLost: send => this.#reporter.reportLostSend(send),
            onInternalError: (doing, err) => this.#reportInternalError(doing, err),
            onDone: record => this.#reporter.report(record),
        };
    }

    #ageOf(frontend: FrontendServer, req: IncomingMessage): RequestAge {
        const unreadMs = this.#lag.unreadMs(monotonicMs());
        return ageOfRequest(req, { acceptMs: frontend.acceptWaitMs(req), unreadMs });
    }

    #findRoute(host: string, target: string): Route {
        const route = this.#findRouteForPeer(host, target);
        this.#demand.countHost(route.host);
        return route;
    }

    /** Returns the route of a request that a peer has counted. */
    #findRouteForPeer(host: string, target: string): Route {
        const { table } = this.#storeView;
        if (!table || this.#state === "starting") {
            throw new CallError("not-ready", "", notReadyRetryMs);
        }
        const route = table.find(host, target);
        if (!route) {
            throw new CallError("no-route");
        }
        return route;
    }

    async #probeLink(server: ServerEntry): Promise<boolean> {
        const healthPath = this.#storeView.config?.services.get(server.service)?.healthPath;
        if (healthPath === undefined) {
            return false;
        }
        const response = await this.#linkProbeClient.probe(server, healthPath, {
            onNewConnection: true,
            onResend: () => undefined,
        });
        return response !== undefined && !response.misdirected;
    }

    /** Whether this entry VM keeps up with its own callers, and may take more from peers. */
    #hasRoomForPeers(): boolean {
        const { processorShare } = this.#settings;
        return (
            this.#state === "serving" &&
            this.#lag.lagMs(monotonicMs()) < maxLagForPeersMs &&
            this.#peerFrontend.inFlight < processorShare * peerRequestsPerCore
        );
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
        this.#reach.tick();
        this.#quotas.tick();
        this.#dispatchers.takeProbeUsage(now).forEach(it => this.#reporter.reportProbes(it));
        this.#dispatchers.takeHedgeUsage(now).forEach(it => this.#reporter.reportHedges(it));
    }

    /** Watches a background task: if one fails, the error is rethrown, so that the process ends and is restarted. */
    #runTask(doing: string, task: Promise<void>): void {
        task.catch((err: unknown) => {
            this.#reportInternalError(doing, err);
            throw err;
        });
    }

    #reportInternalError(doing: string, err: unknown): void {
        const reason = err instanceof Error ? String(err.stack) : String(err);
        this.#events.emit("internal-error", { doing, reason });
    }
}

const createAgents = (pacer: ReadPacer, observer?: ConnectionObserver): ForwardOptions["agents"] => {
    const shared = { marginMs: keepAliveMarginMs, clock: monotonicMs, pacer };
    const settings = observer ? { ...shared, observer } : shared;
    return {
        pooled: new KeepAliveAgent({ ...settings, idleMs: keepAliveIdleMs }),
        unpooled: new KeepAliveAgent({ ...settings, idleMs: 0 }),
    };
};

/** Returns what requests need to know of the connections that a frontend accepts. */
const connectionOptions = (
    frontend: FrontendServer,
): Pick<
    ForwardOptions,
    "countAhead" | "isPipelined" | "isFollowed" | "endOfStreamAhead" | "extraHeaders"
> => ({
    countAhead: req => frontend.countAhead(req),
    isPipelined: req => frontend.isPipelined(req),
    isFollowed: req => frontend.isFollowed(req),
    endOfStreamAhead: req => frontend.endOfStreamAhead(req),
    extraHeaders: req => frontend.extraHeaders(req),
});

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
/** As many as the hash of a key has. */
const keySecretBytes = 32;
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
/** An entry VM that is later than this has no room for requests of peers. */
const maxLagForPeersMs = 100;
/** Requests of peers that are in flight at the same time, per processor core. */
const peerRequestsPerCore = 200;
/** A tenth of the memory of the smallest VM. */
const responseBufferBytes = 24 * 1024 * 1024;
/** Interval of the periodic work, which also checks queued requests while nothing else triggers it. */
const tickMs = 50;
