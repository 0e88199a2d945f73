/** The fuzz command: runs the models with successive seeds for a given time, or replays one failure. */

import { Command } from "commander";
import { monotonicMs } from "./clock.js";
import { runFuzzModel } from "./fuzz-model.js";
import { fuzzModels } from "./fuzz-models.js";

const runsPerSeed = 50;

interface Options {
    readonly seconds: string;
    readonly seed: string;
    readonly model?: string;
    readonly path?: string;
    readonly replayPath?: string;
}

const options = new Command("fuzz")
    .option("--seconds <count>", "how long to run", "30")
    .option("--seed <number>", "first seed", "1")
    .option("--model <name>", "only this model")
    .option("--path <path>", "replay one failure of this seed")
    .option("--replay-path <path>", "the failure's path of commands")
    .parse()
    .opts<Options>();

const chosen = fuzzModels.filter(model => options.model === undefined || model.name === options.model);
if (chosen.length === 0) {
    const names = fuzzModels.map(model => model.name).join(", ");
    throw new RangeError(`unknown model ${options.model}; known models: ${names}`);
}

const end = monotonicMs() + Number(options.seconds) * 1000;
const runs = new Map<string, number>();
let failure: string | undefined;
for (let seed = Number(options.seed); !failure && monotonicMs() < end; seed++) {
    for (const model of chosen) {
        const { path, replayPath } = options;
        failure ??= await runFuzzModel(model, { seed, runs: runsPerSeed, path, replayPath });
        runs.set(model.name, (runs.get(model.name) ?? 0) + runsPerSeed);
    }
    if (options.path !== undefined) {
        break;
    }
}
for (const [name, count] of runs) {
    process.stdout.write(`${name}: ${count} runs from seed ${options.seed}\n`);
}
process.stdout.write(failure === undefined ? "no failure\n" : `${failure}\n`);
process.exitCode = failure === undefined ? 0 : 1;
