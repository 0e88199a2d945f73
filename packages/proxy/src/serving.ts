/** Runs a call on the backend servers of a service that this entry VM dispatches. */

import type { IncomingMessage, ServerResponse } from "node:http";
import { divideBudget, type BudgetSplit } from "@bramleymoor/dispatch/retry";
import type { Call, Slot, SlotResult } from "@bramleymoor/dispatch/types";
import type { RequestClass } from "@bramleymoor/model/spec";
import type { OnceTable, Run } from "@bramleymoor/once/table";
import { callHeaders } from "@bramleymoor/protocol/headers";
import { CallError } from "@bramleymoor/protocol/errors";
import type { BackendClient, Outgoing } from "./backend.js";
import { CallBody } from "./body.js";
import { failureOf } from "./failures.js";
import { answerHeadersFor, requestHeaders } from "./headers.js";
import type { CallOutcome } from "./observer.js";
import { Keep, Relay, type RelayEnd } from "./relay.js";
import { checkDepth, type CallHeaders, type CallTarget } from "./request.js";
import type { Retries } from "./retries.js";
import { Round, type RoundEnd, type Sending } from "./round.js";
import type { LocalRoute } from "./services.js";
import type { TimerSet } from "./timers.js";
import type { Timing } from "./timing.js";

/** What all calls of a server share. */
export interface ServingParts {
    readonly client: BackendClient;
    readonly clock: () => number;
    readonly sweep: TimerSet;
    readonly onceTable: OnceTable;
    readonly retries: Retries;
    /** Headers that every answer carries now. */
    readonly extraHeaders: () => readonly string[];
    /** Unique within the process. */
    readonly nextId: () => number;
}

/** One call that has passed all checks which come before the at-most-once table. */
export interface ServedCall {
    readonly req: IncomingMessage;
    readonly res: ServerResponse;
    readonly target: CallTarget;
    readonly headers: CallHeaders;
    readonly route: LocalRoute;
    readonly class: RequestClass;
    readonly deadlineAt: number;
    /** Time that the server may send nothing in the middle of its answer, in milliseconds. */
    readonly stallMs: number;
    readonly timing: Timing;
    /** Set for a non-idempotent request. */
    readonly run: Run | undefined;
    /** What the body's digest covers besides the body; set for a non-idempotent request. */
    readonly digestOf: string | undefined;
}

/** Serves one call. */
export class Serving {
    readonly #parts: ServingParts;
    readonly #served: ServedCall;
    readonly #body: CallBody;
    #round: Round | undefined = undefined;
    #giveUp: (error: CallError) => void = () => undefined;

    constructor(parts: ServingParts, served: ServedCall) {
        this.#parts = parts;
        this.#served = served;
        this.#body = new CallBody(served.req, served.res, served.digestOf);
    }

