/** One routed request, from its head to the last byte of its answer. */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { LoadSnapshot, Request, SlotResult, Slot } from "@bramleymoor/balance/types";
import type { Route } from "@bramleymoor/model/route";
import { CallError } from "@bramleymoor/protocol/errors";
import { toCallError } from "@bramleymoor/proxy/responses";
import { endToEndHeaders } from "@bramleymoor/proxy/headers";
import type { Timer, TimerSet } from "@bramleymoor/proxy/timers";
import type { KeepAliveAgent } from "./agent.js";
import { writeErrorResponse } from "./errorresponse.js";
import { RequestBody } from "./body.js";
import type { Dispatcher } from "./dispatcher.js";
import { Exchange, SendError } from "./exchange.js";
import { drainPendingInput } from "./eventlooplag.js";
import {
    errorFor,
    isNotRun,
    sendEndOfRelay,
    outcomeOfRelay,
    slotOrThrow,
    type ForwardOutcome,
    type ForwardRecord,
} from "./outcomes.js";
import { Relay } from "./relay.js";
import type { WireFormat } from "./wireformat.js";

/** What all requests share. */
export interface ForwardOptions {
    readonly wire: WireFormat;
    readonly clock: () => number;
    readonly timers: TimerSet;
    readonly nextId: () => number;
    /** Finds a request's route; throws a CallError if there is none. */
    readonly findRoute: (host: string, target: string) => Route;
    /** Largest body allowed, in bytes. */
    readonly maxBodyBytes: () => number;
    /** Divides a route's requests among its services. */
    readonly pickService: (route: Route) => string;
    /** undefined if the configuration doesn't know the service. */
    readonly dispatcher: (service: string) => Dispatcher | undefined;
    /** Time since the caller's first attempt, told by how much it still waits; both in milliseconds. */
    readonly elapsedMs: (route: Route, deadlineMs: number) => number;
    /** Counts a first send. */
    readonly countRequest: (service: string) => void;
    /** Whether one more send of a request is within the budget; a yes is debited. */
    readonly tryRetry: (service: string) => boolean;
    /** Connections to servers: kept ones, and ones for requests that must not meet a connection that may be dead. */
    readonly agents: Readonly<Record<"kept" | "fresh", KeepAliveAgent>>;
    /** Whether requests may have waited long before they were read. */
    readonly isLagging: () => boolean;
    /** Headers of the entry VM's own for this connection, asked for when an answer's head is written. */
    readonly extraHeaders: (req: IncomingMessage) => readonly string[];
    readonly onDone: (record: ForwardRecord) => void;
}

/** Runs one request. */
export class ForwardTask {
    readonly #parts: ForwardOptions;
    readonly #req: IncomingMessage;
    readonly #res: ServerResponse;
    readonly #arrivedAt: number;
    /** Slots whose server got the request, in order; each counts as an attempt, also one to the same server. */
    readonly #sent = new Set<Slot>();
    #route: Route | undefined = undefined;
    #service = "";
    #due: Timer | undefined = undefined;
    #giveUp: (error: CallError) => void = () => undefined;
    #callerGone = false;
    #queueMs = 0;
    #serverMs = 0;
    #belief: LoadSnapshot | undefined = undefined;
    /** The send under way. */
    #exchange: Exchange | undefined = undefined;
    /** How the last send ended after which the request may have run. */
    #mayHaveRun: SlotResult | undefined = undefined;

    constructor(parts: ForwardOptions, req: IncomingMessage, res: ServerResponse) {
        this.#parts = parts;
        this.#req = req;
        this.#res = res;
        this.#arrivedAt = parts.clock();
    }

