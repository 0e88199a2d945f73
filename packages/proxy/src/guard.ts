/** The way of a non-idempotent request through tickets and the at-most-once table. */

import type { ServerResponse } from "node:http";
import type { RequestClass } from "@bramleymoor/model/spec";
import type { Outcome } from "@bramleymoor/once/requestentry";
import type { Claim } from "@bramleymoor/once/table";
import { parseTicket, type Ticket } from "@bramleymoor/once/tickets";
import { responseHeaders } from "@bramleymoor/protocol/headers";
import { CallError } from "@bramleymoor/protocol/errors";
import type { CallHeaders } from "./request.js";
import type { CallParts } from "./services.js";

/** What a Guard needs of a CallServer's collaborators. */
export type OnceGuardParts = Pick<CallParts, "ticketIssuer" | "onceTable" | "findIssuer">;

/** Decides whether a request needs the table, and who may run it. */
export class OnceGuard {
    readonly #parts: OnceGuardParts;
    readonly #headers: CallHeaders;
    readonly #ticket: Ticket | undefined;
    readonly #class: RequestClass | undefined;

    /** @param cls undefined while the request's service isn't known here; then a ticket decides */
    constructor(parts: OnceGuardParts, headers: CallHeaders, cls: RequestClass | undefined) {
        this.#parts = parts;
        this.#headers = headers;
        this.#class = cls;
        this.#ticket = headers.ticket === undefined ? undefined : parseTicket(headers.ticket);
    }

    /** A request that the table remembers stays guarded, whatever the accepted text says of it now. */
    get isNeeded(): boolean {
        const { requestId } = this.#headers;
        if (this.#class && !this.#class.idempotent) {
            return true;
        }
        if (!this.#ticket || requestId === undefined) {
            return false;
        }
        return !this.#class || this.#parts.onceTable.has(this.#ticket.callerPart, requestId);
    }

    /**
     * The caller address of the entry VM that alone may run the request; undefined if that is this one.
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
        if (this.#ticket.incarnation === this.#parts.ticketIssuer.incarnation) {
            return undefined;
        }
        const found = forwarded ? "gone" : this.#parts.findIssuer(this.#ticket.incarnation);
        if (found === "gone") {
            throw new CallError("issuer-gone");
        }
        if (found === "unreachable") {
            throw new CallError("issuer-unreachable", "", unreachableRetryMs);
        }
        return found;
    }

    /**
     * Claims the request in the table.
     *
     * @throws CallError ticket-unreadable, ticket-expired, request-conflict, table-full, not-decided
     */
    claim(target: string, now: number): Claim {
        const { requestId = "", ticket = "", attempt } = this.#headers;
        const { callerPart, expiresAt } = this.#parts.ticketIssuer.verify(ticket, now);
        return this.#parts.onceTable.claim({ callerPart, requestId, expiresAt, attempt, target }, now);
    }

    /** Gives a duplicate its request's outcome. */
    replay(outcome: Outcome, res: ServerResponse, extra: readonly string[]): void {
        if (outcome.kind === "not-kept") {
            throw new CallError("answer-not-kept");
        }
        if (outcome.kind !== "answered") {
            throw outcome.error;
        }
        const headers = outcome.headers === "" ? [] : outcome.headers.split("\n");
        res.writeHead(outcome.status, [...headers, responseHeaders.replayed, "1", ...extra]);
        res.end(outcome.body, "latin1");
    }
}

const unreachableRetryMs = 1000;
