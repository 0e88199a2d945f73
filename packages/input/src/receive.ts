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
    const read = (bytes: Buffer): void => lines.read(bytes);
    // Before the parser reads it. A connection that gets no response isn't used again.
    req.once("socket", (socket: Socket) => socket.prependListener("data", read));
    req.once("response", (res: IncomingMessage) => {
        res.socket.off("data", read);
        const problem = findResponseHeadProblem(res) ?? lines.problem;
        if (problem === undefined) {
            onResponse(res);
        } else {
            onMalformed(problem);
        }
    });
};
