/**
 * Sends the messages by which the dispatchers of a service share slots as authenticated UDP datagrams, on the port
 * number of the peers' port. A message has about 100 bytes, is sent ten times a second, is of no use after a few
 * milliseconds and may be lost; the headers of a trpc call alone would exceed the budget for control traffic.
 */

import { createHmac, timingSafeEqual } from "node:crypto";
import { createSocket, type Socket } from "node:dgram";
import type { PeerMessage } from "@bramleymoor/dispatch/sharing";
import * as z from "zod";

const macBytes = 16;
const maxDatagramBytes = 1_400;
const maxLentServers = 256;
const maxPort = 65_535;
/** Bytes of the IPv4 and UDP headers, counted for each datagram. */
const ipUdpHeaderBytes = 28;

const from = z.number().int().nonnegative();
const messageSchema = z.discriminatedUnion("kind", [
    z.object({ version: z.literal(1), kind: z.literal("hint"), from, demand: z.number().nonnegative() }),
    z.object({ version: z.literal(1), kind: z.literal("ask"), from }),
    z.object({
        version: z.literal(1),
        kind: z.literal("loan"),
        from,
        servers: z.array(z.number().int().nonnegative()).max(maxLentServers).readonly(),
        termMs: z.number().positive().max(10_000),
    }),
]);
const datagramSchema = z.object({
    id: z.string().max(64),
    service: z.string().max(128),
    message: messageSchema,
});

/** One slot message and its sender. */
export interface SlotDatagram {
    /** Id of the entry VM that sent it. */
    readonly id: string;
    readonly service: string;
    readonly message: PeerMessage;
}

/** Sends and receives slot messages over UDP. */
export class SlotChannel {
    readonly #key: string;
    readonly #onDatagram: (datagram: SlotDatagram) => void;
    readonly #onRejected: (address: string, reason: string) => void;
    readonly #socket: Socket = createSocket("udp4");
    #bytes = 0;

    /**
     * @param key the peers' shared key, which authenticates the datagrams
     * @param onRejected called for a message to a peer address that is not valid
     */
    constructor(
        key: string,
        onDatagram: (datagram: SlotDatagram) => void,
        onRejected: (address: string, reason: string) => void,
    ) {
        this.#key = key;
        this.#onRejected = onRejected;
        this.#onDatagram = onDatagram;
        this.#socket.on("message", data => this.#handleDatagram(data));
        // A send error counts as a lost datagram.
        this.#socket.on("error", () => undefined);
    }

    /** Bytes sent and received so far, IP and UDP headers included. */
    get bytes(): number {
        return this.#bytes;
    }

    /** Starts to listen on a UDP port; resolves to the port and rejects if it can't be bound. */
    async listen(port: number, host: string): Promise<number> {
        await new Promise<void>((resolve, reject) => {
            this.#socket.once("error", reject);
            this.#socket.bind(port, host, () => {
                this.#socket.off("error", reject);
                resolve();
            });
        });
        return this.#socket.address().port;
    }

    /** Sends a message to "IP:port" without confirmation; a message too large for one datagram is dropped. */
    send(address: string, datagram: SlotDatagram): void {
        const body = Buffer.from(JSON.stringify(datagram));
        const data = Buffer.concat([this.#mac(body), body]);
        if (data.length > maxDatagramBytes) {
            return;
        }
        const colon = address.lastIndexOf(":");
        const port = Number(address.slice(colon + 1));
        if (!(port > 0 && port <= maxPort)) {
            this.#onRejected(address, "the address has no valid port");
            return;
        }
        this.#bytes += data.length + ipUdpHeaderBytes;
        this.#socket.send(data, port, address.slice(0, colon));
    }

    /** Closes the socket. */
    close(): void {
        this.#socket.close();
    }

    #handleDatagram(data: Buffer): void {
        this.#bytes += data.length + ipUdpHeaderBytes;
        const body = data.subarray(macBytes);
        if (data.length <= macBytes || !timingSafeEqual(data.subarray(0, macBytes), this.#mac(body))) {
            return;
        }
        const parsed = datagramSchema.safeParse(parseJson(body));
        if (parsed.success) {
            this.#onDatagram(parsed.data);
        }
    }

    #mac(body: Buffer): Buffer {
        return createHmac("sha256", this.#key).update(body).digest().subarray(0, macBytes);
    }
}

const parseJson = (body: Buffer): unknown => {
    try {
        return JSON.parse(body.toString("utf8"));
    } catch {
        return undefined;
    }
};
