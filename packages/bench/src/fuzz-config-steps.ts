/** The steps of configuration's fuzzing and of its recorded traces, by name. */

import fc from "fast-check";
import { appendCheckpoint, checkpointStream } from "@bramleymoor/config/checkpoint";
import { configStream, maxRecordBytes } from "@bramleymoor/config/record";
import { ConfigDocument } from "@bramleymoor/model/document";
import { FuzzCommand } from "./fuzz-command.js";
import type { ConfigOracle } from "./fuzz-config-oracle.js";
import { retentionMs, type ConfigSimulation, type FuzzNode } from "./fuzz-config-simulation.js";

const maxNodes = 4;
const floodRecords = 40;

type Step = (world: ConfigSimulation) => Promise<void> | void;

/** One step of a run; the oracle reads the world's log along. */
export type ConfigCommand = FuzzCommand<ConfigOracle, ConfigSimulation>;

/** A kind of step. */
export interface StepKind {
    readonly name: string;
    /** Steps with arguments at random. */
    readonly arbitrary: fc.Arbitrary<ConfigCommand>;
    /** The step with the argument that a trace gives. */
    withArg(arg: unknown): ConfigCommand;
}

/** The step, and 50 ms after it. */
const command = (text: string, step: Step): ConfigCommand =>
    new FuzzCommand(text, async world => {
        await step(world);
        await world.advance(50);
    });

const stepOf = <T>(name: string, arb: fc.Arbitrary<T>, step: (arg: T) => Step): StepKind => {
    const make = (arg: T): ConfigCommand => command(`${name}(${JSON.stringify(arg)})`, step(arg));
    return { name, arbitrary: arb.map(make), withArg: arg => make(arg as T) };
};

const any = fc.nat(7);
const flag = fc.boolean();

const textOf = (value: number): string =>
    `[service a]\nserver = 10.0.0.${value + 1}:80\n[service b${value % 3}]\nserver = 10.0.1.1:80\n`;

const nodeOf = (world: ConfigSimulation, index: number): FuzzNode | undefined =>
    world.nodes[index % world.nodes.length];

const baseOf = (world: ConfigSimulation, behind: number): number =>
    Math.max(0, world.oracle.accepted.length - (behind === 0 ? 1 : 0));

const publish = stepOf("publish", fc.tuple(any, any, any), ([operator, value, behind]) => world => {
    world.publish(operator, textOf(value), baseOf(world, behind));
});

const repeat = stepOf("repeat", fc.tuple(any, any), ([operator, index]) => world => {
    world.republish(operator, index);
});

const race = stepOf("race", fc.tuple(any, any), ([one, other]) => world => {
    const base = world.oracle.accepted.length;
    world.publish(0, textOf(one), base);
    world.publish(1, textOf(other), base);
});

const start = stepOf("start", fc.constant(0), () => async world => {
    if (world.nodes.length < maxNodes) {
        await world.startNode();
    }
});

const crash = stepOf("crash", any, index => world => {
    const node = nodeOf(world, index);
    if (node) {
        world.crash(node);
    }
});

const restartAll = stepOf("restartAll", fc.nat(5000), gapMs => async world => {
    for (const node of [...world.nodes]) {
        world.crash(node);
        await world.startNode();
        await world.advance(gapMs);
    }
});

const pause = stepOf("pause", fc.tuple(any, flag), ([index, paused]) => world => {
    const node = nodeOf(world, index);
    if (node) {
        node.paused = paused;
        node.log.setPaused(paused);
    }
});

const outage = stepOf("outage", flag, down => world => world.platform.setDown(down));

const cutLog = stepOf("cutLog", fc.tuple(any, flag), ([index, cut]) => world => {
    const node = nodeOf(world, index);
    if (node) {
        node.log.disconnected = cut;
    }
});

const cutPeers = stepOf("cutPeers", fc.tuple(any, flag), ([index, cut]) => world => {
    const node = nodeOf(world, index);
    if (node) {
        node.reachable = !cut;
    }
});

const loseAnswers = stepOf(
    "loseAnswers",
    fc.tuple(any, fc.integer({ min: 1, max: 9 })),
    ([index, count]) =>
        world => {
            world.operatorLogs[index % 2]!.loseAnswers = count;
        },
);

