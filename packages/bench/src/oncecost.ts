/** The `once` measurement: memory and time of the at-most-once table, and the cost of fresh connections. */

import { randomBytes, randomUUID } from "node:crypto";
import { Agent, request } from "node:http";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import type { Dispatcher, Slot } from "@bramleymoor/dispatch/types";
import { OnceTable } from "@bramleymoor/once/table";
import { TicketIssuer } from "@bramleymoor/once/tickets";
import { parseConfig } from "@bramleymoor/model/parser";
import type { Service } from "@bramleymoor/model/spec";
import { CallServer } from "@bramleymoor/proxy/server";
import { LingerReset } from "@bramleymoor/reset/exitreset";
import { Command } from "commander";
import { of } from "rxjs";
import { builtScriptPath, ScriptProcess } from "./child.js";
import { monotonicMs } from "./clock.js";

const sizes = [1_000, 3_000, 10_000, 30_000, 100_000];
const answerBytes = [0, 200];
const ordersPerMode = 3_000;
const warmUpOrders = 500;
const ticketLifetimeMs = 600_000;
const microsecondsPerMs = 1_000;

interface EntryCost {
    readonly entries: number;
    readonly answerBytes: number;
    readonly heapBytesPerEntry: number;
    readonly bufferBytesPerEntry: number;
    readonly claimMicroseconds: number;
}

interface OrderCost {
    readonly connection: string;
    readonly p50Ms: number;
    readonly p99Ms: number;
}

/** Returns the `once` subcommand. */
export const onceCommand = (): Command =>
    new Command("once")
        .description("memory and time of the at-most-once table, and the cost of fresh connections")
        .action(async () => {
            const entries = answerBytes.flatMap(bytes => sizes.map(size => measureEntries(size, bytes)));
            console.table(entries);
            const orders = [await measureOrders("fresh", 0), await measureOrders("kept", 1_000)];
            orders.push(await measureOrders("fresh", 0), await measureOrders("kept", 1_000));
            console.table(orders);
            process.stdout.write(`${JSON.stringify({ entries, orders })}\n`);
        });

const exposeGc = (): (() => void) => {
    setFlagsFromString("--expose-gc");
    return runInNewContext("gc") as () => void;
};

const newIssuer = (): TicketIssuer =>
    new TicketIssuer({
        incarnation: "measured",
        key: randomBytes(32),
        lifetimeMs: ticketLifetimeMs,
        randomBytes,
    });

const measureEntries = (entries: number, bytes: number): EntryCost => {
    const gc = exposeGc();
    const issuer = newIssuer();
    const table = new OnceTable({ maxEntries: entries, maxStoredBodyBytes: 4_096, maxTotalStoredBytes: 1e9 });
    const tickets = Array.from({ length: entries }, () => flatString(issuer.issue(0)));
    const ids = Array.from({ length: entries }, () => flatString(randomUUID()));
    gc();
    const before = process.memoryUsage();
    const startedAt = monotonicMs();
    for (let i = 0; i < entries; i++) {
        addEntry(table, issuer, tickets[i]!, ids[i]!, bytes);
    }
    const spentMs = monotonicMs() - startedAt;
    gc();
    const after = process.memoryUsage();
    if (table.size !== entries || tickets.length !== ids.length) {
        throw new Error("the table lost entries");
    }
    return {
        entries,
        answerBytes: bytes,
        heapBytesPerEntry: Math.round((after.heapUsed - before.heapUsed) / entries),
        bufferBytesPerEntry: Math.round((after.arrayBuffers - before.arrayBuffers) / entries),
        claimMicroseconds: round((spentMs * microsecondsPerMs) / entries),
    };
};

const addEntry = (
    table: OnceTable,
    issuer: TicketIssuer,
    text: string,
    requestId: string,
    bytes: number,
): void => {
    const { callerPart, expiresAt } = issuer.verify(text, 0);
    const target = `POST orders/v1/members/${requestId.slice(0, 8)}/orders`;
    const claim = table.claim({ callerPart, requestId, expiresAt, attempt: 1, target }, 0);
    if (claim.kind !== "run") {
        throw new Error("a new request was treated as a duplicate");
    }
    claim.run.setBodyDigest(randomBytes(32).toString("base64url"));
    claim.run.execution.start();
    claim.run.complete(201, headersOf(requestId, bytes), bodyOf(bytes));
};

/** Returns a flat copy of a string, whose heap size doesn't change when it is used later. */
const flatString = (text: string): string => Buffer.from(text).toString("latin1");

