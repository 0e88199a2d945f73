import assert from "node:assert/strict";
import { test } from "node:test";
import { CallError, type ErrorKind } from "@bramleymoor/protocol/errors";
import { TicketIssuer, parseTicket } from "../src/tickets.js";

const countingBytes = () => {
    let next = 0;
    return (size: number) => new Uint8Array(size).fill(next++);
};

const issuer = (incarnation: string, keyByte: number): TicketIssuer =>
    new TicketIssuer({
        incarnation,
        key: new Uint8Array(32).fill(keyByte),
        lifetimeMs: 1000,
        randomBytes: countingBytes(),
    });

const kind = (expected: ErrorKind) => (err: unknown) => err instanceof CallError && err.kind === expected;

test("a ticket is valid until it expires, and only at its issuer", () => {
    const ours = issuer("a", 1);
    const ticket = ours.issue(5000);
    assert.equal(ours.verify(ticket, 5999).incarnation, "a");
    assert.throws(() => ours.verify(ticket, 6000), kind("ticket-expired"));
    assert.throws(() => issuer("a", 2).verify(ticket, 5000), kind("ticket-unreadable"));
    assert.throws(() => issuer("b", 1).verify(ticket, 5000), kind("ticket-unreadable"));
});

test("each ticket has a caller part of its own", () => {
    const ours = issuer("a", 1);
    assert.notEqual(parseTicket(ours.issue(0))?.callerPart, parseTicket(ours.issue(0))?.callerPart);
});

test("a ticket with any character altered is unreadable", () => {
    const ours = issuer("inc", 1);
    const ticket = ours.issue(0);
    for (let i = 0; i < ticket.length; i++) {
        const altered = ticket.slice(0, i) + (ticket[i] === "A" ? "B" : "A") + ticket.slice(i + 1);
        assert.throws(() => ours.verify(altered, 0), kind("ticket-unreadable"), `position ${i}`);
    }
    assert.throws(() => ours.verify(`${ticket}A`, 0), kind("ticket-unreadable"));
});

test("an invalid incarnation or a short key throws", () => {
    assert.throws(() => issuer("a.b", 1), /incarnation/);
    const options = { incarnation: "a", key: new Uint8Array(8), lifetimeMs: 1, randomBytes: countingBytes() };
    assert.throws(() => new TicketIssuer(options), /16 bytes/);
});