const delayAppends = stepOf(
    "delayAppends",
    fc.tuple(any, fc.integer({ min: 1, max: 9 })),
    ([index, count]) =>
        world => {
            world.operatorLogs[index % 2]!.delayAppends = count;
        },
);

const lateAppend = stepOf("lateAppend", any, index => world => {
    const [append] = world.delayedAppends.splice(index % Math.max(1, world.delayedAppends.length), 1);
    append?.();
});

const copyRecord = stepOf("copyRecord", any, index => world => {
    const copied = world.platform.published.at(-1 - index);
    if (copied !== undefined) {
        world.platform.forceAppend(configStream, copied);
    }
});

/** Keeps one entry VM from log and peers while a publication comes and expires, and another follows. */
const isolate = stepOf("isolate", fc.tuple(any, any), ([index, value]) => async world => {
    const node = nodeOf(world, index);
    if (!node || world.platform.down) {
        return;
    }
    node.log.disconnected = true;
    node.reachable = false;
    world.publish(0, textOf(value), world.oracle.accepted.length);
    await world.advance(retentionMs + 1000);
    world.publish(0, textOf(value + 1), world.oracle.accepted.length);
    await world.advance(1000);
    node.log.disconnected = false;
    await world.advance(1000);
    node.reachable = true;
});

/** Makes the log longer than one answer of it. */
const flood = stepOf("flood", any, index => world => {
    const copied = world.platform.published.at(-1 - index);
    for (let copies = 0; copied !== undefined && copies < floodRecords; copies++) {
        world.platform.forceAppend(configStream, copied);
    }
});

const forgeries: readonly ((good: Record<string, unknown>) => string)[] = [
    good => JSON.stringify(good).slice(0, -1),
    good => JSON.stringify({ ...good, grammar: 2 }),
    good => JSON.stringify({ ...good, digest: ConfigDocument.empty.digest }),
    good =>
        JSON.stringify({ ...good, change: { set: [{ name: "service a", body: "port = 1" }], remove: [] } }),
    good => JSON.stringify(good) + " ".repeat(maxRecordBytes),
    good => JSON.stringify({ ...good, by: "somebody" }),
    good => JSON.stringify({ ...good, nextGrammar: 3 }),
];

/** Puts in a record that would be accepted but for one fault. */
const forge = stepOf("forge", fc.nat(forgeries.length - 1), kind => world => {
    const current = world.oracle.accepted.at(-1);
    const text = ConfigDocument.parse(textOf(kind));
    const good = {
        grammar: 1,
        id: "forged",
        base: {
            number: world.oracle.accepted.length,
            digest: current?.digest ?? ConfigDocument.empty.digest,
        },
        change: {
            set: text.sections,
            remove: [0, 1, 2].filter(n => n !== kind % 3).map(n => `service b${n}`),
        },
        digest: text.digest,
    };
    const data = forgeries[kind]!(good);
    world.oracle.addForgery(data);
    world.platform.forceAppend(configStream, data);
});

const staleCheckpoint = stepOf("staleCheckpoint", any, index => async world => {
    const snapshot = world.pastSnapshots.at(-1 - index);
    if (snapshot && !world.platform.down) {
        await appendCheckpoint(world.platform, snapshot, `stale-${world.time.now()}`);
    }
});

const badCheckpoint = stepOf("badCheckpoint", flag, damaged => async world => {
    const snapshot = world.pastSnapshots.at(-1);
    if (damaged) {
        world.platform.forceAppend(checkpointStream, "{");
    } else if (snapshot && !world.platform.down) {
        const text = `${snapshot.text}\n[service forged]\nserver = 10.9.9.9:9\n`;
        await appendCheckpoint(world.platform, { ...snapshot, text }, `bad-${world.time.now()}`);
    }
});

const pass = stepOf("pass", fc.integer({ min: 100, max: 20_000 }), ms => world => world.advance(ms));

const expire = stepOf("expire", fc.constant(retentionMs), ms => world => world.advance(ms));

/** Every kind of step; one that stands twice is drawn twice as often. */
export const configSteps: readonly StepKind[] = [
    publish,
    publish,
    race,
    repeat,
    start,
    crash,
    restartAll,
    pause,
    outage,
    cutLog,
    cutPeers,
    isolate,
    loseAnswers,
    delayAppends,
    lateAppend,
    copyRecord,
    flood,
    forge,
    staleCheckpoint,
    badCheckpoint,
    pass,
    pass,
    expire,
];
