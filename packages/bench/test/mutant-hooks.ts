/** Module hooks that apply a mutation to a shipped file when it is loaded. */

import type { LoadHook } from "node:module";
import type { Mutation } from "./mutations.js";

let mutation: Mutation | undefined;

export const initialize = (data: Mutation): void => {
    mutation = data;
};

export const load: LoadHook = async (url, context, nextLoad) => {
    const result = await nextLoad(url, context);
    if (!mutation || !url.endsWith(`/${mutation.file}`)) {
        return result;
    }
    const pieces = String(result.source).split(mutation.find);
    if (pieces.length !== 2) {
        throw new Error(
            `mutation "${mutation.name}" matches ${pieces.length - 1} times in ${mutation.file}, expected 1`,
        );
    }
    return { ...result, source: pieces.join(mutation.replace) };
};
