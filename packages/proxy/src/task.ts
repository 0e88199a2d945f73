/** One call, from its headers to the last byte of its answer. */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Call, Slot } from "@bramleymoor/dispatch/types";
import type { RequestClass } from "@bramleymoor/model/spec";
import type { Outcome } from "@bramleymoor/once/entry";
import type { Duplicate, Run } from "@bramleymoor/once/table";
import { callHeaders } from "@bramleymoor/protocol/headers";
import { CallError } from "@bramleymoor/protocol/kinds";
import { answerError, asCallError } from "./answers.js";
import type { BackendClient, Outgoing } from "./backend.js";
import { CallBody } from "./body.js";
import { failureOf, mayRetry } from "./failures.js";
import { Guard } from "./guard.js";
import { answerHeadersFor, requestHeaders } from "./headers.js";
import type { CallEnd } from "./observer.js";
import type { PassFailure, Passing } from "./passing.js";
import { Keep, Relay, type RelayEnd } from "./relay.js";
import {
    checkDepth,
    findClass,
    readHeaders,
    readTarget,
    type CallHeaders,
    type CallTarget,
} from "./request.js";
import { Round, type RoundEnd, type Sending } from "./round.js";
import type { CallParts, Dispatched, Route } from "./services.js";
import type { Due, Sweep } from "./sweep.js";
import { Timing } from "./timing.js";

/** What all calls of a server share. */
export interface TaskParts extends CallParts {
    readonly client: BackendClient;
    readonly sweep: Sweep;
    readonly passing: Passing;
    /** Headers that every answer carries now. */
    readonly extraHeaders: () => readonly string[];
    /** Unique within the process. */
    readonly nextId: () => number;
}

/** Runs one call. */
export class CallTask {
    readonly #parts: TaskParts;
    readonly #req: IncomingMessage;
    readonly #res: ServerResponse;
    readonly #method: string;
    readonly #timing: Timing;
    readonly #startedAt: number;
    #due: Due | undefined = undefined;
    #deadlineAt = Infinity;
    #round: Round | undefined = undefined;
    #run: Run | undefined = undefined;
    /** What a deadline means while no round runs. */
    #lateKind: "deadline-queued" | "deadline-sent" = "deadline-queued";
    /** Ends whatever the task waits for, other than a round. */
    #giveUp: (error: CallError) => void = () => undefined;

    constructor(parts: TaskParts, req: IncomingMessage, res: ServerResponse) {
        this.#parts = parts;
        this.#req = req;
        this.#res = res;
        this.#method = req.method ?? "GET";
        this.#startedAt = parts.clock();
        this.#timing = new Timing(this.#startedAt);
    }