    /** Never rejects; `done` is told the end. */
    async run(): Promise<void> {
        const left = (): void => {
            if (!this.#res.writableFinished && !this.#callerGone) {
                this.#callerGone = true;
                this.#giveUp(new CallError("caller-gone"));
            }
        };
        this.#res.on("close", left);
        this.#req.on("aborted", left);
        try {
            this.#finish(await this.#forward(), "");
        } catch (err) {
            const error = this.#truthful(toCallError(err));
            writeErrorResponse(this.#res, error, this.#parts.extraHeaders(this.#req));
            this.#finish(error.kind, error.detail);
        } finally {
            if (this.#due) {
                this.#parts.timers.cancel(this.#due);
            }
        }
    }

    async #forward(): Promise<ForwardOutcome> {
        const { wire, clock } = this.#parts;
        const requestId = wire.requestId(this.#req.headers);
        if (requestId === undefined) {
            throw new CallError("bad-request", "The request has no id.");
        }
        const route = this.#parts.findRoute(this.#req.headers.host ?? "", this.#req.url ?? "/");
        this.#route = route;
        this.#service = this.#parts.pickService(route);
        const dispatcher = this.#parts.dispatcher(this.#service);
        if (!dispatcher) {
            throw new CallError("no-server", "The service isn't configured.", noServiceRetryMs);
        }
        const body = new RequestBody(this.#req, this.#parts.maxBodyBytes());
        const callerMs = wire.deadlineMs(this.#req.headers) ?? route.timeoutMs;
        const deadlineAt = this.#arrivedAt + Math.min(callerMs, route.timeoutMs);
        this.#due = this.#parts.timers.schedule(deadlineAt + answerGraceMs, () =>
            this.#giveUp(new CallError(this.#isSent ? "deadline-sent" : "deadline-queued")),
        );
        await this.#abortable(body.buffer());
        if (this.#parts.isLagging()) {
            // The caller may have left while its request lay unread; the end of its connection is read next.
            await this.#abortable(drainPendingInput());
        }
        const elapsedMs = this.#parts.elapsedMs(route, callerMs);
        let request: Request = {
            id: this.#parts.nextId(),
            kind: route.kind,
            priority: route.priority,
            arrivedAt: clock(),
            targetAt: this.#arrivedAt + Math.max(0, route.targetLatencyMs - elapsedMs - returnMs),
            deadlineAt,
            tried: [],
        };
        for (let unreached = 0; ;) {
            const slot = await this.#place(dispatcher, request);
            if (request.tried.length === 0) {
                this.#parts.countRequest(this.#service);
            }
            const end = await this.#send(dispatcher, slot, body, requestId);
            if (typeof end === "string") {
                return end;
            }
            if (end.kind === "unreachable" && ++unreached <= unreachableAtMost) {
                request = { ...request, tried: [...request.tried, slot.server.id] };
                continue;
            }
            this.#sent.add(slot);
            this.#mayHaveRun = isNotRun(end) ? this.#mayHaveRun : end;
            if (!this.#mayRepeat(route, end, body, deadlineAt)) {
                throw errorFor(end);
            }
            request = { ...request, tried: [...request.tried, slot.server.id] };
        }
    }

    async #place(dispatcher: Dispatcher, request: Request): Promise<Slot> {
        const from = this.#parts.clock();
        const placing = dispatcher.acquireSlot(request);
        const placement = await this.#abortable(placing, () => dispatcher.withdraw(request));
        this.#queueMs += this.#parts.clock() - from;
        const slot = slotOrThrow(placement);
        this.#belief = slot.load;
        return slot;
    }

    /** Sends a request; gives what is told to the caller, or how the send failed if something may be done yet. */
    async #send(
        dispatcher: Dispatcher,
        slot: Slot,
        body: RequestBody,
        requestId: string,
    ): Promise<"answered" | "body-broken" | "caller-gone" | SlotResult> {
        const { wire, clock } = this.#parts;
        const from = clock();
        const exchange = this.#open(slot, body, requestId);
        this.#exchange = exchange;
        const settle = (end: SlotResult): SlotResult => {
            dispatcher.settle(slot, end);
            return end;
        };
        const connecting = this.#parts.timers.schedule(from + connectTimeoutMs, () => {
            if (!exchange.sent) {
                exchange.abort({ kind: "unreachable" });
            }
        });
        const breakOff = (): void => this.#breakOff(exchange, slot);
        try {
            const answer = await this.#abortable(exchange.head, breakOff);
            this.#serverMs = clock() - from;
            this.#sent.add(slot);
            const load = wire.loadReport(answer.headers);
            if (load) {
                dispatcher.report(slot.server, load);
            }
            const status = answer.statusCode ?? 0;
            if (status >= serverErrors && this.#worthRepeating(slot, body)) {
                answer.resume();
                answer.on("end", () => exchange.finish());
                return settle({ kind: "answered", status });
            }
            const relay = new Relay(answer, this.#res, () => exchange.wasReset);
            const relayed = await this.#abortable(
                relay.run(() => this.#parts.extraHeaders(this.#req)),
                breakOff,
            );
            exchange.finish();
            settle(relayed === "whole" ? { kind: "answered", status } : sendEndOfRelay[relayed]);
            return relayed === "broken-unseen" ? { kind: "lost" } : outcomeOfRelay[relayed];
        } catch (err) {
            if (err instanceof SendError) {
                return settle(err.end);
            }
            if (exchange.sent) {
                this.#sent.add(slot);
            }
            const gone = err instanceof CallError && err.kind === "caller-gone";
            settle({ kind: gone ? "cancelled" : "timeout" });
            throw err;
        } finally {
            this.#exchange = undefined;
            this.#parts.timers.cancel(connecting);
        }
    }

    /** Whether a server may have got the request and has not said that it didn't run it. */
    get #isSent(): boolean {
        return this.#mayHaveRun !== undefined || (this.#exchange?.sent ?? false);
    }

    /** A request that may have run is refused by nobody: its failure is that of the send after which it may have. */
    #truthful(error: CallError): CallError {
        const claims = error.info.ran === "not run" && error.kind !== "caller-gone";
        return claims && this.#mayHaveRun ? errorFor(this.#mayHaveRun) : error;
    }

    #open(slot: Slot, body: RequestBody, requestId: string): Exchange {
        const { wire, clock, agents } = this.#parts;
        const leftMs = Math.max(1, Math.floor(slot.request.deadlineAt - clock()));
        const { rawHeaders, headers } = this.#req;
        const passed = endToEndHeaders(rawHeaders, headers.connection, setHere);
        const own = wire.requestHeaders(leftMs, slot.server.id);
        const kept = passed.filter(
            (_, i, all) => !wire.reservedHeaders.has((all[i - (i % 2)] ?? "").toLowerCase()),
        );
        return new Exchange(
            {
                server: slot.server,
                agent: this.#mayUseKept(slot) ? agents.kept : agents.fresh,
                method: this.#req.method ?? "GET",
                target: this.#req.url ?? "/",
                headers: [...kept, ...body.framingHeaders(), ...own],
                requestId,
                writeBody: to => body.writeTo(to),
            },
            wire,
        );
    }

    /**
     * Whether a kept connection will do. A server may have forgotten one that has rested, and what is lost on it
     * may have run; one that has just brought an answer, to a load question mostly, is alive.
     */
    #mayUseKept({ request, server }: Slot): boolean {
        return (
            request.kind !== "non-idempotent" ||
            this.#parts.agents.kept.wasUsedWithin(server.address, restedAtMostMs)
        );
    }

    /** Once sent, a request that isn't idempotent runs on when its caller leaves: half of it would be worse. */
    #breakOff(exchange: Exchange, slot: Slot): void {
        if (slot.request.kind !== "non-idempotent" || !this.#callerGone || !exchange.sent) {
            exchange.abort({ kind: this.#callerGone ? "cancelled" : "timeout" });
        }
    }

    #mayRepeat(route: Route, end: SlotResult, body: RequestBody, deadlineAt: number): boolean {
        const repeatable = isNotRun(end) || (route.kind !== "non-idempotent" && end.kind !== "timeout");
        return (
            repeatable &&
            body.replayable &&
            !this.#res.headersSent &&
            this.#sent.size < route.maxAttempts &&
            this.#parts.clock() + leastRepeatMs < deadlineAt &&
            this.#parts.tryRetry(this.#service)
        );
    }

    #worthRepeating(slot: Slot, body: RequestBody): boolean {
        const route = this.#route;
        return (
            route !== undefined &&
            route.kind !== "non-idempotent" &&
            body.replayable &&
            this.#sent.size < route.maxAttempts &&
            this.#parts.clock() + leastRepeatMs < slot.request.deadlineAt
        );
    }

    /** Waits for `work`, unless time runs out or the caller goes away; then `stop` is called. */
    #abortable<T>(work: Promise<T>, stop: () => void = () => undefined): Promise<T> {
        return new Promise((resolve, reject) => {
            this.#giveUp = error => {
                reject(error);
                stop();
            };
            work.then(resolve, reject);
            if (this.#callerGone) {
                this.#giveUp(new CallError("caller-gone"));
            }
        });
    }

    #finish(outcome: ForwardOutcome, detail: string): void {
        this.#parts.onDone({
            requestId: this.#parts.wire.requestId(this.#req.headers) ?? "",
            route: this.#route,
            service: this.#service,
            outcome,
            status: this.#res.headersSent ? this.#res.statusCode : 0,
            servers: [...this.#sent].map(({ server }) => server.id),
            queueMs: this.#queueMs,
            serverMs: this.#serverMs,
            totalMs: this.#parts.clock() - this.#arrivedAt,
            belief: this.#belief,
            detail,
        });
    }
}

const serverErrors = 500;
/** Written anew for each send. */
const setHere: ReadonlySet<string> = new Set(["content-length", "expect"]);

/** An answer that the server gives at its deadline still reaches the caller. */
const answerGraceMs = 40;
/** Time for the answer's way back to the caller. */
const returnMs = 20;
/** Several round trips between failure domains. */
const connectTimeoutMs = 250;
/** Servers that can't be reached before a request is refused; nothing was sent to them. */
const unreachableAtMost = 4;
/** With less time left than this a repeat would come to nothing. */
const leastRepeatMs = 60;
/** A configuration with the missing service is on its way; it is in force everywhere within two seconds. */
const noServiceRetryMs = 500;
/** Below the shortest rest after which servers have been seen to forget a connection, 300 ms. */
const restedAtMostMs = 150;
