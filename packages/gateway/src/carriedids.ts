/** The requests that a connection has carried. */

/** Ids of the requests that one connection has carried: copies of the responses to them may still arrive on it. */
export class CarriedIds {
    readonly #ids = new Set<string>();
    #bytes = 0;

    /** Number of different ids. */
    get size(): number {
        return this.#ids.size;
    }

    /** Whether the connection should carry no more, as the ids would take too much memory. */
    get isFull(): boolean {
        return this.#bytes >= maxBytes;
    }

    has(id: string): boolean {
        return this.#ids.has(id);
    }

    add(id: string): void {
        this.#ids.add(id);
        this.#bytes += id.length + entryBytes;
    }
}

/** About what an entry takes beside its characters. */
const entryBytes = 64;
/** Enough for some hundred requests. */
const maxBytes = 32 * 1024;
