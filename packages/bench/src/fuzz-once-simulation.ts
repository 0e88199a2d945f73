/** Simulates callers, entry VMs and a backend server in virtual time, with control over each message. */

import assert from "node:assert/strict";
import type { RequestClass } from "@bramleymoor/model/spec";
import type { Outcome } from "@bramleymoor/once/requestentry";
import { OnceTable, type Run } from "@bramleymoor/once/table";
import { TicketIssuer, parseTicket } from "@bramleymoor/once/tickets";
import { CallError, type ErrorKind } from "@bramleymoor/protocol/errors";
import { OnceGuard } from "@bramleymoor/proxy/guard";
import { OnceOracle, type RequestCopy } from "./fuzz-once-oracle.js";

const maxEntries = 4;
const maxBodyBytes = 200;
const maxTotalBytes = 80;
const ticketLifetimeMs = 10_000;

/** A request in transit from a caller to an entry VM, or between two entry VMs. */
interface Message extends RequestCopy {
    readonly to: number;
    readonly ticket: string;
    readonly requestId: string;
    readonly forwarded: boolean;
}

/** What happens to a request that was sent to the backend server. */
export type ServerResult = "answered" | "lost after running" | "lost before running" | "refused";

interface SentRequest {
    readonly message: Message;
    readonly settle: (result: ServerResult, text: string) => void;
}

/** One incarnation of an entry VM. */
interface SimulatedVm {
    readonly index: number;
    readonly incarnationNumber: number;
    readonly issuer: TicketIssuer;
    readonly table: OnceTable;
    readonly clockOffset: number;
    paused: boolean;
    alive: boolean;
    /** Messages that arrived while it was paused. */
    readonly inbox: Message[];
    /** Overrides of issuer lookups, by incarnation: index of a VM or a failure; without one, lookups are correct. */
    readonly issuerOverrides: Map<string, number | "gone" | "unreachable">;
}

interface CallerState {
    readonly ticket: string;
    readonly attempts: Map<string, number>;
}

const orderClass: RequestClass = {
    name: "order",
    methods: [],
    path: "/",
    idempotent: false,
    priority: 0,
    deadlineMs: 1000,
};

/** The simulated system, checked by the oracle. */
export class OnceSimulation {
    readonly oracle = new OnceOracle();
    readonly messages: Message[] = [];
    readonly sentRequests: SentRequest[] = [];
    readonly #vms: SimulatedVm[] = [];
    readonly #callers: CallerState[] = [];
    #now = 0;
    #nextRandomByte = 0;
    #failure: unknown = undefined;

    constructor(vms: number, callers: number) {
        for (let index = 0; index < vms; index++) {
            this.#vms.push(this.#startVm(index, 0));
        }
        for (let caller = 0; caller < callers; caller++) {
            this.#callers.push(this.#newCaller(caller));
        }
    }

    /** Sends a caller's next attempt of a request to an entry VM. */
    attempt(caller: number, requestId: string, content: string, vm: number): void {
        const { ticket, attempts } = this.#callers[caller % this.#callers.length]!;
        const attempt = (attempts.get(requestId) ?? 0) + 1;
        attempts.set(requestId, attempt);
        const identity = `${parseTicket(ticket)?.callerPart} ${requestId}`;
        const to = vm % this.#vms.length;
        this.messages.push({ identity, attempt, content, to, ticket, requestId, forwarded: false });
    }

    /** Gives a caller a new ticket, as a new query for addresses does. */
    renewTicket(caller: number, vm: number): void {
        this.#callers[caller % this.#callers.length] = this.#newCaller(vm);
    }

    /** Delivers a message; with `keepCopy` it can be delivered again. */
    deliver(index: number, keepCopy: boolean): void {
        const message = this.#take(this.messages, index, keepCopy);
        const vm = message && this.#vms[message.to];
        if (vm?.paused) {
            vm.inbox.push(message!);
        } else if (vm) {
            void this.#handle(vm, message!);
        }
    }

