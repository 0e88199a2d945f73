/** Fixtures for the proxy's tests: a call server with a fake dispatcher, in front of simulated backend servers. */

import assert from "node:assert/strict";
import { randomBytes } from "node:crypto";
import type { Agent } from "node:http";
import { request, type IncomingMessage } from "node:http";
import { connect } from "node:net";
import type { TestContext } from "node:test";
import type { Call, Dispatcher, Slot, SlotResult } from "@bramleymoor/dispatch/types";
import type { BackendServer, RequestClass, Service } from "@bramleymoor/model/spec";
import { OnceTable, type OnceLimits } from "@bramleymoor/once/table";
import { TicketIssuer } from "@bramleymoor/once/tickets";
import { CallError } from "@bramleymoor/protocol/errors";
import { startFakeBackend, type FakeBackend, type BackendBehavior } from "@bramleymoor/testkit/backend";
import { startTextServer } from "@bramleymoor/testkit/textserver";
import { LingerReset, type ExitReset } from "@bramleymoor/reset/exitreset";
import { Observable } from "rxjs";
import type { CallRecord } from "../src/observer.js";
import { CallServer } from "../src/server.js";
import type { CallLimits, FindIssuer } from "../src/services.js";

const cls = (name: string, methods: readonly string[], path: string, idempotent: boolean): RequestClass => ({
    name,
    methods,
    path,
    idempotent,
    priority: 0,
    deadlineMs: 5000,
});

export const serverAt = (port: number): BackendServer => ({
    address: `127.0.0.1:${port}`,
    host: "127.0.0.1",
    port,
    domain: "a",
    slots: 2,
    connections: 200,
    leaving: false,
});

const serviceOf = (ports: readonly number[]): Service => ({
    name: "desk",
    dependsOn: [],
    servers: ports.map(serverAt),
    classes: [cls("order", ["POST"], "/orders", false), cls("rest", [], "/", true)],
    chooser: "round-robin",
    queueLimit: 100,
    probeBudget: 0,
    retryBudget: 0.1,
    hedgeBudget: 0.1,
    ejectShare: 0.5,
});

/** Grants each call a slot of the next untried server; can hold calls in a queue and grant hedges on demand. */
export class FakeDispatcher implements Dispatcher {
    readonly slots: Slot[] = [];
    readonly settled: { readonly slot: Slot; readonly result: SlotResult }[] = [];
    readonly reports: string[] = [];
    readonly heldGrants: (() => void)[] = [];
    holdsCalls = false;
    grantsHedges = false;
    refusal: CallError | undefined = undefined;
    readonly #servers: readonly BackendServer[];

    constructor(servers: readonly BackendServer[]) {
        this.#servers = servers;
    }

    submit(call: Call, now: number): Observable<Slot> {
        return new Observable(subscriber => {
            if (this.refusal) {
                subscriber.error(this.refusal);
                return;
            }
            const grant = (hedge: boolean): void => {
                const free = this.#servers.filter(server => !call.tried.includes(server.address));
                const server = hedge ? this.#servers[1] : (free[0] ?? this.#servers[0]);
                if (server && !subscriber.closed) {
                    const slot: Slot = { server, call, grantedAt: now, hedge };
                    this.slots.push(slot);
                    subscriber.next(slot);
                }
            };
            if (this.holdsCalls) {
                this.heldGrants.push(() => grant(false));
                return;
            }
            grant(false);
            if (this.grantsHedges) {
                grant(true);
            }
        });
    }

    settle(slot: Slot, result: SlotResult): void {
        this.settled.push({ slot, result });
    }

    recordFirstByte(): void {}

    recordLimit(): void {
        return;
    }

    recordLoad(address: string): void {
        this.reports.push(address);
    }

    update(): void {}

    markLeaving(): void {}

    tick(): number {
        return Infinity;
    }

    view(): never {
        throw new Error("not used here");
    }
}

