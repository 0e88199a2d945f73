/** `measure -- replay`: worth of every overload pattern with the balancer that ships. */

import { Balancer } from "@bramleymoor/balance/balancer";
import { SeededRandom } from "@bramleymoor/dispatch/random";
import { Command } from "commander";
import { Replay, type ReplayResult } from "./replay.js";
import { loadScenarios, faultScenarios } from "./replayscenarios.js";

/** The command. */
export const replayCommand = (): Command =>
    new Command("replay").description("worth of overload patterns under virtual time").action(() => {
        for (const pattern of [...loadScenarios, ...faultScenarios]) {
            const random = new SeededRandom(pattern.seed);
            const balancer = new Balancer({ candidateCount: 3, domain: "a" }, () => random.next());
            process.stdout.write(`${line(pattern.name, new Replay(pattern, balancer).run())}\n`);
        }
    });

const line = (name: string, it: ReplayResult): string =>
    [
        name.padEnd(22),
        `worth ${it.utility.toFixed(3)}`,
        `worst ${it.worstTenthUtility.toFixed(3)}`,
        `in target ${it.inTarget}`,
        `late ${it.late}`,
        `refused ${it.refused}`,
        `failed ${it.failed}`,
        `of ${it.requests}`,
        `held ${Math.round(it.maxRefusalDelayMs)} ms`,
    ].join("  ");