    /** Delivers all messages; with `keepCopies` they can be delivered again. */
    deliverAll(keepCopies: boolean): void {
        const count = this.messages.length;
        for (let i = 0; i < count; i++) {
            this.deliver(keepCopies ? i : 0, keepCopies);
        }
    }

    /** Fills an entry VM's table with requests under a new ticket. */
    fillTable(vm: number): void {
        const filler = this.#callers.push(this.#newCaller(vm)) - 1;
        const first = this.messages.length;
        ["f1", "f2", "f3", "f4"].forEach(id => this.attempt(filler, id, "post/a", vm));
        for (let filled = 0; filled < maxEntries; filled++) {
            this.deliver(first, false);
        }
        this.#callers.pop();
    }

    drop(index: number): void {
        this.#take(this.messages, index, false);
    }

    /** Ends a request at the backend server, possibly long after its entry VM crashed. */
    serve(index: number, result: ServerResult): void {
        const sent = this.#take(this.sentRequests, index, false);
        if (!sent) {
            return;
        }
        const runs = result === "answered" || result === "lost after running";
        sent.settle(result, runs ? this.oracle.recordRun(sent.message) : "");
    }

    crash(index: number): void {
        const vm = this.#vms[index % this.#vms.length]!;
        vm.alive = false;
        this.#vms[vm.index] = this.#startVm(vm.index, vm.incarnationNumber + 1);
    }

    pause(index: number, paused: boolean): void {
        const vm = this.#vms[index % this.#vms.length]!;
        vm.paused = paused;
        if (!paused) {
            vm.inbox.splice(0).forEach(message => void this.#handle(vm, message));
        }
    }

    /** Overrides where an entry VM finds the current incarnation of another. */
    overrideIssuer(index: number, otherIndex: number, location: number | "gone" | "unreachable"): void {
        const vm = this.#vms[index % this.#vms.length]!;
        const other = this.#vms[otherIndex % this.#vms.length]!;
        vm.issuerOverrides.set(
            other.issuer.incarnation,
            typeof location === "number" ? location % 3 : location,
        );
    }

    /** Advances virtual time, runs the pending tasks, and checks the bounds of each table. */
    async advance(ms: number): Promise<void> {
        this.#now += ms;
        await new Promise(resolve => setImmediate(resolve));
        if (this.#failure !== undefined) {
            throw this.#failure;
        }
        for (const vm of this.#vms) {
            vm.table.sweep(this.#clock(vm));
            assert.ok(vm.table.size <= maxEntries + 1, "the table exceeds its maximum size");
            assert.ok(vm.table.storedBytes <= maxTotalBytes, "kept responses exceed their maximum size");
        }
    }

    /** Delivers everything in transit, lets every ticket expire, and checks that no entry is left. */
    async finish(): Promise<void> {
        this.#vms.forEach((_vm, index) => this.pause(index, false));
        while (this.messages.length > 0 || this.sentRequests.length > 0) {
            this.deliver(0, false);
            this.serve(0, "answered");
            await this.advance(0);
        }
        await this.advance(2 * ticketLifetimeMs);
        for (const vm of this.#vms) {
            vm.table.sweep(this.#clock(vm));
            assert.deepEqual([vm.table.size, vm.table.storedBytes], [0, 0], "entries outlived their tickets");
        }
    }

    #startVm(index: number, incarnationNumber: number): SimulatedVm {
        const options = {
            incarnation: `vm${index}-${incarnationNumber}`,
            key: new Uint8Array(32).fill(index + 3 * incarnationNumber),
            lifetimeMs: ticketLifetimeMs,
            randomBytes: (size: number) => new Uint8Array(size).fill(this.#nextRandomByte++),
        };
        return {
            index,
            incarnationNumber,
            issuer: new TicketIssuer(options),
            table: new OnceTable({
                maxEntries,
                maxStoredBodyBytes: maxBodyBytes,
                maxTotalStoredBytes: maxTotalBytes,
            }),
            clockOffset: 1_000_000 * index + 7919 * incarnationNumber,
            paused: false,
            alive: true,
            inbox: [],
            issuerOverrides: new Map(),
        };
    }

    #newCaller(vm: number): CallerState {
        const issuingVm = this.#vms[vm % this.#vms.length]!;
        return { ticket: issuingVm.issuer.issue(this.#clock(issuingVm)), attempts: new Map() };
    }

    #clock(vm: SimulatedVm): number {
        return this.#now + vm.clockOffset;
    }

    #take<T>(from: T[], index: number, keep: boolean): T | undefined {
        const at = index % Math.max(1, from.length);
        return keep ? from[at] : from.splice(at, 1)[0];
    }

    async #handle(vm: SimulatedVm, message: Message): Promise<void> {
        const report = (error: CallError): void => {
            if (vm.alive) {
                this.oracle.recordReport(message, error.info.ran);
            }
        };
        try {
            await this.#process(vm, message, report);
        } catch (err) {
            this.#handleError(err, report);
        }
    }

    /** Reports a CallError to the caller; keeps any other error, which the next step throws. */
    #handleError(err: unknown, report: (error: CallError) => void): void {
        try {
            if (!(err instanceof CallError)) {
                throw err;
            }
            report(err);
        } catch (failure) {
            this.#failure ??= failure;
        }
    }

