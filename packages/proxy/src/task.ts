/** One call, from its request's headers to the last byte of its response. */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { RequestClass } from "@bramleymoor/model/spec";
import type { Outcome } from "@bramleymoor/once/requestentry";
import type { Duplicate, Run } from "@bramleymoor/once/table";
import { CallError } from "@bramleymoor/protocol/errors";
import { sendError, toCallError } from "./responses.js";
import { RequestBody } from "./body.js";
import { OnceGuard } from "./guard.js";
import type { CallOutcome } from "./observer.js";
import { PeerForward } from "./peerforward.js";
import type { RelayResult } from "./relay.js";
import { findClass, parseCallHeaders, parseTarget, type CallHeaders, type CallTarget } from "./request.js";
import type { CallServerOptions, LocalRoute, ServiceRoute } from "./services.js";
import { ageOfRequest, totalAgeMs, type RequestAge } from "./requestage.js";
import { outcomeOfRelay, CallExecution, type CallExecutionOptions } from "./execution.js";
import type { Timer } from "./timers.js";
import { CallTiming } from "./timing.js";
import { drainPendingInput, mayHideDisconnect } from "./unreadinput.js";

/** Dependencies of a CallTask, shared by all calls of a CallServer. */
export interface CallTaskOptions extends CallServerOptions, CallExecutionOptions {
    /** Returns how long a request may have waited for its connection to be accepted or read; called when it is read. */
    readonly acceptWaitMs: (req: IncomingMessage) => number;
}

/** Work that a task is waiting for, notified when its deadline passes or its caller disconnects. */
interface PendingWork {
    expire(): void;
    callerGone(): void;
}

/** Runs one call. */
export class CallTask {
    readonly #options: CallTaskOptions;
    readonly #req: IncomingMessage;
    readonly #res: ServerResponse;
    readonly #timing: CallTiming;
    readonly #age: RequestAge;
    /** When the call's first byte reached this entry VM. */
    readonly #arrivedAt: number;
    #deadlineTimer: Timer | undefined = undefined;
    #deadlineAt = Infinity;
    #stallMs = minStallMs;
    #pending: PendingWork | undefined = undefined;

    constructor(options: CallTaskOptions, req: IncomingMessage, res: ServerResponse) {
        this.#options = options;
        this.#req = req;
        this.#res = res;
        this.#age = ageOfRequest(req, { acceptMs: options.acceptWaitMs(req), unreadMs: options.unreadMs() });
        this.#arrivedAt = options.clock() - totalAgeMs(this.#age);
        this.#timing = new CallTiming(this.#arrivedAt);
    }

