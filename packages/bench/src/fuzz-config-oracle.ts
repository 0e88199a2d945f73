/** Oracle of the configuration model: the specification of which publications are accepted. */

/** An accepted publication. */
export interface ExpectedVersion {
    readonly number: number;
    readonly id: string;
    readonly offset: number;
    readonly digest: string;
}

/** Evaluates records in the order of the log: a record is accepted if its base is the current version. */
export class ConfigOracle {
    /** Accepted publications, oldest first. */
    readonly accepted: ExpectedVersion[] = [];
    readonly #forgedRecords = new Set<string>();

    /** Registers a record that must never be accepted. */
    addForgery(data: string): void {
        this.#forgedRecords.add(data);
    }

    /** Evaluates the next record of the log. */
    append(offset: number, data: string): void {
        if (this.#forgedRecords.has(data)) {
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

    /** Number of the newest accepted version; 0 before the first. */
    get newest(): number {
        return this.accepted.length;
    }

    /** Accepts a version that an operator restores at an offset. */
    restore(version: Omit<ExpectedVersion, "number">): void {
        this.accepted.push({ ...version, number: this.accepted.length + 1 });
    }

    /** Returns how a served version differs from the accepted one; undefined if they are the same. */
    mismatch(served: Omit<ExpectedVersion, "id"> & { readonly publicationId: string }): string | undefined {
        const expected = this.accepted[served.number - 1];
        const same =
            expected?.digest === served.digest &&
            expected.offset === served.offset &&
            expected.id === served.publicationId;
        return same ? undefined : `version ${served.number} of ${served.publicationId} was never accepted`;
    }
}
