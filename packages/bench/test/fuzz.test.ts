import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { runFuzzModel, type FuzzModel } from "../src/fuzz-model.js";
import { fuzzModels } from "../src/fuzz-models.js";

const seeds = [1, 2];
const runsPerSeed = 30;

for (const model of fuzzModels) {
    for (const seed of seeds) {
        test(`${model.name} agrees with its oracle, seed ${seed}`, async () => {
            assert.equal(await runFuzzModel(model, { seed, runs: runsPerSeed }), undefined);
        });
    }
}

test("a failure is reported with its shrunk input and the command that replays it", async () => {
    const wrong: FuzzModel = {
        name: "wrong",
        property: () => fc.asyncProperty(fc.nat(), async value => assert.ok(value < 1000, "too much")),
    };
    const text = (await runFuzzModel(wrong, { seed: 7, runs: 100 })) ?? "";
    assert.match(text, /^wrong failed: too much\n1000\nreplay: npm run -s fuzz -- --model wrong --seed 7 /);
    const path = /--path "([^"]*)"/.exec(text)?.[1];
    assert.match(
        (await runFuzzModel(wrong, { seed: 7, runs: 100, path })) ?? "",
        /^wrong failed: too much\n1000\n/,
    );
});
