/** Commands of a fuzzed run. */

import type fc from "fast-check";

/** A command without a precondition; failures print its text. */
export class FuzzCommand<Model extends object, Real> implements fc.AsyncCommand<Model, Real> {
    readonly #text: string;
    readonly #action: (real: Real) => Promise<void> | void;

    constructor(text: string, action: (real: Real) => Promise<void> | void) {
        this.#text = text;
        this.#action = action;
    }

    check(): boolean {
        return true;
    }

    async run(_model: Model, real: Real): Promise<void> {
        await this.#action(real);
    }

    toString(): string {
        return this.#text;
    }
}
