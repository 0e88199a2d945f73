/** Replay of recorded traces of configuration's faults; the format is described in traces/README.md. */

import { readFile } from "node:fs/promises";
import * as z from "zod";
import { configSteps } from "./fuzz-config-steps.js";
import { ConfigSimulation } from "./fuzz-config-simulation.js";

const outcomeSchema = z.strictObject({
    /** Publications that the log's order accepts. */
    accepted: z.number().int(),
    /** Version served by each entry VM, 0 for none. */
    served: z.array(z.number().int()),
    ready: z.array(z.boolean()),
    /** How many publications got each kind of answer. */
    answers: z.record(z.string(), z.number().int()),
});

const traceSchema = z.strictObject({
    about: z.string(),
    /** Entry VMs at the beginning. */
    nodes: z.number().int().nonnegative(),
    /** Of the entry VMs' and operators' random numbers. */
    seed: z.number().int(),
    steps: z.array(z.tuple([z.string(), z.unknown()])),
    /** State after the last step. */
    outcome: outcomeSchema,
});

/** A recorded trace. */
export type ConfigTrace = z.infer<typeof traceSchema>;

/** State after a trace's last step. */
export type ConfigOutcome = z.infer<typeof outcomeSchema>;

/** Reads a trace; fails with an error that names what is wrong in it. */
export const readConfigTrace = async (file: URL): Promise<ConfigTrace> =>
    traceSchema.parse(JSON.parse(await readFile(file, "utf8")));

/** Replays a trace, checking the oracle after each step, and answers the state after the last one. */
export const replayConfigTrace = async (trace: ConfigTrace): Promise<ConfigOutcome> => {
    const world = new ConfigSimulation(trace.seed);
    for (let node = 0; node < trace.nodes; node++) {
        await world.startNode();
    }
    for (const [name, arg] of trace.steps) {
        await commandOf(name, arg).run(world.oracle, world);
    }
    const followers = world.nodes.map(node => node.follower);
    const outcome = {
        accepted: world.oracle.accepted.length,
        served: followers.map(follower => follower.current?.number ?? 0),
        ready: followers.map(follower => follower.status.ready),
        answers: world.countResults(),
    };
    await world.finish();
    return outcome;
};

const commandOf = (name: string, arg: unknown): ReturnType<(typeof configSteps)[number]["withArg"]> => {
    const kind = configSteps.find(step => step.name === name);
    if (!kind) {
        throw new RangeError(`no step ${name}; there are ${configSteps.map(step => step.name).join(", ")}`);
    }
    return kind.withArg(arg);
};
