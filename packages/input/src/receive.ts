/** Receives responses, of which Node's parser also accepts such whose head isn't one of HTTP. */

import type { ClientRequest, IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { findResponseHeadProblem } from "./heads.js";
import { HeadLines } from "./headlines.js";

/**
 * Calls a listener for the response to a request; to be called before the request has its connection.
 *
 * @param onMalformed called instead with why the head isn't one of HTTP: nothing that the response says may be used
 */
export const receiveResponse = (
    req: ClientRequest,
    onResponse: (res: IncomingMessage) => void,
    onMalformed: (problem: string) => void,
): void => {
    const lines = new HeadLines();
    req.once("socket", (socket: Socket) => {
        const read = (chunk: Buffer): void => lines.read(chunk);
        const stop = (): void => void socket.off("data", read);
        // Before the parser reads it.
        socket.prependListener("data", read);
        req.once("response", stop).once("close", stop);
    });
    req.once("response", (res: IncomingMessage) => {
        const problem = findResponseHeadProblem(res) ?? lines.problem;
        if (problem === undefined) {
            onResponse(res);
        } else {
            onMalformed(problem);
        }
    });
};
