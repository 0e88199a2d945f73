/** Simulates entry VMs that gossip over a network in virtual time, for fuzzing and measurements. */

import { Membership, membershipDefaults, type MembershipSettings } from "@bramleymoor/membership/membership";
import type { GossipMessage, GossipReply, Transport } from "@bramleymoor/membership/messages";
import type { EntryVm } from "@bramleymoor/model/vm";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** Creates the membership under test; tests inject a faulty one to show that a check detects it. */
export type MembershipFactory = (...args: ConstructorParameters<typeof Membership>) => Membership;

/** One incarnation of an entry VM on the simulated network. */
export interface GossipNode {
    readonly vm: EntryVm;
    readonly membership: Membership;
    /** Difference between this node's clock and the network's time, in milliseconds. */
    readonly clockOffsetMs: number;
    up: boolean;
    paused: boolean;
    nextTickAt: number;
    bytesOut: number;
    bytesIn: number;
}

/** Faults of the simulated network. */
export interface NetworkFaults {
    /** Probability that a message is lost, 0 to 1. */
    readonly loss: number;
    /** Probability that a message is delivered twice, 0 to 1. */
    readonly duplicates: number;
    /** Maximum one-way delay in milliseconds. */
    readonly delayMs: number;
}

/** Bytes of HTTP headers counted for each message and each reply. */
export const httpOverheadBytes = 350;

const failureDomainCount = 7;
const domainsPerRegion = 3;
const maxDuplicateDelayMs = 5000;

interface ScheduledEvent {
    readonly at: number;
    readonly run: () => void;
}

/** A network in virtual time: nodes tick when due, and messages arrive after a random delay. */
export class GossipNet {
    readonly nodes: GossipNode[] = [];
    readonly #random: RandomGenerator;
    readonly #createMembership: MembershipFactory;
    readonly #settings: Partial<MembershipSettings>;
    #events: ScheduledEvent[] = [];
    #incarnations = 0;
    #isCut: (from: GossipNode, to: GossipNode) => boolean = () => false;
    faults: NetworkFaults = { loss: 0, duplicates: 0, delayMs: 2 };
    now = 1_000_000;

    constructor(
        seed: number,
        make: MembershipFactory = makeMembership,
        settings: Partial<MembershipSettings> = {},
    ) {
        this.#random = xoroshiro128plus(seed);
        this.#createMembership = make;
        this.#settings = settings;
    }

    /** Starts a new incarnation of the entry VM with this index; earlier incarnations are left as they are. */
    start(index: number, seeds: readonly string[], clockOffsetMs = 0): GossipNode {
        const vm = this.#newVm(index);
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
        const membership = this.#createMembership(vm, transport, settings, random, startedAt);
        const counters = { bytesOut: 0, bytesIn: 0 };
        const node: GossipNode = {
            vm,
            membership,
            clockOffsetMs,
            up: true,
            paused: false,
            nextTickAt: this.now,
            ...counters,
        };
        this.nodes.push(node);
        return node;
    }

    /** Starts `count` entry VMs that have the first two as seeds. */
    startAll(count: number): void {
        for (let index = 0; index < count; index++) {
            this.start(index, [peerAddressOf(0), peerAddressOf(1)]);
        }
    }

    /** Drops every message for which `cut` returns true. */
    partition(cut: (from: GossipNode, to: GossipNode) => boolean): void {
        this.#isCut = cut;
    }

    heal(): void {
        this.#isCut = () => false;
    }

    /** The nodes that are up and not paused. */
    get running(): readonly GossipNode[] {
        return this.nodes.filter(node => node.up && !node.paused);
    }

    /** Advances virtual time by `ms` milliseconds. */
    async run(ms: number): Promise<void> {
        const until = this.now + ms;
        for (;;) {
            const at = this.#nextAt();
            if (at > until) {
                break;
            }
            this.now = Math.max(this.now, at);
            this.#step();
            await runPendingTasks();
        }
        this.now = until;
    }

    #nextAt(): number {
        const ticks = this.running.reduce((least, node) => Math.min(least, node.nextTickAt), Infinity);
        return this.#events.reduce((least, event) => Math.min(least, event.at), ticks);
    }

    #step(): void {
        const due = this.#events.filter(event => event.at <= this.now);
        this.#events = this.#events.filter(event => event.at > this.now);
        due.forEach(event => event.run());
        for (const node of this.running) {
            if (node.nextTickAt <= this.now) {
                node.nextTickAt = node.membership.tick(this.now + node.clockOffsetMs) - node.clockOffsetMs;
            }
        }
    }

    #newVm(index: number): EntryVm {
        this.#incarnations++;
        const domain = index % failureDomainCount;
        const region = `r${Math.floor(domain / domainsPerRegion)}`;
        return {
            id: entryVmIdOf(index),
            incarnation: `run${String(this.#incarnations).padStart(6, "0")}`,
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
        if (!to || !(await this.#transmit(from, to, text))) {
            return new Promise(() => undefined);
        }
        if (this.#isChosen(this.faults.duplicates)) {
            void this.#deliverDuplicate(to, text);
        }
        const reply = JSON.stringify(await this.#receive(to, text));
        to.bytesOut += reply.length + httpOverheadBytes;
        if (!(await this.#transmit(to, from, reply))) {
            return new Promise(() => undefined);
        }
        return JSON.parse(reply) as GossipReply;
    }

    #receive(to: GossipNode, text: string): Promise<GossipReply> {
        return to.membership.receive(JSON.parse(text) as GossipMessage, this.now + to.clockOffsetMs);
    }

    async #deliverDuplicate(to: GossipNode, text: string): Promise<void> {
        await this.#delay(uniformInt(this.#random, 0, maxDuplicateDelayMs));
        if (to.up && !to.paused) {
            await this.#receive(to, text);
        }
    }

    /** Delays a message and returns whether it arrives; a paused receiver gets it once it resumes. */
    async #transmit(from: GossipNode, to: GossipNode, text: string): Promise<boolean> {
        const lost = this.#isCut(from, to) || this.#isChosen(this.faults.loss);
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

    /** Returns the newest incarnation at the address; older ones still running can't be reached there. */
    #receiverOf(address: string): GossipNode | undefined {
        return this.nodes.findLast(node => node.up && node.vm.peerAddress === address);
    }

    #isChosen(share: number): boolean {
        return share > 0 && uniformInt(this.#random, 1, 10_000) <= share * 10_000;
    }

    #delay(ms: number): Promise<void> {
        return new Promise(resolve => {
            this.#events.push({ at: this.now + ms, run: resolve });
        });
    }
}

/** Returns the id of the entry VM with this index. */
export const entryVmIdOf = (index: number): string => `vm-${String(index).padStart(4, "0")}`;

/** Returns the peer address of the entry VM with this index. */
export const peerAddressOf = (index: number): string => `10.${index >> 8}.${index & 255}.1:8081`;

const makeMembership: MembershipFactory = (...args) => new Membership(...args);

const runPendingTasks = (): Promise<void> => new Promise(resolve => setImmediate(resolve));
