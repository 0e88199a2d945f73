/** Fuzzing of configuration: publications, races, crashes, pauses, outages, expiry, copies and forgeries. */

import fc from "fast-check";
import { configSteps } from "./fuzz-config-steps.js";
import { ConfigSimulation } from "./fuzz-config-simulation.js";
import type { FuzzModel } from "./fuzz-model.js";

const maxCommands = 40;
const arbitraries = configSteps.map(kind => kind.arbitrary);

/** The configuration model. */
export class ConfigFuzzModel implements FuzzModel {
    readonly name = "config";

    property(replayPath?: string): fc.IAsyncProperty<unknown> {
        const replay = replayPath === undefined ? {} : { replayPath };
        const commands = fc.commands([...arbitraries], { maxCommands, size: "max", ...replay });
        return fc.asyncProperty(fc.nat(1_000_000), commands, async (seed, chosen) => {
            const world = new ConfigSimulation(seed);
            await world.startNode();
            await world.startNode();
            await fc.asyncModelRun(() => ({ model: world.oracle, real: world }), chosen);
            await world.finish();
        });
    }
}