    async #process(vm: SimulatedVm, message: Message, report: (error: CallError) => void): Promise<void> {
        const findIssuer = (incarnation: string): string | "gone" | "unreachable" =>
            this.#findIssuer(vm, incarnation);
        const dependencies = { ticketIssuer: vm.issuer, onceTable: vm.table, findIssuer };
        const guard = new OnceGuard(dependencies, headersOf(message), orderClass);
        const issuer = guard.remoteIssuer();
        if (issuer !== undefined) {
            this.messages.push({ ...message, to: Number(issuer), forwarded: true });
            return;
        }
        const [target = "", digest = ""] = message.content.split("/");
        const claim = guard.claim(target, this.#clock(vm));
        if (claim.kind === "run") {
            this.#send(vm, message, claim.run, digest, report);
            return;
        }
        const outcome = await claim.duplicate.outcome(digest);
        if (vm.alive) {
            this.#deliverOutcome(message, outcome);
        }
    }

    #send(
        vm: SimulatedVm,
        message: Message,
        run: Run,
        digest: string,
        report: (error: CallError) => void,
    ): void {
        run.setBodyDigest(digest);
        run.execution.start();
        const settle = (result: ServerResult, text: string): void => {
            if (result === "answered") {
                run.complete(200, [], Buffer.from(text));
                if (vm.alive) {
                    this.oracle.recordResponse(message, text);
                }
                return;
            }
            const kind: ErrorKind = result === "refused" ? "server-refused" : "server-lost";
            if (result === "refused") {
                run.execution.settle("not run");
            }
            run.fail(new CallError(kind));
            report(new CallError(kind));
        };
        this.sentRequests.push({ message, settle });
    }

    #deliverOutcome(message: Message, outcome: Outcome): void {
        if (outcome.kind === "answered") {
            this.oracle.recordResponse(message, outcome.body);
        } else if (outcome.kind === "not-stored") {
            this.oracle.recordReport(message, "ran");
        } else {
            this.oracle.recordReport(message, outcome.error.info.ran);
        }
    }

    #findIssuer(vm: SimulatedVm, incarnation: string): string {
        const override = vm.issuerOverrides.get(incarnation);
        if (override !== undefined) {
            return String(override);
        }
        const found = this.#vms.find(other => other.issuer.incarnation === incarnation);
        return found ? String(found.index) : "gone";
    }
}

const headersOf = (message: Message) => ({
    deadlineMs: undefined,
    tenant: "-",
    class: undefined,
    requestId: message.requestId,
    ticket: message.ticket,
    attempt: message.attempt,
    depth: 0,
    retryBudget: 0,
    forwarded: message.forwarded,
});
