/** A server whose responses a test writes byte by byte. */

import { createServer, type AddressInfo, type Socket } from "node:net";
import type { TestContext } from "node:test";

/**
 * Starts a server that is closed after the test; returns its "IP:port".
 *
 * @param respond returns the text, as a string of bytes, that is sent for a request that has arrived in one piece
 */
export const startTextServer = async (
    t: TestContext,
    respond: (request: string) => string,
): Promise<string> => {
    const sockets = new Set<Socket>();
    const server = createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.on("data", chunk => socket.write(respond(chunk.toString("latin1")), "latin1"));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    t.after(() => {
        sockets.forEach(it => it.destroy());
        server.close();
    });
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};
