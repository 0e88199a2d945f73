/** Keeps idle connections to backend servers, and drops those on which something arrives unasked. */

import { Agent, type ClientRequest } from "node:http";
import type { Socket } from "node:net";

/** How long idle connections are kept. */
export interface KeepAliveSettings {
    /** For any request, in milliseconds. */
    readonly idleMs: number;
    /** Least time to the moment at which the server closes the connection, in milliseconds. */
    readonly marginMs: number;
    /** Monotonic milliseconds. */
    readonly clock: () => number;
}

/** An HTTP agent that knows how long each of its connections has been idle. */
export class KeepAliveAgent extends Agent {
    readonly #settings: KeepAliveSettings;
    readonly #idle = new WeakMap<Socket, { readonly drop: () => void; readonly since: number }>();

    constructor(settings: KeepAliveSettings) {
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
        this.#idle.set(socket, { drop, since: this.#settings.clock() });
        return true;
    }

    /** Called by the agent when an idle connection is used again. */
    override reuseSocket(socket: Socket, req: ClientRequest): void {
        const idle = this.#idle.get(socket);
        if (idle) {
            socket.off("data", idle.drop);
            socket.off("timeout", idle.drop);
            this.#idle.delete(socket);
        }
        socket.setTimeout(0);
        super.reuseSocket(socket, req);
    }

    /** Whether the connection that the next request to an address would get was in use within the last `ms`. */
    wasUsedWithin(address: string, ms: number): boolean {
        const socket = this.freeSockets[`${address}:`]?.findLast(it => !it.destroyed);
        const idle = socket && this.#idle.get(socket);
        return idle !== undefined && this.#settings.clock() - idle.since <= ms;
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
