/** An HTTP agent whose connections are paced. */

import { Agent, type AgentOptions } from "node:http";
import { createConnection, type NetConnectOpts, type Socket } from "node:net";
import type { ReadPacer } from "./pacer.js";

/** An agent that has a `ReadPacer` read its connections. */
export class PacedAgent extends Agent {
    readonly #pacer: ReadPacer;

    constructor(options: AgentOptions, pacer: ReadPacer) {
        super(options);
        this.#pacer = pacer;
    }

    /** Called by Node to open a connection. */
    override createConnection(options: NetConnectOpts, onCreated: () => void): Socket {
        const socket = createConnection(options, onCreated);
        this.#pacer.attach(socket);
        return socket;
    }

    /** Called by Node when a response is complete; returning false closes the connection. */
    override keepSocketAlive(socket: Socket): boolean {
        // Node's type lacks the result.
        return !this.holdsInput(socket) && (super.keepSocketAlive(socket) as unknown) === true;
    }

    /** Whether more has arrived behind a complete response, which would be taken for the next one. */
    protected holdsInput(socket: Socket): boolean {
        return this.#pacer.holdsInput(socket);
    }
}