    /** Never rejects; the observer is told the end. */
    async run(): Promise<void> {
        const { clock, observer, sweep, extraHeaders } = this.#parts;
        let end: CallEnd;
        this.#res.on("close", () => this.#callerGone());
        try {
            end = await this.#handle();
        } catch (err) {
            const error = asCallError(err);
            answerError(this.#res, error, extraHeaders());
            end = this.#res.destroyed && !this.#res.writableFinished ? "cancelled" : error.kind;
        }
        if (this.#due) {
            sweep.remove(this.#due);
        }
        const status = this.#res.headersSent ? this.#res.statusCode : 0;
        observer.callDone(this.#timing.record(end, status, clock()));
    }

    /** A retry must not be told "not run" before the table was asked, so nothing is refused before that. */
    async #handle(): Promise<CallEnd> {
        const target = readTarget(this.#req.url ?? "");
        const headers = readHeaders(this.#req.headers);
        this.#timing.service = target.service;
        this.#timing.tenant = headers.tenant;
        const route = this.#route(target.service, headers.forwarded);
        const cls = this.#class(route, target, headers);
        this.#setDeadline(headers, cls);
        const guard = new Guard(this.#parts, headers, cls);
        if (!guard.needed) {
            const found = routed(route);
            return "passTo" in found
                ? this.#pass(found.passTo[0] ?? "", "server-lost")
                : this.#serve(found, classed(cls), target, headers);
        }
        const issuer = guard.otherIssuer();
        if (issuer !== undefined) {
            return this.#pass(issuer, "issuer-unreachable");
        }
        const digestOf = `${this.#method} ${target.service}${target.path}`;
        const claim = guard.claim(digestOf, this.#parts.clock());
        if (claim.kind === "run") {
            this.#run = claim.run;
            return this.#runOnce(claim.run, () =>
                this.#serve(this.#here(route), classed(cls), target, headers, digestOf),
            );
        }
        const outcome = await this.#outcomeOf(claim.duplicate, digestOf);
        guard.replay(outcome, this.#res, this.#parts.extraHeaders());
        return "replayed";
    }

    async #outcomeOf(duplicate: Duplicate, digestOf: string): Promise<Outcome> {
        this.#lateKind = "deadline-sent";
        const body = new CallBody(this.#req, this.#res, digestOf);
        await this.#untilGivenUp(body.skim());
        return this.#untilGivenUp(duplicate.outcome(body.digest ?? ""));
    }

    async #runOnce(run: Run, serve: () => Promise<CallEnd>): Promise<CallEnd> {
        try {
            return await serve();
        } catch (err) {
            const error = asCallError(err);
            run.fail(error);
            throw error;
        }
    }

    #route(service: string, forwarded: boolean): Route | CallError {
        try {
            return this.#parts.services.route(service, forwarded) ?? new CallError("unknown-service");
        } catch (err) {
            return asCallError(err);
        }
    }

    /** Only the issuer of a request's ticket may run it, whoever dispatches the service now. */
    #here(route: Route | CallError): Dispatched {
        const found = routed(route);
        return "passTo" in found ? this.#parts.services.here(found.service.name) : found;
    }

    #class(route: Route | CallError, target: CallTarget, headers: CallHeaders): RequestClass | undefined {
        if (route instanceof CallError) {
            return undefined;
        }
        const cls = findClass(route.service, this.#method, target.plainPath, headers.class);
        this.#timing.class = cls.name;
        return cls;
    }

    #setDeadline(headers: CallHeaders, cls: RequestClass | undefined): void {
        this.#deadlineAt = this.#startedAt + (headers.deadlineMs ?? cls?.deadlineMs ?? defaultDeadlineMs);
        this.#due = this.#parts.sweep.add(this.#deadlineAt, () => this.#expire());
    }

    async #serve(
        route: Dispatched,
        cls: RequestClass,
        target: CallTarget,
        headers: CallHeaders,
        digestOf?: string,
    ): Promise<CallEnd> {
        checkDepth(headers.depth);
        const body = new CallBody(this.#req, this.#res, digestOf);
        await this.#untilGivenUp(body.hold());
        let call: Call = {
            id: this.#parts.nextId(),
            class: cls,
            tenant: headers.tenant,
            deadlineAt: this.#deadlineAt,
            attempt: headers.attempt,
            retryBudget: headers.retryBudget,
            tried: [],
        };
        for (;;) {
            const end = await this.#try(route, call, slot => this.#outgoing(slot, target, headers, body));
            if (end.kind === "answer") {
                return this.#relay(end.sending, end.answer, body);
            }
            if (!mayRetry(end, call, body)) {
                throw failureOf(end.error);
            }
            this.#timing.retries++;
            call = again(call, end.slot);
        }
    }

    async #try(route: Dispatched, call: Call, outgoing: (slot: Slot) => Outgoing): Promise<RoundEnd> {
        const { client, clock } = this.#parts;
        const copyable = call.class.idempotent;
        const round = new Round({ dispatcher: route.dispatcher, client, clock, copyable, outgoing });
        this.#round = round;
        this.#timing.queued(clock());
        try {
            const end = await round.run(call);
            if (end.kind === "failed" && neverStarted(end)) {
                this.#run?.notStarted();
            }
            return end;
        } finally {
            this.#timing.headed(clock());
            this.#round = undefined;
        }
    }

    #outgoing(slot: Slot, target: CallTarget, headers: CallHeaders, body: CallBody): Outgoing {
        const now = this.#parts.clock();
        this.#timing.granted(slot.hedge, now);
        const out = requestHeaders(this.#req.rawHeaders, this.#req.headers.connection);
        out.push(callHeaders.deadline, String(Math.max(1, Math.floor(this.#deadlineAt - now))));
        out.push(callHeaders.depth, String(headers.depth + 1));
        out.push(callHeaders.retryBudget, String(slot.call.retryBudget));
        out.push("Via", via);
        return {
            host: slot.server.host,
            port: slot.server.port,
            method: this.#method,
            path: target.path,
            headers: out,
            body,
            guarded: this.#run !== undefined,
            onSending: () => this.#sending(),
        };
    }

    #sending(): void {
        this.#run?.sending();
        this.#timing.sending(this.#parts.clock());
    }

    async #relay(sending: Sending, answer: IncomingMessage, body: CallBody): Promise<CallEnd> {
        const status = answer.statusCode ?? 0;
        const headers = answerHeadersFor(answer.rawHeaders, answer.headers.connection);
        const keep = this.#run ? new Keep(this.#parts.once.limits.keepBytes) : undefined;
        const relay = new Relay(answer, this.#res, keep);
        const end = await relay.run(status, [...headers, ...this.#parts.extraHeaders()]);
        this.#timing.bytesOut = relay.bytes;
        settle(sending, end, status);
        this.#endRun(end, status, headers, keep, body);
        return relayEnds[end];
    }

    #endRun(
        end: RelayEnd,
        status: number,
        headers: readonly string[],
        keep: Keep | undefined,
        body: CallBody,
    ): void {
        if (!this.#run) {
            return;
        }
        if (end === "broken") {
            this.#run.fail(new CallError("server-lost"));
            return;
        }
        if (body.digest !== undefined) {
            this.#run.digested(body.digest);
        }
        this.#run.answered(status, headers, end === "whole" ? keep?.body : undefined);
    }

    async #pass(to: string, failure: PassFailure): Promise<CallEnd> {
        this.#lateKind = "deadline-sent";
        const passed = this.#parts.passing.pass(to, this.#req, this.#res, this.#deadlineAt, failure);
        this.#giveUp = error => passed.abort(error);
        const answer = await passed.answer;
        this.#giveUp = () => undefined;
        const end = await passed.relay(answer, this.#parts.extraHeaders());
        return end === "whole" ? "passed" : relayEnds[end];
    }

    #expire(): void {
        if (this.#round) {
            const kind = this.#round.sent ? "deadline-sent" : "deadline-queued";
            this.#round.cancel(new CallError(kind), { kind: "timeout" });
            return;
        }
        this.#giveUp(new CallError(this.#lateKind));
    }

    /** A non-idempotent request that has gone out whole runs on: a retry will ask for its answer. */
    #callerGone(): void {
        if (this.#res.writableFinished) {
            return;
        }
        const sent = this.#round?.sent ?? false;
        if (this.#run && (this.#run.awaited || (sent && this.#round?.wholeSent))) {
            return;
        }
        const error = new CallError(sent ? "server-lost" : "caller-gone", "The caller went away.");
        this.#round?.cancel(error, { kind: "cancelled" });
        this.#giveUp(error);
    }

    #untilGivenUp<T>(work: Promise<T>): Promise<T> {
        return new Promise((resolve, reject) => {
            this.#giveUp = reject;
            work.then(resolve, reject);
        });
    }
}

const defaultDeadlineMs = 30_000;
const via = "1.1 bramleymoor";

const relayEnds: Readonly<Record<RelayEnd, CallEnd>> = {
    whole: "answered",
    broken: "cut",
    "caller-gone": "cancelled",
};

const neverStarted = (end: RoundEnd): boolean =>
    end.kind === "failed" &&
    (end.error.result.kind === "refused" || end.error.result.kind === "connect-failed");

const again = (call: Call, slot: Slot): Call => ({
    ...call,
    attempt: call.attempt + 1,
    retryBudget: call.retryBudget - 1,
    tried: [...call.tried, slot.server.address],
});

const settle = (sending: Sending, end: RelayEnd, status: number): void => {
    if (end === "whole") {
        sending.settle({ kind: "answered", status });
    } else if (end === "broken") {
        sending.abort({ kind: "lost" });
    } else {
        sending.abort({ kind: "cancelled" });
    }
};

const routed = (route: Route | CallError): Route => {
    if (route instanceof CallError) {
        throw route;
    }
    return route;
};

const classed = (cls: RequestClass | undefined): RequestClass => {
    if (!cls) {
        throw new CallError("unknown-service");
    }
    return cls;
};
