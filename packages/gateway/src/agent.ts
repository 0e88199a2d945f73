/** Keeps idle connections to backend servers, and drops those on which something arrives unasked. */

import { Agent, type ClientRequest } from "node:http";
import type { Socket } from "node:net";

/** How long idle connections are kept. */
export interface KeepSettings {
    /** For any request, in milliseconds. */
    readonly idleMs: number;
    /** Least time to the moment at which the server closes the connection, in milliseconds. */
    readonly marginMs: number;
}

/** An HTTP agent that knows how long each of its connections has been idle. */
export class KeepingAgent extends Agent {
    readonly #settings: KeepSettings;
    readonly #idle = new WeakMap<Socket, () => void>();

    constructor(settings: KeepSettings) {
        super({ keepAlive: true, scheduling: "lifo", noDelay: true });
        this.#settings = settings;
    }

    /** Called by the agent when an answer is whole; false closes the connection. */
    override keepSocketAlive(socket: Socket): boolean {
        const idleMs = this.#idleMs(socket);
        if (idleMs <= 0) {
            return false;
        }
        const drop = (): void => {
            socket.destroy();
        };
        socket.setTimeout(idleMs);
        socket.on("data", drop);
        socket.on("timeout", drop);
        socket.unref();
        this.#idle.set(socket, drop);
        return true;
    }

    /** Called by the agent when an idle connection is used again. */
    override reuseSocket(socket: Socket, req: ClientRequest): void {
        const drop = this.#idle.get(socket);
        if (drop) {
            socket.off("data", drop);
            socket.off("timeout", drop);
            this.#idle.delete(socket);
        }
        socket.setTimeout(0);
        super.reuseSocket(socket, req);
    }

    /** Closes every idle connection to one address. */
    dropIdle(address: string): void {
        for (const [name, sockets] of Object.entries(this.freeSockets)) {
            if (name.startsWith(`${address}:`)) {
                sockets?.forEach(it => it.destroy());
            }
        }
    }

    #idleMs(socket: Socket): number {
        const { idleMs, marginMs } = this.#settings;
        const res = (socket as Socket & { _httpMessage?: ClientRequest & { res?: AnswerHead } })._httpMessage
            ?.res;
        const told = /timeout=(\d+)/.exec(String(res?.headers["keep-alive"] ?? ""));
        return told ? Math.min(idleMs, Number(told[1]) * msPerSecond - marginMs) : idleMs;
    }
}

interface AnswerHead {
    readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>;
}

const msPerSecond = 1_000;
