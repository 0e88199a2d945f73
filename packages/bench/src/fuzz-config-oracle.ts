/** What configuration has to do, in the simplest words: the oracle of its fuzzing. */

/** One accepted publication. */
export interface ExpectedVersion {
    readonly number: number;
    readonly id: string;
    readonly offset: number;
    readonly digest: string;
}

/** The log's order judges: a record that names the version before it as its base is accepted. */
export class ConfigOracle {
    /** Accepted publications, oldest first. */
    readonly accepted: ExpectedVersion[] = [];
    readonly #forged = new Set<string>();

    /** Names a record that must never be accepted. */
    addForgery(data: string): void {
        this.#forged.add(data);
    }

    /** Takes a record of the log, in order. */
    append(offset: number, data: string): void {
        if (this.#forged.has(data)) {
            return;
        }
        const { id, base, digest } = JSON.parse(data) as Omit<ExpectedVersion, "number"> & {
            readonly base: ExpectedVersion;
        };
        const current = this.accepted.at(-1);
        if (base.number === this.accepted.length && (!current || base.digest === current.digest)) {
            this.accepted.push({ number: base.number + 1, id, offset, digest });
        }
    }

    /** Tells what is wrong with a version that is served; undefined if nothing. */
    mismatch(served: Omit<ExpectedVersion, "id"> & { readonly publicationId: string }): string | undefined {
        const expected = this.accepted[served.number - 1];
        const same =
            expected?.digest === served.digest &&
            expected.offset === served.offset &&
            expected.id === served.publicationId;
        return same ? undefined : `version ${served.number} of ${served.publicationId} was never accepted`;
    }
}
