/** Runs a call on the backend servers of a service that this entry VM dispatches. */

import type { IncomingMessage, ServerResponse } from "node:http";
import { divideBudget, type BudgetSplit } from "@bramleymoor/dispatch/retry";
import type { Call, Slot, SlotResult } from "@bramleymoor/dispatch/types";
import type { RequestClass } from "@bramleymoor/model/spec";
import type { OnceTable, Run } from "@bramleymoor/once/table";
import { callHeaders } from "@bramleymoor/protocol/headers";
import { CallError } from "@bramleymoor/protocol/errors";
import type { BackendClient, OutgoingRequest } from "./backend.js";
import { CallBody } from "./body.js";
import { failureOf } from "./failures.js";
import { forwardedResponseHeaders, forwardedRequestHeaders } from "./headers.js";
import type { CallOutcome } from "./observer.js";
import { BodyCapture, Relay, type RelayEnd } from "./relay.js";
import { checkDepth, type CallHeaders, type CallTarget } from "./request.js";
import type { RetryBudgets } from "./retries.js";
import { Attempt, type AttemptResult, type SlotRequest } from "./attempt.js";
import type { LocalRoute } from "./services.js";
import type { TimerSet } from "./timers.js";
import type { CallTiming } from "./timing.js";

/** What all calls of a server share. */
export interface ExecutionParts {
    readonly client: BackendClient;
    readonly clock: () => number;
    readonly timers: TimerSet;
    readonly onceTable: OnceTable;
    readonly retryBudgets: RetryBudgets;
    /** Headers that every answer carries now. */
    readonly extraHeaders: () => readonly string[];
    /** Unique within the process. */
    readonly nextId: () => number;
}

/** One call that has passed all checks which come before the at-most-once table. */
export interface CallContext {
    readonly req: IncomingMessage;
    readonly res: ServerResponse;
    readonly target: CallTarget;
    readonly headers: CallHeaders;
    readonly route: LocalRoute;
    readonly class: RequestClass;
    readonly deadlineAt: number;
    /** Time that the server may send nothing in the middle of its answer, in milliseconds. */
    readonly stallMs: number;
    readonly timing: CallTiming;
    /** Set for a non-idempotent request. */
    readonly run: Run | undefined;
    /** What the body's digest covers besides the body; set for a non-idempotent request. */
    readonly digestPrefix: string | undefined;
}

/** Serves one call. */
export class CallExecution {
    readonly #parts: ExecutionParts;
    readonly #context: CallContext;
    readonly #body: CallBody;
    #attempt: Attempt | undefined = undefined;
    #reject: (error: CallError) => void = () => undefined;

    constructor(parts: ExecutionParts, served: CallContext) {
        this.#parts = parts;
        this.#context = served;
        this.#body = new CallBody(served.req, served.res, served.digestPrefix);
    }

