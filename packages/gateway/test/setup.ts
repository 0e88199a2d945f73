/** A front over raw backend servers that say whatever a test lets them say, byte by byte. */

import { createServer, connect, type AddressInfo, type Socket } from "node:net";
import type { TestContext } from "node:test";
import type { Route, RouteConfig, ServerEntry } from "@bramleymoor/model/route";
import { CallError } from "@bramleymoor/protocol/errors";
import { TimerSet } from "@bramleymoor/proxy/timers";
import { serverEntry } from "@bramleymoor/testkit/entries";
import { RouteTable } from "@bramleymoor/routing/table";
import { KeepAliveAgent } from "../src/agent.js";
import { HttpLoadClient } from "../src/loadclient.js";
import { ElapsedTimeEstimator } from "../src/elapsed.js";
import { ForwardTask, type ForwardOptions } from "../src/forward.js";
import { FrontendServer } from "../src/frontend.js";
import type { ForwardRecord } from "../src/outcomes.js";
import { EventLoopLag } from "../src/eventlooplag.js";
import { ServiceDispatchers } from "../src/servicedispatchers.js";
import type { WireFormat } from "../src/wireformat.js";

const text = (value: string | readonly string[] | undefined): string | undefined =>
    typeof value === "string" ? value : undefined;

/** Conventions of the tests' callers and servers. */
export const testWire: WireFormat = {
    reservedHeaders: new Set(["t-deadline", "t-server"]),
    requestId: headers => text(headers["t-id"]),
    deadlineMs: headers => (headers["t-deadline"] === undefined ? undefined : Number(headers["t-deadline"])),
    requestHeaders: (deadlineMs, serverId) => ["t-deadline", String(deadlineMs), "t-server", serverId],
    refusal: (_, headers) => (headers["t-not-run"] === undefined ? undefined : "full"),
    loadReport: () => undefined,
    serverId: headers => text(headers["t-server"]),
    isFromServer: headers => headers["t-signed"] !== undefined,
    formatAddresses: addresses => JSON.stringify(addresses),
    parseAddressQuery: () => undefined,
    readyPath: "/ready",
};

/** One request as a backend server read it. */
export interface Arrival {
    readonly socket: Socket;
    readonly head: string;
    readonly body: string;
    readonly id: string;
    /** How many requests came before it on its connection. */
    readonly nth: number;
}

/** Says something to each request that arrives. */
export type Script = (arrival: Arrival) => void;

/** A backend server that follows a script. */
export interface RawServer {
    readonly entry: ServerEntry;
    readonly arrivals: Arrival[];
}

/** A whole signed answer. */
export const answer = (id: string, body: string, extra = ""): string =>
    `HTTP/1.1 200 OK\r\nt-id: ${id}\r\nt-signed: 1\r\n${extra}Content-Length: ${body.length}\r\n\r\n${body}`;

/**
 * Starts a backend server.
 *
 * @param answersHeads whether a request has arrived with its head; its body is then read on and left out
 */
