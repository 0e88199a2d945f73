/** Checks how the lines of a response's head end. */

/**
 * Reads the bytes of the response to one request up to the end of its head. In HTTP, each line of a head ends with CR LF. Node's
 * parser takes a CR or an LF at the start of a line for the end of the head, and what follows it for the body; so it does with the
 * status line's end and either of them.
 */
export class HeadLines {
    /** Number of bytes of the head that is being read, final or interim. */
    #headBytes = 0;
    /** Number of bytes of its line that is being read. */
    #lineBytes = 0;
    #previous = 0;
    #isInterim = false;
    #isComplete = false;
    #isBroken = false;

    /** Why the head isn't one of HTTP, as far as it has been read; undefined if it is one. */
    get problem(): string | undefined {
        return this.#isComplete && !this.#isBroken ? undefined : "a line of it doesn't end with CR LF";
    }

    /** Reads what has arrived; does nothing behind the end of the final head. */
    read(bytes: Uint8Array): void {
        for (let i = 0; i < bytes.length && !this.#isComplete; i++) {
            this.#readByte(bytes[i] ?? 0);
        }
    }

    #readByte(byte: number): void {
        if (this.#headBytes === 0 && (byte === cr || byte === lf)) {
            // Empty lines may precede a message.
            return;
        }
        if (this.#headBytes === statusAt) {
            this.#isInterim = byte === digitOne;
        }
        this.#headBytes++;
        this.#isBroken ||= (byte === lf) !== (this.#previous === cr);
        this.#previous = byte;
        if (byte === lf) {
            this.#endLine();
        } else if (byte !== cr) {
            this.#lineBytes++;
        }
    }

    #endLine(): void {
        const isHeadEnd = this.#lineBytes === 0;
        this.#lineBytes = 0;
        if (isHeadEnd) {
            this.#headBytes = 0;
            this.#isComplete = !this.#isInterim;
        }
    }
}

const cr = 0x0d;
const lf = 0x0a;
const digitOne = 0x31;
/** Where the status begins in "HTTP/1.1 200". */
const statusAt = 9;
