/** What entry VMs say to each other, as a trpc router; and the server that carries it on the peers' port. */

import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { configRequestSchema, type ConfigRequest, type ConfigResponse } from "@bramleymoor/config/peers";
import { gossipMessageSchema, type GossipMessage, type GossipReply } from "@bramleymoor/membership/messages";
import type { AddressResponse } from "@bramleymoor/protocol/messages";
import { initTRPC } from "@trpc/server";
import { createHTTPHandler } from "@trpc/server/adapters/standalone";
import * as z from "zod";
import type { SharedKey } from "./sharedkey.js";

/** Largest message between peers, in bytes; a whole text of the target's size fits. */
export const maxMessageBytes = 4 * 1024 * 1024;

const idleTimeoutMs = 120_000;
const headerTimeoutMs = 5_000;

const addressesRequestSchema = z.object({ v: z.literal(1), service: z.string().max(128) });
const hintSchema = z.object({
    v: z.literal(1),
    /** Id of the sending entry VM. */
    from: z.string().max(64),
    /** Calls per second that the sender sees of services that the receiver may dispatch. */
    rates: z
        .array(z.object({ service: z.string().max(128), perSecond: z.number().nonnegative() }))
        .max(1_000)
        .readonly(),
});

/** What dispatchers of the same services tell each other. */
export type RateHint = Readonly<z.infer<typeof hintSchema>>;

/** What an entry VM does for its peers. */
export interface PeerService {
    gossip(msg: GossipMessage): Promise<GossipReply> | GossipReply;
    /** The accepted version, as far as the asker lacks it; undefined before there is one. */
    config(question: ConfigRequest): ConfigResponse | undefined;
    /** This entry VM's own answer to "which addresses"; undefined if it gives none. */
    addresses(service: string): AddressResponse | undefined;
    hint(hint: RateHint): void;
}

const trpc = initTRPC.create();

const routerOf = (service: PeerService) =>
    trpc.router({
        gossip: trpc.procedure.input(gossipMessageSchema).mutation(({ input }) => service.gossip(input)),
        config: trpc.procedure.input(configRequestSchema).mutation(({ input }) => service.config(input)),
        addresses: trpc.procedure
            .input(addressesRequestSchema)
            .mutation(({ input }) => service.addresses(input.service)),
        hint: trpc.procedure.input(hintSchema).mutation(({ input }) => service.hint(input)),
    });

/** Type of the peers' router, for the client. */
export type PeerRouter = ReturnType<typeof routerOf>;

/** The peers' port. */
export class PeerServer {
    readonly #server: Server;
    readonly #sockets = new Set<Socket>();
    #closedBytes = 0;

    /**
     * @param service answers the peers; undefined while the process is starting
     * @param key what a peer must present
     * @param refused told of each request without the key, with its remote address
     */
    constructor(service: () => PeerService | undefined, key: SharedKey, refused: (from: string) => void) {
        let handler: ReturnType<typeof createHTTPHandler> | undefined = undefined;
        const answer = (req: IncomingMessage, res: ServerResponse): void => {
            if (!key.accepts(req.headers.authorization)) {
                refused(req.socket.remoteAddress ?? "unknown");
                res.writeHead(401, { connection: "close" }).end();
                return;
            }
            const found = service();
            if (!found) {
                res.writeHead(503).end();
                return;
            }
            handler ??= createHTTPHandler({ router: routerOf(found), maxBodySize: maxMessageBytes });
            res.sendDate = false;
            handler(req, res);
        };
        this.#server = createServer(
            { headersTimeout: headerTimeoutMs, keepAliveTimeout: idleTimeoutMs },
            answer,
        );
        this.#server.on("connection", (socket: Socket) => this.#follow(socket));
    }

    /** Starts to listen; resolves to the port. */
    async listen(port: number, host: string): Promise<number> {
        await new Promise<void>((resolve, reject) => {
            this.#server.once("error", reject);
            this.#server.listen(port, host, resolve);
        });
        return (this.#server.address() as AddressInfo).port;
    }

    /** Bytes read and written on the port since the start. */
    get bytes(): number {
        let sum = this.#closedBytes;
        for (const socket of this.#sockets) {
            sum += socket.bytesRead + socket.bytesWritten;
        }
        return sum;
    }

    /** Stops listening and ends every connection. */
    async close(): Promise<void> {
        const closed = new Promise<void>(resolve => this.#server.close(() => resolve()));
        this.#server.closeAllConnections();
        await closed;
    }

    #follow(socket: Socket): void {
        this.#sockets.add(socket);
        socket.once("close", () => {
            this.#sockets.delete(socket);
            this.#closedBytes += socket.bytesRead + socket.bytesWritten;
        });
    }
}
