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
import { PeerForward } from "./peerforward.js";
import type { RelayEnd } from "./relay.js";
import { findClass, readHeaders, readTarget, type CallHeaders, type CallTarget } from "./request.js";
import type { CallParts, LocalRoute, ServiceRoute } from "./services.js";
import { relayOutcomes, CallExecution, type ExecutionParts } from "./execution.js";
import type { Timer } from "./timers.js";
import { CallTiming } from "./timing.js";

/** What all calls of a server share. */
export interface CallTaskParts extends CallParts, ExecutionParts {}

/** What a task waits for; told when there is nothing left to wait for. */
interface PendingWork {
    expire(): void;
    callerGone(): void;
}

/** Runs one call. */
export class CallTask {
    readonly #parts: CallTaskParts;
    readonly #req: IncomingMessage;
    readonly #res: ServerResponse;
    readonly #timing: CallTiming;
    readonly #startedAt: number;
    #deadlineTimer: Timer | undefined = undefined;
    #deadlineAt = Infinity;
    #stallMs = minStallMs;
    #pending: PendingWork | undefined = undefined;

    constructor(parts: CallTaskParts, req: IncomingMessage, res: ServerResponse) {
        this.#parts = parts;
        this.#req = req;
        this.#res = res;
        this.#startedAt = parts.clock();
        this.#timing = new CallTiming(this.#startedAt);
    }

    /** Never rejects; the observer is told the end. */
    async run(): Promise<void> {
        const { clock, observer, timers: sweep, extraHeaders } = this.#parts;
        let end: CallOutcome;
        this.#res.on("close", () => this.#handleClose());
        try {
            end = await this.#handle();
        } catch (err) {
            const error = toCallError(err);
            sendError(this.#res, error, extraHeaders());
            end = this.#res.destroyed && !this.#res.writableFinished ? "cancelled" : error.kind;
        }
        if (this.#deadlineTimer) {
            sweep.cancel(this.#deadlineTimer);
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
        const route = this.#findRoute(target.service, headers.forwarded);
        const cls = this.#findClass(route, target, headers);
        this.#setDeadline(headers, cls);
        const guard = new OnceGuard(this.#parts, headers, cls);
        return guard.isNeeded
            ? this.#handleNonIdempotent(guard, route, cls, target, headers)
            : this.#handleIdempotent(requireRoute(route), cls, target, headers);
    }

    #handleIdempotent(
        route: ServiceRoute,
        cls: RequestClass | undefined,
        target: CallTarget,
        headers: CallHeaders,
    ): Promise<CallOutcome> {
        return "passTo" in route
            ? this.#forwardToPeer(passing => passing.toDispatcher(route.passTo))
            : this.#execute(route, cls, target, headers, undefined);
    }

    async #handleNonIdempotent(
        guard: OnceGuard,
        route: ServiceRoute | CallError,
        cls: RequestClass | undefined,
        target: CallTarget,
        headers: CallHeaders,
    ): Promise<CallOutcome> {
        const issuer = guard.remoteIssuer();
        if (issuer !== undefined) {
            return this.#forwardToPeer(passing => passing.toIssuer(issuer));
        }
        const identity = this.#requestIdentity(target);
        const claim = guard.claim(identity, this.#parts.clock());
        if (claim.kind === "run") {
            return this.#runOnce(claim.run, () =>
                this.#execute(this.#localRoute(route), cls, target, headers, claim.run),
            );
        }
        const outcome = await this.#waitForOutcome(claim.duplicate, identity);
        guard.replay(outcome, this.#res, this.#parts.extraHeaders());
        return "replayed";
    }

    /** What a duplicate must have in common with the request, besides its body. */
    #requestIdentity(target: CallTarget): string {
        return `${this.#req.method} ${target.service}${target.path}`;
    }

    async #waitForOutcome(duplicate: Duplicate, identity: string): Promise<Outcome> {
        const body = new CallBody(this.#req, this.#res, identity);
        return new Promise((resolve, reject) => {
            const giveUp = (): void => reject(new CallError("deadline-sent"));
            this.#pending = { expire: giveUp, callerGone: giveUp };
            body.readForDigest()
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

    #findRoute(service: string, forwarded: boolean): ServiceRoute | CallError {
        try {
            return this.#parts.services.route(service, forwarded) ?? new CallError("unknown-service");
        } catch (err) {
            return toCallError(err);
        }
    }

    /** Only the issuer of a request's ticket may run it, whoever dispatches the service now. */
    #localRoute(route: ServiceRoute | CallError): LocalRoute {
        const found = requireRoute(route);
        return "passTo" in found ? this.#parts.services.localRoute(found.service.name) : found;
    }

    #findClass(
        route: ServiceRoute | CallError,
        target: CallTarget,
        headers: CallHeaders,
    ): RequestClass | undefined {
        if (route instanceof CallError) {
            return undefined;
        }
        const method = this.#req.method ?? "GET";
        const cls = findClass(route.service, method, target.decodedPath, headers.class);
        this.#timing.class = cls.name;
        return cls;
    }

    #setDeadline(headers: CallHeaders, cls: RequestClass | undefined): void {
        const deadlineMs = headers.deadlineMs ?? cls?.deadlineMs ?? defaultDeadlineMs;
        this.#deadlineAt = this.#startedAt + deadlineMs;
        this.#stallMs = Math.max(deadlineMs, minStallMs);
        this.#deadlineTimer = this.#parts.timers.schedule(this.#deadlineAt, () => this.#pending?.expire());
    }

    async #execute(
        route: LocalRoute,
        cls: RequestClass | undefined,
        target: CallTarget,
        headers: CallHeaders,
        run: Run | undefined,
    ): Promise<CallOutcome> {
        if (!cls) {
            throw new CallError("unknown-service");
        }
        const serving = new CallExecution(this.#parts, {
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
            digestPrefix: run && this.#requestIdentity(target),
        });
        this.#pending = serving;
        return serving.run();
    }

    async #forwardToPeer(start: (passing: PeerForward) => Promise<RelayEnd>): Promise<CallOutcome> {
        const { client, clock, timers: sweep, extraHeaders } = this.#parts;
        const io = { req: this.#req, res: this.#res };
        const times = { deadlineAt: this.#deadlineAt, stallMs: this.#stallMs };
        const passing = new PeerForward({ client, clock, timers: sweep, extraHeaders, ...io, ...times });
        const giveUp = (): void => passing.abort(new CallError("deadline-sent"));
        this.#pending = { expire: giveUp, callerGone: giveUp };
        const end = await start(passing);
        return end === "whole" ? "passed" : relayOutcomes[end];
    }

    #handleClose(): void {
        if (!this.#res.writableFinished) {
            this.#pending?.callerGone();
        }
    }
}

const defaultDeadlineMs = 30_000;
const minStallMs = 1_000;

const requireRoute = (route: ServiceRoute | CallError): ServiceRoute => {
    if (route instanceof CallError) {
        throw route;
    }
    return route;
};
