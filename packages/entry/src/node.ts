/** One entry process: its parts wired together, its start, its periodic tasks, and its planned stop. */

import { randomBytes } from "node:crypto";
import { Checkpointer } from "@bramleymoor/config/checkpointer";
import { Follower } from "@bramleymoor/config/follower";
import type { PeerMessage } from "@bramleymoor/dispatch/sharing";
import { SeededRandom, type Random } from "@bramleymoor/dispatch/random";
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
import { CallServer } from "@bramleymoor/proxy/server";
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

const peerTimeoutMs = 1_000;
const newcomerMs = 10_000;
const leaveSpreadMs = 3_000;
const onceKeepBytes = 16_384;
const onceKeptBytes = 16 * 1024 * 1024;
const incarnationBytes = 9;
const ticketKeyBytes = 32;

/** The platform as an entry process uses it. */
export type Platform = LogService &
    VmList & {
        /** Bytes sent to it and received from it so far; undefined for one in memory. */
        readonly bytes?: number;
    };

/** Where a node listens, as "IP:port". */
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
    readonly #watch: EventReporter;
    readonly #platform: Platform;
    readonly #incarnation = randomBytes(incarnationBytes).toString("base64url");
    readonly #random: Random = new SeededRandom(randomBytes(4).readInt32LE());
    readonly #tickets: TicketIssuer;
    readonly #once: OnceTable;
    readonly #client: PeerClient;
    readonly #probes: ProbeSender;
    readonly #slotChannel: SlotChannel;
    readonly #slotMessages = new SlotMessageFilter();
    readonly #services: ServiceTable;
    readonly #callServer: CallServer;
    readonly #peerServer: PeerServer;
    readonly #operatorsServer: OperatorsServer;
    readonly #startedAt = monotonicMs();
    readonly #ended = new AbortController();
    #self: EntryVm | undefined;
    #membership: Membership | undefined;
    #peering: LocalPeerService | undefined;
    #state: NodeState = "starting";

    /** @param platform the platform's services, or an in-memory form of them */
    constructor(settings: Settings, platform: Platform, events: EventLog) {
        this.#settings = settings;
        this.#platform = platform;
        this.#events = events;
        this.#watch = new EventReporter(events, this.#metrics);
        const { callers, sharedKey } = settings;
        const key = new SharedKey(sharedKey);
        this.#tickets = new TicketIssuer({
            incarnation: this.#incarnation,
            key: randomBytes(ticketKeyBytes),
            lifetimeMs: callers["ticket-ms"],
            randomBytes,
        });
        this.#once = new OnceTable({
            maxEntries: callers["once-entries"],
            maxKeptBodyBytes: onceKeepBytes,
            maxTotalKeptBytes: onceKeptBytes,
        });
        this.#client = new PeerClient(key, peerTimeoutMs);
        this.#probes = new ProbeSender(
            probeDefaults.probeTimeoutMs,
            monotonicMs,
            (service, serverMs, bytes) => this.#watch.recordProbe(service, serverMs, bytes),
        );
        this.#services = this.#makeServices();
        this.#slotChannel = new SlotChannel(sharedKey, datagram =>
            this.#services.receive(datagram, monotonicMs()),
        );
        this.#callServer = this.#makeCallServer();
        this.#peerServer = new PeerServer(
            () => this.#peering,
            key,
            address => events.emit("peer-refused", { address, reason: "no or a wrong shared key" }),
        );
        const report = new NodeInspector({
            self: () => this.#vm,
            state: () => this.#state,
            members: () => this.members,
            services: this.#services,
            metrics: this.#metrics,
            controlBytes: () =>
                this.#peerServer.bytes +
                this.#client.bytes +
                this.#slotChannel.bytes +
                (this.#platform.bytes ?? 0),
            clock: monotonicMs,
        });
        this.#operatorsServer = new OperatorsServer(report, key);
    }

    /** Every member that this node believes in, itself included. */
    get members(): readonly EntryVm[] {
        return this.#membership?.current ?? [];
    }

    /** Listens on the three ports, joins the peers and follows the accepted text. */
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
        const membership = this.#join(this.#self);
        const follower = this.#follow();
        this.#peering = new LocalPeerService({
            membership,
            follower,
            services: this.#services,
            clock: monotonicMs,
        });
        this.#events.emit("started", { id: entry.id, incarnation: this.#incarnation, ...addresses });
        this.#startPeriods(membership, follower);
        return addresses;
    }

    /**
     * Planned stop: out of the answers first, then serving the holders of old answers until those have expired,
     * then waiting for the last byte of every call in flight.
     */
    async stop(signal: string): Promise<void> {
        if (this.#state === "stopping") {
            return;
        }
        this.#state = "stopping";
        this.#events.emit("stop-asked", { signal });
        this.#membership?.leave(monotonicMs());
        const { "ttl-ms": ttlMs, "drain-ms": drainMs } = this.#settings.callers;
        const expiredMs = ttlMs + leaveSpreadMs;
        const drained = new AbortController();
        const stopped = this.#callServer.stop(expiredMs).finally(() => drained.abort());
        await Promise.race([stopped, delay(expiredMs + drainMs, drained.signal)]);
        this.#ended.abort();
        this.#client.close();
        this.#probes.close();
        this.#slotChannel.close();
        await Promise.all([this.#peerServer.close(), this.#operatorsServer.close()]);
        this.#events.emit("stopped", { cut: this.#callServer.inFlight });
    }

    get #vm(): EntryVm {
        if (!this.#self) {
            throw new Error("the node has not started");
        }
        return this.#self;
    }

    async #listen(): Promise<NodeAddresses> {
        const { callers, operators, peers } = this.#settings.ports;
        const on = async (server: { listen(port: number, host: string): Promise<number> }, at: Endpoint) =>
            `${at.host}:${await server.listen(at.port, at.host)}`;
        const addresses = {
            callers: await on(this.#callServer, callers),
            operators: await on(this.#operatorsServer, operators),
            peers: await on(this.#peerServer, peers),
        };
        await this.#slotChannel.listen(portOf(addresses.peers), peers.host);
        return addresses;
    }

    #makeServices(): ServiceTable {
        return new ServiceTable({
            self: () => this.#vm,
            ttlMs: this.#settings.callers["ttl-ms"],
            hosting: {
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
            issueTicket: now => this.#tickets.issue(now),
            askPeer: async (peer, service) => await this.#client.addresses(peer.peerAddress, service),
            weightOf: vm => Number(this.#membership?.payload(vm.id)["weight"] ?? 1),
            stopping: () => this.#state === "stopping",
        });
    }

    #sendToDispatcher(service: string, to: number, message: PeerMessage): void {
        const address = this.#services.dispatcherAddress(service, to);
        const worth = this.#slotMessages.shouldSend(service, to, message, monotonicMs());
        if (address !== undefined && worth && this.#services.isPlacedHere(service)) {
            this.#slotChannel.send(address, { id: this.#settings.entry.id, service, message });
        }
    }

    #makeCallServer(): CallServer {
        const parts = {
            services: this.#services,
            ticketIssuer: this.#tickets,
            onceTable: this.#once,
            findIssuer: (incarnation: string) => this.#findIssuer(incarnation),
            clock: monotonicMs,
            observer: this.#watch,
        };
        return new CallServer(parts, { callerConnections: this.#settings.callers["most-connections"] });
    }

    #findIssuer(incarnation: string): string | "gone" | "unreachable" {
        const found = this.members.find(vm => vm.incarnation === incarnation);
        if (found) {
            return found.callerAddress;
        }
        return monotonicMs() - this.#startedAt < newcomerMs ? "unreachable" : "gone";
    }

    #join(self: EntryVm): Membership {
        const transport = {
            send: async (address: string, msg: Parameters<PeerClient["gossip"]>[1]) =>
                await this.#client.gossip(address, msg),
        };
        const settings = {
            ...membershipDefaults,
            cluster: this.#settings.peers.cluster,
            startedAt: wallClockMs(),
            seeds: this.#settings.peers.seeds,
        };
        const random = xoroshiro128plus(randomBytes(4).readInt32LE());
        const membership = new Membership(self, transport, settings, random, monotonicMs());
        membership.members.subscribe(list => {
            this.#watch.recordMembers(list);
            this.#services.setMembers(list, monotonicMs());
            this.#client.retainPeers(new Set(list.map(vm => vm.peerAddress)));
        });
        this.#membership = membership;
        return membership;
    }

    #follow(): Follower {
        const others = (): readonly EntryVm[] =>
            this.members.filter(vm => vm.id !== this.#vm.id && vm.state !== "dead");
        const follower = new Follower({
            log: this.#platform,
            peers: new ConfigPeers(this.#client, others, this.#random),
            events: event => this.#watch.recordConfigEvent(event),
            random: () => this.#random.next(),
        });
        follower.changes.subscribe(accepted => {
            this.#watch.recordVersion(accepted);
            this.#services.setAccepted(accepted, monotonicMs());
            this.#ready(accepted.number);
        });
        return follower;
    }

    #ready(version: number): void {
        if (this.#state === "starting") {
            this.#state = "serving";
            this.#events.emit("ready", { version });
        }
    }

    #startPeriods(membership: Membership, follower: Follower): void {
        const periods = new PeriodicTasks({
            membership,
            services: this.#services,
            once: this.#once,
            client: this.#client,
            probes: this.#probes,
            vmList: this.#platform,
            events: this.#events,
            self: this.#vm,
            clock: monotonicMs,
            delay,
        });
        const failed = (err: unknown): void => {
            this.#events.emit("internal-error", { doing: "a periodic task", reason: String(err) });
        };
        const checkpointer = new Checkpointer({
            log: this.#platform,
            follower,
            events: event => this.#watch.recordConfigEvent(event),
            random: () => this.#random.next(),
            retentionMs: this.#settings.platform["retention-ms"],
        });
        periods.run(this.#ended.signal).catch(failed);
        checkpointer.run(this.#ended.signal).catch(failed);
        follower.run(this.#ended.signal).catch(failed);
    }
}

const portOf = (address: string): number => Number(address.slice(address.lastIndexOf(":") + 1));
