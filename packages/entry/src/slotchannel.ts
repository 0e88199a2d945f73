/**
 * Carries the messages by which the dispatchers of a service share slots: signed datagrams on the peers' port
 * number. They come ten times a second with some 100 bytes each, are worth nothing after some milliseconds, and
 * may be lost; a trpc call's heads alone would break the budget for control.
 */

import { createHmac, timingSafeEqual } from "node:crypto";
import { createSocket, type Socket } from "node:dgram";
import type { PeerMessage } from "@bramleymoor/dispatch/sharing";
import * as z from "zod";

const macBytes = 16;
const maxDatagramBytes = 1_400;
const maxLentServers = 256;
/** Bytes of the IP and UDP headers, counted with each datagram. */
const headBytes = 28;

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

/** One message as it arrived. */
export interface SlotDatagram {
    /** Id of the entry VM that sent it. */
    readonly id: string;
    readonly service: string;
    readonly message: PeerMessage;
}

/** Sends and receives slot messages. */
export class SlotChannel {
    readonly #key: string;
    readonly #receive: (datagram: SlotDatagram) => void;
    readonly #socket: Socket = createSocket("udp4");
    #bytes = 0;

    /** @param key the peers' shared key */
    constructor(key: string, receive: (datagram: SlotDatagram) => void) {
        this.#key = key;
        this.#receive = receive;
        this.#socket.on("message", data => this.#take(data));
        // A datagram that can't be sent is lost like any other.
        this.#socket.on("error", () => undefined);
    }

    /** Bytes sent and received so far. */
    get bytes(): number {
        return this.#bytes;
    }

    /** Starts to listen on the peers' port. */
    async listen(port: number, host: string): Promise<void> {
        await new Promise<void>(resolve => this.#socket.bind(port, host, resolve));
    }

    /** Sends a message to "IP:port"; nothing tells whether it arrives. */
    send(address: string, datagram: SlotDatagram): void {
        const body = Buffer.from(JSON.stringify(datagram));
        const data = Buffer.concat([this.#mac(body), body]);
        if (data.length > maxDatagramBytes) {
            return;
        }
        const cut = address.lastIndexOf(":");
        this.#bytes += data.length + headBytes;
        this.#socket.send(data, Number(address.slice(cut + 1)), address.slice(0, cut));
    }

    /** Stops listening. */
    close(): void {
        this.#socket.close();
    }

    #take(data: Buffer): void {
        this.#bytes += data.length + headBytes;
        const body = data.subarray(macBytes);
        if (data.length <= macBytes || !timingSafeEqual(data.subarray(0, macBytes), this.#mac(body))) {
            return;
        }
        const parsed = datagramSchema.safeParse(readJson(body));
        if (parsed.success) {
            this.#receive(parsed.data);
        }
    }

    #mac(body: Buffer): Buffer {
        return createHmac("sha256", this.#key).update(body).digest().subarray(0, macBytes);
    }
}

const readJson = (body: Buffer): unknown => {
    try {
        return JSON.parse(body.toString("utf8"));
    } catch {
        return undefined;
    }
};
