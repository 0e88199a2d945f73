/**
 * The table that ensures that a non-idempotent request runs at most once. Each incarnation of the entry process has
 * one table and one TicketIssuer; an entry is kept as long as its ticket is valid. The attempt number is a fencing
 * token: after a caller has received "not run" for an attempt, neither that attempt nor a lower one ever runs,
 * however late a copy of the request arrives; a higher attempt may run the request again.
 */

import { CallError } from "@bramleymoor/protocol/errors";
import { ExecutionTracker } from "@bramleymoor/protocol/execution";
import { RequestEntry, type Outcome } from "./requestentry.js";

/** Limits of a table. */
export interface OnceLimits {
    /** Maximum number of entries; up to a tenth more may be added for refused requests. */
    readonly maxEntries: number;
    /** Largest response body that is stored for duplicates, in bytes. */
    readonly maxStoredBodyBytes: number;
    /** Maximum size of all stored response bodies together, in bytes. */
    readonly maxTotalStoredBytes: number;
}

/** Identity and attributes of a request. */
export interface OnceRequest {
    /** The unguessable caller part of the ticket. */
    readonly callerPart: string;
    readonly requestId: string;
    /** When the ticket expires, in milliseconds on the clock of `now`. */
    readonly expiresAt: number;
    readonly attempt: number;
    /** Method and target; a duplicate must have the same value. */
    readonly target: string;
}

/** Result of a claim: the right to run the request, or a duplicate of a request that is or was run. */
export type Claim =
    | { readonly kind: "run"; readonly run: Run }
    | { readonly kind: "duplicate"; readonly duplicate: Duplicate };

/** Stores the state of requests and their small responses. */
export class OnceTable {
    readonly limits: OnceLimits;
    readonly #entries = new Map<string, RequestEntry>();
    /** Entries by the second (rounded up) in which their ticket expires. */
    readonly #expiring = new Map<number, RequestEntry[]>();
    #sweptSecond = -Infinity;
    #storedBytes = 0;

    constructor(limits: OnceLimits) {
        if (
            !(limits.maxEntries >= 1) ||
            !(limits.maxStoredBodyBytes >= 0) ||
            !(limits.maxTotalStoredBytes >= 0)
        ) {
            throw new RangeError(
                "maxEntries must be 1 or more, maxStoredBodyBytes and maxTotalStoredBytes 0 or more",
            );
        }
        this.limits = limits;
    }

    /** Number of entries. */
    get size(): number {
        return this.#entries.size;
    }

    /** Size of all stored response bodies, in bytes. */
    get storedBytes(): number {
        return this.#storedBytes;
    }

    /** Returns whether the table has an entry for the request. */
    has(callerPart: string, requestId: string): boolean {
        return this.#entries.has(keyOf(callerPart, requestId));
    }

