/** Callers that leave at once, others that wait, and a busy event loop in which nobody notices. */

import { once } from "node:events";
import { Worker } from "node:worker_threads";

const source = `
    const { connect } = require("node:net");
    const { parentPort, workerData: { port, texts, left } } = require("node:worker_threads");
    const sockets = texts.map(() => connect(port, "127.0.0.1").on("error", () => undefined));
    const leave = () => sockets.forEach((socket, i) => socket.end(texts[i], () => {
        Atomics.add(left, 0, 1);
        Atomics.notify(left, 0);
    }));
    let connected = 0;
    sockets.forEach(socket => socket.once("connect", () => {
        connected++;
        if (connected === texts.length) {
            parentPort.postMessage("connected");
        }
    }));
    parentPort.once("message", leave);
`;

/** Callers in a thread of their own that send their requests and disconnect without waiting. */
export class HastyCallers {
    readonly #worker: Worker;
    readonly #count: number;
    /** Number of callers that have disconnected. */
    readonly #left = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));

    /** Opens a connection for each text. */
    constructor(port: number, texts: readonly string[]) {
        this.#count = texts.length;
        this.#worker = new Worker(source, { eval: true, workerData: { port, texts, left: this.#left } });
    }

    /** Resolves when all connections are established. */
    async connected(): Promise<void> {
        await once(this.#worker, "message");
    }

    /**
     * Lets the callers send their texts and disconnect; keeps the event loop from running until all have done so, and for
     * `blockedMs` milliseconds more.
     *
     * @throws Error if they have not left within 30 s
     */
    leaveUnnoticed(blockedMs: number): void {
        this.#worker.postMessage("leave");
        blockUntilAll(this.#left, this.#count, "callers have left");
        blockEventLoop(blockedMs);
    }

    /** Ends the thread. */
    async terminate(): Promise<void> {
        await this.#worker.terminate();
    }
}

/** Keeps the event loop from running, as a busy processor would. */
export const blockEventLoop = (ms: number): void => {
    const until = performance.now() + ms;
    while (performance.now() < until) {
        // Busy.
    }
};

/**
 * Keeps the event loop busy in short turns, each of which accepts one connection, until `done` returns true.
 *
 * @throws Error if that takes more than 30 s
 */
export const runShortTurns = async (turnMs: number, done: () => boolean): Promise<void> => {
    const until = performance.now() + maxWaitMs;
    while (!done()) {
        if (performance.now() > until) {
            throw new Error("the condition did not come true");
        }
        blockEventLoop(turnMs);
        await new Promise(resolve => setImmediate(resolve));
    }
};

/** A last resort; on a busy machine a wait may take seconds. */
const maxWaitMs = 30_000;

/** Waits for another thread to count to `count`, while the event loop doesn't run. */
const blockUntilAll = (counter: Int32Array, count: number, what: string): void => {
    const until = performance.now() + maxWaitMs;
    for (let reached = 0; reached < count; reached = Atomics.load(counter, 0)) {
        if (Atomics.wait(counter, 0, reached, until - performance.now()) === "timed-out") {
            throw new Error(`only ${reached} of ${count} ${what}`);
        }
    }
};

const patientCallers = `
    const { connect } = require("node:net");
    const { parentPort, workerData: { port, texts, sent } } = require("node:worker_threads");
    const call = text => new Promise(resolve => {
        const socket = connect(port, "127.0.0.1", () => socket.write(text, () => {
            Atomics.add(sent, 0, 1);
            Atomics.notify(sent, 0);
        }));
        let answered = false;
        socket.on("data", chunk => (answered ||= chunk.toString().startsWith("HTTP/1.1 200")));
        socket.on("error", () => undefined);
        socket.on("close", () => resolve(answered));
    });
    parentPort.once("message", () =>
        Promise.all(texts.map(call)).then(all => parentPort.postMessage(all.filter(Boolean).length)));
`;

/** Callers in a thread of their own that connect, send their requests and wait for the responses. */
export class PatientCallers {
    readonly #worker: Worker;
    readonly #count: number;
    /** Number of callers that have sent their request. */
    readonly #sent = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));

    /** @param texts a request for each caller */
    constructor(port: number, texts: readonly string[]) {
        this.#count = texts.length;
        this.#worker = new Worker(patientCallers, {
            eval: true,
            workerData: { port, texts, sent: this.#sent },
        });
    }

    /** Resolves when the thread runs. */
    async started(): Promise<void> {
        await once(this.#worker, "online");
    }

    /**
     * Lets the callers connect and send; keeps the event loop from running until all have done so, and for `blockedMs`
     * milliseconds more.
     *
     * @throws Error if they have not sent within 30 s
     */
    sendUnnoticed(blockedMs: number): void {
        this.#worker.postMessage("send");
        blockUntilAll(this.#sent, this.#count, "callers have sent");
        blockEventLoop(blockedMs);
    }

    /** Resolves, once all connections have ended, to how many callers got a response with status 200. */
    async answered(): Promise<number> {
        const [answered] = (await once(this.#worker, "message")) as [number];
        return answered;
    }

    /** Ends the thread. */
    async terminate(): Promise<void> {
        await this.#worker.terminate();
    }
}
