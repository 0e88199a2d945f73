/** Connects the judgement of this entry VM's links with its connections, its probes, the other entry VMs and the log. */

import { incarnationKey, type ServerEntry } from "@bramleymoor/model/route";
import type { EntryVm } from "@bramleymoor/model/vm";
import type { EventLog } from "@bramleymoor/observe/event-log";
import type { ReachMessage } from "@bramleymoor/reach/messages";
import { Reach } from "@bramleymoor/reach/reach";
import { Subject } from "rxjs";
import type { ConnectionObserver } from "./agent.js";

/** Dependencies of a `ReachExchange`. */
export interface ReachExchangeOptions {
    /** Stable name of this entry VM. */
    readonly self: string;
    readonly events: Pick<EventLog, "emit">;
    /** Returns all other entry VMs that aren't dead. */
    readonly others: () => readonly EntryVm[];
    /** Sends a message to other entry VMs. */
    readonly send: (peerAddresses: readonly string[], message: ReachMessage) => void;
    /** Probes a server on a new connection; resolves to whether it responded. */
    readonly probe: (server: ServerEntry) => Promise<boolean>;
    /** Whether this entry VM has room for requests of others. */
    readonly hasRoom: () => boolean;
    /** Returns a random number of at least 0 and below 1. */
    readonly random: () => number;
    /** Returns monotonic milliseconds. */
    readonly clock: () => number;
}

/** The reach of one entry VM, kept up to date with its peers and logged. */
export class ReachExchange {
    /** Emits when this entry VM has lost its links to the servers, while others have not. */
    readonly lost = new Subject<void>();
    /** What connections to servers say of the links. */
    readonly connections: ConnectionObserver;
    readonly #options: ReachExchangeOptions;
    readonly #reach: Reach;
    #servers: ReadonlyMap<string, ServerEntry> = new Map();
    #keysByAddress: ReadonlyMap<string, string> = new Map();
    /** Incarnation keys of the servers in evacuated failure domains. */
    #ignored: ReadonlySet<string> = new Set();
    #cutOffPeers: ReadonlySet<string> = new Set();
    #lostAt: number | undefined = undefined;
    #probedForPeersAt = -Infinity;

    constructor(options: ReachExchangeOptions) {
        this.#options = options;
        const { self, random, clock } = options;
        this.#reach = new Reach({ self, random });
        this.connections = {
            onConnected: () => this.#reach.recordConnected(),
            onConnectFailed: (address, startedAt) =>
                this.#withKey(address, key =>
                    this.#reach.recordFailure(key, "no-connection", startedAt, clock()),
                ),
            onResponse: address => this.#withKey(address, key => this.#reach.recordResponse(key, clock())),
        };
    }

    /** Whether this entry VM has lost its links to the servers, while others have not. */
    get isCutOff(): boolean {
        return this.#reach.isCutOff;
    }

    /** Whether an entry VM has lost its links to the servers, this one included. */
    isCutOffVm({ id }: EntryVm): boolean {
        return this.#reach.isCutOffVm(id, this.#options.clock());
    }

    /** Returns the peers that reach servers and have room for this entry VM's requests. */
    get helpers(): readonly EntryVm[] {
        const helpers = new Set(this.#reach.helpers(this.#options.clock()));
        return this.#options.others().filter(vm => vm.state === "alive" && helpers.has(vm.id));
    }

    /**
     * Applies a newer list of servers.
     *
     * @param servers those that requests may be sent to
     * @param evacuated those in evacuated failure domains, which say nothing of the links
     */
    updateServers(servers: readonly ServerEntry[], evacuated: readonly ServerEntry[] = []): void {
        this.#ignored = new Set(evacuated.map(incarnationKey));
        this.#reach.forgetServers(this.#ignored);
        this.#servers = new Map(servers.map(it => [incarnationKey(it), it]));
        this.#keysByAddress = new Map(servers.map(it => [it.address, incarnationKey(it)]));
    }

    /** Records whether a server has responded to a probe sent at `sentAt`. */
    recordProbe(server: ServerEntry, isAnswered: boolean, sentAt: number): void {
        const key = incarnationKey(server);
        const now = this.#options.clock();
        if (this.#ignored.has(key)) {
            return;
        }
        if (isAnswered) {
            this.#reach.recordResponse(key, now);
        } else {
            this.#reach.recordFailure(key, "silent", sentAt, now);
        }
    }

    /**
     * Processes a peer's message.
     *
     * @param unreadMs how long the message may have waited unread, in milliseconds
     */
    receive(message: ReachMessage, unreadMs: number): void {
        const { hasRoom, others, send, clock } = this.#options;
        const now = clock();
        const { answer, unknown } = this.#reach.receive(message, hasRoom(), unreadMs, now);
        const asker = others().find(vm => vm.id === message.from);
        if (answer && asker) {
            send([asker.peerAddress], answer);
        }
        if (unknown.length > 0 && now - this.#probedForPeersAt >= probeForPeersMs) {
            this.#probedForPeersAt = now;
            unknown.slice(0, probesForPeers).forEach(it => this.#probe(it));
        }
    }

    /** Judges what is known, and does what is due. To be called often. */
    tick(): void {
        if (this.#reach.isIdle && this.#lostAt === undefined && this.#cutOffPeers.size === 0) {
            return;
        }
        const { others, send, clock } = this.#options;
        const peers = others();
        const alive = peers.filter(vm => vm.state === "alive").map(vm => vm.id);
        const actions = this.#reach.tick([...this.#servers.keys()], alive, clock());
        this.#logChanges(peers);
        const addresses = peers.map(vm => vm.peerAddress);
        actions.broadcasts.forEach(it => send(addresses, it));
        for (const { to, message } of actions.questions) {
            const asked = new Set(to);
            send(
                peers.filter(vm => asked.has(vm.id)).map(vm => vm.peerAddress),
                message,
            );
        }
        actions.probes.forEach(it => this.#probe(it));
    }

    #probe(key: string): void {
        const server = this.#servers.get(key);
        if (!server) {
            return;
        }
        const { probe, clock } = this.#options;
        const sentAt = clock();
        void probe(server).then(isAnswered => {
            if (!this.#ignored.has(key)) {
                this.#reach.recordLinkProbe(key, isAnswered, sentAt, clock());
            }
        });
    }

    #logChanges(peers: readonly EntryVm[]): void {
        const { events, clock } = this.#options;
        const now = clock();
        if (this.isCutOff && this.#lostAt === undefined) {
            this.#lostAt = now;
            events.emit("links-lost", {});
            this.lost.next();
        } else if (!this.isCutOff && this.#lostAt !== undefined) {
            events.emit("links-back", { ms: Math.round(now - this.#lostAt) });
            this.#lostAt = undefined;
        }
        const cutOff = new Set(peers.map(vm => vm.id).filter(it => this.#reach.isCutOffVm(it, now)));
        cutOff.forEach(id => this.#cutOffPeers.has(id) || events.emit("peer-links-lost", { id }));
        this.#cutOffPeers.forEach(id => cutOff.has(id) || events.emit("peer-links-back", { id }));
        this.#cutOffPeers = cutOff;
    }

    #withKey(address: string, use: (key: string) => void): void {
        const key = this.#keysByAddress.get(address);
        if (key !== undefined) {
            use(key);
        }
    }
}

/** Bounds the probes for peers that have lost their links. */
const probeForPeersMs = 200;
const probesForPeers = 2;
