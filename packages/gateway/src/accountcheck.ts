/** Decides which client account a request belongs to, and whether it may be served. */

import type { IncomingMessage } from "node:http";
import type { KeyProblem } from "@bramleymoor/accounts/authorization";
import type { AccountTable } from "@bramleymoor/accounts/table";
import type { ClientAccount, Route } from "@bramleymoor/model/route";
import { CallError } from "@bramleymoor/protocol/errors";
import { authorizationValues } from "./requesthead.js";

/** The accounts in force. */
export interface AccountState {
    /** undefined if the configuration has no accounts. */
    readonly table: AccountTable | undefined;
    /** Time since they were last known to be current, in milliseconds. */
    readonly ageMs: number;
    /** Age from which requests that need a key are refused, in milliseconds. */
    readonly maxAgeMs: number;
}

/**
 * Returns the client account of a request; undefined if its route needs none, or none are configured.
 *
 * @throws CallError if the request carries no key of an account ("unauthorized"), or the accounts may be outdated
 *     ("accounts-outdated")
 */
export const findAccount = (
    req: Pick<IncomingMessage, "rawHeaders">,
    route: Pick<Route, "isPublic">,
    { table, ageMs, maxAgeMs }: AccountState,
): ClientAccount | undefined => {
    if (!table || route.isPublic) {
        return undefined;
    }
    if (ageMs >= maxAgeMs) {
        throw new CallError("accounts-outdated", "", outdatedRetryMs);
    }
    const { account, problem } = table.find(authorizationValues(req));
    if (problem) {
        throw new CallError("unauthorized", keyProblemTexts[problem]);
    }
    return account;
};

/** None of the texts contains anything of the request, as it could be part of a key. */
const keyProblemTexts: Readonly<Record<KeyProblem, string>> = {
    missing: "It has no Authorization field.",
    several: "It has several Authorization fields.",
    "other-scheme": "The scheme of its Authorization field isn't Bearer.",
    malformed:
        "Its Authorization field isn't the word Bearer, a space and a key of 1 to 1,024 visible ASCII characters.",
    unknown: "No account holds its key.",
};

/** Peers are asked for the configuration every 50 ms, so that one that knows it has answered by then. */
const outdatedRetryMs = 300;
