/** An HTTP agent that pools idle connections to backend servers and closes those that receive unsolicited data. */

import type { ClientRequest } from "node:http";
import type { NetConnectOpts, Socket } from "node:net";
import { PacedAgent } from "@bramleymoor/input/pacedagent";
import type { ReadPacer } from "@bramleymoor/input/pacer";
import { CarriedIds } from "./carriedids.js";

/** Observes the connections of an agent; addresses are "IP:port". */
export interface ConnectionObserver {
    /** Called when a connection is open. */
    readonly onConnected: (address: string) => void;
    /** Called when a connection couldn't be opened, with when that was begun. */
    readonly onConnectFailed: (address: string, startedAt: number) => void;
    /** Called when a response has arrived in full. */
    readonly onResponse: (address: string) => void;
}

/** Settings of a `KeepAliveAgent`. */
export interface KeepAliveSettings {
    /** Maximum idle time of a connection, in milliseconds; 0 disables pooling. */
    readonly idleMs: number;
    /** How long before the server's own idle timeout a connection is closed, in milliseconds. */
    readonly marginMs: number;
    /** Returns monotonic milliseconds. */
    readonly clock: () => number;
    readonly observer?: ConnectionObserver;
    /** Reads the connections. */
    readonly pacer: ReadPacer;
}

/** A keep-alive agent that tracks how long each of its connections has been idle. */
export class KeepAliveAgent extends PacedAgent {
    readonly #settings: KeepAliveSettings;
    readonly #addresses = new WeakMap<Socket, string>();
    readonly #idle = new WeakMap<Socket, { readonly destroy: () => void; readonly since: number }>();
    readonly #carried = new WeakMap<Socket, CarriedIds>();

    constructor(settings: KeepAliveSettings) {
        super({ keepAlive: true, scheduling: "lifo", noDelay: true }, settings.pacer);
        this.#settings = settings;
    }

    /** Called by Node to open a connection. */
    override createConnection(options: NetConnectOpts, onCreated: () => void): Socket {
        const socket = super.createConnection(options, onCreated);
        const { observer, clock } = this.#settings;
        if (observer && "host" in options) {
            this.#observe(socket, `${options.host}:${options.port}`, observer, clock());
        }
        return socket;
    }

    /** Called by Node when a response is complete; returning false closes the connection. */
    override keepSocketAlive(socket: Socket): boolean {
        const address = this.#addresses.get(socket);
        if (address !== undefined) {
            this.#settings.observer?.onResponse(address);
        }
        const idleMs = this.#keepAliveMs(socket);
        if (idleMs <= 0 || this.holdsInput(socket) || this.carriedBy(socket).isFull) {
            return false;
        }
        const destroy = (): void => {
            socket.destroy();
        };
        socket.setTimeout(idleMs);
        socket.on("data", destroy);
        socket.on("timeout", destroy);
        socket.unref();
        this.#idle.set(socket, { destroy, since: this.#settings.clock() });
        return true;
    }

    /** Called by Node when an idle connection is reused. */
    override reuseSocket(socket: Socket, req: ClientRequest): void {
        const idle = this.#idle.get(socket);
        if (idle) {
            socket.off("data", idle.destroy);
            socket.off("timeout", idle.destroy);
            this.#idle.delete(socket);
        }
        socket.setTimeout(0);
        super.reuseSocket(socket, req);
    }

    /** Returns the ids of the requests that a connection has carried; the caller adds those that it sends. */
    carriedBy(socket: Socket): CarriedIds {
        const known = this.#carried.get(socket);
        if (known) {
            return known;
        }
        const ids = new CarriedIds();
        this.#carried.set(socket, ids);
        return ids;
    }

    /** Closes the connections that are idle. */
    closeIdle(): void {
        Object.values(this.freeSockets).forEach(sockets => sockets?.forEach(it => it.destroy()));
    }

    /** Returns whether the connection that the next request to `address` reuses was in use within the last `ms`. */
    wasUsedWithin(address: string, ms: number): boolean {
        const socket = this.#nextSocket(address);
        const idle = socket && this.#idle.get(socket);
        return idle !== undefined && this.#settings.clock() - idle.since <= ms;
    }

    /** Returns whether the connection that the next request to `address` reuses has carried one with this id. */
    hasCarried(address: string, requestId: string): boolean {
        const socket = this.#nextSocket(address);
        return socket !== undefined && this.carriedBy(socket).has(requestId);
    }

    #nextSocket(address: string): Socket | undefined {
        return this.freeSockets[`${address}:`]?.findLast(it => !it.destroyed);
    }

    #observe(socket: Socket, address: string, observer: ConnectionObserver, startedAt: number): void {
        this.#addresses.set(socket, address);
        let isOpen = false;
        socket.once("connect", () => {
            isOpen = true;
            observer.onConnected(address);
        });
        socket.once("close", hadError => {
            // One that is closed without an error was given up here, perhaps because its request had ended.
            if (!isOpen && (hadError || this.#settings.clock() - startedAt >= minFailedConnectMs)) {
                observer.onConnectFailed(address, startedAt);
            }
        });
    }

    /** Returns how long to keep a connection: the server's announced timeout less the margin, at most `idleMs`. */
    #keepAliveMs(socket: Socket): number {
        const { idleMs, marginMs } = this.#settings;
        const res = (socket as Socket & { _httpMessage?: ClientRequest & { res?: ResponseHead } })
            ._httpMessage?.res;
        const announced = /timeout=(\d+)/.exec(String(res?.headers["keep-alive"] ?? ""));
        return announced ? Math.min(idleMs, Number(announced[1]) * msPerSecond - marginMs) : idleMs;
    }
}

interface ResponseHead {
    readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>;
}

/** Many round trips between failure domains. */
const minFailedConnectMs = 200;
const msPerSecond = 1_000;
