/**
 * The table that runs a non-idempotent request at most once. One table lives in one incarnation of the entry
 * process, beside its TicketIssuer; an entry stays for as long as its ticket is valid. The attempt number fences:
 * once a caller has been told "not run" for an attempt, neither it nor an older one ever runs, however late a
 * copy arrives; a higher attempt may start the request afresh.
 */

import { CallError } from "@bramleymoor/protocol/errors";
import { RequestEntry, type Outcome } from "./requestentry.js";

/** Bounds of a table. */
export interface OnceLimits {
    /** Requests run and remembered at most; a tenth more may be remembered as refused. */
    readonly maxEntries: number;
    /** Largest answer body kept for a repeat, in bytes. */
    readonly maxKeptBodyBytes: number;
    /** All kept answers together, in bytes. */
    readonly maxTotalKeptBytes: number;
}

/** A request as the table knows it. */
export interface OnceRequest {
    /** The ticket's unguessable caller part. */
    readonly callerPart: string;
    readonly requestId: string;
    /** The ticket's expiry, on the clock of `now`. */
    readonly expiresAt: number;
    readonly attempt: number;
    /** Method and target; a duplicate must have the same. */
    readonly target: string;
}

/** What to do with a request: run it, or wait for the run that has it already. */
export type Claim =
    | { readonly kind: "run"; readonly run: Run }
    | { readonly kind: "duplicate"; readonly duplicate: Duplicate };

/** Remembers requests, their state and small answers. */
export class OnceTable {
    readonly limits: OnceLimits;
    readonly #entries = new Map<string, RequestEntry>();
    /** Entries by the second in which their ticket has expired for certain. */
    readonly #expiring = new Map<number, RequestEntry[]>();
    #sweptSecond = -Infinity;
    #keptBytes = 0;

    constructor(limits: OnceLimits) {
        if (
            !(limits.maxEntries >= 1) ||
            !(limits.maxKeptBodyBytes >= 0) ||
            !(limits.maxTotalKeptBytes >= 0)
        ) {
            throw new RangeError(
                "maxEntries must be 1 or more, maxKeptBodyBytes and maxTotalKeptBytes 0 or more",
            );
        }
        this.limits = limits;
    }

    /** Requests remembered now. */
    get size(): number {
        return this.#entries.size;
    }

    /** Bytes of all kept answer bodies. */
    get keptBytes(): number {
        return this.#keptBytes;
    }

    /** Tells whether a request is remembered. */
    has(callerPart: string, requestId: string): boolean {
        return this.#entries.has(keyOf(callerPart, requestId));
    }

