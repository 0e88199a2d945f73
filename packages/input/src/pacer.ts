/**
 * Bounds what the input of a connection may cost before others are read, whatever it consists of: small chunks, interim
 * responses, pipelined requests. A turn of the event loop that reads one connection for long delays all others.
 */

import type { Server, Socket } from "node:net";

/** A connection whose input is handed on piece by piece. */
interface PacedConnection {
    readonly socket: Socket;
    /** Hands on input to the connection's readers; returns whether they want more. */
    readonly deliver: (chunk: unknown) => boolean;
    /** What `deliver` returned last. */
    wantsMore: boolean;
    /** Input that waits. */
    held: Uint8Array | undefined;
    /** Hands on the end of the input, which has arrived behind what is held. */
    deliverEnd: (() => void) | undefined;
    /** Size of the next piece, in bytes; small for a connection whose bytes are expensive. */
    pieceBytes: number;
    /** Number of the period that `spentMs` is of. */
    period: number;
    /** Time that its input has cost in that period, in milliseconds. */
    spentMs: number;
    isQueued: boolean;
    /** Whether input has been handed on that nobody read. */
    hasUnread: boolean;
}

/** Reads the connections of a process fairly. */
export class ReadPacer {
    readonly #clock: () => number;
    readonly #connections = new WeakMap<Socket, PacedConnection>();
    /** Connections with held input that want to be read, the first to be read first; each has its own immediate. */
    readonly #queue: PacedConnection[] = [];
    /** Number of the present period, and when it began. */
    #period = 0;
    #periodSince = -Infinity;
    /** Time that input has cost in the present period before any was held, in milliseconds. */
    #spentMs = 0;
    /** Counts what the ticks cost that input has led to: Node writes what was passed on in them. */
    readonly #spendTicks = (connection: PacedConnection, since: number): void =>
        this.#spend(connection, this.#clock() - since);
    /** When held input was first read in the present turn of the event loop; undefined if none has been. */
    #heldSince: number | undefined = undefined;

    /** @param clock returns monotonic milliseconds */
    constructor(clock: () => number) {
        this.#clock = clock;
    }

    /** Paces all connections that an HTTP server will accept; to be called before it listens. */
    attachTo(server: Server): void {
        server.on("connection", (socket: Socket) => {
            this.attach(socket);
            // Node's HTTP server has its parser read the connection, past the stream, until there is a listener.
            const listener = (): void => undefined;
            socket.on("data", listener).off("data", listener);
        });
    }

    /** Paces one connection; to be called before anything has been read from it. */
    attach(socket: Socket): void {
        const push = socket.push.bind(socket);
        const read = socket._read.bind(socket);
        const connection: PacedConnection = {
            socket,
            deliver: push,
            wantsMore: true,
            held: undefined,
            deliverEnd: undefined,
            pieceBytes: firstPieceBytes,
            period: -1,
            spentMs: 0,
            isQueued: false,
            hasUnread: false,
        };
        this.#connections.set(socket, connection);
        socket.push = (chunk: unknown) => this.#receive(connection, chunk);
        socket._read = size => {
            if (connection.held) {
                this.#enqueue(connection);
            } else {
                read(size);
            }
        };
    }

    /**
     * Whether input of a connection has arrived that nobody has read. Node stops reading a connection once a response on it is
     * complete, also if that waits to be read itself, and drops what follows.
     */
    holdsInput(socket: Socket): boolean {
        const connection = this.#connections.get(socket);
        return connection !== undefined && (connection.held !== undefined || connection.hasUnread);
    }

