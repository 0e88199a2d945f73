/** Entry VMs that gossip over a fake network in virtual time; a small stand-in for fuzzing and measuring. */

import { Membership, membershipDefaults, type MembershipSettings } from "@bramleymoor/membership/membership";
import type { GossipMessage, GossipReply, Transport } from "@bramleymoor/membership/messages";
import type { EntryVm } from "@bramleymoor/model/vm";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** Builds the membership under test; another class may be put in its place to show that a check bites. */
export type MembershipFactory = (...args: ConstructorParameters<typeof Membership>) => Membership;

/** One run of one entry VM on the fake network. */
export interface GossipNode {
    readonly vm: EntryVm;
    readonly membership: Membership;
    /** Added to the network's time to give this node's own. */
    readonly clockOffsetMs: number;
    up: boolean;
    paused: boolean;
    dueAt: number;
    bytesOut: number;
    bytesIn: number;
}

/** How the network treats messages. */
export interface NetworkFaults {
    /** Share of messages lost, 0 to 1. */
    readonly loss: number;
    /** Share of messages delivered twice. */
    readonly duplicates: number;
    /** Longest delay one way; milliseconds. */
    readonly delayMs: number;
}

/** Header bytes that HTTP adds to each message and to each reply. */
export const httpOverheadBytes = 350;

const failureDomains = 7;
const domainsPerRegion = 3;
const lateMs = 5000;

interface Event {
    readonly at: number;
    readonly act: () => void;
}

/** A network in virtual time; nodes tick when due and messages arrive after a delay. */
export class GossipNet {
    readonly nodes: GossipNode[] = [];
    readonly #random: RandomGenerator;
    readonly #make: MembershipFactory;
    readonly #settings: Partial<MembershipSettings>;
    #events: Event[] = [];
    #runs = 0;
    #cut: (from: GossipNode, to: GossipNode) => boolean = () => false;
    faults: NetworkFaults = { loss: 0, duplicates: 0, delayMs: 2 };
    now = 1_000_000;

    constructor(
        seed: number,
        make: MembershipFactory = makeMembership,
        settings: Partial<MembershipSettings> = {},
    ) {
        this.#random = xoroshiro128plus(seed);
        this.#make = make;
        this.#settings = settings;
    }

    /** Starts a new run of the entry VM with this number; older runs with it stay as they are. */
    start(index: number, seeds: readonly string[], clockOffsetMs = 0): GossipNode {
        const vm = this.#vm(index);
        const settings = {
            ...membershipDefaults,
            cluster: "c",
            startedAt: this.now,
            seeds,
            ...this.#settings,
        };
        const random = xoroshiro128plus(uniformInt(this.#random, 0, 0x7fffffff));
        const transport: Transport = { send: (address, message) => this.#send(node, address, message) };
        const startedAt = this.now + clockOffsetMs;
        const membership = this.#make(vm, transport, settings, random, startedAt);
        const counters = { bytesOut: 0, bytesIn: 0 };
        const node: GossipNode = {
            vm,
            membership,
            clockOffsetMs,
            up: true,
            paused: false,
            dueAt: this.now,
            ...counters,
        };
        this.nodes.push(node);
        return node;
    }

    /** Starts `count` entry VMs that know the first one's address. */
    startAll(count: number): void {
        for (let index = 0; index < count; index++) {
            this.start(index, [peerAddressOf(0), peerAddressOf(1)]);
        }
    }

    /** Loses every message for which `cut` is true. */
    partition(cut: (from: GossipNode, to: GossipNode) => boolean): void {
        this.#cut = cut;
    }

    heal(): void {
        this.#cut = () => false;
    }

    /** Nodes that run and are not paused. */
    get running(): readonly GossipNode[] {
        return this.nodes.filter(node => node.up && !node.paused);
    }

    /** Lets virtual time pass. */
    async run(ms: number): Promise<void> {
        const until = this.now + ms;
        for (;;) {
            const at = this.#nextAt();
            if (at > until) {
                break;
            }
            this.now = Math.max(this.now, at);
            this.#step();
            await settled();
        }
        this.now = until;
    }

    #nextAt(): number {
        const ticks = this.running.reduce((least, node) => Math.min(least, node.dueAt), Infinity);
        return this.#events.reduce((least, event) => Math.min(least, event.at), ticks);
    }

    #step(): void {
        const due = this.#events.filter(event => event.at <= this.now);
        this.#events = this.#events.filter(event => event.at > this.now);
        due.forEach(event => event.act());
        for (const node of this.running) {
            if (node.dueAt <= this.now) {
                node.dueAt = node.membership.tick(this.now + node.clockOffsetMs) - node.clockOffsetMs;
            }
        }
    }

    #vm(index: number): EntryVm {
        this.#runs++;
        const domain = index % failureDomains;
        const region = `r${Math.floor(domain / domainsPerRegion)}`;
        return {
            id: `vm-${String(index).padStart(4, "0")}`,
            incarnation: `run${String(this.#runs).padStart(6, "0")}`,
            place: { region, domain: `d${domain}` },
            callerAddress: `10.${index >> 8}.${index & 255}.1:8080`,
            peerAddress: peerAddressOf(index),
            state: "alive",
            load: 0,
        };
    }

    async #send(from: GossipNode, address: string, message: GossipMessage): Promise<GossipReply> {
        const text = JSON.stringify(message);
        from.bytesOut += text.length + httpOverheadBytes;
        const to = this.#receiverOf(address);
        if (!to || !(await this.#travel(from, to, text))) {
            return new Promise(() => undefined);
        }
        if (this.#chance(this.faults.duplicates)) {
            void this.#again(to, text);
        }
        const reply = JSON.stringify(await this.#receive(to, text));
        to.bytesOut += reply.length + httpOverheadBytes;
        if (!(await this.#travel(to, from, reply))) {
            return new Promise(() => undefined);
        }
        return JSON.parse(reply) as GossipReply;
    }

    #receive(to: GossipNode, text: string): Promise<GossipReply> {
        return to.membership.receive(JSON.parse(text) as GossipMessage, this.now + to.clockOffsetMs);
    }

    async #again(to: GossipNode, text: string): Promise<void> {
        await this.#delay(uniformInt(this.#random, 0, lateMs));
        if (to.up && !to.paused) {
            await this.#receive(to, text);
        }
    }

    /** Whether the message arrives; a paused receiver gets it when it wakes. */
    async #travel(from: GossipNode, to: GossipNode, text: string): Promise<boolean> {
        const lost = this.#cut(from, to) || this.#chance(this.faults.loss);
        await this.#delay(uniformInt(this.#random, 1, Math.max(1, this.faults.delayMs)));
        while (to.up && to.paused) {
            await this.#delay(1000);
        }
        if (lost || !to.up) {
            return false;
        }
        to.bytesIn += text.length + httpOverheadBytes;
        return true;
    }

    /** The newest run at the address; an older one that still runs can't be reached there. */
    #receiverOf(address: string): GossipNode | undefined {
        return this.nodes.findLast(node => node.up && node.vm.peerAddress === address);
    }

    #chance(share: number): boolean {
        return share > 0 && uniformInt(this.#random, 1, 10_000) <= share * 10_000;
    }

    #delay(ms: number): Promise<void> {
        return new Promise(resolve => {
            this.#events.push({ at: this.now + ms, act: resolve });
        });
    }
}

/** The peer address of the entry VM with this number. */
export const peerAddressOf = (index: number): string => `10.${index >> 8}.${index & 255}.1:8081`;

const makeMembership: MembershipFactory = (...args) => new Membership(...args);

const settled = (): Promise<void> => new Promise(resolve => setImmediate(resolve));
