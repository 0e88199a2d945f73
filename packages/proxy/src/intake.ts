/**
 * Callers' connections from when they are accepted until they are served. Node accepts one connection per turn of its event
 * loop, so while turns are long, connections wait where their wait can be neither measured nor ended. While several wait,
 * they are accepted first, unread, and then served a few per turn.
 */

import type { Server, Socket } from "node:net";
import { drainPendingInput } from "./unreadinput.js";

/** Dependencies of an `Intake`. */
export interface IntakeOptions {
    /** Begins to read a connection. */
    readonly serve: (socket: Socket) => void;
    /** Called for each connection when it is accepted. */
    readonly onAccepted: (socket: Socket) => void;
    /** Called for each connection that is closed unread, with the milliseconds that it has waited. */
    readonly onUnread: (waitMs: number) => void;
    /** Returns monotonic milliseconds. */
    readonly clock: () => number;
}

/** A connection that waits to be served. */
interface Waiting {
    readonly acceptedAt: number;
    /** It has arrived since then. */
    readonly arrivedAfter: number;
}

/**
 * Serves accepted connections, the latest first: these have most of their time left. One that can't be served in time is closed
 * unread, so that its caller knows that its request hasn't run.
 */
export class Intake {
    readonly #options: IntakeOptions;
    /** Connections that wait, the earliest first. */
    readonly #waiting = new Map<Socket, Waiting>();
    /** When the connections arrived at the earliest whose first input is being read. */
    readonly #arrivedAfter = new WeakMap<Socket, number>();
    /** Start of the present run of turns that each accepted a connection; undefined if the last turn accepted none. */
    #nonEmptySince: number | undefined = undefined;
    #acceptedInTurn = false;
    /** When a connection was last served after a wait. */
    #servedAt = -Infinity;
    #runsTurns = false;

    constructor(options: IntakeOptions) {
        this.#options = options;
    }

    /** Has the connections of an HTTP server pass through the intake. The server must not have accepted any yet. */
    static attach(server: Server, options: Omit<IntakeOptions, "serve">): Intake {
        const listeners = server.listeners("connection") as ((socket: Socket) => void)[];
        const intake = new Intake({
            ...options,
            serve: socket => {
                listeners.forEach(it => it.call(server, socket));
                socket.resume();
            },
        });
        server.removeAllListeners("connection");
        // Node's type lacks the property that the constructor's option of the same name sets.
        (server as { pauseOnConnect?: boolean }).pauseOnConnect = true;
        server.on("connection", (socket: Socket) => intake.accept(socket));
        return intake;
    }

    /** Accepts a paused connection; serves it at once if no other waits. */
    accept(socket: Socket): void {
        const now = this.#options.clock();
        this.#options.onAccepted(socket);
        this.#acceptedInTurn = true;
        const isFirst = this.#nonEmptySince === undefined && this.#waiting.size === 0;
        this.#nonEmptySince ??= now;
        if (isFirst) {
            this.#serve(socket, now);
        } else if (now - this.#nonEmptySince > maxWaitMs) {
            this.#closeUnread(socket, now - this.#nonEmptySince);
        } else {
            this.#waiting.set(socket, { acceptedAt: now, arrivedAfter: this.#nonEmptySince });
            socket.once("close", () => this.#waiting.delete(socket));
        }
        if (!this.#runsTurns) {
            this.#runsTurns = true;
            setImmediate(() => this.#endTurn());
        }
    }

    /** Whether connections have been arriving for a while faster than one per turn. */
    get isCrowded(): boolean {
        return (
            this.#nonEmptySince !== undefined && this.#options.clock() - this.#nonEmptySince > crowdedAfterMs
        );
    }

    /** Whether a connection waits to be served. */
    isWaiting(socket: Socket): boolean {
        return this.#waiting.has(socket);
    }

    /** Returns how long input that is read now has waited at most since its connection arrived, in milliseconds. */
    waitMs(socket: Socket): number {
        const since = this.#arrivedAfter.get(socket);
        return since === undefined ? 0 : this.#options.clock() - since;
    }

    #endTurn(): void {
        const now = this.#options.clock();
        if (!this.#acceptedInTurn) {
            this.#nonEmptySince = undefined;
        }
        this.#acceptedInTurn = false;
        this.#closeExpired(now);
        if (this.#nonEmptySince === undefined) {
            this.#serveLatest(servedPerTurn, now);
        } else if (this.#isServiceDue(now)) {
            this.#serveLatest(1, now);
        }
        this.#runsTurns = this.#nonEmptySince !== undefined || this.#waiting.size > 0;
        if (this.#runsTurns) {
            setImmediate(() => this.#endTurn());
        }
    }

    #closeExpired(now: number): void {
        for (const [socket, { arrivedAfter }] of this.#waiting) {
            if (now - arrivedAfter <= maxWaitMs) {
                return;
            }
            this.#waiting.delete(socket);
            this.#closeUnread(socket, now - arrivedAfter);
        }
    }

    #closeUnread(socket: Socket, waitMs: number): void {
        this.#options.onUnread(waitMs);
        socket.destroy();
    }

    /** Returns whether to serve a connection that waits although further ones are arriving; called once a turn. */
    #isServiceDue(now: number): boolean {
        const [earliest] = this.#waiting.values();
        return (
            earliest !== undefined &&
            now - earliest.acceptedAt > maxAcceptMs &&
            now - this.#servedAt >= minServeIntervalMs
        );
    }

    #serveLatest(count: number, now: number): void {
        this.#servedAt = now;
        for (const [socket, { arrivedAfter }] of [...this.#waiting].slice(-count).reverse()) {
            this.#waiting.delete(socket);
            this.#serve(socket, arrivedAfter, now);
        }
    }

    #serve(socket: Socket, arrivedAfter: number, now = arrivedAfter): void {
        if (now > arrivedAfter) {
            this.#arrivedAfter.set(socket, arrivedAfter);
            void drainPendingInput().then(() => this.#arrivedAfter.delete(socket));
        }
        this.#options.serve(socket);
    }
}

/** Callers give up requests that may be repeated if they aren't read in this time; the others can still go elsewhere. */
const maxWaitMs = 1_000;
/** Longer than it takes to accept what arrives together, or while the process is paused for a part of a second. */
const crowdedAfterMs = 100;
/** Time in which connections are accepted before others are served, while more arrive in each turn. */
const maxAcceptMs = 25;
/** Few enough for short turns. */
const servedPerTurn = 16;
/** Time between two connections that are served while others arrive; to accept one costs much less than its requests. */
const minServeIntervalMs = 2;
