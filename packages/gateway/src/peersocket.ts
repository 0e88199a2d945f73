/** Datagrams between entry VMs: membership gossip, and updates that the readers of the store distribute. */

import { createSocket, type Socket } from "node:dgram";
import { discoveryMessageSchema, type DiscoveryMessage } from "@bramleymoor/discovery/messages";
import { limitMessageSchema, type LimitMessage } from "@bramleymoor/limits/messages";
import {
    gossipMessageSchema,
    gossipReplySchema,
    type GossipMessage,
    type GossipReply,
    type Transport,
} from "@bramleymoor/membership/messages";
import { deflateSync, inflateSync } from "node:zlib";
import * as z from "zod";
import { crashMessageSchema, type CrashMessage } from "@bramleymoor/quarantine/messages";
import {
    quotaAskSchema,
    quotaReplySchema,
    type QuotaAsk,
    type QuotaReply,
} from "@bramleymoor/quotas/messages";
import { reachMessageSchema, type ReachMessage } from "@bramleymoor/reach/messages";
import { splitAddress } from "./exchange.js";

const envelopeSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("gossip"), n: z.number(), body: gossipMessageSchema }),
    z.object({ kind: z.literal("reply"), n: z.number(), body: gossipReplySchema }),
    z.object({ kind: z.literal("news"), body: discoveryMessageSchema }),
    z.object({ kind: z.literal("limits"), body: limitMessageSchema }),
    z.object({ kind: z.literal("crashes"), body: crashMessageSchema }),
    z.object({ kind: z.literal("reach"), body: reachMessageSchema }),
    z.object({ kind: z.literal("quota-ask"), body: quotaAskSchema }),
    z.object({ kind: z.literal("quota-grant"), body: quotaReplySchema }),
]);

type Envelope = z.infer<typeof envelopeSchema>;

/** Callbacks for datagrams from peers. */
export interface PeerHandlers {
    /** Handles a gossip message and returns the reply to send. */
    readonly onGossip: (message: GossipMessage) => Promise<GossipReply>;
    readonly onDiscovery: (message: DiscoveryMessage, from: string) => void;
    readonly onLimits: (message: LimitMessage) => void;
    readonly onCrashes: (message: CrashMessage) => void;
    readonly onReach: (message: ReachMessage) => void;
    /** Handles a question for tokens and returns the answer to send; undefined to send none. */
    readonly onQuotaAsk: (ask: QuotaAsk) => QuotaReply | undefined;
    readonly onQuotaReply: (reply: QuotaReply) => void;
    /** Called for a datagram that can't be sent, parsed or replied to; `address` is empty if unknown. */
    readonly onRejected: (address: string, reason: string) => void;
}

/** The datagram socket of one entry VM. */
export class PeerSocket implements Transport {
    readonly #socket: Socket = createSocket("udp4");
    readonly #handlers: PeerHandlers;
    readonly #pendingReplies = new Map<number, (reply: GossipReply) => void>();
    readonly #clock: () => number;
    #lastNumber = 0;
    #bytes = 0;
    /** Bytes of messages that may be decoded now, and when they were last counted. */
    #decodable = maxDecodableBytes;
    #countedAt: number;
    #closed = false;

    /** @param clock returns monotonic milliseconds */
    constructor(handlers: PeerHandlers, clock: () => number) {
        this.#handlers = handlers;
        this.#clock = clock;
        this.#countedAt = clock();
        this.#socket.on("message", (data, { address, port }) => this.#receive(data, `${address}:${port}`));
        this.#socket.on("error", err => handlers.onRejected("", err.message));
    }

    /** Number of bytes sent and received. */
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

