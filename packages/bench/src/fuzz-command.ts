/** One command of a fuzzed run. */

import type fc from "fast-check";

/** A command that may come at any time, and is printed as its text. */
export class FuzzCommand<Model extends object, World> implements fc.AsyncCommand<Model, World> {
    readonly #text: string;
    readonly #step: (world: World) => Promise<void> | void;

    constructor(text: string, step: (world: World) => Promise<void> | void) {
        this.#text = text;
        this.#step = step;
    }

    check(): boolean {
        return true;
    }

    async run(_model: Model, world: World): Promise<void> {
        await this.#step(world);
    }

    toString(): string {
        return this.#text;
    }
}
