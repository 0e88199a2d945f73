/** Replays recorded traces of configuration faults. */

import { readFile } from "node:fs/promises";
import * as z from "zod";
import { configSteps } from "./fuzz-config-steps.js";
import { ConfigSimulation } from "./fuzz-config-simulation.js";

const outcomeSchema = z.strictObject({
    /** Number of publications that the oracle accepted. */
    accepted: z.number().int(),
    /** Version number served by each entry VM; 0 for none. */
    served: z.array(z.number().int()),
    ready: z.array(z.boolean()),
    /** Number of publications by the kind of their result. */
    answers: z.record(z.string(), z.number().int()),
});

const traceSchema = z.strictObject({
    about: z.string(),
    /** Number of entry VMs at the start. */
    nodes: z.number().int().nonnegative(),
    /** Seed of the random numbers of the entry VMs and operators. */
    seed: z.number().int(),
    steps: z.array(z.tuple([z.string(), z.unknown()])),
    /** State after the last step. */
    outcome: outcomeSchema,
});

/** A recorded trace. */
export type ConfigTrace = z.infer<typeof traceSchema>;

/** State after the last step of a trace. */
export type ConfigOutcome = z.infer<typeof outcomeSchema>;

/** Reads a trace; rejects with a SyntaxError if it isn't JSON, and with a ZodError if its fields are wrong. */
export const readConfigTrace = async (file: URL): Promise<ConfigTrace> =>
    traceSchema.parse(JSON.parse(await readFile(file, "utf8")));

/** Replays a trace and returns the state after its last step; rejects if a step violates the oracle. */
export const replayConfigTrace = async (trace: ConfigTrace): Promise<ConfigOutcome> => {
    const sim = new ConfigSimulation(trace.seed);
    for (let node = 0; node < trace.nodes; node++) {
        await sim.startNode();
    }
    for (const [name, arg] of trace.steps) {
        await commandNamed(name, arg).run(sim.oracle, sim);
    }
    const followers = sim.nodes.map(node => node.follower);
    const outcome = {
        accepted: sim.oracle.accepted.length,
        served: followers.map(follower => follower.current?.number ?? 0),
        ready: followers.map(follower => follower.status.ready),
        answers: sim.countResults(),
    };
    await sim.finish();
    return outcome;
};

const commandNamed = (name: string, arg: unknown): ReturnType<(typeof configSteps)[number]["withArg"]> => {
    const kind = configSteps.find(step => step.name === name);
    if (!kind) {
        throw new RangeError(
            `unknown step ${name}; known steps: ${configSteps.map(step => step.name).join(", ")}`,
        );
    }
    return kind.withArg(arg);
};
