/**
 * Tickets: who may run a non-idempotent request. A ticket names the run of the entry process (incarnation)
 * that issued it; no other one may start a request under it. Expiry is a reading of the issuer's own
 * monotonic clock and is judged by the issuer alone, so no two machines' clocks need to agree.
 */

import { createHmac, timingSafeEqual } from "node:crypto";
import { CallError } from "@bramleymoor/protocol/errors";

/** Settings of a TicketIssuer. */
export interface TicketIssuerOptions {
    /** This run of the entry process; letters, digits, "-" and "_" only. */
    readonly incarnation: string;
    /** Secret of this incarnation, 16 bytes or more; never leaves the process. */
    readonly key: Uint8Array;
    /** How long a ticket is good for, in milliseconds. */
    readonly lifetimeMs: number;
    /** Gives unguessable bytes, as node:crypto's randomBytes does. */
    readonly randomBytes: (size: number) => Uint8Array;
}

/** A ticket's parts. */
export interface Ticket {
    readonly incarnation: string;
    /** On the issuer's monotonic clock, in milliseconds. */
    readonly expiresAt: number;
    /** Unguessable; requests of different tickets never meet in the table. */
    readonly callerPart: string;
}

/** Issues and checks the tickets of one incarnation. */
export class TicketIssuer {
    readonly #options: TicketIssuerOptions;

    constructor(options: TicketIssuerOptions) {
        if (!/^[\w-]{1,64}$/.test(options.incarnation)) {
            throw new RangeError(
                `incarnation ${JSON.stringify(options.incarnation)} must match [A-Za-z0-9_-]`,
            );
        }
        if (options.key.length < minKeyBytes) {
            throw new RangeError(`a ticket key needs ${minKeyBytes} bytes or more`);
        }
        this.#options = options;
    }

    /** The incarnation that the tickets name. */
    get incarnation(): string {
        return this.#options.incarnation;
    }

    /** Issues a ticket for one asker. */
    issue(now: number): string {
        const { incarnation, lifetimeMs: lifeMs, randomBytes } = this.#options;
        const callerPart = Buffer.from(randomBytes(callerPartBytes)).toString("base64url");
        const expiresAt = Math.ceil(now + lifeMs);
        const signed = `${incarnation}.${expiresAt.toString(36)}.${callerPart}`;
        return `${signed}.${this.#mac(signed)}`;
    }

    /**
     * Checks a ticket that names this incarnation.
     *
     * @throws CallError ticket-unreadable when it was not issued here, ticket-expired when its time is over
     */
    verify(text: string, now: number): Ticket {
        const ticket = parseTicket(text);
        if (!ticket || ticket.incarnation !== this.incarnation || !this.#signed(text)) {
            throw new CallError("ticket-unreadable");
        }
        if (now >= ticket.expiresAt) {
            throw new CallError("ticket-expired");
        }
        return ticket;
    }

    #signed(text: string): boolean {
        const cut = text.lastIndexOf(".");
        const given = Buffer.from(text.slice(cut + 1));
        const wanted = Buffer.from(this.#mac(text.slice(0, cut)));
        return given.length === wanted.length && timingSafeEqual(given, wanted);
    }

    #mac(signed: string): string {
        const mac = createHmac("sha256", this.#options.key).update(signed).digest();
        return mac.subarray(0, macBytes).toString("base64url");
    }
}

const minKeyBytes = 16;
const callerPartBytes = 16;
const macBytes = 16;

const pattern = /^([\w-]{1,64})\.([0-9a-z]{1,11})\.([\w-]{22})\.[\w-]{22}$/;

/** Reads a ticket's parts without checking who issued it; undefined if it has not the form of a ticket. */
export const parseTicket = (text: string): Ticket | undefined => {
    const match = pattern.exec(text);
    if (!match) {
        return undefined;
    }
    const [, incarnation = "", expiry = "", callerPart = ""] = match;
    return { incarnation, expiresAt: parseInt(expiry, 36), callerPart };
};
