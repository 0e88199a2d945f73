/** The `record` command: writes a trace generated from a seed to standard output. */

import { Command } from "commander";
import { generateTrace } from "./trace.js";

/** Returns the `record` subcommand. */
export const recordCommand = (): Command =>
    new Command("record")
        .description("write a trace generated from a seed")
        .option("--seed <number>", "seed of the random numbers", Number, 1)
        .option("--calls <count>", "number of calls", Number, 6_000)
        .action(({ seed, calls }: { readonly seed: number; readonly calls: number }) => {
            process.stdout.write(generateTrace(seed, calls));
        });
