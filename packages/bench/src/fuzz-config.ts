/** Fuzzes configuration with publications, races, crashes, pauses, outages, expiry, duplicates and forged records. */

import fc from "fast-check";
import { configSteps, type StepKind } from "./fuzz-config-steps.js";
import { ConfigSimulation } from "./fuzz-config-simulation.js";
import type { FuzzModel } from "./fuzz-model.js";

const maxCommands = 40;

/** Fuzz model of the configuration package. */
export class ConfigFuzzModel implements FuzzModel {
    readonly name = "config";
    readonly #steps: readonly StepKind[];

    /** @param steps kinds of steps to draw from */
    constructor(steps: readonly StepKind[] = configSteps) {
        this.#steps = steps;
    }

    property(replayPath?: string): fc.IAsyncProperty<unknown> {
        const replay = replayPath === undefined ? {} : { replayPath };
        const arbitraries = this.#steps.map(kind => kind.arbitrary);
        const commands = fc.commands(arbitraries, { maxCommands, size: "max", ...replay });
        return fc.asyncProperty(fc.nat(1_000_000), commands, async (seed, chosen) => {
            const sim = new ConfigSimulation(seed);
            await sim.startNode();
            await sim.startNode();
            await fc.asyncModelRun(() => ({ model: sim.oracle, real: sim }), chosen);
            await sim.finish();
        });
    }
}