    /**
     * Claims the right to run a request whose ticket has been verified at `now`.
     *
     * @throws CallError request-conflict if the id was used for another method or target; table-full if the
     * table is full, which is stored like any refusal; not-decided if the refusal can't be stored either
     */
    claim(request: OnceRequest, now: number): Claim {
        this.sweep(now);
        const key = keyOf(request.callerPart, request.requestId);
        const entry = this.#entries.get(key);
        if (!entry) {
            return { kind: "run", run: this.#createRun(this.#addEntry(key, request)) };
        }
        if (entry.target !== request.target) {
            throw new CallError("request-conflict");
        }
        if (entry.canRestart(request.attempt) && this.#entries.size <= this.limits.maxEntries) {
            entry.restart(request.attempt);
            return { kind: "run", run: this.#createRun(entry) };
        }
        entry.recordAttempt(request.attempt);
        return { kind: "duplicate", duplicate: new Duplicate(entry) };
    }

    /** Removes the entries whose tickets have expired; the entry of a running request stays until the run ends. */
    sweep(now: number): void {
        const second = Math.floor(now / msPerSecond);
        if (second <= this.#sweptSecond) {
            return;
        }
        this.#sweptSecond = second;
        for (const [due, entries] of [...this.#expiring]) {
            if (due <= second) {
                this.#expiring.delete(due);
                entries.forEach(entry => this.#evict(entry, second));
            }
        }
    }

    #addEntry(key: string, request: OnceRequest): RequestEntry {
        const { maxEntries } = this.limits;
        if (this.#entries.size >= maxEntries + Math.ceil(maxEntries * extraRefusedShare)) {
            throw new CallError("not-decided", "", tableFullRetryMs);
        }
        const full = this.#entries.size >= maxEntries;
        const entry = new RequestEntry(key, request.attempt, request.target);
        this.#entries.set(key, entry);
        this.#scheduleExpiry(entry, Math.ceil(request.expiresAt / msPerSecond));
        if (full) {
            const error = new CallError("table-full", "", tableFullRetryMs);
            entry.end({ kind: "refused", error });
            throw error;
        }
        return entry;
    }

    #scheduleExpiry(entry: RequestEntry, second: number): void {
        const entries = this.#expiring.get(second);
        if (entries) {
            entries.push(entry);
        } else {
            this.#expiring.set(second, [entry]);
        }
    }

    #evict(entry: RequestEntry, second: number): void {
        if (entry.running) {
            this.#scheduleExpiry(entry, second + 1);
            return;
        }
        this.#storedBytes -= entry.storedBytes;
        this.#entries.delete(entry.key);
    }

    #createRun(entry: RequestEntry): Run {
        return new Run(entry, outcome => this.#limitStoredResponse(outcome));
    }

    #limitStoredResponse(outcome: Outcome): Outcome {
        if (outcome.kind !== "answered") {
            return outcome;
        }
        const bytes = outcome.body.length;
        if (
            bytes > this.limits.maxStoredBodyBytes ||
            this.#storedBytes + bytes > this.limits.maxTotalStoredBytes
        ) {
            return { kind: "not-stored" };
        }
        this.#storedBytes += bytes;
        return outcome;
    }
}

const msPerSecond = 1000;
const tableFullRetryMs = 1000;
/** Share of maxEntries by which the table may exceed it for requests refused as table-full. */
const extraRefusedShare = 0.1;

const keyOf = (callerPart: string, requestId: string): string => `${callerPart} ${requestId}`;

/** The right to run one request; must be ended by exactly one call of `fail` or `complete`. */
export class Run {
    /** Whether the request was executed, as far as known over all its sends. */
    readonly execution = new ExecutionTracker();
    readonly #entry: RequestEntry;
    readonly #limitStoredResponse: (outcome: Outcome) => Outcome;

    constructor(entry: RequestEntry, limitKeptAnswer: (outcome: Outcome) => Outcome) {
        this.#entry = entry;
        this.#limitStoredResponse = limitKeptAnswer;
    }

    /** Whether duplicates are waiting for the outcome. */
    get hasWaiters(): boolean {
        return this.#entry.hasWaiters;
    }

    /** Sets the digest of the request body, once the whole body has been read. */
    setBodyDigest(digest: string): void {
        this.#entry.setBodyDigest(digest);
    }

    /**
     * Ends the run with an error: refused if the error kind says "not run", otherwise with an unknown outcome.
     *
     * @throws Error if the kind says "not run" but the request may have run
     */
    fail(error: CallError): void {
        if (error.info.ran === "not run" && this.execution.mayHaveRun) {
            throw new Error(`a request that may have run can't be refused as ${error.kind}`);
        }
        this.#entry.end({ kind: error.info.ran === "not run" ? "refused" : "unknown", error });
    }

    /** Ends the run with the complete response; `body` is undefined if it was too large to store. */
    complete(status: number, headers: readonly string[], body: Uint8Array | undefined): void {
        if (!body || !this.#entry.hasBodyDigest) {
            this.#entry.end({ kind: "not-stored" });
            return;
        }
        const stored = { headers: headers.join("\n"), body: Buffer.from(body).toString("latin1") };
        this.#entry.end(this.#limitStoredResponse({ kind: "answered", status, ...stored }));
    }
}

/** A request that is run, or was run, by an earlier claim. */
export class Duplicate {
    readonly #entry: RequestEntry;

    constructor(entry: RequestEntry) {
        this.#entry = entry;
    }

    /**
     * Waits for the run to end and returns its outcome if this request's body has the same digest.
     *
     * @throws CallError request-conflict if the bodies differ
     */
    async outcome(digest: string): Promise<Outcome> {
        const outcome = await this.#entry.waitForOutcome();
        if (!this.#entry.matchesBody(digest)) {
            throw new CallError("request-conflict");
        }
        return outcome;
    }
}
