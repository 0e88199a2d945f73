/** Callers, entry VMs and a backend server in one process on virtual time, with every message in hand. */

import assert from "node:assert/strict";
import type { RequestClass } from "@bramleymoor/model/spec";
import type { Outcome } from "@bramleymoor/once/requestentry";
import { OnceTable, type Run } from "@bramleymoor/once/table";
import { TicketIssuer, parseTicket } from "@bramleymoor/once/tickets";
import { CallError, type ErrorKind } from "@bramleymoor/protocol/errors";
import { OnceGuard } from "@bramleymoor/proxy/guard";
import { OnceOracle, type RequestCopy } from "./fuzz-once-oracle.js";

const maxEntries = 4;
const keepBytes = 200;
const maxKeptBytes = 80;
const ticketLifeMs = 10_000;

/** A request between a caller and an entry VM, or between two entry VMs. */
interface Mail extends RequestCopy {
    readonly to: number;
    readonly ticket: string;
    readonly requestId: string;
    readonly forwarded: boolean;
}

/** What the backend server makes of a request. */
export type ServerResult = "answered" | "lost after running" | "lost before running" | "refused";

interface Sent {
    readonly mail: Mail;
    readonly settle: (fate: ServerResult, text: string) => void;
}

/** One entry VM; `run` counts its incarnations. */
interface Vm {
    readonly index: number;
    readonly run: number;
    readonly issuer: TicketIssuer;
    readonly table: OnceTable;
    readonly clockOffset: number;
    paused: boolean;
    alive: boolean;
    /** Mail that came while it was paused. */
    readonly inbox: Mail[];
    /** What membership says of an incarnation; right if it says nothing. */
    readonly beliefs: Map<string, number | "gone" | "unreachable">;
}

interface Customer {
    readonly ticket: string;
    readonly attempts: Map<string, number>;
}

const order: RequestClass = {
    name: "order",
    methods: [],
    path: "/",
    idempotent: false,
    priority: 0,
    deadlineMs: 1000,
};

/** Everything that the commands act on. */
export class OnceSimulation {
    readonly oracle = new OnceOracle();
    readonly messages: Mail[] = [];
    readonly sentRequests: Sent[] = [];
    readonly #vms: Vm[] = [];
    readonly #callers: Customer[] = [];
    #now = 0;
    #bytes = 0;
    #failure: unknown = undefined;

    constructor(vms: number, callers: number) {
        for (let index = 0; index < vms; index++) {
            this.#vms.push(this.#start(index, 0));
        }
        for (let caller = 0; caller < callers; caller++) {
            this.#callers.push(this.#customer(caller));
        }
    }

    /** A caller makes its next attempt of a request, at any entry VM. */
    attempt(caller: number, requestId: string, content: string, vm: number): void {
        const { ticket, attempts } = this.#callers[caller % this.#callers.length]!;
        const attempt = (attempts.get(requestId) ?? 0) + 1;
        attempts.set(requestId, attempt);
        const identity = `${parseTicket(ticket)?.callerPart} ${requestId}`;
        const to = vm % this.#vms.length;
        this.messages.push({ identity, attempt, content, to, ticket, requestId, forwarded: false });
    }

    /** A caller asks for addresses again and gets a new ticket. */
    renewTicket(caller: number, vm: number): void {
        this.#callers[caller % this.#callers.length] = this.#customer(vm);
    }

    /** Hands over one message, which may be kept for another copy of it. */
    deliver(index: number, keep: boolean): void {
        const mail = this.#take(this.messages, index, keep);
        const vm = mail && this.#vms[mail.to];
        if (vm?.paused) {
            vm.inbox.push(mail!);
        } else if (vm) {
            void this.#handle(vm, mail!);
        }
    }

    /** Hands over every message there is, which may be kept for copies. */
    deliverAll(keep: boolean): void {
        const count = this.messages.length;
        for (let i = 0; i < count; i++) {
            this.deliver(keep ? i : 0, keep);
        }
    }

    /** Fills an entry VM's table under a ticket of its own. */
    fillTable(vm: number): void {
        const customer = this.#callers.push(this.#customer(vm)) - 1;
        const first = this.messages.length;
        ["f1", "f2", "f3", "f4"].forEach(id => this.attempt(customer, id, "post/a", vm));
        for (let filled = 0; filled < maxEntries; filled++) {
            this.deliver(first, false);
        }
        this.#callers.pop();
    }

    drop(index: number): void {
        this.#take(this.messages, index, false);
    }

    /** The backend server takes one request; a late one may come long after its entry VM is gone. */
    serve(index: number, fate: ServerResult): void {
        const sent = this.#take(this.sentRequests, index, false);
        if (!sent) {
            return;
        }
        const runs = fate === "answered" || fate === "lost after running";
        sent.settle(fate, runs ? this.oracle.recordRun(sent.mail) : "");
    }

    crash(index: number): void {
        const vm = this.#vms[index % this.#vms.length]!;
        vm.alive = false;
        this.#vms[vm.index] = this.#start(vm.index, vm.run + 1);
    }

