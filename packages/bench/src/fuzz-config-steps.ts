/** Steps of the configuration model and of its recorded traces. */

import fc from "fast-check";
import { appendCheckpoint, checkpointStream } from "@bramleymoor/config/checkpoint";
import { configStream, maxRecordBytes } from "@bramleymoor/config/record";
import { ConfigDocument } from "@bramleymoor/model/document";
import { FuzzCommand } from "./fuzz-command.js";
import type { ConfigOracle } from "./fuzz-config-oracle.js";
import { retentionMs, type ConfigSimulation, type FuzzNode } from "./fuzz-config-simulation.js";

const maxNodes = 4;
const floodCopies = 40;

type Action = (sim: ConfigSimulation) => Promise<void> | void;

/** A step of a run; its model is the oracle, which evaluates each record that the log receives. */
export type ConfigCommand = FuzzCommand<ConfigOracle, ConfigSimulation>;

/** A kind of step, identified by its name in traces. */
export interface StepKind {
    readonly name: string;
    /** Generates steps with random arguments. */
    readonly arbitrary: fc.Arbitrary<ConfigCommand>;
    /** Returns the step with an argument from a trace. */
    withArg(arg: unknown): ConfigCommand;
}

/** Returns a command that runs the action and then advances virtual time by 50 ms. */
const command = (text: string, action: Action): ConfigCommand =>
    new FuzzCommand(text, async sim => {
        await action(sim);
        await sim.advance(50);
    });

const stepKind = <T>(name: string, arb: fc.Arbitrary<T>, makeAction: (arg: T) => Action): StepKind => {
    const make = (arg: T): ConfigCommand => command(`${name}(${JSON.stringify(arg)})`, makeAction(arg));
    return { name, arbitrary: arb.map(make), withArg: arg => make(arg as T) };
};

const smallInt = fc.nat(7);
const flag = fc.boolean();

const configText = (value: number): string =>
    `[service a]\nserver = 10.0.0.${value + 1}:80\n[service b${value % 3}]\nserver = 10.0.1.1:80\n`;

const nodeAt = (sim: ConfigSimulation, index: number): FuzzNode | undefined =>
    sim.nodes[index % sim.nodes.length];

/** Returns the number of the current version, or for a `draw` of 0 that of the version before it. */
const baseNumber = (sim: ConfigSimulation, draw: number): number =>
    Math.max(0, sim.oracle.accepted.length - (draw === 0 ? 1 : 0));

const publish = stepKind(
    "publish",
    fc.tuple(smallInt, smallInt, smallInt),
    ([operator, value, draw]) =>
        sim => {
            sim.publish(operator, configText(value), baseNumber(sim, draw));
        },
);

const repeat = stepKind("repeat", fc.tuple(smallInt, smallInt), ([operator, index]) => sim => {
    sim.republish(operator, index);
});

const race = stepKind("race", fc.tuple(smallInt, smallInt), ([one, other]) => sim => {
    const base = sim.oracle.accepted.length;
    sim.publish(0, configText(one), base);
    sim.publish(1, configText(other), base);
});

const start = stepKind("start", fc.constant(0), () => async sim => {
    if (sim.nodes.length < maxNodes) {
        await sim.startNode();
    }
});

const crash = stepKind("crash", smallInt, index => sim => {
    const node = nodeAt(sim, index);
    if (node) {
        sim.crash(node);
    }
});

const restartAll = stepKind("restartAll", fc.nat(5000), gapMs => async sim => {
    for (const node of [...sim.nodes]) {
        sim.crash(node);
        await sim.startNode();
        await sim.advance(gapMs);
    }
});

const pause = stepKind("pause", fc.tuple(smallInt, flag), ([index, paused]) => sim => {
    const node = nodeAt(sim, index);
    if (node) {
        node.paused = paused;
        node.log.setPaused(paused);
    }
});

const outage = stepKind("outage", flag, down => sim => sim.platform.setDown(down));

const cutLog = stepKind("cutLog", fc.tuple(smallInt, flag), ([index, cut]) => sim => {
    const node = nodeAt(sim, index);
    if (node) {
        node.log.disconnected = cut;
    }
});

const cutPeers = stepKind("cutPeers", fc.tuple(smallInt, flag), ([index, cut]) => sim => {
    const node = nodeAt(sim, index);
    if (node) {
        node.reachable = !cut;
    }
});

