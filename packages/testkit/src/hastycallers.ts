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
