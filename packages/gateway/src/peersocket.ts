/** Datagrams between entry VMs: gossip about members, and what the readers of the store hand on. */

import { createSocket, type Socket } from "node:dgram";
import { discoveryMessageSchema, type DiscoveryMessage } from "@bramleymoor/discovery/messages";
import {
    gossipMessageSchema,
    gossipReplySchema,
    type GossipMessage,
    type GossipReply,
    type Transport,
} from "@bramleymoor/membership/messages";
import { deflateSync, inflateSync } from "node:zlib";
import * as z from "zod";
import { splitAddress } from "./exchange.js";

const envelopeSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("gossip"), n: z.number(), body: gossipMessageSchema }),
    z.object({ kind: z.literal("reply"), n: z.number(), body: gossipReplySchema }),
    z.object({ kind: z.literal("news"), body: discoveryMessageSchema }),
]);

type Envelope = z.infer<typeof envelopeSchema>;

/** Who takes what peers send. */
export interface PeerHandlers {
    readonly onGossip: (message: GossipMessage) => Promise<GossipReply>;
    readonly onNews: (news: DiscoveryMessage, from: string) => void;
    /** Told of a datagram that can't be read or answered. */
    readonly onRejected: (address: string, reason: string) => void;
}

/** The datagram socket of one entry VM. */
export class PeerSocket implements Transport {
    readonly #socket: Socket = createSocket("udp4");
    readonly #handlers: PeerHandlers;
    readonly #replies = new Map<number, (reply: GossipReply) => void>();
    #lastNumber = 0;
    #bytes = 0;
    #closed = false;

    constructor(handlers: PeerHandlers) {
        this.#handlers = handlers;
        this.#socket.on("message", (data, { address, port }) => this.#take(data, `${address}:${port}`));
        this.#socket.on("error", err => handlers.onRejected("", err.message));
    }

    /** Bytes sent and received. */
    get bytes(): number {
        return this.#bytes;
    }

    listen(port: number, host: string): Promise<void> {
        return new Promise((resolve, reject) => {
            this.#socket.once("error", reject);
            this.#socket.bind(port, host, () => {
                this.#socket.off("error", reject);
                resolve();
            });
        });
    }

    /** Sends gossip; rejects if no reply comes within the time that a later message's number may wait. */
    send(peerAddress: string, body: GossipMessage): Promise<GossipReply> {
        const n = ++this.#lastNumber;
        return new Promise((resolve, reject) => {
            const timer = setTimeout(() => {
                this.#replies.delete(n);
                reject(new Error("no reply"));
            }, replyTimeoutMs);
            timer.unref();
            this.#replies.set(n, reply => {
                clearTimeout(timer);
                this.#replies.delete(n);
                resolve(reply);
            });
            this.#send(peerAddress, encode({ kind: "gossip", n, body }));
        });
    }

    /** Sends news to peers; false if they are too large for a datagram. */
    sendNews(peerAddresses: readonly string[], body: DiscoveryMessage): boolean {
        const data = encode({ kind: "news", body });
        if (data.length > datagramBytes) {
            return false;
        }
        peerAddresses.forEach(it => this.#send(it, data));
        return true;
    }

    close(): void {
        this.#closed = true;
        this.#socket.close();
    }

    #send(peerAddress: string, data: Buffer): void {
        if (this.#closed) {
            return;
        }
        if (data.length > datagramBytes) {
            this.#handlers.onRejected(peerAddress, `a message of ${data.length} bytes fits no datagram`);
            return;
        }
        const { host, port } = splitAddress(peerAddress);
        this.#bytes += data.length;
        this.#socket.send(data, port, host, err => {
            if (err) {
                this.#handlers.onRejected(peerAddress, err.message);
            }
        });
    }

    #take(data: Buffer, from: string): void {
        this.#bytes += data.length;
        const envelope = decode(data);
        if (!envelope) {
            this.#handlers.onRejected(from, "the datagram can't be read");
            return;
        }
        switch (envelope.kind) {
            case "gossip":
                this.#handlers.onGossip(envelope.body as GossipMessage).then(
                    body => this.#send(from, encode({ kind: "reply", n: envelope.n, body })),
                    (err: unknown) => this.#handlers.onRejected(from, String(err)),
                );
                break;
            case "reply":
                this.#replies.get(envelope.n)?.(envelope.body as GossipReply);
                break;
            case "news":
                this.#handlers.onNews(envelope.body, from);
                break;
        }
    }
}

/** Datagrams that are no longer than this are sent as they are: deflating them saves little. */
const plainBytes = 400;

const encode = (envelope: Envelope): Buffer => {
    const plain = Buffer.from(JSON.stringify(envelope));
    return plain.length <= plainBytes ? plain : deflateSync(plain, { level: deflateLevel });
};

const decode = (data: Buffer): Envelope | undefined => {
    try {
        const isPlain = data[0] === "{".charCodeAt(0);
        const plain = isPlain ? data : inflateSync(data, { maxOutputLength: inflatedBytes });
        return envelopeSchema.safeParse(JSON.parse(plain.toString())).data;
    } catch {
        // Neither JSON nor deflated JSON; the caller logs it.
        return undefined;
    }
};

/** The fastest: records of one kind shrink to a fifth at any level. */
const deflateLevel = 1;
/** Most bytes of a datagram's content, far above the records of a thousand backend servers. */
const inflatedBytes = 4 * 1024 * 1024;

/** Longer than any wait for a ping's reply. */
const replyTimeoutMs = 2_000;
/** Largest datagram; IP allows 65,507 bytes. */
const datagramBytes = 60_000;
