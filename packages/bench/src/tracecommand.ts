/** The `record` measurement: writes a trace made from a seed to the output. */

import { Command } from "commander";
import { generateTrace } from "./trace.js";

/** The `record` subcommand. */
export const recordCommand = (): Command =>
    new Command("record")
        .description("write a trace made from a seed")
        .option("--seed <number>", "seed", Number, 1)
        .option("--calls <count>", "calls", Number, 6_000)
        .action(({ seed, calls }: { readonly seed: number; readonly calls: number }) => {
            process.stdout.write(generateTrace(seed, calls));
        });
