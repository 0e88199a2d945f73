/** Fuzzes membership: starts, crashes, pauses, partitions and bad networks, and what must be true after them. */

import fc from "fast-check";
import type { FuzzModel } from "./fuzz-model.js";
import { FuzzCommand } from "./fuzz-command.js";
import {
    GossipNet,
    peerAddressOf,
    type NetworkFaults,
    type MembershipFactory,
    type GossipNode,
} from "./gossipnet.js";

const indices = 6;
const healMs = 90_000;
const steadyMs = 30_000;
const seeds = Array.from({ length: indices }, (_, each) => peerAddressOf(each));
const calm: NetworkFaults = { loss: 0, duplicates: 0, delayMs: 2 };

/** The network with what the oracle needs to know of it. */
class World {
    readonly #net: GossipNet;

    constructor(seed: number, make: MembershipFactory | undefined) {
        this.#net = new GossipNet(seed, make, { forgetAfterMs: 600_000 });
        for (let index = 0; index < indices; index++) {
            this.start(index, 0);
        }
    }

    /** Starts a run; one that runs already is killed, one that is paused stays. */
    start(index: number, clockOffsetMs: number): void {
        this.#of(index)
            .filter(node => !node.paused)
            .forEach(node => (node.up = false));
        this.#net.start(index, seeds, clockOffsetMs);
    }

    kill(index: number): void {
        this.#of(index).forEach(node => (node.up = false));
    }

    pause(index: number, paused: boolean): void {
        this.#of(index).forEach(node => (node.paused = paused));
    }

    /** Cuts the entry VMs whose bit is set off from the others; with `oneWay`, only towards them. */
    partition(bits: number, oneWay: boolean): void {
        const side = (node: GossipNode): boolean => ((bits >> Number(node.vm.id.slice(3))) & 1) === 1;
        this.#net.partition((from, to) => side(from) !== side(to) && (!oneWay || side(to)));
    }

    faults(faults: NetworkFaults): void {
        this.#net.faults = faults;
    }

    async run(ms: number): Promise<void> {
        await this.#net.run(ms);
    }

    /** Everything is well again; in bounded time all agree on exactly one live run of each entry VM, and stay so. */
    async check(): Promise<void> {
        this.#net.heal();
        this.#net.faults = calm;
        this.#net.nodes.forEach(node => (node.paused = false));
        await this.#net.run(healMs);
        const agreed = this.#agreed();
        for (let spent = 0; spent < steadyMs; spent += 1000) {
            await this.#net.run(1000);
            if (this.#agreed() !== agreed) {
                throw new Error(`the lists changed from ${agreed} to ${this.#agreed()}`);
            }
        }
    }

    /** The list that all live runs hold, after checking that it is the right one. */
    #agreed(): string {
        const lists = this.#net.running.map(listOf);
        const list = lists[0] ?? "";
        if (lists.some(other => other !== list)) {
            throw new Error(`lists differ: ${[...new Set(lists)].join(" | ")}`);
        }
        const owners = this.#net.running.filter(node => !node.membership.replaced);
        const expected = owners.map(node => `${node.vm.id}/${node.vm.incarnation}/alive`).sort();
        if (list !== expected.join(" ")) {
            throw new Error(`the list is ${list}, not ${expected.join(" ")}`);
        }
        const ids = new Set(this.#net.running.map(node => node.vm.id));
        if (ids.size !== expected.length) {
            throw new Error(`${ids.size} entry VMs run, ${expected.length} are listed`);
        }
        return list;
    }

    #of(index: number): readonly GossipNode[] {
        return this.#net.nodes.filter(node => node.up && node.vm.peerAddress === peerAddressOf(index));
    }
}

const listOf = (node: GossipNode): string => {
    return node.membership.current.map(vm => `${vm.id}/${vm.incarnation}/${vm.state}`).join(" ");
};

type Act = (world: World) => void | Promise<void>;

const command = (text: string, act: Act): fc.AsyncCommand<object, World> => new FuzzCommand(text, act);

const index = fc.nat({ max: indices - 1 });
const offsets = fc.constantFrom(0, 0, -900_000, 3_600_000);
const shares = fc.constantFrom(0, 0.1, 0.3);

const commands = [
    fc.tuple(index, offsets).map(([each, offset]) => {
        return command(`start ${each} with its clock off by ${offset}`, world => world.start(each, offset));
    }),
    index.map(each => {
        return command(`replace ${each} while it is paused`, world => {
            world.pause(each, true);
            world.start(each, 0);
        });
    }),
    index.map(each => command(`kill ${each}`, world => world.kill(each))),
    index.map(each => command(`pause ${each}`, world => world.pause(each, true))),
    index.map(each => command(`wake ${each}`, world => world.pause(each, false))),
    fc.tuple(fc.nat({ max: 2 ** indices - 1 }), fc.boolean()).map(([bits, oneWay]) => {
        const way = oneWay ? "one way" : "both ways";
        return command(`partition ${bits} ${way}`, world => world.partition(bits, oneWay));
    }),
    fc.tuple(shares, shares, fc.constantFrom(2, 200)).map(([loss, duplicates, delayMs]) => {
        const text = `lose ${loss}, double ${duplicates}, delay ${delayMs} ms`;
        return command(text, world => world.faults({ loss, duplicates, delayMs }));
    }),
    fc.integer({ min: 100, max: 40_000 }).map(ms => command(`run ${ms} ms`, world => world.run(ms))),
];

/** Membership as a model for the fuzz command. */
export const membershipModel = (make?: MembershipFactory): FuzzModel => ({
    name: "membership",
    property: replayPath =>
        fc.asyncProperty(
            fc.nat(),
            fc.commands(commands, { maxCommands: 16, ...(replayPath ? { replayPath } : {}) }),
            async (seed, each) => {
                const world = new World(seed, make);
                await fc.asyncModelRun(() => ({ model: {}, real: world }), each);
                await world.check();
            },
        ),
});
