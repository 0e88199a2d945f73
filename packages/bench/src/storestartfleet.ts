/** Simulates entry VMs that all start at once, find each other by gossip and follow a store, in virtual time. */

import type { DiscoveryMessage } from "@bramleymoor/discovery/messages";
import { SeededRandom } from "@bramleymoor/dispatch/random";
import { MemberTracker } from "@bramleymoor/gateway/membertracker";
import { VirtualTime } from "@bramleymoor/platform/virtualtime";
import { GossipNet, entryVmIdOf, peerAddressOf, type GossipNode } from "./gossipnet.js";
import { simulateFollower, type SimulatedFollower } from "./simulatedfollower.js";
import { SimulatedStore } from "./simulatedstore.js";

/** One entry VM of the fleet. */
interface StartingVm extends SimulatedFollower {
    readonly node: GossipNode;
    readonly tracker: MemberTracker;
}

/** Entry VMs that know only the addresses of the first three at their start. */
export class StartingFleet {
    readonly time = new VirtualTime();
    readonly store = new SimulatedStore(this.time);
    readonly #random: SeededRandom;
    readonly #net: GossipNet;
    readonly #vms: StartingVm[] = [];
    readonly #stop = new AbortController();
    /** Datagrams between entry VMs that carry what was read from the store. */
    messages = 0;

    constructor(seed: number) {
        this.#random = new SeededRandom(seed);
        this.#net = new GossipNet(seed, undefined, { periodMs: gossipPeriodMs, pingTimeoutMs });
    }

    /** Starts all entry VMs at once. */
    start(count: number): void {
        const seeds = Array.from({ length: seedCount }, (_, i) => peerAddressOf(i));
        for (let index = 0; index < count; index++) {
            const vm = this.#newVm(index, seeds);
            this.#vms.push(vm);
            void vm.follower.run(this.#stop.signal);
        }
    }

    stop(): void {
        this.#stop.abort();
    }

    async run(ms: number): Promise<void> {
        for (let elapsed = 0; elapsed < ms; elapsed += stepMs) {
            await this.#net.run(stepMs);
            await this.time.advance(stepMs);
        }
    }

    /** Mean number of members that an entry VM knows. */
    get meanMembers(): number {
        return this.#vms.reduce((sum, { tracker }) => sum + tracker.members.length, 0) / this.#vms.length;
    }

    /** Number of entry VMs whose copy of the servers or of the configuration is older than `ms`. */
    countOlderThan(ms: number): number {
        const oldest = this.time.now() - ms;
        return this.#vms.filter(({ config, servers }) => Math.min(config.asOf, servers.asOf) < oldest).length;
    }

    #newVm(index: number, seeds: readonly string[]): StartingVm {
        const others = seeds.filter(it => it !== peerAddressOf(index));
        const node = this.#net.start(index, others);
        const tracker = new MemberTracker(entryVmIdOf(index), true, { emit: () => undefined });
        node.membership.members.subscribe(members => tracker.update(members));
        const simulated = simulateFollower(this.store, this.time, {
            rank: () => tracker.readerRank,
            peers: () => tracker.others.map(vm => vm.peerAddress),
            seeds: index < seedCount ? [] : others,
            isFirstStart: true,
            random: () => this.#random.next(),
            send: (receivers, message) => {
                receivers.forEach(it => void this.#deliver(peerAddressOf(index), it, message));
                return true;
            },
        });
        return { ...simulated, node, tracker };
    }

    async #deliver(from: string, to: string, message: DiscoveryMessage): Promise<void> {
        this.messages++;
        await this.time.sleep(peerLatencyMs);
        this.#vms.find(it => it.node.vm.peerAddress === to)?.follower.receive(message, from, 0);
    }
}

const seedCount = 3;
const stepMs = 5;
const peerLatencyMs = 2;
/** As in the entry process for routed requests. */
const gossipPeriodMs = 300;
const pingTimeoutMs = 250;
