/** Outcomes of routed requests, and the error for each failure. */

import type { LoadSnapshot, Slot, SlotResult } from "@bramleymoor/balance/types";
import type { Route } from "@bramleymoor/model/route";
import { CallError, type ErrorKind } from "@bramleymoor/protocol/errors";
import type { RequestAge } from "@bramleymoor/proxy/requestage";
import type { SendEnd } from "@bramleymoor/quarantine/quarantine";
import type { AcquireResult } from "./dispatcher.js";
import type { RelayResult } from "./relay.js";

/** Outcome of a request as its caller sees it. */
export type ForwardOutcome = ErrorKind | "answered" | "body-broken" | "caller-gone";

/** Whether a request was hedged, for the log: empty if it wasn't, else whether the hedge was answered first. */
export type HedgeOutcome = "" | "won" | "lost";

/** Result and timings of a finished request. */
export interface ForwardRecord {
    readonly requestId: string;
    readonly route: Route | undefined;
    /** Name of its client account; empty if it has none. */
    readonly account: string;
    readonly service: string;
    readonly outcome: ForwardOutcome;
    /** HTTP status of the response; 0 if none was sent. */
    readonly status: number;
    /** Incarnations of the servers that it was sent to, in order. */
    readonly servers: readonly string[];
    /** Whether it was hedged, and whether the hedge was answered first. */
    readonly hedge: HedgeOutcome;
    /** What each send to a server or peer ended with; empty if the outcome is "answered". */
    readonly sends: string;
    readonly queueMs: number;
    readonly serverMs: number;
    /** From the request's arrival, in milliseconds; see `RequestAge`. */
    readonly totalMs: number;
    /** The load data behind the last choice of a server; undefined if no server was chosen. */
    readonly loadSnapshot: LoadSnapshot | undefined;
    /** Where the request had spent time when it was read. */
    readonly age: RequestAge;
    /** Number of earlier requests on its connection that were pending when it was read. */
    readonly ahead: number;
    /** Time from its last send to its end, in milliseconds; -1 if it wasn't sent. */
    readonly sinceSendMs: number;
    /** Why the outcome is not "answered"; empty if there is nothing to add. */
    readonly detail: string;
}

/**
 * Formats load data for the log: this entry VM's requests in flight at the server, then running, waiting, slots and
 * slowdown as the server reported them.
 */
export const formatLoad = (
    load: LoadSnapshot | undefined,
): { readonly load: string; readonly loadAgeMs: number } => {
    if (!load) {
        return { load: "", loadAgeMs: 0 };
    }
    const { inFlight, report, ageMs } = load;
    const reported = report
        ? `${report.running},${report.waiting},${report.slots},${report.slowdown}`
        : "not reported";
    return { load: `own ${inFlight}; ${reported}`, loadAgeMs: Math.round(ageMs) };
};

/** Returns the slot that was acquired, undefined if the entry VM has lost its links; throws a CallError if it was refused. */
export const slotOrThrow = (result: AcquireResult): Slot | undefined => {
    switch (result.kind) {
        case "slot":
            return result.slot;
        case "refused":
            throw new CallError(result.refusal.reason, "", result.refusal.retryAfterMs);
        case "released":
            return undefined;
        case "withdrawn":
            throw new CallError("caller-gone");
    }
};

/** Returns how a send ended, as far as it says something of the server. */
export const sendEndOf = (result: SlotResult): SendEnd => {
    switch (result.kind) {
        case "answered":
            return "answered";
        case "refused":
            return result.reason === "other-incarnation" ? "unreachable" : "refused";
        case "unreachable":
            return "unreachable";
        case "lost":
            return "lost";
        case "timeout":
        case "cancelled":
            return "abandoned";
    }
};

/** Returns the error of a request whose last send ended with `result`. */
export const errorFor = (result: SlotResult): CallError => {
    switch (result.kind) {
        case "refused":
            return new CallError("server-refused", `The last one said: ${result.reason}.`, refusedRetryMs);
        case "unreachable":
            return new CallError("connect-failed", "", refusedRetryMs);
        case "timeout":
            return new CallError("deadline-sent");
        case "answered":
            return new CallError("server-lost", `The server failed with status ${result.status}.`);
        default:
            return new CallError("server-lost");
    }
};

/** Slot results of sends whose response was not relayed completely. */
export const slotResultOfRelay: Readonly<Record<Exclude<RelayResult, "complete">, SlotResult>> = {
    "broken-before-start": { kind: "lost" },
    broken: { kind: "lost" },
    "caller-gone": { kind: "cancelled" },
};

/** Outcomes of requests whose response has started. */
export const outcomeOfRelay: Readonly<
    Record<Exclude<RelayResult, "broken-before-start">, "answered" | "body-broken" | "caller-gone">
> = {
    complete: "answered",
    broken: "body-broken",
    "caller-gone": "caller-gone",
};

/** Time after which the missing connection or slot is likely to be available. */
const refusedRetryMs = 150;
