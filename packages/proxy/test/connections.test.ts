import assert from "node:assert/strict";
import { createServer, IncomingMessage } from "node:http";
import { connect, type AddressInfo, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { ConnectionTracker, type Admission } from "../src/connections.js";
import { OrderedResponse } from "../src/orderedresponse.js";
import { waitUntil } from "./setup.js";

const bodyBytes = 1024 * 1024;
const maxHeldBytes = 32 * 1024 * 1024;

interface TestServer {
    readonly port: number;
    /** Admissions of the requests in the order of their arrival. */
    readonly admissions: Admission[];
}

/** Starts a server that responds at once to each request that it admits, but for those to /pending. */
const startServer = async (t: TestContext): Promise<TestServer> => {
    const connections = new ConnectionTracker();
    const admissions: Admission[] = [];
    const server = createServer({ IncomingMessage, ServerResponse: OrderedResponse }, (req, res) => {
        const admission = connections.admit(req.socket, res);
        admissions.push(admission);
        if (admission === "serve" && req.url !== "/pending") {
            res.end(Buffer.alloc(bodyBytes));
        }
    });
    server.on("connection", socket => connections.track(socket));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    t.after(() => {
        server.close();
        server.closeAllConnections();
    });
    return { port: (server.address() as AddressInfo).port, admissions };
};

const getHead = (path: string): string => `GET ${path} HTTP/1.1\r\nHost: x\r\n\r\n`;

/** Connects and sends a request that stays pending, with `count` others behind it. */
const pipeline = (port: number, count: number): Socket => {
    const socket = connect(port, "127.0.0.1");
    socket.write(getHead("/pending") + getHead("/").repeat(count));
    return socket;
};

test("responses that wait for their turn don't exceed the memory limit, and free it when their connection closes", async t => {
    const { port, admissions } = await startServer(t);
    const sockets = [pipeline(port, 20), pipeline(port, 20)];
    await waitUntil(() => admissions.length === 42);
    const served = admissions.filter(it => it === "serve").length - sockets.length;
    assert.equal(served, maxHeldBytes / bodyBytes + 1);
    assert.ok(admissions.includes("refuse"));
    sockets.forEach(it => it.destroy());
    await new Promise(resolve => setTimeout(resolve, 100));
    admissions.length = 0;
    const socket = pipeline(port, 20);
    await waitUntil(() => admissions.length === 21);
    socket.destroy();
    assert.deepEqual(new Set(admissions), new Set(["serve"]));
});
