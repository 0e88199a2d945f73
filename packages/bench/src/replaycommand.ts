/** The `replay` measurement: utility of every load and fault scenario with the shipped balancer. */

import { Command } from "commander";
import { replayScenario, type ReplayResult } from "./replay.js";
import { loadScenarios, faultScenarios } from "./replayscenarios.js";

/** The `replay` subcommand. */
export const replayCommand = (): Command =>
    new Command("replay").description("utility of load and fault scenarios under virtual time").action(() => {
        for (const scenario of [...loadScenarios, ...faultScenarios]) {
            process.stdout.write(`${line(scenario.name, replayScenario(scenario))}\n`);
        }
    });

const line = (name: string, it: ReplayResult): string =>
    [
        name.padEnd(22),
        `utility ${it.utility.toFixed(3)}`,
        `worst ${it.worstTenthUtility.toFixed(3)}`,
        `in target ${it.inTarget}`,
        `late ${it.late}`,
        `refused ${it.refused}`,
        `failed ${it.failed}`,
        `of ${it.requests}`,
        `refused after at most ${Math.round(it.maxRefusalDelayMs)} ms`,
    ].join("  ");
