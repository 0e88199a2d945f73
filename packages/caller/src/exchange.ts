/** A single HTTP exchange with an entry VM. */

import { request, type Agent, type IncomingMessage } from "node:http";
import { readBody } from "@bramleymoor/input/readbody";
import { receiveResponse } from "@bramleymoor/input/receive";

/** An exchange that failed without a response. */
export class ExchangeError extends Error {
    /** @param sent whether any byte of the request may have been sent */
    constructor(
        message: string,
        readonly sent: boolean,
    ) {
        super(message);
        this.name = "ExchangeError";
    }
}

/** A request and its destination. */
export interface ExchangeRequest {
    /** "IP:port". */
    readonly address: string;
    readonly method: string;
    readonly path: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string | Uint8Array | undefined;
    /** Time until the response head must arrive, in milliseconds. */
    readonly timeoutMs: number;
    readonly agent: Agent;
}

/**
 * Sends a request and resolves when the response head arrives.
 *
 * @throws ExchangeError if the connection fails, or the response doesn't begin in time or has a malformed head
 */
export const exchange = (options: ExchangeRequest): Promise<IncomingMessage> =>
    new Promise((resolve, reject) => {
        const { address, method, path, agent, body, timeoutMs } = options;
        const separator = address.lastIndexOf(":");
        const host = address.slice(0, separator);
        const port = Number(address.slice(separator + 1));
        const lengthHeader = body === undefined ? {} : { "Content-Length": String(Buffer.byteLength(body)) };
        const headers = { ...options.headers, ...lengthHeader };
        const req = request({ host, port, method, path, headers, agent });
        let sent = false;
        const fail = (message: string): void => reject(new ExchangeError(message, sent));
        const timer = setTimeout(() => {
            fail("timed out waiting for the response");
            req.destroy();
        }, timeoutMs);
        const onResponse = (res: IncomingMessage): void => {
            clearTimeout(timer);
            resolve(res);
        };
        receiveResponse(req, onResponse, problem => {
            clearTimeout(timer);
            fail(`malformed response: ${problem}`);
            req.destroy();
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

/** Reads the whole response body and parses it as JSON; `json` is undefined if the body isn't valid JSON. */
export const readJson = async (
    res: IncomingMessage,
): Promise<{ readonly status: number; readonly json: unknown }> => {
    const body = await readBody(res, maxJsonBytes);
    return { status: res.statusCode ?? 0, json: parseJson(body.toString()) };
};

/** Far above an address list or an error. */
const maxJsonBytes = 1024 * 1024;

const parseJson = (text: string): unknown => {
    try {
        return JSON.parse(text);
    } catch {
        return undefined;
    }
};