export interface TestProxyOptions {
    readonly ports: readonly number[];
    readonly limits?: Partial<CallLimits>;
    readonly onceLimits?: Partial<OnceLimits>;
    readonly incarnation?: string;
    readonly findIssuer?: FindIssuer;
    readonly ticketLifeMs?: number;
    readonly lagMs?: () => number;
    readonly unreadMs?: () => number;
    readonly exitReset?: ExitReset;
    /** Caller addresses of the entry VMs that dispatch the service instead of this one. */
    readonly passTo?: () => readonly string[];
}

/** A call server with its collaborators. */
export class TestProxy {
    readonly dispatcher: FakeDispatcher;
    readonly records: CallRecord[] = [];
    /** What was being done when errors of the entry VM's own were logged, and the errors. */
    readonly internalErrors: string[] = [];
    readonly ticketIssuer: TicketIssuer;
    readonly onceTable: OnceTable;
    readonly server: CallServer;
    service: Service | undefined;
    /** Added to the clock to simulate the passage of time, in milliseconds. */
    clockOffsetMs = 0;
    port = 0;

    constructor(options: TestProxyOptions) {
        const incarnation = options.incarnation ?? "inc-a";
        const clock = (): number => performance.now() + this.clockOffsetMs;
        this.service = serviceOf(options.ports);
        this.dispatcher = new FakeDispatcher(this.service.servers);
        this.onceTable = new OnceTable({
            maxEntries: 100,
            maxStoredBodyBytes: 4096,
            maxTotalStoredBytes: 1e6,
            ...options.onceLimits,
        });
        const lifeMs = options.ticketLifeMs ?? 60_000;
        this.ticketIssuer = new TicketIssuer({
            incarnation,
            key: randomBytes(32),
            lifetimeMs: lifeMs,
            randomBytes,
        });
        this.server = new CallServer(
            {
                services: {
                    route: (name, forwarded) => {
                        const { service } = this;
                        if (!service || name !== service.name) {
                            return undefined;
                        }
                        const passTo = options.passTo?.();
                        return passTo && !forwarded
                            ? { service, passTo }
                            : { service, dispatcher: this.dispatcher };
                    },
                    localRoute: () => {
                        if (!this.service) {
                            throw new CallError("unknown-service");
                        }
                        return { service: this.service, dispatcher: this.dispatcher };
                    },
                    addresses: service =>
                        Promise.resolve({
                            service,
                            addresses: [this.address],
                            ttlMs: 1000,
                            ticket: this.ticketIssuer.issue(clock()),
                            version: 1,
                        }),
                },
                ticketIssuer: this.ticketIssuer,
                onceTable: this.onceTable,
                findIssuer: options.findIssuer ?? (() => "gone"),
                clock,
                lagMs: options.lagMs ?? (() => 0),
                unreadMs: options.unreadMs ?? (() => 0),
                observer: {
                    callEnded: record => this.records.push(record),
                    badRequest: () => undefined,
                    connectionUnread: () => this.unread++,
                    internalError: (doing, err) => this.internalErrors.push(`${doing}: ${String(err)}`),
                },
                exitReset: options.exitReset ?? new LingerReset(reason => assert.fail(reason)),
            },
            options.limits,
        );
        this.issueTicket = () => this.ticketIssuer.issue(clock());
    }

    readonly issueTicket: () => string;
    /** Number of connections that were closed unread. */
    unread = 0;

    get address(): string {
        return `127.0.0.1:${this.port}`;
    }
}

export const startProxy = async (options: TestProxyOptions): Promise<TestProxy> => {
    const proxy = new TestProxy(options);
    proxy.port = await proxy.server.listen(0, "127.0.0.1");
    return proxy;
};

export interface TestSetup {
    readonly proxy: TestProxy;
    readonly backends: readonly FakeBackend[];
}

