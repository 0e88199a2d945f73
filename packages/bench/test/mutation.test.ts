import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { promisify } from "node:util";
import { mutations, type Mutation } from "./mutations.js";

const runner = fileURLToPath(new URL("./mutant.js", import.meta.url));

const fuzz = async (mutation: Mutation): Promise<string> => {
    const { stdout } = await promisify(execFile)(process.execPath, [runner, JSON.stringify(mutation)]);
    return stdout;
};

for (const mutation of mutations) {
    test(`the ${mutation.model} model detects a mutation: ${mutation.name}`, async () => {
        assert.match(await fuzz(mutation), new RegExp(`^${mutation.model} failed: `));
    });
}