    /** Runs the call to the last byte of its answer; throws a CallError if there is none. */
    async run(): Promise<CallOutcome> {
        checkDepth(this.#served.headers.depth);
        await this.#holdBody();
        const retries = this.#parts.retries.of(this.#served.route.service);
        retries.recordCall();
        let allowance = divideBudget(this.#served.headers.retryBudget);
        let call = this.#firstCall(allowance);
        for (;;) {
            const end = await this.#try(call, allowance);
            const result = resultOf(end);
            if (!this.#body.replayable || !retries.tryTake(call, result, this.#parts.clock())) {
                return this.#finish(end);
            }
            this.#leave(end, result);
            allowance = divideBudget(allowance.ownRetries - 1);
            call = again(call, slotOf(end), allowance);
        }
    }

    /** The deadline has passed. */
    expire(): void {
        const error = new CallError(this.#round?.sent ? "deadline-sent" : "deadline-queued");
        this.#round?.cancel(error, { kind: "timeout" });
        this.#giveUp(error);
    }

    /** A non-idempotent request that has gone out whole runs on: a retry will ask for its answer. */
    callerGone(): void {
        const sent = this.#round?.sent ?? false;
        const { run } = this.#served;
        if (run && (run.hasWaiters || (sent && this.#round?.wholeSent))) {
            return;
        }
        const error = new CallError(sent ? "server-lost" : "caller-gone", "The caller went away.");
        this.#round?.cancel(error, { kind: "cancelled" });
        this.#giveUp(error);
    }

    async #holdBody(): Promise<void> {
        await new Promise<void>((resolve, reject) => {
            this.#giveUp = reject;
            this.#body.hold().then(resolve, reject);
        });
    }

    #firstCall(allowance: BudgetSplit): Call {
        const { headers, deadlineAt } = this.#served;
        return {
            id: this.#parts.nextId(),
            class: this.#served.class,
            tenant: headers.tenant,
            deadlineAt,
            attempt: headers.attempt,
            retryBudget: allowance.ownRetries,
            tried: [],
        };
    }

    async #try(call: Call, allowance: BudgetSplit): Promise<RoundEnd> {
        const { client, clock } = this.#parts;
        const { route, timing, run } = this.#served;
        const copyable = call.class.idempotent && this.#body.copyable;
        const outgoing = (slot: Slot): Outgoing => this.#outgoing(slot, allowance);
        const round = new Round({ dispatcher: route.dispatcher, client, clock, copyable, outgoing });
        this.#round = round;
        timing.queued(clock());
        try {
            const end = await round.run(call);
            if (end.kind === "failed" && end.error.notStarted) {
                run?.markNotStarted();
            }
            return end;
        } finally {
            timing.headed(clock());
            this.#round = undefined;
        }
    }

    #outgoing(slot: Slot, allowance: BudgetSplit): Outgoing {
        const { req, headers, target, timing, deadlineAt, run } = this.#served;
        const now = this.#parts.clock();
        timing.granted(slot.hedge, now);
        const out = requestHeaders(req.rawHeaders, req.headers.connection);
        out.push(callHeaders.deadline, String(Math.max(1, Math.floor(deadlineAt - now))));
        out.push(callHeaders.depth, String(headers.depth + 1));
        out.push(callHeaders.retryBudget, String(allowance.downstreamBudget));
        out.push("Via", via);
        return {
            host: slot.server.host,
            port: slot.server.port,
            method: req.method ?? "GET",
            path: target.path,
            headers: out,
            body: this.#body,
            guarded: run !== undefined,
            onSending: () => this.#sending(),
        };
    }

    #sending(): void {
        this.#served.run?.markSending();
        this.#served.timing.sending(this.#parts.clock());
    }

    #leave(end: RoundEnd, result: SlotResult): void {
        this.#served.timing.retries++;
        if (end.kind === "answer") {
            end.answer.resume();
            end.sending.settle(result);
        }
    }

    async #finish(end: RoundEnd): Promise<CallOutcome> {
        if (end.kind === "failed") {
            throw failureOf(end.error);
        }
        const { res, run, timing, stallMs } = this.#served;
        const { clock, sweep } = this.#parts;
        const status = end.answer.statusCode ?? 0;
        const headers = answerHeadersFor(end.answer.rawHeaders, end.answer.headers.connection);
        const keep = run && new Keep(this.#parts.onceTable.limits.maxKeptBodyBytes);
        const relay = new Relay(end.answer, res, keep, { sweep, clock, stallMs });
        const relayed = await relay.run(status, [...headers, ...this.#parts.extraHeaders()]);
        timing.bytesOut = relay.bytes;
        settle(end.sending, relayed, status);
        this.#endRun(relayed, status, headers, keep);
        return relayEnds[relayed];
    }

    #endRun(end: RelayEnd, status: number, headers: readonly string[], keep: Keep | undefined): void {
        const { run } = this.#served;
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

const via = "1.1 bramleymoor";

/** What the observer is told of a relay's end. */
export const relayEnds: Readonly<Record<RelayEnd, CallOutcome>> = {
    whole: "answered",
    broken: "cut",
    "caller-gone": "cancelled",
};

const slotOf = (end: RoundEnd): Slot => (end.kind === "answer" ? end.sending.slot : end.slot);

const resultOf = (end: RoundEnd): SlotResult =>
    end.kind === "answer" ? { kind: "answered", status: end.answer.statusCode ?? 0 } : end.error.result;

const again = (call: Call, slot: Slot, allowance: BudgetSplit): Call => ({
    ...call,
    attempt: call.attempt + 1,
    retryBudget: allowance.ownRetries,
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
