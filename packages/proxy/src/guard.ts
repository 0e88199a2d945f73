/** Checks tickets and claims non-idempotent requests in the at-most-once table. */

import type { ServerResponse } from "node:http";
import type { RequestClass } from "@bramleymoor/model/spec";
import type { Outcome } from "@bramleymoor/once/requestentry";
import type { Claim } from "@bramleymoor/once/table";
import { parseTicket, type Ticket } from "@bramleymoor/once/tickets";
import { responseHeaders } from "@bramleymoor/protocol/headers";
import { CallError } from "@bramleymoor/protocol/errors";
import type { CallHeaders } from "./request.js";
import type { CallServerOptions } from "./services.js";
import { writeResponseHead } from "./writtenheads.js";

/** Dependencies of an OnceGuard. */
export type OnceGuardOptions = Pick<CallServerOptions, "ticketIssuer" | "onceTable" | "findIssuer">;

/** Decides whether a request needs the at-most-once table and which entry VM may run it. */
export class OnceGuard {
    readonly #options: OnceGuardOptions;
    readonly #headers: CallHeaders;
    readonly #ticket: Ticket | undefined;
    readonly #class: RequestClass | undefined;

    /** @param cls undefined if the service is unknown here; then the request's ticket and id decide */
    constructor(options: OnceGuardOptions, headers: CallHeaders, cls: RequestClass | undefined) {
        this.#options = options;
        this.#headers = headers;
        this.#class = cls;
        this.#ticket = headers.ticket === undefined ? undefined : parseTicket(headers.ticket);
    }

    /** Whether the request needs the table; one that it contains does even if its class has become idempotent since. */
    get isNeeded(): boolean {
        const { requestId } = this.#headers;
        if (this.#class && !this.#class.idempotent) {
            return true;
        }
        if (!this.#ticket || requestId === undefined) {
            return false;
        }
        return !this.#class || this.#options.onceTable.has(this.#ticket.callerPart, requestId);
    }

    /**
     * Returns the caller address of the entry VM that issued the ticket; undefined if it is this one. Only the issuer
     * may run the request.
     *
     * @throws CallError request-id-missing, ticket-unreadable, issuer-gone, issuer-unreachable
     */
    remoteIssuer(): string | undefined {
        const { requestId, ticket, forwarded } = this.#headers;
        if (requestId === undefined || ticket === undefined) {
            throw new CallError("request-id-missing");
        }
        if (!this.#ticket) {
            throw new CallError("ticket-unreadable");
        }
        if (this.#ticket.incarnation === this.#options.ticketIssuer.incarnation) {
            return undefined;
        }
        const address = forwarded ? "gone" : this.#options.findIssuer(this.#ticket.incarnation);
        if (address === "gone") {
            throw new CallError("issuer-gone");
        }
        if (address === "unreachable") {
            throw new CallError("issuer-unreachable", "", unreachableRetryMs);
        }
        return address;
    }

    /**
     * Claims the request in the table.
     *
     * @throws CallError ticket-unreadable, ticket-expired, request-conflict, table-full, not-decided
     */
    claim(target: string, now: number): Claim {
        const { requestId = "", ticket = "", attempt } = this.#headers;
        const { callerPart, expiresAt } = this.#options.ticketIssuer.verify(ticket, now);
        return this.#options.onceTable.claim({ callerPart, requestId, expiresAt, attempt, target }, now);
    }

    /** Sends the stored outcome to a duplicate; throws its CallError if there is no stored response. */
    replay(outcome: Outcome, res: ServerResponse, extra: readonly string[]): void {
        if (outcome.kind === "not-stored") {
            throw new CallError("answer-not-kept");
        }
        if (outcome.kind !== "answered") {
            throw outcome.error;
        }
        const headers = outcome.headers === "" ? [] : outcome.headers.split("\n");
        writeResponseHead(res, outcome.status, [...headers, responseHeaders.replayed, "1", ...extra]);
        res.end(outcome.body, "latin1");
    }
}

const unreachableRetryMs = 1000;
