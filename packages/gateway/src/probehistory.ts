/** Remembers the responses to the probes that each connection has carried. */

import { createHash } from "node:crypto";
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";

/**
 * A probe bears no id, so a response of which a server sends a copy, late, can't be told from that to a later probe on the same
 * connection; but it differs from none that the connection has carried.
 */
export class ProbeHistory {
    readonly #heads = new WeakMap<Socket, Set<string>>();

    /** Records the response to a probe; returns whether it may be a copy of an earlier one on its connection. */
    record(socket: Socket, { statusCode = 0, rawHeaders }: IncomingMessage): boolean {
        const heads = this.#heads.get(socket) ?? new Set();
        this.#heads.set(socket, heads);
        const head = createHash("sha1")
            .update(JSON.stringify([statusCode, rawHeaders]))
            .digest("base64");
        const isKnown = heads.has(head);
        heads.add(head);
        return isKnown;
    }

    /** Whether so many different responses are known of a connection that it should carry no further probe. */
    isFull(socket: Socket): boolean {
        return (this.#heads.get(socket)?.size ?? 0) >= maxHeads;
    }
}

/** Bounds the memory to a few kilobytes a connection. */
const maxHeads = 256;
