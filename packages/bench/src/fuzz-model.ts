/** Interface of a fuzz model, and how one is run. */

import fc from "fast-check";

/** A model-based property: commands run against the shipped classes, checked by an oracle. */
export interface FuzzModel {
    readonly name: string;
    /**
     * Returns the property, usually built with fc.commands and fc.asyncModelRun.
     *
     * @param replayPath path of a failure as printed by fc.commands; only that failure is replayed
     */
    property(replayPath?: string): fc.IAsyncProperty<unknown>;
}

/** How to run a model. */
export interface FuzzRunOptions {
    readonly seed: number;
    readonly runs: number;
    /** Whether to stop at the first failure without shrinking it. */
    readonly endOnFailure?: boolean;
    /** Path of a failure to replay, used with the model's `replayPath`. */
    readonly path?: string | undefined;
    readonly replayPath?: string | undefined;
}

/** Runs a model; returns the cause, shrunk commands and replay command line of a failure, or undefined if none. */
export const runFuzzModel = async (
    model: FuzzModel,
    options: FuzzRunOptions,
): Promise<string | undefined> => {
    const path = options.path === undefined ? {} : { path: options.path, endOnFailure: true };
    const parameters = {
        endOnFailure: options.endOnFailure ?? false,
        seed: options.seed,
        numRuns: options.runs,
        ...path,
    };
    const result = await fc.check(model.property(options.replayPath), parameters);
    if (!result.failed) {
        return undefined;
    }
    const cause = result.errorInstance instanceof Error ? result.errorInstance.message : "";
    const commands = (result.counterexample as readonly unknown[] | undefined)?.map(String).join("\n") ?? "";
    const replayPath = /replayPath="([^"]*)"/.exec(commands)?.[1];
    const replayOptions = [
        `--model ${model.name}`,
        `--seed ${result.seed}`,
        `--path "${result.counterexamplePath}"`,
    ];
    const replayPathOption = replayPath === undefined ? "" : ` --replay-path "${replayPath}"`;
    return `${model.name} failed: ${cause}\n${commands}\nreplay: npm run -s fuzz -- ${replayOptions.join(" ")}${replayPathOption}`;
};
