/** The procedures that entry VMs call on each other, as a trpc router, and its HTTP server on the peers' port. */

import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { configRequestSchema, type ConfigRequest, type ConfigResponse } from "@bramleymoor/config/peers";
import type { ReadPacer } from "@bramleymoor/input/pacer";
import { gossipMessageSchema, type GossipMessage, type GossipReply } from "@bramleymoor/membership/messages";
import type { AddressResponse } from "@bramleymoor/protocol/messages";
import { initTRPC } from "@trpc/server";
import { createHTTPHandler } from "@trpc/server/adapters/standalone";
import * as z from "zod";
import type { SharedKey } from "./sharedkey.js";

/** Maximum size of a message between peers in bytes; fits a whole configuration of the target deployment's size. */
export const maxMessageBytes = 4 * 1024 * 1024;

const idleTimeoutMs = 120_000;
const headerTimeoutMs = 5_000;

const addressQuerySchema = z.object({ v: z.literal(1), service: z.string().max(128) });
const rateHintSchema = z.object({
    v: z.literal(1),
    /** Id of the sending entry VM. */
    from: z.string().max(64),
    /** Calls per second that the sender receives for services that the receiver may dispatch too. */
    rates: z
        .array(z.object({ service: z.string().max(128), perSecond: z.number().nonnegative() }))
        .max(1_000)
        .readonly(),
});

/** Call rates that an entry VM sends to another one that dispatches the same services. */
export type RateHint = Readonly<z.infer<typeof rateHintSchema>>;

/** The peers' procedures of an entry VM. */
export interface PeerService {
    /** Handles a membership message. */
    gossip(msg: GossipMessage): Promise<GossipReply> | GossipReply;
    /** Returns the records or the snapshot by which the peer reaches this entry VM's version; undefined without one. */
    config(req: ConfigRequest): ConfigResponse | undefined;
    /** Returns this entry VM's own response to an address query; undefined if it has none. */
    addresses(service: string): AddressResponse | undefined;
    /** Records the sender's call rates. */
    hint(hint: RateHint): void;
}

const trpc = initTRPC.create();

const createRouter = (service: PeerService) =>
    trpc.router({
        gossip: trpc.procedure.input(gossipMessageSchema).mutation(({ input }) => service.gossip(input)),
        config: trpc.procedure.input(configRequestSchema).mutation(({ input }) => service.config(input)),
        addresses: trpc.procedure
            .input(addressQuerySchema)
            .mutation(({ input }) => service.addresses(input.service)),
        hint: trpc.procedure.input(rateHintSchema).mutation(({ input }) => service.hint(input)),
    });

/** Type of the router, for the client. */
export type PeerRouter = ReturnType<typeof createRouter>;

/** The server on the peers' port. */
export class PeerServer {
    readonly #server: Server;
    readonly #sockets = new Set<Socket>();
    #closedSocketBytes = 0;

    /**
     * @param service returns the procedures; undefined while the process is starting
     * @param key the key that every request must carry
     * @param pacer reads the connections
     * @param onRefused called with the remote address of each request without the key
     */
    constructor(
        service: () => PeerService | undefined,
        key: SharedKey,
        pacer: ReadPacer,
        onRefused: (from: string) => void,
    ) {
        let handler: ReturnType<typeof createHTTPHandler> | undefined = undefined;
        const handleRequest = (req: IncomingMessage, res: ServerResponse): void => {
            if (!key.accepts(req.headers.authorization)) {
                onRefused(req.socket.remoteAddress ?? "unknown");
                res.writeHead(401, { connection: "close" }).end();
                return;
            }
            if (req.headers["transfer-encoding"] !== undefined) {
                // Peers send messages with a length; what is kept of chunks costs far more than the bytes that are counted.
                res.writeHead(411, { connection: "close" }).end();
                return;
            }
            const current = service();
            if (!current) {
                res.writeHead(503).end();
                return;
            }
            handler ??= createHTTPHandler({ router: createRouter(current), maxBodySize: maxMessageBytes });
            res.sendDate = false;
            handler(req, res);
        };
        this.#server = createServer(
            { headersTimeout: headerTimeoutMs, keepAliveTimeout: idleTimeoutMs },
            handleRequest,
        );
        this.#server.on("connection", (socket: Socket) => this.#trackSocket(socket));
        pacer.attachTo(this.#server);
    }

    /** Starts to listen; resolves to the port and rejects if it can't be bound. */
    async listen(port: number, host: string): Promise<number> {
        await new Promise<void>((resolve, reject) => {
            this.#server.once("error", reject);
            this.#server.listen(port, host, resolve);
        });
        return (this.#server.address() as AddressInfo).port;
    }

    /** Bytes received and sent on the port since the start. */
    get bytes(): number {
        let sum = this.#closedSocketBytes;
        for (const socket of this.#sockets) {
            sum += socket.bytesRead + socket.bytesWritten;
        }
        return sum;
    }

    /** Stops listening and closes every connection. */
    async close(): Promise<void> {
        const closed = new Promise<void>(resolve => this.#server.close(() => resolve()));
        this.#server.closeAllConnections();
        await closed;
    }

    #trackSocket(socket: Socket): void {
        this.#sockets.add(socket);
        socket.once("close", () => {
            this.#sockets.delete(socket);
            this.#closedSocketBytes += socket.bytesRead + socket.bytesWritten;
        });
    }
}
