/** Checks how the lines of a response's head end. */

/**
 * Reads the bytes of the response to one request up to the end of its head. In HTTP, each line of a head ends with CR LF. Node's
 * parser takes a CR or an LF at the start of a line for the end of the head, and what follows it for the body; so it does with the
 * status line's end and either of them.
 */
export class HeadLines {
    /** What has arrived of a head that isn't complete; undefined if nothing has. */
    #begun: Buffer | undefined = undefined;
    #isComplete = false;
    #isBroken = false;

    /** Why the head isn't one of HTTP, as far as it has been read; undefined if it is one. */
    get problem(): string | undefined {
        return this.#isComplete && !this.#isBroken ? undefined : "a line of it doesn't end with CR LF";
    }

    /** Reads what has arrived; does nothing behind the end of the final head. */
    read(bytes: Buffer): void {
        if (this.#isComplete) {
            return;
        }
        let rest = this.#begun ? Buffer.concat([this.#begun, bytes]) : bytes;
        do {
            rest = rest.subarray(emptyLineBytes(rest));
            const end = rest.indexOf(headEnd);
            if (end < 0) {
                this.#begun = rest;
                return;
            }
            const head = rest.toString("latin1", 0, end + headEnd.length);
            this.#isBroken ||= otherLineEnd.test(head);
            this.#isComplete = head[statusAt] !== "1";
            rest = rest.subarray(head.length);
        } while (!this.#isComplete);
    }
}

/** Returns the number of bytes of the empty lines that may precede a message. */
const emptyLineBytes = (bytes: Buffer): number => {
    let count = 0;
    while (bytes[count] === cr || bytes[count] === lf) {
        count++;
    }
    return count;
};

const headEnd = "\r\n\r\n";
const otherLineEnd = /\r(?!\n)|(?<!\r)\n/;
const cr = 0x0d;
const lf = 0x0a;
/** Where the status begins in "HTTP/1.1 200"; an interim one begins with 1. */
const statusAt = 9;