    /** Sends a gossip message and returns the peer's reply; rejects if none arrives within `replyTimeoutMs`. */
    send(peerAddress: string, body: GossipMessage): Promise<GossipReply> {
        const n = ++this.#lastNumber;
        return new Promise((resolve, reject) => {
            const timer = setTimeout(() => {
                this.#pendingReplies.delete(n);
                reject(new Error("no reply"));
            }, replyTimeoutMs);
            timer.unref();
            this.#pendingReplies.set(n, reply => {
                clearTimeout(timer);
                this.#pendingReplies.delete(n);
                resolve(reply);
            });
            this.#send(peerAddress, encode({ kind: "gossip", n, body }));
        });
    }

    /**
     * Sends an update to peers; returns false if it is too large for a datagram, or a configuration that is too large
     * for all of them and for those that they pass it to.
     */
    sendDiscovery(peerAddresses: readonly string[], body: DiscoveryMessage): boolean {
        const data = encode({ kind: "news", body });
        if (data.length > maxDatagramBytes || data.length * copiesOf(peerAddresses, body) > maxBurstBytes) {
            return false;
        }
        peerAddresses.forEach(it => this.#send(it, data));
        return true;
    }

    /** Sends what this entry VM knows of servers' request limits to peers. */
    sendLimits(peerAddresses: readonly string[], body: LimitMessage): void {
        const data = encode({ kind: "limits", body });
        peerAddresses.forEach(it => this.#send(it, data));
    }

    /** Sends what this entry VM knows of requests under which servers have ended to peers. */
    sendCrashes(peerAddresses: readonly string[], body: CrashMessage): void {
        const data = encode({ kind: "crashes", body });
        peerAddresses.forEach(it => this.#send(it, data));
    }

    /** Sends a message about reached servers to peers. */
    sendReach(peerAddresses: readonly string[], body: ReachMessage): void {
        const data = encode({ kind: "reach", body });
        peerAddresses.forEach(it => this.#send(it, data));
    }

    /** Asks a peer for tokens of an account's quota. */
    sendQuotaAsk(peerAddress: string, body: QuotaAsk): void {
        this.#send(peerAddress, encode({ kind: "quota-ask", body }));
    }

    close(): void {
        this.#closed = true;
        this.#socket.close();
    }

    #send(peerAddress: string, data: Buffer): void {
        if (this.#closed) {
            return;
        }
        if (data.length > maxDatagramBytes) {
            this.#handlers.onRejected(
                peerAddress,
                `a message of ${data.length} bytes exceeds the datagram limit`,
            );
            return;
        }
        const { host, port } = splitAddress(peerAddress);
        if (!(port > 0 && port <= maxPort)) {
            this.#handlers.onRejected(peerAddress, "the address has no valid port");
            return;
        }
        this.#bytes += data.length;
        this.#socket.send(data, port, host, err => {
            if (err) {
                this.#handlers.onRejected(peerAddress, err.message);
            }
        });
    }

    #receive(data: Buffer, from: string): void {
        this.#bytes += data.length;
        const plain = this.#inflate(data);
        if (!plain) {
            this.#handlers.onRejected(
                from,
                "the datagram can't be decompressed, or more has arrived than is decoded",
            );
            return;
        }
        const envelope = parse(plain);
        if (!envelope) {
            this.#handlers.onRejected(from, "the datagram can't be parsed");
            return;
        }
        try {
            this.#handle(envelope, from);
        } catch (err) {
            this.#handlers.onRejected(from, `the ${envelope.kind} message can't be applied: ${String(err)}`);
        }
    }

    /** Returns the text of a datagram, up to the bytes that may be decoded now: decoding them costs far more than receiving. */
    #inflate(data: Buffer): Buffer | undefined {
        const now = this.#clock();
        const gained = (now - this.#countedAt) * decodedBytesPerMs;
        this.#decodable = Math.min(maxDecodableBytes, this.#decodable + gained);
        this.#countedAt = now;
        const plain = inflate(data, Math.min(maxDecodedBytes, Math.floor(this.#decodable)));
        this.#decodable -= plain?.length ?? Math.min(this.#decodable, failedInflateBytes);
        return plain;
    }

    #handle(envelope: Envelope, from: string): void {
        switch (envelope.kind) {
            case "gossip":
                this.#handlers.onGossip(envelope.body as GossipMessage).then(
                    body => this.#send(from, encode({ kind: "reply", n: envelope.n, body })),
                    (err: unknown) => this.#handlers.onRejected(from, String(err)),
                );
                break;
            case "reply":
                this.#pendingReplies.get(envelope.n)?.(envelope.body as GossipReply);
                break;
            case "news":
                this.#handlers.onDiscovery(envelope.body, from);
                break;
            case "limits":
                this.#handlers.onLimits(envelope.body);
                break;
            case "crashes":
                this.#handlers.onCrashes(envelope.body);
                break;
            case "reach":
                this.#handlers.onReach(envelope.body);
                break;
            case "quota-ask": {
                const reply = this.#handlers.onQuotaAsk(envelope.body);
                if (reply && envelope.body.wanted > 0) {
                    this.#send(from, encode({ kind: "quota-grant", body: reply }));
                }
                break;
            }
            case "quota-grant":
                this.#handlers.onQuotaReply(envelope.body);
                break;
        }
    }
}

/**
 * Number of copies of a configuration that the sender, or one that passes it on, sends at once. Other messages aren't
 * limited, as their receivers have no other source.
 */
const copiesOf = (peerAddresses: readonly string[], body: DiscoveryMessage): number =>
    body.topic === "configuration" ? Math.max(peerAddresses.length, body.passTo?.length ?? 0) : 0;

/** Messages of up to this many bytes are sent uncompressed, as compressing them saves little. */
const maxPlainBytes = 400;

const encode = (envelope: Envelope): Buffer => {
    const plain = Buffer.from(JSON.stringify(envelope));
    return plain.length <= maxPlainBytes ? plain : deflateSync(plain, { level: deflateLevel });
};

/** Returns the text of a datagram; undefined if it isn't compressed as it should be, or is longer than `maxBytes`. */
const inflate = (data: Buffer, maxBytes: number): Buffer | undefined => {
    try {
        const isPlain = data[0] === "{".charCodeAt(0);
        if (isPlain) {
            return data.length <= maxBytes ? data : undefined;
        }
        return inflateSync(data, { maxOutputLength: Math.max(1, maxBytes) });
    } catch {
        // Not deflated, or too long; the caller reports it.
        return undefined;
    }
};

const parse = (plain: Buffer): Envelope | undefined => {
    try {
        return envelopeSchema.safeParse(JSON.parse(plain.toString())).data;
    } catch {
        // Not JSON; the caller reports it.
        return undefined;
    }
};

/** The fastest level: similar records shrink to a fifth at any level. */
const deflateLevel = 1;
/** Longest decompressed message in bytes, far above the records of a thousand backend servers. */
const maxDecodedBytes = 4 * 1024 * 1024;
/** Bytes of messages that are decoded at once: two of the longest. */
const maxDecodableBytes = 2 * maxDecodedBytes;
/** Bytes of messages that are decoded in the long run, in bytes per millisecond. */
const decodedBytesPerMs = 8 * 1024;
/** As which a datagram counts that can't be decompressed. */
const failedInflateBytes = 64 * 1024;

/** Longer than any wait for the reply to a ping. */
const replyTimeoutMs = 2_000;
const maxPort = 65_535;
/** Largest datagram that is sent; UDP over IPv4 allows 65,507 bytes. */
const maxDatagramBytes = 60_000;
/** Bytes of one message to all its receivers; a link of 7 Mbit/s carries them within 0.1 s, and loses few of them. */
const maxBurstBytes = 90_000;