export const rawServer = async (
    t: TestContext,
    id: string,
    script: Script,
    { answersHeads = false } = {},
): Promise<RawServer> => {
    const arrivals: Arrival[] = [];
    const open = new Set<Socket>();
    const server = createServer(socket => {
        open.add(socket);
        socket.on("close", () => open.delete(socket));
        socket.on("error", () => undefined);
        let data = "";
        let nth = 0;
        let unread = 0;
        socket.on("data", chunk => {
            const text = chunk.toString("latin1");
            const skipped = Math.min(unread, text.length);
            unread -= skipped;
            data += text.slice(skipped);
            for (let end = data.indexOf("\r\n\r\n"); end >= 0; end = data.indexOf("\r\n\r\n")) {
                const head = data.slice(0, end + 4);
                const told = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
                const length = answersHeads ? 0 : told;
                if (data.length < head.length + length) {
                    return;
                }
                const body = data.slice(head.length, head.length + length);
                const here = answersHeads ? Math.min(told, data.length - head.length) : length;
                unread = answersHeads ? told - here : 0;
                data = data.slice(head.length + here);
                if (head.startsWith("GET /health ")) {
                    socket.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                    continue;
                }
                const arrival = { socket, head, body, id: /t-id: (\S+)/.exec(head)?.[1] ?? "", nth: nth++ };
                arrivals.push(arrival);
                script(arrival);
            }
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    t.after(() => {
        server.close();
        open.forEach(it => it.destroy());
    });
    const { port } = server.address() as AddressInfo;
    const entry = serverEntry(id, { address: `127.0.0.1:${port}`, slots: 4 });
    return { entry, arrivals };
};

/** A route of the tests. */
export const route = (changes: Partial<Route> = {}): Route => ({
    name: "r",
    host: "h.example",
    pathPrefix: "/",
    kind: "idempotent",
    destinations: [{ service: "svc", weight: 1 }],
    timeoutMs: 2_000,
    targetLatencyMs: 500,
    maxAttempts: 2,
    priority: 1,
    ...changes,
});

/** A front under test. */
export interface TestFront {
    readonly port: number;
    readonly front: FrontendServer;
    readonly records: ForwardRecord[];
}

const lagPeriodMs = 10;

/** Starts a front over backend servers. */
export const startFront = async (
    t: TestContext,
    servers: readonly RawServer[],
    changes: Partial<Route> = {},
): Promise<TestFront> => {
    const clock = (): number => performance.now();
    const config: RouteConfig = {
        version: 1,
        limits: {
            maxHeaderBytes: 16_384,
            maxBodyBytes: 1_000_000,
            headerTimeoutMs: 3_000,
            idleTimeoutMs: 5_000,
        },
        routes: [route(changes)],
        services: new Map([["svc", { name: "svc", healthPath: "/health", maxConnections: 100 }]]),
    };
    const agents = {
        kept: new KeepAliveAgent({ idleMs: 5_000, marginMs: 500, clock }),
        fresh: new KeepAliveAgent({ idleMs: 0, marginMs: 500, clock }),
    };
    const asker = new HttpLoadClient(testWire, agents.kept);
    const repeats = { ratio: 0.2, slack: 20, windowMs: 10_000 };
    const services = new ServiceDispatchers({
        loadClient: asker,
        clock,
        random: () => 0,
        balance: { candidateCount: 1, domain: "a" },
        retryLimits: repeats,
    });
    services.update(
        config,
        servers.map(({ entry }) => ({ entry, lapsed: false })),
    );
    const table = new RouteTable(config.routes);
    const deadlines = new ElapsedTimeEstimator();
    const records: ForwardRecord[] = [];
    const lag = new EventLoopLag(clock());
    let lastId = 0;
    const parts: ForwardOptions = {
        wire: testWire,
        clock,
        timers: new TimerSet(clock, 5),
        nextId: () => ++lastId,
        findRoute: (host, target) => {
            const found = table.find(host, target);
            if (!found) {
                throw new CallError("no-route");
            }
            return found;
        },
        maxBodyBytes: () => config.limits.maxBodyBytes,
        pickService: () => "svc",
        dispatcher: service => services.dispatcher(service),
        elapsedMs: (it, deadlineMs) => deadlines.elapsedMs(it.name, deadlineMs),
        countRequest: service => services.retryBudget(service)?.recordRequest(clock()),
        tryRetry: service => services.retryBudget(service)?.tryTake(clock(), 1) ?? false,
        agents,
        isLagging: () => lag.isLagging(lagPeriodMs, clock()),
        extraHeaders: req => front.extraHeaders(req),
        onDone: record => records.push(record),
    };
    const front = new FrontendServer(
        (req, res) => new ForwardTask(parts, req, res).run(),
        () => undefined,
    );
    const port = await front.listen(0, "127.0.0.1");
    const ticking = setInterval(() => {
        lag.recordRun(lagPeriodMs, clock());
        services.tick();
    }, lagPeriodMs);
    t.after(() => {
        clearInterval(ticking);
        agents.kept.destroy();
        agents.fresh.destroy();
        void front.drain();
    });
    return { port, front, records };
};

/** What a caller got on one connection. */
export interface Got {
    readonly bytes: string;
    readonly end: "open" | "closed" | "reset";
}

/** A request's head, with its body. */
export const ask = (id: string, { method = "GET", path = "/x", body = "", extra = "" } = {}): string =>
    `${method} ${path} HTTP/1.1\r\nHost: h.example\r\nt-id: ${id}\r\nt-deadline: 2000\r\n${extra}` +
    `${body === "" ? "" : `Content-Length: ${body.length}\r\n`}\r\n${body}`;

/** Writes bytes to the front, and gives what came back until the connection ended or nothing came for a while. */
export const exchange = (port: number, bytes: string, quietMs = 300): Promise<Got> =>
    new Promise(resolve => {
        const socket = connect(port, "127.0.0.1", () => socket.write(bytes));
        let got = "";
        let timer = setTimeout(() => undefined, 0);
        const done = (end: Got["end"]): void => {
            clearTimeout(timer);
            socket.destroy();
            resolve({ bytes: got, end });
        };
        const wait = (): void => {
            clearTimeout(timer);
            timer = setTimeout(() => done("open"), quietMs);
        };
        wait();
        socket.on("data", chunk => {
            got += chunk.toString("latin1");
            wait();
        });
        socket.on("error", () => done("reset"));
        socket.on("close", () => done("closed"));
    });
