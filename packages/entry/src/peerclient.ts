/** Client of the peers' ports of other entry VMs. */

import { request, type Agent, type IncomingMessage } from "node:http";
import type { ConfigRequest, ConfigResponse } from "@bramleymoor/config/peers";
import { limitInterimResponses } from "@bramleymoor/input/interim";
import { PacedAgent } from "@bramleymoor/input/pacedagent";
import type { ReadPacer } from "@bramleymoor/input/pacer";
import { readBody } from "@bramleymoor/input/readbody";
import { receiveResponse } from "@bramleymoor/input/receive";
import type { GossipMessage, GossipReply } from "@bramleymoor/membership/messages";
import type { AddressResponse } from "@bramleymoor/protocol/messages";
import { createTRPCClient, httpLink, type TRPCClient } from "@trpc/client";
import type { SharedKey } from "./sharedkey.js";
import { maxMessageBytes, type RateHint, type PeerRouter } from "./peerserver.js";

const idleTimeoutMs = 60_000;
const connectionsPerPeer = 4;
/** Estimated size of a request line and of a status line, for the count of bytes. */
const requestLineBytes = 60;
const statusLineBytes = 17;

interface FetchInit {
    readonly method?: string;
    readonly headers?: unknown;
    readonly body?: unknown;
    readonly signal?: AbortSignal | undefined;
}

/** Calls other entry VMs over kept-alive connections, with a timeout for each call. */
export class PeerClient {
    readonly #key: SharedKey;
    readonly #timeoutMs: number;
    readonly #agent: Agent;
    readonly #clients = new Map<string, TRPCClient<PeerRouter>>();
    #bytes = 0;

    /**
     * @param timeoutMs timeout of each call, in milliseconds
     * @param pacer reads the connections
     */
    constructor(key: SharedKey, timeoutMs: number, pacer: ReadPacer) {
        const options = { keepAlive: true, maxSockets: connectionsPerPeer, timeout: idleTimeoutMs };
        this.#agent = new PacedAgent(options, pacer);
        this.#key = key;
        this.#timeoutMs = timeoutMs;
    }

    /** Bytes sent and received by all calls so far, headers included. */
    get bytes(): number {
        return this.#bytes;
    }

    /** Sends a membership message; rejects if the peer doesn't reply in time. */
    async gossip(address: string, msg: GossipMessage): Promise<GossipReply> {
        return await this.#client(address).gossip.mutate(msg, { signal: this.#timeoutSignal() });
    }

    /** Requests the records or the snapshot by which this entry VM reaches the peer's accepted version. */
    async config(address: string, req: ConfigRequest): Promise<ConfigResponse | undefined> {
        return await this.#client(address).config.mutate(req, { signal: this.#timeoutSignal() });
    }

    /** Sends an address query; resolves with the peer's own response, or undefined if it has none. */
    async addresses(address: string, service: string): Promise<AddressResponse | undefined> {
        return await this.#client(address).addresses.mutate(
            { v: 1, service },
            { signal: this.#timeoutSignal() },
        );
    }

    /** Sends the call rates of this entry VM's dispatchers to the peer. */
    async hint(address: string, hint: RateHint): Promise<void> {
        await this.#client(address).hint.mutate(hint, { signal: this.#timeoutSignal() });
    }

    /** Removes the clients of all peers but those with the given addresses. */
    retainPeers(addresses: ReadonlySet<string>): void {
        for (const address of this.#clients.keys()) {
            if (!addresses.has(address)) {
                this.#clients.delete(address);
            }
        }
    }

    /** Closes every connection. */
    close(): void {
        this.#agent.destroy();
    }

    #timeoutSignal(): AbortSignal {
        return AbortSignal.timeout(this.#timeoutMs);
    }

    #client(address: string): TRPCClient<PeerRouter> {
        const cached = this.#clients.get(address);
        if (cached) {
            return cached;
        }
        const link = httpLink({
            url: `http://${address}`,
            headers: { authorization: this.#key.authorization },
            fetch: async (url, init) => await this.#fetch(String(url), (init ?? {}) as FetchInit),
        });
        const created = createTRPCClient<PeerRouter>({ links: [link] });
        this.#clients.set(address, created);
        return created;
    }

    // Uses Node's http instead of fetch, as it sends fewer headers and its bytes can be counted.
    async #fetch(url: string, init: FetchInit): Promise<Response> {
        const headers = init.headers as Readonly<Record<string, string>>;
        const body = typeof init.body === "string" ? init.body : "";
        const { signal } = init;
        this.#bytes += url.length + Buffer.byteLength(body) + requestHeadBytes(headers);
        const res = await new Promise<IncomingMessage>((resolve, reject) => {
            const options = { method: init.method ?? "GET", headers, agent: this.#agent };
            const req = request(url, signal ? { ...options, signal } : options);
            receiveResponse(req, resolve, problem => {
                reject(new Error(`malformed response: ${problem}`));
                req.destroy();
            });
            limitInterimResponses(req, () => req.destroy(new Error("too many interim responses")));
            req.on("error", reject);
            req.end(body);
        });
        const content = await readBody(res, maxMessageBytes);
        this.#bytes += statusLineBytes + rawHeaderBytes(res.rawHeaders) + content.length;
        return new Response(content, { status: res.statusCode ?? 500 });
    }
}

const rawHeaderBytes = (rawHeaders: readonly string[]): number =>
    rawHeaders.reduce((sum, text) => sum + text.length + 2, 2);

const requestHeadBytes = (headers: Readonly<Record<string, string>>): number =>
    Object.entries(headers).reduce(
        (sum, [name, value]) => sum + name.length + value.length + 4,
        requestLineBytes,
    );