    /** Runs the call to the last byte of its answer; throws a CallError if there is none. */
    async run(): Promise<CallOutcome> {
        checkDepth(this.#context.headers.depth);
        await this.#bufferBody();
        const retries = this.#parts.retryBudgets.forService(this.#context.route.service);
        retries.recordCall();
        let allowance = divideBudget(this.#context.headers.retryBudget);
        let call = this.#firstCall(allowance);
        for (;;) {
            const end = await this.#runAttempt(call, allowance);
            const result = resultOf(end);
            if (!this.#body.replayable || !retries.tryTake(call, result, this.#parts.clock())) {
                return this.#finish(end);
            }
            this.#discard(end, result);
            allowance = divideBudget(allowance.ownRetries - 1);
            call = nextAttempt(call, slotOf(end), allowance);
        }
    }

    /** The deadline has passed. */
    expire(): void {
        const error = new CallError(this.#attempt?.sent ? "deadline-sent" : "deadline-queued");
        this.#attempt?.cancel(error, { kind: "timeout" });
        this.#reject(error);
    }

    /** A non-idempotent request that has gone out whole runs on: a retry will ask for its answer. */
    callerGone(): void {
        const sent = this.#attempt?.sent ?? false;
        const { run } = this.#context;
        if (run && (run.hasWaiters || (sent && this.#attempt?.fullySent))) {
            return;
        }
        const error = new CallError(sent ? "server-lost" : "caller-gone", "The caller went away.");
        this.#attempt?.cancel(error, { kind: "cancelled" });
        this.#reject(error);
    }

    async #bufferBody(): Promise<void> {
        await new Promise<void>((resolve, reject) => {
            this.#reject = reject;
            this.#body.buffer().then(resolve, reject);
        });
    }

    #firstCall(allowance: BudgetSplit): Call {
        const { headers, deadlineAt } = this.#context;
        return {
            id: this.#parts.nextId(),
            class: this.#context.class,
            tenant: headers.tenant,
            deadlineAt,
            attempt: headers.attempt,
            retryBudget: allowance.ownRetries,
            tried: [],
        };
    }

    async #runAttempt(call: Call, allowance: BudgetSplit): Promise<AttemptResult> {
        const { client, clock } = this.#parts;
        const { route, timing, run } = this.#context;
        const copyable = call.class.idempotent && this.#body.hedgeable;
        const outgoing = (slot: Slot): OutgoingRequest => this.#buildRequest(slot, allowance);
        const round = new Attempt({
            dispatcher: route.dispatcher,
            client,
            clock,
            hedgeable: copyable,
            buildRequest: outgoing,
        });
        this.#attempt = round;
        timing.enqueued(clock());
        try {
            const end = await round.run(call);
            if (end.kind === "failed" && end.error.notStarted) {
                run?.markNotStarted();
            }
            return end;
        } finally {
            timing.firstByteReceived(clock());
            this.#attempt = undefined;
        }
    }

    #buildRequest(slot: Slot, allowance: BudgetSplit): OutgoingRequest {
        const { req, headers, target, timing, deadlineAt, run } = this.#context;
        const now = this.#parts.clock();
        timing.slotGranted(slot.hedge, now);
        const out = forwardedRequestHeaders(req.rawHeaders, req.headers.connection);
        out.push(callHeaders.deadline, String(Math.max(1, Math.floor(deadlineAt - now))));
        out.push(callHeaders.depth, String(headers.depth + 1));
        out.push(callHeaders.retryBudget, String(allowance.downstreamBudget));
        out.push("Via", viaHeader);
        return {
            host: slot.server.host,
            port: slot.server.port,
            method: req.method ?? "GET",
            path: target.path,
            headers: out,
            body: this.#body,
            nonIdempotent: run !== undefined,
            onSending: () => this.#sending(),
        };
    }

    #sending(): void {
        this.#context.run?.markSending();
        this.#context.timing.sending(this.#parts.clock());
    }

    #discard(end: AttemptResult, result: SlotResult): void {
        this.#context.timing.retries++;
        if (end.kind === "answer") {
            end.response.resume();
            end.slotRequest.settle(result);
        }
    }

    async #finish(end: AttemptResult): Promise<CallOutcome> {
        if (end.kind === "failed") {
            throw failureOf(end.error);
        }
        const { res, run, timing, stallMs } = this.#context;
        const { clock, timers: sweep } = this.#parts;
        const status = end.response.statusCode ?? 0;
        const headers = forwardedResponseHeaders(end.response.rawHeaders, end.response.headers.connection);
        const keep = run && new BodyCapture(this.#parts.onceTable.limits.maxKeptBodyBytes);
        const relay = new Relay(end.response, res, keep, { timers: sweep, clock, stallMs });
        const relayed = await relay.run(status, [...headers, ...this.#parts.extraHeaders()]);
        timing.bytesOut = relay.bytes;
        settleSlot(end.slotRequest, relayed, status);
        this.#completeRun(relayed, status, headers, keep);
        return relayOutcomes[relayed];
    }

    #completeRun(
        end: RelayEnd,
        status: number,
        headers: readonly string[],
        keep: BodyCapture | undefined,
    ): void {
        const { run } = this.#context;
        if (!run) {
            return;
        }
        if (end === "broken") {
            run.fail(new CallError("server-lost"));
            return;
        }
        if (this.#body.digest !== undefined) {
            run.setBodyDigest(this.#body.digest);
        }
        run.complete(status, headers, end === "whole" ? keep?.body : undefined);
    }
}

const viaHeader = "1.1 bramleymoor";

/** What the observer is told of a relay's end. */
export const relayOutcomes: Readonly<Record<RelayEnd, CallOutcome>> = {
    whole: "answered",
    broken: "cut",
    "caller-gone": "cancelled",
};

const slotOf = (end: AttemptResult): Slot => (end.kind === "answer" ? end.slotRequest.slot : end.slot);

const resultOf = (end: AttemptResult): SlotResult =>
    end.kind === "answer" ? { kind: "answered", status: end.response.statusCode ?? 0 } : end.error.result;

const nextAttempt = (call: Call, slot: Slot, allowance: BudgetSplit): Call => ({
    ...call,
    attempt: call.attempt + 1,
    retryBudget: allowance.ownRetries,
    tried: [...call.tried, slot.server.address],
});

const settleSlot = (sending: SlotRequest, end: RelayEnd, status: number): void => {
    if (end === "whole") {
        sending.settle({ kind: "answered", status });
    } else if (end === "broken") {
        sending.abort({ kind: "lost" });
    } else {
        sending.abort({ kind: "cancelled" });
    }
};
