/** `measure -- replay`: worth of every overload pattern with the balancer that ships. */

import { Balancer } from "@bramleymoor/balance/balancer";
import { SeededRandom } from "@bramleymoor/dispatch/random";
import { Command } from "commander";
import { Replay, type ReplayResult } from "./replay.js";
import { patterns, troublePatterns } from "./replaypatterns.js";

/** The command. */
export const replayCommand = (): Command =>
    new Command("replay").description("worth of overload patterns under virtual time").action(() => {
        for (const pattern of [...patterns, ...troublePatterns]) {
            const random = new SeededRandom(pattern.seed);
            const balancer = new Balancer({ candidateCount: 3, domain: "a" }, () => random.next());
            process.stdout.write(`${line(pattern.name, new Replay(pattern, balancer).run())}\n`);
        }
    });

const line = (name: string, it: ReplayResult): string =>
    [
        name.padEnd(22),
        `worth ${it.worth.toFixed(3)}`,
        `worst ${it.worst.toFixed(3)}`,
        `in target ${it.inTarget}`,
        `late ${it.late}`,
        `refused ${it.refused}`,
        `failed ${it.failed}`,
        `of ${it.owed}`,
        `held ${Math.round(it.heldMs)} ms`,
    ].join("  ");