    pause(index: number, paused: boolean): void {
        const vm = this.#vms[index % this.#vms.length]!;
        vm.paused = paused;
        if (!paused) {
            vm.inbox.splice(0).forEach(mail => void this.#handle(vm, mail));
        }
    }

    /** Makes one entry VM believe something of the present incarnation of another. */
    setBelief(index: number, about: number, belief: number | "gone" | "unreachable"): void {
        const vm = this.#vms[index % this.#vms.length]!;
        const other = this.#vms[about % this.#vms.length]!;
        vm.beliefs.set(other.issuer.incarnation, typeof belief === "number" ? belief % 3 : belief);
    }

    /** Lets time pass, and the tasks that wait for nothing else go on. */
    async advance(ms: number): Promise<void> {
        this.#now += ms;
        await new Promise(resolve => setImmediate(resolve));
        if (this.#failure !== undefined) {
            throw this.#failure;
        }
        for (const vm of this.#vms) {
            vm.table.sweep(this.#clock(vm));
            assert.ok(vm.table.size <= maxEntries + 1, "the table outgrew its bound");
            assert.ok(vm.table.keptBytes <= maxKeptBytes, "kept answers outgrew their bound");
        }
    }

    /** Delivers all that is under way, lets every ticket expire, and looks at what is left. */
    async finish(): Promise<void> {
        this.#vms.forEach((_vm, index) => this.pause(index, false));
        while (this.messages.length > 0 || this.sentRequests.length > 0) {
            this.deliver(0, false);
            this.serve(0, "answered");
            await this.advance(0);
        }
        await this.advance(2 * ticketLifeMs);
        for (const vm of this.#vms) {
            vm.table.sweep(this.#clock(vm));
            assert.deepEqual([vm.table.size, vm.table.keptBytes], [0, 0], "entries outlive their tickets");
        }
    }

    #start(index: number, run: number): Vm {
        const options = {
            incarnation: `vm${index}-${run}`,
            key: new Uint8Array(32).fill(index + 3 * run),
            lifetimeMs: ticketLifeMs,
            randomBytes: (size: number) => new Uint8Array(size).fill(this.#bytes++),
        };
        return {
            index,
            run,
            issuer: new TicketIssuer(options),
            table: new OnceTable({
                maxEntries,
                maxKeptBodyBytes: keepBytes,
                maxTotalKeptBytes: maxKeptBytes,
            }),
            clockOffset: 1_000_000 * index + 7919 * run,
            paused: false,
            alive: true,
            inbox: [],
            beliefs: new Map(),
        };
    }

    #customer(vm: number): Customer {
        const issuing = this.#vms[vm % this.#vms.length]!;
        return { ticket: issuing.issuer.issue(this.#clock(issuing)), attempts: new Map() };
    }

    #clock(vm: Vm): number {
        return this.#now + vm.clockOffset;
    }

    #take<T>(from: T[], index: number, keep: boolean): T | undefined {
        const at = index % Math.max(1, from.length);
        return keep ? from[at] : from.splice(at, 1)[0];
    }

    async #handle(vm: Vm, mail: Mail): Promise<void> {
        const tell = (error: CallError): void => {
            if (vm.alive) {
                this.oracle.recordReport(mail, error.info.ran);
            }
        };
        try {
            await this.#guarded(vm, mail, tell);
        } catch (err) {
            this.#failed(err, tell);
        }
    }

    /** A contradiction found in a task ends the run at the next step. */
    #failed(err: unknown, tell: (error: CallError) => void): void {
        try {
            if (!(err instanceof CallError)) {
                throw err;
            }
            tell(err);
        } catch (failure) {
            this.#failure ??= failure;
        }
    }

    async #guarded(vm: Vm, mail: Mail, tell: (error: CallError) => void): Promise<void> {
        const find = (incarnation: string): string | "gone" | "unreachable" => this.#find(vm, incarnation);
        const parts = { ticketIssuer: vm.issuer, onceTable: vm.table, findIssuer: find };
        const guard = new OnceGuard(parts, headersOf(mail), order);
        const issuer = guard.remoteIssuer();
        if (issuer !== undefined) {
            this.messages.push({ ...mail, to: Number(issuer), forwarded: true });
            return;
        }
        const [target = "", digest = ""] = mail.content.split("/");
        const claim = guard.claim(target, this.#clock(vm));
        if (claim.kind === "run") {
            this.#send(vm, mail, claim.run, digest, tell);
            return;
        }
        const outcome = await claim.duplicate.outcome(digest);
        if (vm.alive) {
            this.#replay(mail, outcome);
        }
    }

    #send(vm: Vm, mail: Mail, run: Run, digest: string, tell: (error: CallError) => void): void {
        run.setBodyDigest(digest);
        run.markSending();
        const settle = (fate: ServerResult, text: string): void => {
            if (fate === "answered") {
                run.complete(200, [], Buffer.from(text));
                if (vm.alive) {
                    this.oracle.recordAnswer(mail, text);
                }
                return;
            }
            const kind: ErrorKind = fate === "refused" ? "server-refused" : "server-lost";
            if (fate === "refused") {
                run.markNotStarted();
            }
            run.fail(new CallError(kind));
            tell(new CallError(kind));
        };
        this.sentRequests.push({ mail, settle });
    }

    #replay(mail: Mail, outcome: Outcome): void {
        if (outcome.kind === "answered") {
            this.oracle.recordAnswer(mail, outcome.body);
        } else if (outcome.kind === "not-kept") {
            this.oracle.recordReport(mail, "ran");
        } else {
            this.oracle.recordReport(mail, outcome.error.info.ran);
        }
    }

    #find(vm: Vm, incarnation: string): string {
        const belief = vm.beliefs.get(incarnation);
        if (belief !== undefined) {
            return String(belief);
        }
        const found = this.#vms.find(other => other.issuer.incarnation === incarnation);
        return found ? String(found.index) : "gone";
    }
}

const headersOf = (mail: Mail) => ({
    deadlineMs: undefined,
    tenant: "-",
    class: undefined,
    requestId: mail.requestId,
    ticket: mail.ticket,
    attempt: mail.attempt,
    depth: 0,
    retryBudget: 0,
    forwarded: mail.forwarded,
});
