/** One entry process: creates and connects its parts, starts them, and stops them in order. */

import { randomBytes } from "node:crypto";
import { Checkpointer } from "@bramleymoor/config/checkpointer";
import { Follower } from "@bramleymoor/config/follower";
import type { PeerMessage } from "@bramleymoor/dispatch/sharing";
import { SeededRandom, type Random } from "@bramleymoor/dispatch/random";
import { ReadPacer } from "@bramleymoor/input/pacer";
import { Membership, membershipDefaults } from "@bramleymoor/membership/membership";
import type { EntryVm } from "@bramleymoor/model/vm";
import type { EventLog } from "@bramleymoor/observe/event-log";
import { CallMetrics } from "@bramleymoor/observe/metrics";
import { OnceTable } from "@bramleymoor/once/table";
import { TicketIssuer } from "@bramleymoor/once/tickets";
import type { LogService } from "@bramleymoor/platform/log";
import type { VmList } from "@bramleymoor/platform/vmlist";
import { probeDefaults } from "@bramleymoor/probing/budget";
import { delay } from "@bramleymoor/proxy/delay";
import { EventLoopLag } from "@bramleymoor/proxy/eventlooplag";
import { CallServer } from "@bramleymoor/proxy/server";
import { LingerReset } from "@bramleymoor/reset/exitreset";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { monotonicMs, wallClockMs } from "./clock.js";
import { SharedKey } from "./sharedkey.js";
import { OperatorsServer, type NodeState } from "./operators.js";
import { PeerClient } from "./peerclient.js";
import { ConfigPeers, LocalPeerService } from "./localpeerservice.js";
import { PeerServer } from "./peerserver.js";
import { PeriodicTasks } from "./periodictasks.js";
import { ProbeSender } from "./probesender.js";
import { NodeInspector } from "./nodeinspector.js";
import { ServiceTable } from "./services.js";
import { SlotMessageFilter } from "./slotmessagefilter.js";
import { SlotChannel } from "./slotchannel.js";
import type { Endpoint, Settings } from "./settings.js";
import { EventReporter } from "./eventreporter.js";

/** Timeout of a call to a peer. */
const peerTimeoutMs = 1_000;
/** For this long after the start, an unknown ticket issuer doesn't count as gone, as members may still be unknown. */
const joinGraceMs = 10_000;
/** Time for the other entry VMs to learn that this one is leaving, in milliseconds. */
const leavePropagationMs = 3_000;
/** Largest response body that the at-most-once table stores, and the limit of all stored bodies together. */
const onceMaxBodyBytes = 16_384;
const onceMaxTotalBytes = 16 * 1024 * 1024;
const incarnationBytes = 9;
const ticketKeyBytes = 32;

/** The platform's services that an entry process uses. */
export type Platform = LogService &
    VmList & {
        /** Bytes sent and received so far; undefined for the in-memory platform. */
        readonly bytes?: number;
    };

/** The "IP:port" addresses on which a node listens. */
export interface NodeAddresses {
    readonly callers: string;
    readonly operators: string;
    readonly peers: string;
}

/** One run of the entry process. */
export class EntryNode {
    readonly #settings: Settings;
    readonly #events: EventLog;
    readonly #metrics = new CallMetrics();
    /** Reads all connections but those of calls and to the platform. */
    readonly #pacer = new ReadPacer(monotonicMs);
    readonly #reporter: EventReporter;
    readonly #platform: Platform;
    readonly #incarnation = randomBytes(incarnationBytes).toString("base64url");
    readonly #random: Random = new SeededRandom(randomBytes(4).readInt32LE());
    readonly #ticketIssuer: TicketIssuer;
    readonly #onceTable: OnceTable;
    readonly #peerClient: PeerClient;
    readonly #probeSender: ProbeSender;
    readonly #slotChannel: SlotChannel;
    readonly #slotMessageFilter = new SlotMessageFilter();
    readonly #services: ServiceTable;
    readonly #callServer: CallServer;
    readonly #peerServer: PeerServer;
    readonly #operatorsServer: OperatorsServer;
    readonly #startedAt = monotonicMs();
    readonly #lag = new EventLoopLag(Infinity);
    readonly #taskAbort = new AbortController();
    #self: EntryVm | undefined;
    #membership: Membership | undefined;
    #peerService: LocalPeerService | undefined;
    #state: NodeState = "starting";

