/** What a failed exchange means for the call: another try, or which error. */

import type { Call } from "@bramleymoor/dispatch/types";
import { CallError, type ErrorKind } from "@bramleymoor/protocol/kinds";
import type { SlotResult } from "@bramleymoor/dispatch/types";
import type { ExchangeError } from "./backend.js";
import type { CallBody } from "./body.js";

const kindOf: Readonly<Record<SlotResult["kind"], ErrorKind>> = {
    answered: "internal",
    refused: "server-refused",
    "connect-failed": "connect-failed",
    lost: "server-lost",
    cancelled: "caller-gone",
    timeout: "deadline-sent",
};

const defaultRetryAfterMs = 100;

/** The error that ends a call when this was its last exchange. */
export const failureOf = (error: ExchangeError): CallError => {
    const kind = kindOf[error.result.kind];
    const retryAfterMs = error.retryAfterMs ?? (kind === "server-lost" ? undefined : defaultRetryAfterMs);
    return new CallError(kind, "", retryAfterMs);
};

/**
 * Whether the call may be sent again. An idempotent call may whenever its body can be; a non-idempotent one
 * only if it did not run: the server said so, or no byte was sent.
 */
export const mayRetry = (end: { readonly error: ExchangeError }, call: Call, body: CallBody): boolean => {
    if (call.retryBudget < 1 || !body.replayable) {
        return false;
    }
    const { kind } = end.error.result;
    return kind === "refused" || kind === "connect-failed" || (kind === "lost" && call.class.idempotent);
};
