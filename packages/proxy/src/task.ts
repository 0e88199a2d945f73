/** One call, from its headers to the last byte of its answer. */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { RequestClass } from "@bramleymoor/model/spec";
import type { Outcome } from "@bramleymoor/once/requestentry";
import type { Duplicate, Run } from "@bramleymoor/once/table";
import { CallError } from "@bramleymoor/protocol/errors";
import { sendError, toCallError } from "./responses.js";
import { CallBody } from "./body.js";
import { OnceGuard } from "./guard.js";
import type { CallOutcome } from "./observer.js";
import { Passing } from "./passing.js";
import type { RelayEnd } from "./relay.js";
import { findClass, readHeaders, readTarget, type CallHeaders, type CallTarget } from "./request.js";
import type { CallParts, LocalRoute, ServiceRoute } from "./services.js";
import { relayEnds, Serving, type ServingParts } from "./serving.js";
import type { Timer } from "./timers.js";
import { Timing } from "./timing.js";

/** What all calls of a server share. */
export interface TaskParts extends CallParts, ServingParts {}

/** What a task waits for; told when there is nothing left to wait for. */
interface Waiting {
    expire(): void;
    callerGone(): void;
}

/** Runs one call. */
export class CallTask {
    readonly #parts: TaskParts;
    readonly #req: IncomingMessage;
    readonly #res: ServerResponse;
    readonly #timing: Timing;
    readonly #startedAt: number;
    #due: Timer | undefined = undefined;
    #deadlineAt = Infinity;
    #stallMs = leastStallMs;
    #waiting: Waiting | undefined = undefined;

    constructor(parts: TaskParts, req: IncomingMessage, res: ServerResponse) {
        this.#parts = parts;
        this.#req = req;
        this.#res = res;
        this.#startedAt = parts.clock();
        this.#timing = new Timing(this.#startedAt);
    }

    /** Never rejects; the observer is told the end. */
    async run(): Promise<void> {
        const { clock, observer, sweep, extraHeaders } = this.#parts;
        let end: CallOutcome;
        this.#res.on("close", () => this.#closed());
        try {
            end = await this.#handle();
        } catch (err) {
            const error = toCallError(err);
            sendError(this.#res, error, extraHeaders());
            end = this.#res.destroyed && !this.#res.writableFinished ? "cancelled" : error.kind;
        }
        if (this.#due) {
            sweep.cancel(this.#due);
        }
        const status = this.#res.headersSent ? this.#res.statusCode : 0;
        observer.callEnded(this.#timing.record(end, status, clock()));
    }

    /** A retry must not be told "not run" before the table was asked, so nothing is refused before that. */
    async #handle(): Promise<CallOutcome> {
        const target = readTarget(this.#req.url ?? "");
        const headers = readHeaders(this.#req.headers);
        this.#timing.service = target.service;
        this.#timing.tenant = headers.tenant;
        const route = this.#route(target.service, headers.forwarded);
        const cls = this.#class(route, target, headers);
        this.#setDeadline(headers, cls);
        const guard = new OnceGuard(this.#parts, headers, cls);
        return guard.isNeeded
            ? this.#guarded(guard, route, cls, target, headers)
            : this.#unguarded(routed(route), cls, target, headers);
    }

    #unguarded(
        route: ServiceRoute,
        cls: RequestClass | undefined,
        target: CallTarget,
        headers: CallHeaders,
    ): Promise<CallOutcome> {
        return "passTo" in route
            ? this.#pass(passing => passing.toDispatcher(route.passTo))
            : this.#serve(route, cls, target, headers, undefined);
    }

    async #guarded(
        guard: OnceGuard,
        route: ServiceRoute | CallError,
        cls: RequestClass | undefined,
        target: CallTarget,
        headers: CallHeaders,
    ): Promise<CallOutcome> {
        const issuer = guard.remoteIssuer();
        if (issuer !== undefined) {
            return this.#pass(passing => passing.toIssuer(issuer));
        }
        const identity = this.#identity(target);
        const claim = guard.claim(identity, this.#parts.clock());
        if (claim.kind === "run") {
            return this.#runOnce(claim.run, () =>
                this.#serve(this.#here(route), cls, target, headers, claim.run),
            );
        }
        const outcome = await this.#outcomeOf(claim.duplicate, identity);
        guard.replay(outcome, this.#res, this.#parts.extraHeaders());
        return "replayed";
    }

    /** What a duplicate must have in common with the request, besides its body. */
    #identity(target: CallTarget): string {
        return `${this.#req.method} ${target.service}${target.path}`;
    }

    async #outcomeOf(duplicate: Duplicate, identity: string): Promise<Outcome> {
        const body = new CallBody(this.#req, this.#res, identity);
        return new Promise((resolve, reject) => {
            const giveUp = (): void => reject(new CallError("deadline-sent"));
            this.#waiting = { expire: giveUp, callerGone: giveUp };
            body.skim()
                .then(() => duplicate.outcome(body.digest ?? ""))
                .then(resolve, reject);
        });
    }

    async #runOnce(run: Run, serve: () => Promise<CallOutcome>): Promise<CallOutcome> {
        try {
            return await serve();
        } catch (err) {
            const error = toCallError(err);
            run.fail(error);
            throw error;
        }
    }

    #route(service: string, forwarded: boolean): ServiceRoute | CallError {
        try {
            return this.#parts.services.route(service, forwarded) ?? new CallError("unknown-service");
        } catch (err) {
            return toCallError(err);
        }
    }

    /** Only the issuer of a request's ticket may run it, whoever dispatches the service now. */
    #here(route: ServiceRoute | CallError): LocalRoute {
        const found = routed(route);
        return "passTo" in found ? this.#parts.services.localRoute(found.service.name) : found;
    }