    /** @param platform the platform's services or an in-memory implementation of them */
    constructor(settings: Settings, platform: Platform, events: EventLog) {
        this.#settings = settings;
        this.#platform = platform;
        this.#events = events;
        this.#reporter = new EventReporter(events, this.#metrics);
        const { callers, sharedKey } = settings;
        const key = new SharedKey(sharedKey);
        this.#ticketIssuer = new TicketIssuer({
            incarnation: this.#incarnation,
            key: randomBytes(ticketKeyBytes),
            lifetimeMs: callers["ticket-ms"],
            randomBytes,
        });
        this.#onceTable = new OnceTable({
            maxEntries: callers["once-entries"],
            maxStoredBodyBytes: onceMaxBodyBytes,
            maxTotalStoredBytes: onceMaxTotalBytes,
        });
        this.#peerClient = new PeerClient(key, peerTimeoutMs, this.#pacer);
        this.#probeSender = new ProbeSender(
            probeDefaults.probeTimeoutMs,
            monotonicMs,
            this.#pacer,
            (service, serverMs, bytes) => this.#reporter.recordProbe(service, serverMs, bytes),
        );
        this.#services = this.#createServices();
        this.#slotChannel = new SlotChannel(
            sharedKey,
            datagram => this.#services.receive(datagram, monotonicMs()),
            (address, reason) => events.emit("peer-refused", { address, reason }),
        );
        this.#callServer = this.#createCallServer();
        this.#peerServer = new PeerServer(
            () => this.#peerService,
            key,
            this.#pacer,
            address => events.emit("peer-refused", { address, reason: "missing or wrong shared key" }),
        );
        const inspector = new NodeInspector({
            self: () => this.#selfOrThrow,
            state: () => this.#state,
            members: () => this.members,
            services: this.#services,
            metrics: this.#metrics,
            controlBytes: () =>
                this.#peerServer.bytes +
                this.#peerClient.bytes +
                this.#slotChannel.bytes +
                (this.#platform.bytes ?? 0),
            clock: monotonicMs,
        });
        this.#operatorsServer = new OperatorsServer(inspector, key, this.#pacer);
    }

    /** The members that this node knows, itself included. */
    get members(): readonly EntryVm[] {
        return this.#membership?.current ?? [];
    }

    /** Listens on the three ports, joins the peers and starts to follow the accepted configuration. */
    async start(): Promise<NodeAddresses> {
        const addresses = await this.#listen();
        const { entry } = this.#settings;
        this.#self = {
            id: entry.id,
            incarnation: this.#incarnation,
            place: { region: entry.region, domain: entry.domain },
            callerAddress: addresses.callers,
            peerAddress: addresses.peers,
            state: "alive",
            load: 0,
        };
        const membership = this.#createMembership(this.#self);
        const follower = this.#createFollower();
        this.#peerService = new LocalPeerService({
            membership,
            follower,
            services: this.#services,
            clock: monotonicMs,
        });
        this.#events.emit("started", { id: entry.id, incarnation: this.#incarnation, ...addresses });
        this.#startPeriodicTasks(membership, follower);
        return addresses;
    }

    /**
     * Shuts down gracefully: announces to the peers that this entry VM is leaving, so that address responses no longer
     * contain it; serves callers with cached addresses until these have expired; then waits for the last byte of every
     * call in flight, for at most `drain-ms`.
     */
    async stop(signal: string): Promise<void> {
        if (this.#state === "stopping") {
            return;
        }
        this.#state = "stopping";
        this.#events.emit("stop-asked", { signal });
        this.#membership?.leave(monotonicMs());
        const { "ttl-ms": ttlMs, "drain-ms": drainMs } = this.#settings.callers;
        const expiredMs = ttlMs + leavePropagationMs;
        const drained = new AbortController();
        const stopped = this.#callServer.stop(expiredMs).finally(() => drained.abort());
        await Promise.race([stopped, delay(expiredMs + drainMs, drained.signal)]);
        this.#taskAbort.abort();
        this.#peerClient.close();
        this.#probeSender.close();
        this.#slotChannel.close();
        await Promise.all([this.#peerServer.close(), this.#operatorsServer.close()]);
        this.#events.emit("stopped", { cut: this.#callServer.inFlight });
    }

    get #selfOrThrow(): EntryVm {
        if (!this.#self) {
            throw new Error("the node has not been started");
        }
        return this.#self;
    }

    async #listen(): Promise<NodeAddresses> {
        const { callers, operators, peers } = this.#settings.ports;
        const listenOn = async (
            server: { listen(port: number, host: string): Promise<number> },
            endpoint: Endpoint,
        ) => `${endpoint.host}:${await server.listen(endpoint.port, endpoint.host)}`;
        const addresses = {
            callers: await listenOn(this.#callServer, callers),
            operators: await listenOn(this.#operatorsServer, operators),
            peers: await listenOn(this.#peerServer, peers),
        };
        await this.#slotChannel.listen(portOf(addresses.peers), peers.host);
        return addresses;
    }

    #createServices(): ServiceTable {
        return new ServiceTable({
            self: () => this.#selfOrThrow,
            ttlMs: this.#settings.callers["ttl-ms"],
            hostedServiceOptions: {
                probing: {
                    ...probeDefaults,
                    ordinal: this.#settings.entry.ordinal,
                    ordinalCount: this.#settings.peers["most-vms"],
                },
                random: this.#random,
                sendToDispatcher: (service, to, message) => this.#sendToDispatcher(service, to, message),
            },
            random: this.#random,
            clock: monotonicMs,
            issueTicket: now => this.#ticketIssuer.issue(now),
            queryPeer: async (peer, service) => await this.#peerClient.addresses(peer.peerAddress, service),
            weightOf: vm => Number(this.#membership?.payload(vm.id)["weight"] ?? 1),
            isStopping: () => this.#state === "stopping",
        });
    }

    #sendToDispatcher(service: string, to: number, message: PeerMessage): void {
        const address = this.#services.dispatcherAddress(service, to);
        const shouldSend = this.#slotMessageFilter.shouldSend(service, to, message, monotonicMs());
        if (address !== undefined && shouldSend && this.#services.isPlacedHere(service)) {
            this.#slotChannel.send(address, { id: this.#settings.entry.id, service, message });
        }
    }

    #createCallServer(): CallServer {
        const options = {
            services: this.#services,
            ticketIssuer: this.#ticketIssuer,
            onceTable: this.#onceTable,
            findIssuer: (incarnation: string) => this.#findIssuer(incarnation),
            clock: monotonicMs,
            lagMs: () => this.#lag.lagMs(monotonicMs()),
            unreadMs: () => this.#lag.unreadMs(monotonicMs()),
            observer: this.#reporter,
            exitReset: new LingerReset(reason => this.#events.emit("exit-reset-failed", { reason })),
        };
        return new CallServer(options, { callerConnections: this.#settings.callers["most-connections"] });
    }

    #findIssuer(incarnation: string): string | "gone" | "unreachable" {
        const found = this.members.find(vm => vm.incarnation === incarnation);
        if (found) {
            return found.callerAddress;
        }
        return monotonicMs() - this.#startedAt < joinGraceMs ? "unreachable" : "gone";
    }

    #createMembership(self: EntryVm): Membership {
        const transport = {
            send: async (address: string, msg: Parameters<PeerClient["gossip"]>[1]) =>
                await this.#peerClient.gossip(address, msg),
        };
        const settings = {
            ...membershipDefaults,
            cluster: this.#settings.peers.cluster,
            startedAt: wallClockMs(),
            seeds: this.#settings.peers.seeds,
        };
        const random = xoroshiro128plus(randomBytes(4).readInt32LE());
        const membership = new Membership(self, transport, settings, random, monotonicMs());
        membership.members.subscribe(members => {
            this.#reporter.recordMembers(members);
            this.#services.setMembers(members, monotonicMs());
            this.#peerClient.retainPeers(new Set(members.map(vm => vm.peerAddress)));
        });
        this.#membership = membership;
        return membership;
    }

    #createFollower(): Follower {
        const others = (): readonly EntryVm[] =>
            this.members.filter(vm => vm.id !== this.#selfOrThrow.id && vm.state !== "dead");
        const follower = new Follower({
            log: this.#platform,
            peers: new ConfigPeers(this.#peerClient, others, this.#random),
            events: event => this.#reporter.recordConfigEvent(event),
            random: () => this.#random.next(),
        });
        follower.changes.subscribe(accepted => {
            this.#reporter.recordVersion(accepted);
            this.#services.setAccepted(accepted, monotonicMs());
            this.#slotMessageFilter.retainServices(accepted.spec.services);
            this.#callServer.retainServices(accepted.spec.services);
            this.#markReady(accepted.number);
        });
        return follower;
    }

    #markReady(version: number): void {
        if (this.#state === "starting") {
            this.#state = "serving";
            this.#events.emit("ready", { version });
        }
    }

    #startPeriodicTasks(membership: Membership, follower: Follower): void {
        const periodicTasks = new PeriodicTasks({
            membership,
            services: this.#services,
            onceTable: this.#onceTable,
            client: this.#peerClient,
            probeSender: this.#probeSender,
            vmList: this.#platform,
            events: this.#events,
            lag: this.#lag,
            self: this.#selfOrThrow,
            clock: monotonicMs,
            delay,
        });
        const onFailure = (err: unknown): void => {
            this.#events.emit("internal-error", { doing: "running a periodic task", reason: String(err) });
        };
        const checkpointer = new Checkpointer({
            log: this.#platform,
            follower,
            events: event => this.#reporter.recordConfigEvent(event),
            random: () => this.#random.next(),
            retentionMs: this.#settings.platform["retention-ms"],
        });
        periodicTasks.run(this.#taskAbort.signal).catch(onFailure);
        checkpointer.run(this.#taskAbort.signal).catch(onFailure);
        follower.run(this.#taskAbort.signal).catch(onFailure);
    }
}

const portOf = (address: string): number => Number(address.slice(address.lastIndexOf(":") + 1));
