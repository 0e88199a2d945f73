/** Module hooks that put one deliberate fault into one shipped file as it is loaded. */

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
        throw new Error(`${mutation.file} has ${pieces.length - 1} places to change for "${mutation.name}"`);
    }
    return { ...result, source: pieces.join(mutation.replace) };
};
