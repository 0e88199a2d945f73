/** A client over one TCP connection, which reads answers as HTTP/1.1 frames them. */

import { Buffer } from "node:buffer";
import { connect } from "node:net";
import { hostname } from "./world.mjs";

/** Returns a request; one with the method POST has a body. */
export const requestText = (method, path, id, deadlineMs, body = "") =>
    `${method} ${path} HTTP/1.1\r\nHost: ${hostname}\r\nX-Request-Id: ${id}\r\nX-Deadline-Ms: ${deadlineMs}\r\n` +
    `${method === "POST" ? `Content-Length: ${Buffer.byteLength(body)}\r\n` : ""}\r\n${body}`;

/**
 * Reads the answers of one connection. Each is {status, headers, body, end}; `end` says what ended it: "length", "chunks" or,
 * for an answer without framing, how the connection ended: "closed" or "reset".
 */
export class Connection {
    answers = [];
    /** undefined while the connection is open, then "closed" or "reset". */
    ended = undefined;
    socket;
    #buffer = Buffer.alloc(65_536);
    #length = 0;
    /** The answer that is being read, once its head is there. */
    #answer = undefined;
    #waiters = [];

    constructor(host, port) {
        this.socket = connect({ host, port, noDelay: true });
        this.socket.on("data", chunk => {
            this.#append(chunk);
            this.#parse();
        });
        this.socket.on("end", () => this.#end("closed"));
        this.socket.on("error", () => this.#end("reset"));
        this.socket.on("close", () => this.#end("closed"));
    }

    /** Bytes that have arrived and are no complete answer; a head that has been read isn't counted. */
    get incompleteBytes() {
        return this.#length;
    }

    /** Resolves when `count` answers are there or the connection has ended. */
    async wait(count = 1) {
        while (this.answers.length < count && this.ended === undefined) {
            await new Promise(resolve => this.#waiters.push(resolve));
        }
    }

    #append(chunk) {
        while (this.#length + chunk.length > this.#buffer.length) {
            this.#buffer = Buffer.concat([this.#buffer, Buffer.alloc(this.#buffer.length)]);
        }
        chunk.copy(this.#buffer, this.#length);
        this.#length += chunk.length;
    }

    /** Takes bytes from the front of what has arrived. */
    #take(count) {
        const taken = Buffer.from(this.#buffer.subarray(0, count));
        this.#buffer.copyWithin(0, count, this.#length);
        this.#length -= count;
        return taken;
    }

    #end(how) {
        if (this.ended === undefined) {
            this.ended = how;
            this.#parse();
            this.socket.destroy();
            this.#wake();
        }
    }

    #wake() {
        this.#waiters.splice(0).forEach(it => it());
    }

    #parse() {
        while (this.#readHead() && this.#readBody()) {
            const { status, headers, parts, end } = this.#answer;
            this.answers.push({ status, headers, body: Buffer.concat(parts), end });
            this.#answer = undefined;
            this.#wake();
        }
    }

    #readHead() {
        if (this.#answer) {
            return true;
        }
        const headEnd = this.#buffer.subarray(0, this.#length).indexOf("\r\n\r\n");
        if (headEnd < 0) {
            return false;
        }
        const text = this.#take(headEnd + 4).toString("latin1");
        const [first, ...lines] = text.trimEnd().split("\r\n");
        const headers = Object.fromEntries(
            lines.map(it => [
                it.slice(0, it.indexOf(":")).toLowerCase(),
                it.slice(it.indexOf(":") + 1).trim(),
            ]),
        );
        const status = Number(/^HTTP\/1\.1 (\d{3})/.exec(first)?.[1] ?? 0);
        this.#answer = { status, headers, parts: [], end: undefined };
        return true;
    }

    #readBody() {
        const { headers, parts } = this.#answer;
        if (headers["transfer-encoding"] === "chunked") {
            return this.#readChunks(parts);
        }
        const length = headers["content-length"];
        if (length === undefined ? this.ended === undefined : this.#length < Number(length)) {
            return false;
        }
        this.#answer.end = length === undefined ? this.ended : "length";
        parts.push(this.#take(length === undefined ? this.#length : Number(length)));
        return true;
    }

    #readChunks(parts) {
        for (let at = 0; ;) {
            const lineEnd = this.#buffer.subarray(at, Math.min(this.#length, at + 20)).indexOf("\r\n");
            const size = parseInt(this.#buffer.subarray(at, at + lineEnd).toString("latin1"), 16);
            const end = at + lineEnd + 2 + size + 2;
            if (lineEnd < 0 || end > this.#length) {
                this.#take(at);
                return false;
            }
            parts.push(Buffer.from(this.#buffer.subarray(at + lineEnd + 2, end - 2)));
            at = end;
            if (size === 0) {
                this.#take(at);
                this.#answer.end = "chunks";
                return true;
            }
        }
    }
}
