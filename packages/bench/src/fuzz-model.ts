/** What the fuzz command needs of a model, and how it runs one. */

import fc from "fast-check";

/** A stateful property: commands run against shipped classes and an oracle side by side. */
export interface FuzzModel {
    readonly name: string;
    /**
     * Makes the property, usually of fc.commands and fc.asyncModelRun.
     *
     * @param replayPath as printed by fc.commands for a failure; replays just that one
     */
    property(replayPath?: string): fc.IAsyncProperty<unknown>;
}

/** How a model is run. */
export interface FuzzRunOptions {
    readonly seed: number;
    readonly runs: number;
    /** Stops at the first failure without shrinking it. */
    readonly endOnFailure?: boolean;
    /** Replays one failure, with the model's replayPath. */
    readonly path?: string | undefined;
    readonly replayPath?: string | undefined;
}

/** A failure, ready to print: what failed, the shrunk commands and how to see it again; undefined if none. */
export const runFuzzModel = async (model: FuzzModel, run: FuzzRunOptions): Promise<string | undefined> => {
    const path = run.path === undefined ? {} : { path: run.path, endOnFailure: true };
    const parameters = {
        endOnFailure: run.endOnFailure ?? false,
        seed: run.seed,
        numRuns: run.runs,
        ...path,
    };
    const result = await fc.check(model.property(run.replayPath), parameters);
    if (!result.failed) {
        return undefined;
    }
    const cause = result.errorInstance instanceof Error ? result.errorInstance.message : "";
    const commands = (result.counterexample as readonly unknown[] | undefined)?.map(String).join("\n") ?? "";
    const replayPath = /replayPath="([^"]*)"/.exec(commands)?.[1];
    const replay = [
        `--model ${model.name}`,
        `--seed ${result.seed}`,
        `--path "${result.counterexamplePath}"`,
    ];
    const tail = replayPath === undefined ? "" : ` --replay-path "${replayPath}"`;
    return `${model.name} failed: ${cause}\n${commands}\nreplay: npm run -s fuzz -- ${replay.join(" ")}${tail}`;
};
