/** Executes a call on the backend servers of a service that this entry VM dispatches. */

import type { IncomingMessage, ServerResponse } from "node:http";
import { divideBudget, type BudgetSplit } from "@bramleymoor/dispatch/retry";
import type { Call, Slot, SlotResult } from "@bramleymoor/dispatch/types";
import type { RequestClass } from "@bramleymoor/model/spec";
import type { OnceTable, Run } from "@bramleymoor/once/table";
import { callHeaders } from "@bramleymoor/protocol/headers";
import { CallError } from "@bramleymoor/protocol/errors";
import { ExecutionTracker } from "@bramleymoor/protocol/execution";
import type { ExitReset } from "@bramleymoor/reset/exitreset";
import { discardResponse } from "./discard.js";
import type { BackendClient, OutgoingRequest } from "./backend.js";
import { RequestBody } from "./body.js";
import { errorFor } from "./errors.js";
import { toCallError } from "./responses.js";
import { forwardedResponseHeaders, forwardedRequestHeaders } from "./headers.js";
import type { CallObserver, CallOutcome } from "./observer.js";
import { BodyCapture, Relay, type RelayResult } from "./relay.js";
import { checkDepth, type CallHeaders, type CallTarget } from "./request.js";
import type { RetryBudgets } from "./retries.js";
import { Attempt, type AttemptResult, type SlotRequest } from "./attempt.js";
import type { LocalRoute } from "./services.js";
import type { TimerSet } from "./timers.js";
import type { CallTiming } from "./timing.js";

/** Dependencies of a CallExecution, shared by all calls of a CallServer. */
export interface CallExecutionOptions {
    readonly client: BackendClient;
    readonly clock: () => number;
    /** Returns the event loop lag: how long input that is read now may have waited, in milliseconds. */
    readonly lagMs: () => number;
    readonly timers: TimerSet;
    readonly onceTable: OnceTable;
    readonly retryBudgets: RetryBudgets;
    /** Returns the headers to add to every response. */
    readonly extraHeaders: () => readonly string[];
    /** Returns a call id that is unique within the process. */
    readonly nextId: () => number;
    /** Has the end of this process reset the connections of responses that end with them. */
    readonly exitReset: ExitReset;
    readonly observer: CallObserver;
}

/** A call that has passed all checks that precede the at-most-once table. */
export interface CallContext {
    readonly req: IncomingMessage;
    readonly res: ServerResponse;
    readonly target: CallTarget;
    readonly headers: CallHeaders;
    readonly route: LocalRoute;
    readonly class: RequestClass;
    /** Deadline on the clock of CallExecutionOptions, in milliseconds. */
    readonly deadlineAt: number;
    /** How long the server may pause in the middle of its response, in milliseconds. */
    readonly stallMs: number;
    readonly timing: CallTiming;
    /** The run claimed in the at-most-once table; set only for a non-idempotent request. */
    readonly run: Run | undefined;
    /** Text that the body's digest covers before the body; set only for a non-idempotent request. */
    readonly digestPrefix: string | undefined;
}

/** Executes one call, including retries. */
export class CallExecution {
    readonly #options: CallExecutionOptions;
    readonly #context: CallContext;
    readonly #body: RequestBody;
    readonly #execution: ExecutionTracker;
    #attempt: Attempt | undefined = undefined;
    #reject: (error: CallError) => void = () => undefined;

    constructor(options: CallExecutionOptions, context: CallContext) {
        this.#options = options;
        this.#context = context;
        this.#execution = context.run?.execution ?? new ExecutionTracker();
        this.#body = new RequestBody(context.req, context.res, context.digestPrefix);
    }

    /** Runs the call until the last byte of its response; throws a CallError if there is no response. */
    async run(): Promise<CallOutcome> {
        try {
            return await this.#run();
        } catch (err) {
            throw correctNotRun(toCallError(err), this.#execution);
        }
    }

    async #run(): Promise<CallOutcome> {
        checkDepth(this.#context.headers.depth);
        await this.#bufferBody();
        const budget = this.#options.retryBudgets.forService(this.#context.route.service);
        budget.recordCall();
        let budgetSplit = divideBudget(this.#context.headers.retryBudget);
        let call = this.#firstCall(budgetSplit);
        for (;;) {
            const attemptResult = await this.#runAttempt(call, budgetSplit);
            const result = resultOf(attemptResult);
            if (!this.#body.replayable || !budget.tryTake(call, result, this.#options.clock())) {
                return this.#finish(attemptResult);
            }
            this.#discard(attemptResult, result);
            budgetSplit = divideBudget(budgetSplit.ownRetries - 1);
            call = nextAttempt(call, slotOf(attemptResult), budgetSplit);
        }
    }

    /** Ends the call because its deadline has passed. */
    expire(): void {
        const error = new CallError(this.#execution.mayHaveRun ? "deadline-sent" : "deadline-queued");
        this.#attempt?.cancel(error, { kind: "timeout" });
        this.#reject(error);
    }

    /**
     * Ends the call because its caller has disconnected. A non-idempotent request that was sent completely, or that
     * duplicates wait for, continues, as a retry may ask for its response.
     */
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

    #firstCall(budgetSplit: BudgetSplit): Call {
        const { headers, deadlineAt } = this.#context;
        return {
            id: this.#options.nextId(),
            class: this.#context.class,
            tenant: headers.tenant,
            deadlineAt,
            attempt: headers.attempt,
            retryBudget: budgetSplit.ownRetries,
            tried: [],
        };
    }

    async #runAttempt(call: Call, budgetSplit: BudgetSplit): Promise<AttemptResult> {
        const { client, clock, lagMs } = this.#options;
        const { route, timing } = this.#context;
        const hedgeable = call.class.idempotent && this.#body.hedgeable;
        const buildRequest = (slot: Slot): OutgoingRequest => this.#buildRequest(slot, budgetSplit);
        const attempt = new Attempt({
            dispatcher: route.dispatcher,
            client,
            clock,
            lagMs,
            execution: this.#execution,
            hedgeable,
            buildRequest,
        });
        this.#attempt = attempt;
        timing.enqueued(clock());
        try {
            return await attempt.run(call);
        } finally {
            timing.firstByteReceived(clock());
            this.#attempt = undefined;
        }
    }

    #buildRequest(slot: Slot, budgetSplit: BudgetSplit): OutgoingRequest {
        const { req, headers, target, timing, deadlineAt, run } = this.#context;
        const now = this.#options.clock();
        timing.slotGranted(slot.hedge, now);
        const out = forwardedRequestHeaders(req.rawHeaders, req.headers.connection);
        out.push(callHeaders.deadline, String(Math.max(1, Math.floor(deadlineAt - now))));
        out.push(callHeaders.depth, String(headers.depth + 1));
        out.push(callHeaders.retryBudget, String(budgetSplit.downstreamBudget));
        out.push("Via", viaHeader);
        return {
            host: slot.server.host,
            port: slot.server.port,
            method: req.method ?? "GET",
            path: target.path,
            headers: out,
            body: this.#body,
            nonIdempotent: run !== undefined,
            toPeer: false,
            onSending: () => this.#sending(),
        };
    }

