/** Fuzzing of configuration: publications, races, crashes, pauses, outages, expiry, copies and forgeries. */

import fc from "fast-check";
import { configSteps } from "./fuzz-config-steps.js";
import { ConfigWorld } from "./fuzz-config-world.js";
import type { FuzzModel } from "./fuzz-model.js";

const maxCommands = 40;
const arbitraries = configSteps.map(kind => kind.commands);

/** The configuration model. */
export class ConfigFuzz implements FuzzModel {
    readonly name = "config";

    property(replayPath?: string): fc.IAsyncProperty<unknown> {
        const replay = replayPath === undefined ? {} : { replayPath };
        const commands = fc.commands([...arbitraries], { maxCommands, size: "max", ...replay });
        return fc.asyncProperty(fc.nat(1_000_000), commands, async (seed, chosen) => {
            const world = new ConfigWorld(seed);
            await world.start();
            await world.start();
            await fc.asyncModelRun(() => ({ model: world.oracle, real: world }), chosen);
            await world.finish();
        });
    }
}