/** Starts a call server in front of simulated backend servers; all are stopped after the test. */
export const setUp = async (
    t: TestContext,
    behaviors: readonly Partial<BackendBehavior>[] = [{}],
    options: Partial<TestProxyOptions> = {},
): Promise<TestSetup> => {
    const backends = await Promise.all(behaviors.map(behavior => startFakeBackend(behavior)));
    const proxy = await startProxy({ ports: backends.map(backend => backend.port), ...options });
    t.after(async () => {
        await Promise.all(backends.map(backend => backend.close()));
        await proxy.server.stop(0);
    });
    return { proxy, backends };
};

/** A call server before a server whose responses a test writes byte by byte. */
export interface RawSetup {
    readonly proxy: TestProxy;
    /** What the server has received, a request each. */
    readonly requests: readonly string[];
}

/**
 * Starts a call server before a server that writes the same response to each request.
 *
 * @param response what follows the status line and the send's id, or returns it
 * @param options `spoil` changes a response before it is written
 */
export const setUpRaw = async (
    t: TestContext,
    response: string | (() => string),
    {
        spoil = text => text,
        ...options
    }: Partial<TestProxyOptions> & { readonly spoil?: (text: string) => string } = {},
): Promise<RawSetup> => {
    const requests: string[] = [];
    const address = await startTextServer(t, text => {
        requests.push(text);
        const id = /bm-send-id: (\S+)/.exec(text)?.[1] ?? "";
        const rest = typeof response === "string" ? response : response();
        return spoil(`HTTP/1.1 200 OK\r\nbm-send-id: ${id}\r\n${rest}`);
    });
    const proxy = await startProxy({ ports: [Number(address.split(":")[1])], ...options });
    t.after(() => proxy.server.stop(0));
    return { proxy, requests };
};

export interface TestResponse {
    readonly status: number;
    readonly headers: IncomingMessage["headers"];
    readonly trailers: NodeJS.Dict<string>;
    readonly text: string;
    /** Whether the complete response was received. */
    readonly complete: boolean;
}

export interface TestRequest {
    readonly method?: string;
    readonly path?: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string;
    readonly agent?: Agent;
}

/** Sends a request; rejects only if no response starts. */
export const sendRequest = (port: number, options: TestRequest = {}): Promise<TestResponse> =>
    new Promise((resolve, reject) => {
        const { method = "GET", path = "/v1/call/desk/list", headers = {}, body, agent } = options;
        const req = request(
            { host: "127.0.0.1", port, method, path, headers, agent: agent ?? false },
            res => {
                const chunks: Buffer[] = [];
                res.on("data", (chunk: Buffer) => chunks.push(chunk));
                res.on("error", () => undefined);
                res.on("close", () =>
                    resolve({
                        status: res.statusCode ?? 0,
                        headers: res.headers,
                        trailers: res.trailers,
                        text: Buffer.concat(chunks).toString("latin1"),
                        complete: res.complete,
                    }),
                );
            },
        );
        req.on("error", reject);
        req.end(body);
    });

/** Sends an order, which is a non-idempotent call. */
export const sendOrder = (
    proxy: TestProxy,
    id: string,
    options: TestRequest & { readonly ticket?: string } = {},
): Promise<TestResponse> =>
    sendRequest(proxy.port, {
        method: "POST",
        path: "/v1/call/desk/orders",
        body: `order ${id}`,
        ...options,
        headers: {
            "bm-ticket": options.ticket ?? proxy.issueTicket(),
            "bm-request-id": id,
            ...options.headers,
        },
    });

/** Writes raw bytes and resolves with everything received until the connection closes. */
export const sendRaw = (port: number, text: string): Promise<string> =>
    new Promise(resolve => {
        const socket = connect(port, "127.0.0.1", () => socket.write(text, "latin1"));
        let received = "";
        socket.on("data", chunk => (received += chunk.toString("latin1")));
        socket.on("error", () => undefined);
        socket.on("close", () => resolve(received));
    });

/** Waits until `condition` holds, checking it in each turn of the event loop. */
export const waitUntil = async (condition: () => boolean): Promise<void> => {
    while (!condition()) {
        await new Promise(resolve => setImmediate(resolve));
    }
};
