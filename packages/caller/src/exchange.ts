/** One HTTP exchange of a caller. */

import { request, type Agent, type IncomingMessage } from "node:http";

/** An exchange that gave no answer. */
export class ExchangeError extends Error {
    /** @param sent whether a byte of the request may have been sent */
    constructor(
        message: string,
        readonly sent: boolean,
    ) {
        super(message);
        this.name = "ExchangeError";
    }
}

/** What to send, and where. */
export interface ExchangeRequest {
    /** "IP:port". */
    readonly address: string;
    readonly method: string;
    readonly path: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string | Uint8Array | undefined;
    /** Time for the answer to begin, in milliseconds. */
    readonly timeoutMs: number;
    readonly agent: Agent;
}

/** Sends a request and gives the answer's head; rejects with an ExchangeError. */
export const exchange = (what: ExchangeRequest): Promise<IncomingMessage> =>
    new Promise((resolve, reject) => {
        const { address, method, path, agent, body, timeoutMs } = what;
        const cut = address.lastIndexOf(":");
        const host = address.slice(0, cut);
        const port = Number(address.slice(cut + 1));
        const length = body === undefined ? {} : { "Content-Length": String(Buffer.byteLength(body)) };
        const headers = { ...what.headers, ...length };
        const req = request({ host, port, method, path, headers, agent });
        let sent = false;
        const fail = (message: string): void => reject(new ExchangeError(message, sent));
        const timer = setTimeout(() => {
            fail("the answer did not begin in time");
            req.destroy();
        }, timeoutMs);
        req.on("response", res => {
            clearTimeout(timer);
            resolve(res);
        });
        req.on("error", err => {
            clearTimeout(timer);
            fail(err.message);
        });
        req.once("socket", socket => {
            const send = (): void => {
                sent = true;
                req.end(body);
            };
            if (socket.connecting) {
                socket.once("connect", send);
            } else {
                send();
            }
        });
    });

/** Reads an answer whole, as JSON; `json` is undefined if it is none. */
export const readJson = async (
    res: IncomingMessage,
): Promise<{ readonly status: number; readonly json: unknown }> => {
    const chunks: Buffer[] = [];
    for await (const chunk of res as AsyncIterable<Buffer>) {
        chunks.push(chunk);
    }
    return { status: res.statusCode ?? 0, json: parse(Buffer.concat(chunks).toString()) };
};

const parse = (text: string): unknown => {
    try {
        return JSON.parse(text);
    } catch {
        return undefined;
    }
};
