/** Runs a fuzz model against mutated code: node mutant.js MUTATION-AS-JSON. */

import { register } from "node:module";
import type { Mutation } from "./mutations.js";

const mutation = JSON.parse(process.argv[2] ?? "") as Mutation;
register("./mutant-hooks.js", { parentURL: import.meta.url, data: mutation });
const { runFuzzModel } = await import("../src/fuzz-model.js");
const { fuzzModels } = await import("../src/fuzz-models.js");
const { ConfigFuzzModel } = await import("../src/fuzz-config.js");
const { keepingSteps } = await import("../src/fuzz-config-steps.js");
const models = mutation.losesRecords ? fuzzModels : [new ConfigFuzzModel(keepingSteps), ...fuzzModels];
const model = models.find(({ name }) => name === mutation.model);
if (!model) {
    throw new Error(`unknown model ${mutation.model}`);
}

const seeds = [1, 2, 3, 4];
const runsPerSeed = 50;
let failure: string | undefined;
for (const seed of seeds) {
    failure ??= await runFuzzModel(model, { seed, runs: runsPerSeed, endOnFailure: true });
}
process.stdout.write(failure ?? "survived\n");
process.exit(0);