    /**
     * Claims the right to run a request whose ticket has been checked at `now`.
     *
     * @throws CallError request-conflict if the id was used for another method or target; table-full if the
     * table is full, which is remembered like any refusal; not-decided if even that can't be remembered
     */
    claim(request: OnceRequest, now: number): Claim {
        this.sweep(now);
        const key = keyOf(request.callerPart, request.requestId);
        const entry = this.#entries.get(key);
        if (!entry) {
            return { kind: "run", run: this.#run(this.#add(key, request)) };
        }
        if (entry.target !== request.target) {
            throw new CallError("request-conflict");
        }
        if (entry.canRestart(request.attempt) && this.#entries.size <= this.limits.maxEntries) {
            entry.restart(request.attempt);
            return { kind: "run", run: this.#run(entry) };
        }
        entry.recordAttempt(request.attempt);
        return { kind: "duplicate", duplicate: new Duplicate(entry) };
    }

    /** Drops the entries whose tickets have expired; a running request stays until it has ended. */
    sweep(now: number): void {
        const second = Math.floor(now / msPerSecond);
        if (second <= this.#sweptSecond) {
            return;
        }
        this.#sweptSecond = second;
        for (const [due, entries] of [...this.#expiring]) {
            if (due <= second) {
                this.#expiring.delete(due);
                entries.forEach(entry => this.#drop(entry, second));
            }
        }
    }

    #add(key: string, request: OnceRequest): RequestEntry {
        const { maxEntries } = this.limits;
        if (this.#entries.size >= maxEntries + Math.ceil(maxEntries * refusedShare)) {
            throw new CallError("not-decided", "", fullRetryMs);
        }
        const full = this.#entries.size >= maxEntries;
        const entry = new RequestEntry(key, request.attempt, request.target);
        this.#entries.set(key, entry);
        this.#expireIn(entry, Math.ceil(request.expiresAt / msPerSecond));
        if (full) {
            const error = new CallError("table-full", "", fullRetryMs);
            entry.end({ kind: "refused", error });
            throw error;
        }
        return entry;
    }

    #expireIn(entry: RequestEntry, second: number): void {
        const entries = this.#expiring.get(second);
        if (entries) {
            entries.push(entry);
        } else {
            this.#expiring.set(second, [entry]);
        }
    }

    #drop(entry: RequestEntry, second: number): void {
        if (entry.running) {
            this.#expireIn(entry, second + 1);
            return;
        }
        this.#keptBytes -= entry.keptBytes;
        this.#entries.delete(entry.key);
    }

    #run(entry: RequestEntry): Run {
        return new Run(entry, outcome => this.#fit(outcome));
    }

    #fit(outcome: Outcome): Outcome {
        if (outcome.kind !== "answered") {
            return outcome;
        }
        const bytes = outcome.body.length;
        if (bytes > this.limits.maxKeptBodyBytes || this.#keptBytes + bytes > this.limits.maxTotalKeptBytes) {
            return { kind: "not-kept" };
        }
        this.#keptBytes += bytes;
        return outcome;
    }
}

const msPerSecond = 1000;
const fullRetryMs = 1000;
/** Entries beyond maxEntries, as a share of it, for requests that were refused because the table was full. */
const refusedShare = 0.1;

const keyOf = (callerPart: string, requestId: string): string => `${callerPart} ${requestId}`;

/** The right to run one request; it must end by exactly one of refuse, unknown and answered. */
export class Run {
    readonly #entry: RequestEntry;
    readonly #fit: (outcome: Outcome) => Outcome;
    #sent = false;

    constructor(entry: RequestEntry, fit: (outcome: Outcome) => Outcome) {
        this.#entry = entry;
        this.#fit = fit;
    }

    /** Whether a byte may have gone to a backend server that has not refused it. */
    get mayHaveRun(): boolean {
        return this.#sent;
    }

    /** Whether duplicates wait for the answer. */
    get hasWaiters(): boolean {
        return this.#entry.hasWaiters;
    }

    /** Tells the body's digest, once the body has been read whole. */
    setBodyDigest(digest: string): void {
        this.#entry.setBodyDigest(digest);
    }

    /** Must be called before the first byte goes to a backend server. */
    markSending(): void {
        this.#sent = true;
    }

    /** The backend server has said that it did not start, or no byte has reached it. */
    markNotStarted(): void {
        this.#sent = false;
    }

    /** Ends the run with its failure: refused if the kind says "not run", otherwise its outcome is unknown. */
    fail(error: CallError): void {
        if (error.info.ran === "not run" && this.#sent) {
            throw new Error(`a request that may have run can't be refused as ${error.kind}`);
        }
        this.#entry.end({ kind: error.info.ran === "not run" ? "refused" : "unknown", error });
    }

    /** Ends the run with the whole answer; `body` undefined if it was too large to keep. */
    complete(status: number, headers: readonly string[], body: Uint8Array | undefined): void {
        if (!body || !this.#entry.hasBodyDigest) {
            this.#entry.end({ kind: "not-kept" });
            return;
        }
        const kept = { headers: headers.join("\n"), body: Buffer.from(body).toString("latin1") };
        this.#entry.end(this.#fit({ kind: "answered", status, ...kept }));
    }
}

/** A request that another task runs, or has run. */
export class Duplicate {
    readonly #entry: RequestEntry;

    constructor(entry: RequestEntry) {
        this.#entry = entry;
    }

    /**
     * Waits for the run to end, and gives its outcome if this request's body has the same digest.
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