    #class(
        route: ServiceRoute | CallError,
        target: CallTarget,
        headers: CallHeaders,
    ): RequestClass | undefined {
        if (route instanceof CallError) {
            return undefined;
        }
        const method = this.#req.method ?? "GET";
        const cls = findClass(route.service, method, target.plainPath, headers.class);
        this.#timing.class = cls.name;
        return cls;
    }

    #setDeadline(headers: CallHeaders, cls: RequestClass | undefined): void {
        const deadlineMs = headers.deadlineMs ?? cls?.deadlineMs ?? defaultDeadlineMs;
        this.#deadlineAt = this.#startedAt + deadlineMs;
        this.#stallMs = Math.max(deadlineMs, leastStallMs);
        this.#due = this.#parts.sweep.schedule(this.#deadlineAt, () => this.#waiting?.expire());
    }

    async #serve(
        route: LocalRoute,
        cls: RequestClass | undefined,
        target: CallTarget,
        headers: CallHeaders,
        run: Run | undefined,
    ): Promise<CallOutcome> {
        if (!cls) {
            throw new CallError("unknown-service");
        }
        const serving = new Serving(this.#parts, {
            req: this.#req,
            res: this.#res,
            target,
            headers,
            route,
            class: cls,
            deadlineAt: this.#deadlineAt,
            stallMs: this.#stallMs,
            timing: this.#timing,
            run,
            digestOf: run && this.#identity(target),
        });
        this.#waiting = serving;
        return serving.run();
    }

    async #pass(start: (passing: Passing) => Promise<RelayEnd>): Promise<CallOutcome> {
        const { client, clock, sweep, extraHeaders } = this.#parts;
        const io = { req: this.#req, res: this.#res };
        const times = { deadlineAt: this.#deadlineAt, stallMs: this.#stallMs };
        const passing = new Passing({ client, clock, sweep, extraHeaders, ...io, ...times });
        const giveUp = (): void => passing.abort(new CallError("deadline-sent"));
        this.#waiting = { expire: giveUp, callerGone: giveUp };
        const end = await start(passing);
        return end === "whole" ? "passed" : relayEnds[end];
    }

    #closed(): void {
        if (!this.#res.writableFinished) {
            this.#waiting?.callerGone();
        }
    }
}

const defaultDeadlineMs = 30_000;
const leastStallMs = 1_000;

const routed = (route: ServiceRoute | CallError): ServiceRoute => {
    if (route instanceof CallError) {
        throw route;
    }
    return route;
};