    /** Hands on input, or holds it; returns whether more may be read from the connection. */
    #receive(connection: PacedConnection, chunk: unknown): boolean {
        if (!(chunk instanceof Uint8Array)) {
            if (!connection.held) {
                return connection.deliver(chunk);
            }
            connection.deliverEnd = () => connection.deliver(chunk);
            return false;
        }
        if (connection.held) {
            connection.held = Buffer.concat([connection.held, chunk]);
            return false;
        }
        if (chunk.length <= unpacedBytes) {
            return handOn(connection, chunk);
        }
        const now = this.#clock();
        this.#startPeriod(now);
        if (this.#mustWait(connection)) {
            connection.held = chunk;
            this.#enqueue(connection);
            return false;
        }
        return this.#deliverPieces(connection, chunk, now);
    }

    /** Hands on input until it has cost the connection's share of the period, and holds the rest. */
    #deliverPieces(connection: PacedConnection, chunk: Uint8Array, now: number): boolean {
        let startedAt = now;
        for (let at = 0; at < chunk.length && !connection.socket.destroyed;) {
            if (at > 0 && this.#mustWait(connection)) {
                connection.held = chunk.subarray(at);
                return false;
            }
            const piece = chunk.subarray(at, at + connection.pieceBytes);
            startedAt = this.#deliverPiece(connection, piece, startedAt);
            at += piece.length;
        }
        process.nextTick(this.#spendTicks, connection, startedAt);
        return connection.wantsMore;
    }

    /** Hands on a piece; returns when that was done. */
    #deliverPiece(connection: PacedConnection, piece: Uint8Array, startedAt: number): number {
        connection.wantsMore = handOn(connection, piece);
        const now = this.#clock();
        this.#spend(connection, now - startedAt);
        adaptPiece(connection, piece.length, now - startedAt);
        return now;
    }

    #spend(connection: PacedConnection, ms: number): void {
        if (connection.period !== this.#period) {
            connection.period = this.#period;
            connection.spentMs = 0;
        }
        connection.spentMs += ms;
        this.#spentMs += ms;
    }

    #startPeriod(now: number): void {
        if (now - this.#periodSince >= periodMs) {
            this.#periodSince = now;
            this.#period++;
            this.#spentMs = 0;
        }
    }

    /** Whether a connection has to queue: it has had its share of the period, is known to be expensive, or the period is used up. */
    #mustWait(connection: PacedConnection): boolean {
        const spentMs = connection.period === this.#period ? connection.spentMs : 0;
        return (
            spentMs >= maxConnectionMs ||
            connection.pieceBytes <= expensivePieceBytes ||
            this.#spentMs >= maxPeriodMs
        );
    }

    #enqueue(connection: PacedConnection): void {
        if (!connection.isQueued) {
            connection.isQueued = true;
            this.#queue.push(connection);
            setImmediate(() => this.#readNext());
        }
    }

    /** Reads the first connection that waits, unless those before it have used up the turn: with what their reading led to. */
    #readNext(): void {
        const now = this.#clock();
        if (this.#heldSince === undefined) {
            this.#heldSince = now;
            setImmediate(() => (this.#heldSince = undefined));
        }
        if (now - this.#heldSince >= maxHeldMs) {
            setImmediate(() => this.#readNext());
            return;
        }
        const connection = this.#queue.shift();
        if (connection) {
            connection.isQueued = false;
            this.#deliverHeld(connection);
        }
    }

    #deliverHeld(connection: PacedConnection): void {
        const { held, socket, deliverEnd } = connection;
        if (!held || socket.destroyed) {
            return;
        }
        const piece = held.subarray(0, connection.pieceBytes);
        connection.held = piece.length < held.length ? held.subarray(piece.length) : undefined;
        const endedAt = this.#deliverPiece(connection, piece, this.#clock());
        process.nextTick(this.#spendTicks, connection, endedAt);
        if (!connection.held) {
            deliverEnd?.();
        }
    }
}

/** Hands on a piece; returns whether more may follow. */
const handOn = (connection: PacedConnection, piece: Uint8Array): boolean => {
    connection.hasUnread ||= connection.socket.listenerCount("data") === 0;
    return connection.deliver(piece);
};

/** Halves the pieces of a connection whose input is expensive, and doubles them again when it is cheap. */
const adaptPiece = (connection: PacedConnection, bytes: number, ms: number): void => {
    const { pieceBytes } = connection;
    if (ms > maxPieceMs) {
        connection.pieceBytes = Math.max(minPieceBytes, Math.floor(pieceBytes / 2));
    } else if (bytes === pieceBytes && ms < maxPieceMs / 4) {
        connection.pieceBytes = Math.min(maxPieceBytes, pieceBytes * 2);
    } else if (bytes < pieceBytes && ms < maxPieceMs / 2) {
        connection.pieceBytes = Math.max(pieceBytes, Math.min(firstPieceBytes, pieceBytes * 2));
    }
};

/** Input of up to this many bytes is handed on at once: reading it costs little, whatever it consists of. */
const unpacedBytes = 512;
/** A typical head, or the beginning of a body. */
const firstPieceBytes = 4 * 1024;
/** Size of the pieces at which a connection's bytes are known to be expensive. */
const expensivePieceBytes = firstPieceBytes / 4;
const minPieceBytes = 256;
/** Node reads at most this many bytes at a time. */
const maxPieceBytes = 64 * 1024;
/** Time that one piece should cost, in milliseconds. */
const maxPieceMs = 1;
/** Period in which time is counted that input costs as it arrives, in milliseconds; longer than most turns of the event loop. */
const periodMs = 10;
/** Time that one connection may use of a period before it queues, in milliseconds. */
const maxConnectionMs = 2;
/** Time that all connections may use of a period before any more input queues, in milliseconds. */
const maxPeriodMs = 5;
/** Time that queued input may use of a turn of the event loop, in milliseconds. */
const maxHeldMs = 5;
