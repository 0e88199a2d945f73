/**
 * Fuzzes membership with starts, crashes, pauses, partitions, network faults and VM lists from older copies, then checks
 * that views converge.
 */

import fc from "fast-check";
import type { ListedVm } from "@bramleymoor/membership/vmlist";
import type { FuzzModel } from "./fuzz-model.js";
import { FuzzCommand } from "./fuzz-command.js";
import {
    GossipNet,
    entryVmIdOf,
    peerAddressOf,
    type NetworkFaults,
    type MembershipFactory,
    type GossipNode,
} from "./gossipnet.js";

const entryVmCount = 6;
const convergenceMs = 90_000;
const stableMs = 30_000;
const seeds = Array.from({ length: entryVmCount }, (_, each) => peerAddressOf(each));
const noFaults: NetworkFaults = { loss: 0, duplicates: 0, delayMs: 2 };

/** A simulated network whose entry VMs' views are checked for agreement. */
class MembershipSimulation {
    readonly #net: GossipNet;
    /** The platform's VM list; empty until it is read. */
    #vmList: readonly ListedVm[] = [];

    constructor(seed: number, make: MembershipFactory | undefined) {
        this.#net = new GossipNet(seed, make, { forgetAfterMs: 600_000 });
        for (let index = 0; index < entryVmCount; index++) {
            this.start(index, 0);
        }
    }

    /** Starts an incarnation; a running one of the same entry VM is killed, a paused one remains. */
    start(index: number, clockOffsetMs: number): void {
        this.#runningAt(index)
            .filter(node => !node.paused)
            .forEach(node => (node.up = false));
        this.#readVmList(this.#net.start(index, seeds, clockOffsetMs));
    }

    /** The platform lists the entry VMs whose bit is set; others have started since the copy that it came back from. */
    restoreVmList(bits: number): void {
        this.#vmList = seeds.flatMap((peerAddress, each) =>
            isSet(bits, each) ? [{ id: entryVmIdOf(each), peerAddress, leaving: false }] : [],
        );
        this.#net.running.forEach(node => this.#readVmList(node));
    }

    kill(index: number): void {
        this.#runningAt(index).forEach(node => (node.up = false));
    }

    pause(index: number, paused: boolean): void {
        this.#runningAt(index).forEach(node => (node.paused = paused));
    }

    /** Separates the entry VMs whose bit is set from the others; with `oneWay`, only messages to them are lost. */
    partition(bits: number, oneWay: boolean): void {
        const side = (node: GossipNode): boolean => isSet(bits, Number(node.vm.id.slice(3)));
        this.#net.partition((from, to) => side(from) !== side(to) && (!oneWay || side(to)));
    }

    setFaults(faults: NetworkFaults): void {
        this.#net.faults = faults;
    }

    async advance(ms: number): Promise<void> {
        await this.#net.run(ms);
    }

    /** Ends all faults, and checks that views agree on one incarnation of each entry VM in bounded time and stay so. */
    async checkConvergence(): Promise<void> {
        this.#net.heal();
        this.#net.faults = noFaults;
        this.#net.nodes.forEach(node => (node.paused = false));
        await this.#net.run(convergenceMs);
        const initial = this.#agreedList();
        for (let spent = 0; spent < stableMs; spent += 1000) {
            await this.#net.run(1000);
            if (this.#agreedList() !== initial) {
                throw new Error(`the member lists changed from ${initial} to ${this.#agreedList()}`);
            }
        }
    }

    /** Returns the member list of all running entry VMs; throws if they differ or the list is wrong. */
    #agreedList(): string {
        const lists = this.#net.running.map(memberList);
        const list = lists[0] ?? "";
        if (lists.some(other => other !== list)) {
            throw new Error(`member lists differ: ${[...new Set(lists)].join(" | ")}`);
        }
        const current = this.#net.running.filter(node => !node.membership.replaced);
        const expected = current.map(node => `${node.vm.id}/${node.vm.incarnation}/alive`).sort();
        if (list !== expected.join(" ")) {
            throw new Error(`the member list is ${list}, expected ${expected.join(" ")}`);
        }
        const ids = new Set(this.#net.running.map(node => node.vm.id));
        if (ids.size !== expected.length) {
            throw new Error(`${ids.size} entry VMs run, ${expected.length} are listed`);
        }
        return list;
    }

    #readVmList({ membership, clockOffsetMs }: GossipNode): void {
        membership.updateVmList(this.#vmList, this.#net.now + clockOffsetMs);
    }

    #runningAt(index: number): readonly GossipNode[] {
        return this.#net.nodes.filter(node => node.up && node.vm.peerAddress === peerAddressOf(index));
    }
}

const isSet = (bits: number, index: number): boolean => ((bits >> index) & 1) === 1;

const memberList = (node: GossipNode): string => {
    return node.membership.current.map(vm => `${vm.id}/${vm.incarnation}/${vm.state}`).join(" ");
};

type Action = (sim: MembershipSimulation) => void | Promise<void>;

const command = (text: string, action: Action): fc.AsyncCommand<object, MembershipSimulation> =>
    new FuzzCommand(text, action);

const index = fc.nat({ max: entryVmCount - 1 });
/** Sets of entry VMs. */
const bitSets = fc.nat({ max: 2 ** entryVmCount - 1 });
const clockOffsets = fc.constantFrom(0, 0, -900_000, 3_600_000);
const probabilities = fc.constantFrom(0, 0.1, 0.3);

const commands = [
    fc.tuple(index, clockOffsets).map(([each, offset]) => {
        return command(`start ${each} with its clock off by ${offset}`, sim => sim.start(each, offset));
    }),
    index.map(each => {
        return command(`replace ${each} while it is paused`, sim => {
            sim.pause(each, true);
            sim.start(each, 0);
        });
    }),
    index.map(each => command(`kill ${each}`, sim => sim.kill(each))),
    index.map(each => command(`pause ${each}`, sim => sim.pause(each, true))),
    index.map(each => command(`resume ${each}`, sim => sim.pause(each, false))),
    fc.tuple(bitSets, fc.boolean()).map(([bits, oneWay]) => {
        const way = oneWay ? "one way" : "both ways";
        return command(`partition ${bits} ${way}`, sim => sim.partition(bits, oneWay));
    }),
    fc.tuple(probabilities, probabilities, fc.constantFrom(2, 200)).map(([loss, duplicates, delayMs]) => {
        const text = `lose ${loss}, duplicate ${duplicates}, delay ${delayMs} ms`;
        return command(text, sim => sim.setFaults({ loss, duplicates, delayMs }));
    }),
    fc.integer({ min: 100, max: 40_000 }).map(ms => command(`run ${ms} ms`, sim => sim.advance(ms))),
];

const restoreVmList = bitSets.map(bits =>
    command(`VM list from an older copy, with ${bits}`, sim => sim.restoreVmList(bits)),
);

/**
 * Returns the fuzz model of the membership package.
 *
 * @param restoresVmList whether the platform's VM list comes back from older copies
 */
export const membershipModel = (make?: MembershipFactory, restoresVmList = true): FuzzModel => ({
    name: "membership",
    property: replayPath =>
        fc.asyncProperty(
            fc.nat(),
            fc.commands(restoresVmList ? [...commands, restoreVmList] : commands, {
                maxCommands: 16,
                ...(replayPath ? { replayPath } : {}),
            }),
            async (seed, each) => {
                const sim = new MembershipSimulation(seed, make);
                await fc.asyncModelRun(() => ({ model: {}, real: sim }), each);
                await sim.checkConvergence();
            },
        ),
});
