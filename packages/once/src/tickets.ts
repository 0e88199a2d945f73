/**
 * Tickets, which determine which process may run a non-idempotent request. A ticket names the incarnation of the
 * entry process that issued it; no other process may start a request with it. The expiry is a time on the issuer's
 * monotonic clock and is checked by the issuer alone, so the clocks of different machines need not agree.
 */

import { createHmac, timingSafeEqual } from "node:crypto";
import { CallError } from "@bramleymoor/protocol/errors";

/** Settings of a TicketIssuer. */
export interface TicketIssuerOptions {
    /** Incarnation of the entry process; only letters, digits, "-" and "_". */
    readonly incarnation: string;
    /** Secret key of this incarnation, at least 16 bytes; never leaves the process. */
    readonly key: Uint8Array;
    /** How long a ticket is valid, in milliseconds. */
    readonly lifetimeMs: number;
    /** Returns unguessable bytes, like randomBytes of node:crypto. */
    readonly randomBytes: (size: number) => Uint8Array;
}

/** The parts of a ticket. */
export interface Ticket {
    readonly incarnation: string;
    /** Expiry on the issuer's monotonic clock, in milliseconds. */
    readonly expiresAt: number;
    /** Unguessable and part of the table's key, so that requests with different tickets never collide. */
    readonly callerPart: string;
}

/** Issues and verifies the tickets of one incarnation. */
export class TicketIssuer {
    readonly #options: TicketIssuerOptions;

    constructor(options: TicketIssuerOptions) {
        if (!/^[\w-]{1,64}$/.test(options.incarnation)) {
            throw new RangeError(
                `incarnation ${JSON.stringify(options.incarnation)} must match [A-Za-z0-9_-]`,
            );
        }
        if (options.key.length < minKeyBytes) {
            throw new RangeError(`ticket key must have at least ${minKeyBytes} bytes`);
        }
        this.#options = options;
    }

    /** The incarnation that the tickets name. */
    get incarnation(): string {
        return this.#options.incarnation;
    }

    /** Issues a ticket for one caller. */
    issue(now: number): string {
        const { incarnation, lifetimeMs, randomBytes } = this.#options;
        const callerPart = Buffer.from(randomBytes(callerPartBytes)).toString("base64url");
        const expiresAt = Math.ceil(now + lifetimeMs);
        const signed = `${incarnation}.${expiresAt.toString(36)}.${callerPart}`;
        return `${signed}.${this.#mac(signed)}`;
    }

    /**
     * Verifies a ticket that names this incarnation and returns its parts.
     *
     * @throws CallError ticket-unreadable if it was not issued here, ticket-expired if it has expired
     */
    verify(text: string, now: number): Ticket {
        const ticket = parseTicket(text);
        if (!ticket || ticket.incarnation !== this.incarnation || !this.#hasValidMac(text)) {
            throw new CallError("ticket-unreadable");
        }
        if (now >= ticket.expiresAt) {
            throw new CallError("ticket-expired");
        }
        return ticket;
    }

    #hasValidMac(text: string): boolean {
        const macStart = text.lastIndexOf(".");
        const actual = Buffer.from(text.slice(macStart + 1));
        const expected = Buffer.from(this.#mac(text.slice(0, macStart)));
        return actual.length === expected.length && timingSafeEqual(actual, expected);
    }

    #mac(signed: string): string {
        const mac = createHmac("sha256", this.#options.key).update(signed).digest();
        return mac.subarray(0, macBytes).toString("base64url");
    }
}

const minKeyBytes = 16;
const callerPartBytes = 16;
const macBytes = 16;

const ticketPattern = /^([\w-]{1,64})\.([0-9a-z]{1,11})\.([\w-]{22})\.[\w-]{22}$/;

/** Parses a ticket without verifying it; undefined if it doesn't have the form of a ticket. */
export const parseTicket = (text: string): Ticket | undefined => {
    const match = ticketPattern.exec(text);
    if (!match) {
        return undefined;
    }
    const [, incarnation = "", expiry = "", callerPart = ""] = match;
    return { incarnation, expiresAt: parseInt(expiry, 36), callerPart };
};