/** Returns headers as separate strings for each response, as a parser creates them. */
const headersOf = (requestId: string, bytes: number): string[] =>
    [
        ...["Content-Type", "application/json", "Content-Length", String(bytes)],
        ...["Location", `/v1/orders/${requestId}`, "Date", "Thu, 03 Dec 2026 22:00:00 GMT"],
    ].map(flatString);

/** Returns a body that shares the buffer pool with other data, like one read from a socket. */
const bodyOf = (bytes: number): Buffer => {
    Buffer.allocUnsafe(1_000);
    return Buffer.concat([Buffer.alloc(bytes, "x")]);
};

const measureOrders = async (connection: string, idleMs: number): Promise<OrderCost> => {
    const child = new ScriptProcess(builtScriptPath("testkit", "backend-main"), ["1", `{"slots":64}`]);
    const { ports } = JSON.parse(await child.waitForLine(/^\{/, 10_000)) as {
        readonly ports: readonly number[];
    };
    const issuer = newIssuer();
    const server = startServer(orderService(ports[0]!), issuer, idleMs);
    const port = await server.listen(0, "127.0.0.1");
    const agent = new Agent({ keepAlive: true });
    const spent: number[] = [];
    for (let i = 0; i < warmUpOrders + ordersPerMode; i++) {
        const startedAt = monotonicMs();
        await sendOrder(port, agent, issuer.issue(startedAt));
        spent.push(monotonicMs() - startedAt);
    }
    agent.destroy();
    await server.stop(0);
    await child.stop();
    const sorted = spent.slice(warmUpOrders).sort((a, b) => a - b);
    const at = (share: number): number => round(sorted[Math.floor(sorted.length * share)] ?? 0);
    return { connection, p50Ms: at(0.5), p99Ms: at(0.99) };
};

const orderService = (port: number): Service => {
    const text = `[service orders]\nserver = 127.0.0.1:${port} slots=64\n[class orders/order]\nidempotent = no\n`;
    const parsed = parseConfig(text);
    const service = parsed.ok ? parsed.spec.services.get("orders") : undefined;
    if (!service) {
        throw new Error(`the configuration has no service: ${JSON.stringify(parsed)}`);
    }
    return service;
};

const startServer = (service: Service, tickets: TicketIssuer, idleMs: number): CallServer => {
    const dispatched = { service, dispatcher: new ImmediateDispatcher(service) };
    return new CallServer(
        {
            services: {
                route: () => dispatched,
                localRoute: () => dispatched,
                addresses: () => Promise.reject(new Error("the measurement does not query addresses")),
            },
            ticketIssuer: tickets,
            onceTable: new OnceTable({
                maxEntries: 10_000,
                maxStoredBodyBytes: 4_096,
                maxTotalStoredBytes: 1e9,
            }),
            findIssuer: () => "gone",
            clock: monotonicMs,
            lagMs: () => 0,
            unreadMs: () => 0,
            observer: {
                callEnded: () => undefined,
                badRequest: () => undefined,
                connectionUnread: () => undefined,
                internalError: () => undefined,
            },
            exitReset: new LingerReset(reason => process.stderr.write(`${reason}\n`)),
        },
        { nonIdempotentIdleMs: idleMs },
    );
};

/** A dispatcher that grants every call at once, so that only the proxy is measured. */
class ImmediateDispatcher implements Dispatcher {
    readonly #service: Service;

    constructor(service: Service) {
        this.#service = service;
    }

    submit(call: Slot["call"], now: number) {
        return of({ server: this.#service.servers[0]!, call, grantedAt: now, hedge: false });
    }

    settle(): void {}

    recordFirstByte(): void {}

    recordLoad(): void {}
    recordLimit(): void {}

    update(): void {}

    markLeaving(): void {}

    tick(): number {
        return Infinity;
    }

    view() {
        return { service: this.#service.name, queued: 0, inFlight: 0, servers: [] };
    }
}

const sendOrder = (port: number, agent: Agent, ticket: string): Promise<void> =>
    new Promise((resolve, reject) => {
        const headers = { "bm-ticket": ticket, "bm-request-id": randomUUID(), "Content-Length": "5" };
        const path = "/v1/call/orders/new";
        const req = request({ host: "127.0.0.1", port, method: "POST", path, agent, headers }, res => {
            res.resume();
            res.on("end", () =>
                res.statusCode === 200 ? resolve() : reject(new Error(`status ${res.statusCode}`)),
            );
        });
        req.on("error", reject);
        req.end("order");
    });

const round = (value: number): number => Math.round(value * 1_000) / 1_000;
