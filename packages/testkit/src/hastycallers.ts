/** Callers that leave at once, and a busy event loop in which nobody notices. */

import { Worker } from "node:worker_threads";

const source = `
    const { connect } = require("node:net");
    const { workerData } = require("node:worker_threads");
    workerData.texts.forEach(text => connect(workerData.port, "127.0.0.1").end(text));
`;

/** Starts a worker that opens a connection for each text, sends it and disconnects without waiting. */
export const startHastyCallers = (port: number, texts: readonly string[]): Worker =>
    new Worker(source, { eval: true, workerData: { port, texts } });

/** Keeps the event loop from running, as a busy processor would. */
export const blockEventLoop = (ms: number): void => {
    const until = performance.now() + ms;
    while (performance.now() < until) {
        // Busy.
    }
};

/** Keeps the event loop busy in short turns, each of which accepts one connection. */
export const runShortTurns = async (totalMs: number, turnMs: number): Promise<void> => {
    const until = performance.now() + totalMs;
    while (performance.now() < until) {
        blockEventLoop(turnMs);
        await new Promise(resolve => setImmediate(resolve));
    }
};

/**
 * Starts callers in a thread of their own that connect, send their requests and wait for the responses. The worker posts
 * how many got one once all connections have ended.
 */
export const startPatientCallers = (port: number, requests: readonly string[]): Worker =>
    new Worker(patientCallers, { eval: true, workerData: { port, requests } });

const patientCallers = `
    const { connect } = require("node:net");
    const { parentPort, workerData } = require("node:worker_threads");
    const call = text => new Promise(resolve => {
        const socket = connect(workerData.port, "127.0.0.1", () => socket.write(text));
        let answered = false;
        socket.on("data", chunk => (answered ||= chunk.toString().startsWith("HTTP/1.1 200")));
        socket.on("error", () => undefined);
        socket.on("close", () => resolve(answered));
    });
    Promise.all(workerData.requests.map(call)).then(all => parentPort.postMessage(all.filter(Boolean).length));
`;