    #sending(): void {
        this.#execution.start();
        this.#context.timing.sending(this.#options.clock());
    }

    #discard(attemptResult: AttemptResult, result: SlotResult): void {
        this.#context.timing.retries++;
        if (attemptResult.kind === "response") {
            discardResponse(attemptResult.response);
            attemptResult.slotRequest.settle(result);
        }
    }

    async #finish(attemptResult: AttemptResult): Promise<CallOutcome> {
        if (attemptResult.kind === "failed") {
            throw errorFor(attemptResult.error);
        }
        const { res, run, timing, stallMs } = this.#context;
        const { clock, timers, exitReset, observer } = this.#options;
        const status = attemptResult.response.statusCode ?? 0;
        const headers = forwardedResponseHeaders(
            attemptResult.response.rawHeaders,
            attemptResult.response.headers.connection,
        );
        const capture = run && new BodyCapture(this.#options.onceTable.limits.maxStoredBodyBytes);
        const relay = new Relay(attemptResult.response, res, capture, { timers, clock, stallMs }, exitReset);
        const relayResult = await relay
            .run(status, [...headers, ...this.#options.extraHeaders()])
            .catch((err: unknown) => {
                attemptResult.slotRequest.abort({ kind: "lost" });
                observer.internalError("relaying a response", err);
                throw err;
            });
        timing.bytesOut = relay.bytes;
        settleSlot(attemptResult.slotRequest, relayResult, status);
        this.#completeRun(relayResult, status, headers, capture);
        return outcomeOfRelay[relayResult];
    }

    #completeRun(
        relayResult: RelayResult,
        status: number,
        headers: readonly string[],
        capture: BodyCapture | undefined,
    ): void {
        const { run } = this.#context;
        if (!run) {
            return;
        }
        if (relayResult === "broken") {
            run.fail(new CallError("server-lost"));
            return;
        }
        if (this.#body.digest !== undefined) {
            run.setBodyDigest(this.#body.digest);
        }
        run.complete(status, headers, relayResult === "complete" ? capture?.body : undefined);
    }
}

/** Returns the error to report instead of one that claims "not run" for a request that may have run. */
const correctNotRun = (error: CallError, execution: ExecutionTracker): CallError => {
    if (error.info.ran !== "not run" || !execution.mayHaveRun) {
        return error;
    }
    const kind = error.kind === "deadline-queued" ? "deadline-sent" : "server-lost";
    return new CallError(kind, error.message, error.retryAfterMs);
};

const viaHeader = "1.1 bramleymoor";

/** The call's outcome for each result of a relay. */
export const outcomeOfRelay: Readonly<Record<RelayResult, CallOutcome>> = {
    complete: "answered",
    broken: "broken",
    "caller-gone": "cancelled",
};

const slotOf = (attemptResult: AttemptResult): Slot =>
    attemptResult.kind === "response" ? attemptResult.slotRequest.slot : attemptResult.slot;

const resultOf = (attemptResult: AttemptResult): SlotResult =>
    attemptResult.kind === "response"
        ? { kind: "answered", status: attemptResult.response.statusCode ?? 0 }
        : attemptResult.error.result;

const nextAttempt = (call: Call, slot: Slot, budgetSplit: BudgetSplit): Call => ({
    ...call,
    attempt: call.attempt + 1,
    retryBudget: budgetSplit.ownRetries,
    tried: [...call.tried, slot.server.address],
});

const settleSlot = (slotRequest: SlotRequest, relayResult: RelayResult, status: number): void => {
    if (relayResult === "complete") {
        slotRequest.settle({ kind: "answered", status });
    } else if (relayResult === "broken") {
        slotRequest.abort({ kind: "lost" });
    } else {
        slotRequest.abort({ kind: "cancelled" });
    }
};