    /** Runs the call and reports it to the observer; never rejects. */
    async run(): Promise<void> {
        const { clock, observer, timers, extraHeaders } = this.#options;
        let outcome: CallOutcome;
        this.#res.on("close", () => this.#handleClose());
        try {
            outcome = await this.#handle();
        } catch (err) {
            if (!(err instanceof CallError)) {
                observer.internalError("handling a call", err);
            }
            const error = toCallError(err);
            sendError(this.#res, error, extraHeaders());
            outcome = this.#res.destroyed && !this.#res.writableFinished ? "cancelled" : error.kind;
        }
        if (this.#deadlineTimer) {
            timers.cancel(this.#deadlineTimer);
        }
        const status = this.#res.headersSent ? this.#res.statusCode : 0;
        observer.callEnded(this.#timing.record(outcome, status, clock()));
    }

    /**
     * Handles the call. No check that precedes the at-most-once table may refuse a retry as "not run", as an earlier
     * attempt may have run.
     */
    async #handle(): Promise<CallOutcome> {
        await this.#readDisconnect();
        const target = parseTarget(this.#req.url ?? "");
        const headers = parseCallHeaders(this.#req.headers);
        this.#timing.service = target.service;
        this.#timing.tenant = headers.tenant;
        const service = this.#findRoute(target.service, headers.forwarded);
        const found = this.#findClass(service, target, headers);
        const [route, cls] = found instanceof CallError ? [found, undefined] : [service, found];
        this.#setDeadline(headers, cls);
        const guard = new OnceGuard(this.#options, headers, cls);
        return guard.isNeeded
            ? this.#handleNonIdempotent(guard, route, cls, target, headers)
            : this.#handleIdempotent(requireRoute(route), cls, target, headers);
    }

    /**
     * Reads the caller's disconnect, if it may lie unread in this process's sockets.
     *
     * @throws CallError if the caller has disconnected
     */
    async #readDisconnect(): Promise<void> {
        if (mayHideDisconnect({ lagMs: this.#options.lagMs(), acceptMs: this.#age.acceptMs })) {
            await drainPendingInput();
        }
        if (this.#res.destroyed) {
            throw new CallError("caller-gone");
        }
    }

    #handleIdempotent(
        route: ServiceRoute,
        cls: RequestClass | undefined,
        target: CallTarget,
        headers: CallHeaders,
    ): Promise<CallOutcome> {
        return "passTo" in route
            ? this.#forwardToPeer(forward => forward.toDispatcher(route.passTo))
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
            return this.#forwardToPeer(forward => forward.toIssuer(issuer));
        }
        const identity = this.#requestIdentity(target);
        const claim = guard.claim(identity, this.#options.clock());
        if (claim.kind === "run") {
            return this.#runOnce(claim.run, () =>
                this.#execute(this.#localRoute(route), cls, target, headers, claim.run),
            );
        }
        const outcome = await this.#waitForOutcome(claim.duplicate, identity);
        guard.replay(outcome, this.#res, this.#options.extraHeaders());
        return "replayed";
    }

    /** Returns method and target, which a duplicate must have in common with the original request besides the body. */
    #requestIdentity(target: CallTarget): string {
        return `${this.#req.method} ${target.service}${target.path}`;
    }

    async #waitForOutcome(duplicate: Duplicate, identity: string): Promise<Outcome> {
        const body = new RequestBody(this.#req, this.#res, identity);
        return new Promise((resolve, reject) => {
            const abort = (): void => reject(new CallError("deadline-sent"));
            this.#pending = { expire: abort, callerGone: abort };
            body.readForDigest()
                .then(() => duplicate.outcome(body.digest ?? ""))
                .then(resolve, reject);
        });
    }

    async #runOnce(run: Run, execute: () => Promise<CallOutcome>): Promise<CallOutcome> {
        try {
            return await execute();
        } catch (err) {
            const error = toCallError(err);
            run.fail(error);
            throw error;
        }
    }

    #findRoute(service: string, forwarded: boolean): ServiceRoute | CallError {
        try {
            return this.#options.services.route(service, forwarded) ?? new CallError("unknown-service");
        } catch (err) {
            return toCallError(err);
        }
    }

    /** Returns the local route: only the ticket's issuer may run a request, even if others dispatch the service now. */
    #localRoute(route: ServiceRoute | CallError): LocalRoute {
        const known = requireRoute(route);
        return "passTo" in known ? this.#options.services.localRoute(known.service.name) : known;
    }

    #findClass(
        route: ServiceRoute | CallError,
        target: CallTarget,
        headers: CallHeaders,
    ): RequestClass | CallError {
        if (route instanceof CallError) {
            return route;
        }
        try {
            const method = this.#req.method ?? "GET";
            const cls = findClass(route.service, method, target.decodedPath, headers.class);
            this.#timing.class = cls.name;
            return cls;
        } catch (err) {
            return toCallError(err);
        }
    }

    #setDeadline(headers: CallHeaders, cls: RequestClass | undefined): void {
        const deadlineMs = headers.deadlineMs ?? cls?.deadlineMs ?? defaultDeadlineMs;
        this.#deadlineAt = this.#arrivedAt + deadlineMs;
        this.#stallMs = Math.max(deadlineMs, minStallMs);
        this.#deadlineTimer = this.#options.timers.schedule(this.#deadlineAt, () => this.#pending?.expire());
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
        if (this.#options.clock() >= this.#deadlineAt) {
            throw new CallError("deadline-queued");
        }
        const execution = new CallExecution(this.#options, {
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
        this.#pending = execution;
        return execution.run();
    }

    async #forwardToPeer(start: (forward: PeerForward) => Promise<RelayResult>): Promise<CallOutcome> {
        const { client, clock, timers, extraHeaders, exitReset } = this.#options;
        const messages = { req: this.#req, res: this.#res };
        const times = { deadlineAt: this.#deadlineAt, stallMs: this.#stallMs };
        const forward = new PeerForward({
            client,
            clock,
            timers,
            extraHeaders,
            exitReset,
            ...messages,
            ...times,
        });
        const abort = (): void => forward.abort(new CallError("deadline-sent"));
        this.#pending = { expire: abort, callerGone: abort };
        const result = await start(forward);
        return result === "complete" ? "forwarded" : outcomeOfRelay[result];
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
