/** How a routed request can end, and which error kind stands for each failure. */

import type { LoadSnapshot, SlotResult, Slot } from "@bramleymoor/balance/types";
import type { Route } from "@bramleymoor/model/route";
import { CallError, type ErrorKind } from "@bramleymoor/protocol/errors";
import type { AcquireResult } from "./dispatcher.js";
import type { RelayResult } from "./relay.js";

/** How a request ended for its caller. */
export type ForwardOutcome = ErrorKind | "answered" | "body-broken" | "caller-gone";

/** What is told of a finished request. */
export interface ForwardRecord {
    readonly requestId: string;
    readonly route: Route | undefined;
    readonly service: string;
    readonly outcome: ForwardOutcome;
    readonly status: number;
    /** Incarnations of the servers that it was sent to, in order. */
    readonly servers: readonly string[];
    readonly queueMs: number;
    readonly serverMs: number;
    readonly totalMs: number;
    /** What the last choice of a server rested on; undefined if none was chosen. */
    readonly belief: LoadSnapshot | undefined;
    /** What decided an outcome other than an answer. */
    readonly detail: string;
}

/** A belief as it is logged: requests of this entry VM there, then running, waiting, slots and slowdown as told. */
export const describeBelief = (
    belief: LoadSnapshot | undefined,
): { readonly load: string; readonly loadAgeMs: number } => {
    if (!belief) {
        return { load: "", loadAgeMs: 0 };
    }
    const { inFlight, report, ageMs } = belief;
    const told = report
        ? `${report.running},${report.waiting},${report.slots},${report.slowdown}`
        : "not told";
    return { load: `own ${inFlight}; ${told}`, loadAgeMs: Math.round(ageMs) };
};

/** The slot of a placement; throws the CallError that stands for any other end of the wait. */
export const slotOrThrow = (placement: AcquireResult): Slot => {
    switch (placement.kind) {
        case "slot":
            return placement.slot;
        case "refused":
            throw new CallError(placement.refusal.reason, "", placement.refusal.retryAfterMs);
        case "withdrawn":
            throw new CallError("caller-gone");
    }
};

/** Whether a send ended so that the request has certainly not run. */
export const isNotRun = ({ kind }: SlotResult): boolean => kind === "refused" || kind === "unreachable";

/** The error of a request whose last send ended like this. */
export const errorFor = (end: SlotResult): CallError => {
    switch (end.kind) {
        case "refused":
            return new CallError("server-refused", `The last one said: ${end.why}.`, refusedRetryMs);
        case "unreachable":
            return new CallError("connect-failed", "", refusedRetryMs);
        case "timeout":
            return new CallError("deadline-sent");
        case "answered":
            return new CallError("server-lost", `The server failed with status ${end.status}.`);
        default:
            return new CallError("server-lost");
    }
};

/** How a send ended whose answer was not passed on whole. */
export const sendEndOfRelay: Readonly<Record<Exclude<RelayResult, "whole">, SlotResult>> = {
    "broken-unseen": { kind: "lost" },
    broken: { kind: "lost" },
    "caller-gone": { kind: "cancelled" },
};

/** What the caller got of an answer that has begun. */
export const outcomeOfRelay: Readonly<
    Record<Exclude<RelayResult, "broken-unseen">, "answered" | "body-broken" | "caller-gone">
> = {
    whole: "answered",
    broken: "body-broken",
    "caller-gone": "caller-gone",
};

/** By then the connection or slot that was missing is likely to be there. */
const refusedRetryMs = 150;
