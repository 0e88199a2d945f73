/** Maps failed exchanges to call errors. */

import type { SlotResult } from "@bramleymoor/dispatch/types";
import { CallError, type ErrorKind } from "@bramleymoor/protocol/errors";
import type { SendError } from "./backend.js";

const errorKindOf: Readonly<Record<SlotResult["kind"], ErrorKind>> = {
    answered: "internal",
    refused: "server-refused",
    "connect-failed": "connect-failed",
    lost: "server-lost",
    cancelled: "caller-gone",
    timeout: "deadline-sent",
};

const defaultRetryAfterMs = 100;

/** Returns the error of a call whose last exchange failed with `error`. */
export const errorFor = (error: SendError): CallError => {
    const kind = errorKindOf[error.result.kind];
    const retryAfterMs = error.retryAfterMs ?? (error.isNotRun ? defaultRetryAfterMs : undefined);
    return new CallError(kind, "", retryAfterMs);
};