const loseAnswers = stepKind(
    "loseAnswers",
    fc.tuple(smallInt, fc.integer({ min: 1, max: 9 })),
    ([index, count]) =>
        sim => {
            sim.operatorLogs[index % 2]!.loseAnswers = count;
        },
);

const delayAppends = stepKind(
    "delayAppends",
    fc.tuple(smallInt, fc.integer({ min: 1, max: 9 })),
    ([index, count]) =>
        sim => {
            sim.operatorLogs[index % 2]!.delayAppends = count;
        },
);

const lateAppend = stepKind("lateAppend", smallInt, index => sim => {
    const [append] = sim.delayedAppends.splice(index % Math.max(1, sim.delayedAppends.length), 1);
    append?.();
});

const copyRecord = stepKind("copyRecord", smallInt, index => sim => {
    const copied = sim.platform.configRecords.at(-1 - index);
    if (copied !== undefined) {
        sim.platform.forceAppend(configStream, copied);
    }
});

/** Isolates an entry VM from log and peers while one version is published and expires and another follows. */
const isolate = stepKind("isolate", fc.tuple(smallInt, smallInt), ([index, value]) => async sim => {
    const node = nodeAt(sim, index);
    if (!node || sim.platform.down) {
        return;
    }
    node.log.disconnected = true;
    node.reachable = false;
    sim.publish(0, configText(value), sim.oracle.accepted.length);
    await sim.advance(retentionMs + 1000);
    sim.publish(0, configText(value + 1), sim.oracle.accepted.length);
    await sim.advance(1000);
    node.log.disconnected = false;
    await sim.advance(1000);
    node.reachable = true;
});

/** Makes the log longer than the largest batch of a read. */
const flood = stepKind("flood", smallInt, index => sim => {
    const copied = sim.platform.configRecords.at(-1 - index);
    for (let copies = 0; copied !== undefined && copies < floodCopies; copies++) {
        sim.platform.forceAppend(configStream, copied);
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

/** Appends a record that is valid except for one defect. */
const forge = stepKind("forge", fc.nat(forgeries.length - 1), kind => sim => {
    const current = sim.oracle.accepted.at(-1);
    const text = ConfigDocument.parse(configText(kind));
    const good = {
        grammar: 1,
        id: "forged",
        base: {
            number: sim.oracle.accepted.length,
            digest: current?.digest ?? ConfigDocument.empty.digest,
        },
        change: {
            set: text.sections,
            remove: [0, 1, 2].filter(n => n !== kind % 3).map(n => `service b${n}`),
        },
        digest: text.digest,
    };
    const data = forgeries[kind]!(good);
    sim.oracle.addForgery(data);
    sim.platform.forceAppend(configStream, data);
});

const staleCheckpoint = stepKind("staleCheckpoint", smallInt, index => async sim => {
    const snapshot = sim.pastSnapshots.at(-1 - index);
    if (snapshot && !sim.platform.down) {
        await appendCheckpoint(sim.platform, snapshot, `stale-${sim.time.now()}`);
    }
});

const badCheckpoint = stepKind("badCheckpoint", flag, damaged => async sim => {
    const snapshot = sim.pastSnapshots.at(-1);
    if (damaged) {
        sim.platform.forceAppend(checkpointStream, "{");
    } else if (snapshot && !sim.platform.down) {
        const text = `${snapshot.text}\n[service forged]\nserver = 10.9.9.9:9\n`;
        await appendCheckpoint(sim.platform, { ...snapshot, text }, `bad-${sim.time.now()}`);
    }
});

/** The log comes back from an older copy. */
const loseRecords = stepKind(
    "loseRecords",
    fc.tuple(fc.integer({ min: 1, max: 4 }), smallInt),
    ([count, value]) =>
        sim =>
            sim.loseRecords(count, configText(value)),
);

const pass = stepKind("pass", fc.integer({ min: 100, max: 20_000 }), ms => sim => sim.advance(ms));

const expire = stepKind("expire", fc.constant(retentionMs), ms => sim => sim.advance(ms));

/** Kinds of steps in which the log keeps its records; a kind listed twice is drawn twice as often. */
export const keepingSteps: readonly StepKind[] = [
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

/** Every kind of step. */
export const configSteps: readonly StepKind[] = [...keepingSteps, loseRecords];
