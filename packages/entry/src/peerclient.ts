/** Calls to other entry VMs' peers' ports. */

import { Agent, request, type IncomingMessage } from "node:http";
import type { ConfigRequest, ConfigResponse } from "@bramleymoor/config/peers";
import type { GossipMessage, GossipReply } from "@bramleymoor/membership/messages";
import type { AddressResponse } from "@bramleymoor/protocol/messages";
import { createTRPCClient, httpLink, type TRPCClient } from "@trpc/client";
import type { SharedKey } from "./sharedkey.js";
import { maxMessageBytes, type RateHint, type PeerRouter } from "./peerserver.js";

const idleTimeoutMs = 60_000;
const connectionsPerPeer = 4;
const requestLineBytes = 60;
const statusLineBytes = 17;

interface FetchInit {
    readonly method?: string;
    readonly headers?: unknown;
    readonly body?: unknown;
    readonly signal?: AbortSignal | undefined;
}

/** Calls other entry VMs, over kept connections, each call within a time limit. */
export class PeerClient {
    readonly #key: SharedKey;
    readonly #timeoutMs: number;
    readonly #agent = new Agent({ keepAlive: true, maxSockets: connectionsPerPeer, timeout: idleTimeoutMs });
    readonly #clients = new Map<string, TRPCClient<PeerRouter>>();
    #bytes = 0;

    /** @param timeoutMs limit of each call, in milliseconds */
    constructor(key: SharedKey, timeoutMs: number) {
        this.#key = key;
        this.#timeoutMs = timeoutMs;
    }

    /** Bytes sent and received by all calls so far, headers included. */
    get bytes(): number {
        return this.#bytes;
    }

    /** Sends a membership message; rejects when the peer gives no answer in time. */
    async gossip(address: string, msg: GossipMessage): Promise<GossipReply> {
        return await this.#client(address).gossip.mutate(msg, { signal: this.#limit() });
    }

    /** Asks for the peer's accepted version, as far as this entry VM lacks it. */
    async config(address: string, question: ConfigRequest): Promise<ConfigResponse | undefined> {
        return await this.#client(address).config.mutate(question, { signal: this.#limit() });
    }

    /** Asks for the peer's own answer to "which addresses". */
    async addresses(address: string, service: string): Promise<AddressResponse | undefined> {
        return await this.#client(address).addresses.mutate({ v: 1, service }, { signal: this.#limit() });
    }

    /** Tells the peer what this entry VM's dispatchers see. */
    async hint(address: string, hint: RateHint): Promise<void> {
        await this.#client(address).hint.mutate(hint, { signal: this.#limit() });
    }

    /** Forgets peers that are no longer named. */
    retainPeers(addresses: ReadonlySet<string>): void {
        for (const address of this.#clients.keys()) {
            if (!addresses.has(address)) {
                this.#clients.delete(address);
            }
        }
    }

    /** Ends every connection. */
    close(): void {
        this.#agent.destroy();
    }

    #limit(): AbortSignal {
        return AbortSignal.timeout(this.#timeoutMs);
    }

    #client(address: string): TRPCClient<PeerRouter> {
        const known = this.#clients.get(address);
        if (known) {
            return known;
        }
        const link = httpLink({
            url: `http://${address}`,
            headers: { authorization: this.#key.authorization },
            fetch: async (url, init) => await this.#fetch(String(url), (init ?? {}) as FetchInit),
        });
        const made = createTRPCClient<PeerRouter>({ links: [link] });
        this.#clients.set(address, made);
        return made;
    }

    // Node's http in place of fetch: it sends fewer headers, and the bytes on the wire can be counted.
    async #fetch(url: string, init: FetchInit): Promise<Response> {
        const headers = init.headers as Readonly<Record<string, string>>;
        const body = typeof init.body === "string" ? init.body : "";
        const { signal } = init;
        this.#bytes += url.length + Buffer.byteLength(body) + headerBytes(headers);
        const res = await new Promise<IncomingMessage>((resolve, reject) => {
            const options = { method: init.method ?? "GET", headers, agent: this.#agent };
            const req = request(url, signal ? { ...options, signal } : options, resolve);
            req.on("error", reject);
            req.end(body);
        });
        const answer = await readAll(res);
        this.#bytes += statusLineBytes + rawBytes(res.rawHeaders) + answer.length;
        return new Response(answer, { status: res.statusCode ?? 500 });
    }
}

const readAll = async (res: IncomingMessage): Promise<Buffer<ArrayBuffer>> => {
    const chunks: Buffer[] = [];
    let size = 0;
    for await (const chunk of res as AsyncIterable<Buffer>) {
        size += chunk.length;
        if (size > maxMessageBytes) {
            throw new RangeError(`a peer's answer is over ${maxMessageBytes} bytes`);
        }
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
};

const rawBytes = (rawHeaders: readonly string[]): number =>
    rawHeaders.reduce((sum, text) => sum + text.length + 2, 2);

const headerBytes = (headers: Readonly<Record<string, string>>): number =>
    Object.entries(headers).reduce(
        (sum, [name, value]) => sum + name.length + value.length + 4,
        requestLineBytes,
    );
