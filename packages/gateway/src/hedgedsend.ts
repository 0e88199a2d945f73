/** A send that is repeated at another server if it takes long; the first response wins, and the other send is cancelled. */

import type { IncomingMessage } from "node:http";
import type { HedgeableSend } from "@bramleymoor/balance/hedging";
import type { SlotResult } from "@bramleymoor/balance/types";
import { discardResponse } from "@bramleymoor/proxy/discard";
import type { Timer, TimerSet } from "@bramleymoor/proxy/timers";
import type { Dispatcher } from "./dispatcher.js";
import { SendError, type Exchange } from "./exchange.js";
import type { ServerSend } from "./serversend.js";
import { SlotLease } from "./slotlease.js";

/** Permission to send one request, to be returned if it hasn't run. */
export interface SendGrant {
    /** Returns the permission; called at most once. */
    readonly release: () => void;
}

/** What a hedged send needs. */
export interface HedgedSendOptions {
    readonly first: ServerSend;
    readonly dispatcher: Dispatcher;
    /** Returns what the decision depends on at present. */
    readonly hedgeable: () => HedgeableSend;
    /** Whether nothing else forbids a second send at present. */
    readonly maySend: () => boolean;
    /** Takes a grant of the account's quota; resolves to undefined if there is none. */
    readonly takeGrant: () => Promise<SendGrant | undefined>;
    /** Takes one retry from the service's budget; returns false if the budget is exhausted. */
    readonly tryRetry: () => boolean;
    /** Begins the second send. */
    readonly begin: (lease: SlotLease) => ServerSend;
    /** Statuses that promise callers that a request hasn't run. */
    readonly notRunStatuses: ReadonlySet<number>;
    /** Returns monotonic milliseconds. */
    readonly clock: () => number;
    readonly timers: TimerSet;
    readonly onInternalError: (doing: string, err: unknown) => void;
}

/** The head of a response to relay, and the send that it answers. */
export interface SentHead {
    readonly send: ServerSend;
    readonly res: IncomingMessage;
}

/** A first send and at most one hedge of it. */
export class HedgedSend {
    /** Resolves at the head of the first response to relay; rejects with the first send's SendError if there is none. */
    readonly head: Promise<SentHead>;
    readonly #options: HedgedSendOptions;
    #resolve: (head: SentHead) => void = () => undefined;
    #reject: (err: unknown) => void = () => undefined;
    #timer: Timer | undefined = undefined;
    #hedge: ServerSend | undefined = undefined;
    /** The hedge's grant, until it has been returned. */
    #grant: SendGrant | undefined = undefined;
    /** How the first send failed. */
    #firstError: SendError | undefined = undefined;
    /** Whether `head` has been settled or is no longer awaited. */
    #ended = false;

    constructor(options: HedgedSendOptions) {
        this.#options = options;
        this.head = new Promise((resolve, reject) => {
            this.#resolve = resolve;
            this.#reject = reject;
        });
        this.#watch(options.first);
        const { dispatcher, hedgeable, first, timers } = options;
        const askAt = dispatcher.hedging.askAt(hedgeable(), first.startedAt);
        if (askAt !== undefined) {
            this.#timer = timers.schedule(askAt, () => this.#run(this.#askSpeed()));
        }
    }

    /** The second send; undefined if there was none. */
    get hedge(): ServerSend | undefined {
        return this.#hedge;
    }

    /** Ends the wait for a response, and aborts the sends in progress with `abort`. */
    abort(abort: (exchange: Exchange) => void): void {
        this.#end();
        this.#inProgress.forEach(it => abort(it.exchange));
    }

    /** Settles the sends in progress; resolves when the request may be sent again. */
    async settle(result: SlotResult): Promise<void> {
        this.#end();
        const settled = Promise.all(this.#all.map(it => it.settle(result)));
        this.#returnGrant();
        await settled;
    }

    /** Ends the supervision of the sends, all of which have been settled. */
    end(): void {
        this.#end();
        this.#all.forEach(it => it.end());
    }

    get #all(): readonly ServerSend[] {
        return this.#hedge ? [this.#options.first, this.#hedge] : [this.#options.first];
    }

    get #inProgress(): readonly ServerSend[] {
        return this.#all.filter(it => !it.isSettled);
    }

    #run(work: Promise<unknown>): void {
        work.catch((err: unknown) => this.#options.onInternalError("hedging a request", err));
    }

    #end(): void {
        this.#ended = true;
        if (this.#timer) {
            this.#options.timers.cancel(this.#timer);
        }
    }

    #watch(send: ServerSend): void {
        send.exchange.head.then(
            res => this.#handleHead(send, res),
            (err: unknown) => this.#handleError(send, err),
        );
    }

    #handleHead(send: ServerSend, res: IncomingMessage): void {
        if (this.#ended) {
            return;
        }
        const other = this.#all.find(it => it !== send);
        const isPending = other !== undefined && !other.isSettled;
        const status = res.statusCode ?? 0;
        const promisesNotRun = this.#options.notRunStatuses.has(status);
        // A status that promises that the request hasn't run would be wrong if it may have run by the other send.
        const isDiscarded = isPending
            ? promisesNotRun || status >= firstServerErrorStatus
            : promisesNotRun && other?.mayHaveRun === true;
        if (isDiscarded) {
            discardResponse(res, () => send.exchange.finish());
            this.#handleError(
                send,
                new SendError(send.recordHead(res), "an error response that was discarded"),
            );
            return;
        }
        this.#end();
        this.#resolve({ send, res });
        this.#run(this.#cancelOther(send));
    }

    async #cancelOther(winner: ServerSend): Promise<void> {
        const { first, dispatcher, clock } = this.#options;
        const loser = this.#inProgress.find(it => it !== winner);
        if (winner === this.#hedge) {
            dispatcher.hedges.record("won");
        }
        if (!loser) {
            return;
        }
        const overtaken = loser === first;
        if (overtaken) {
            dispatcher.hedging.recordOvertaken(clock() - first.startedAt);
        }
        dispatcher.hedges.record("cancelled");
        loser.end();
        const settled = loser.settle({ kind: "cancelled", overtaken }, "another send was answered first");
        loser.exchange.abort({ kind: "cancelled" });
        this.#returnGrant();
        await settled;
    }

    /** Handles the failure of a send; the first one's decides once none is in progress. */
    #handleError(send: ServerSend, err: unknown): void {
        const { first } = this.#options;
        if (this.#ended) {
            return;
        }
        if (!(err instanceof SendError)) {
            this.#end();
            this.#reject(err);
            return;
        }
        if (send === first) {
            this.#firstError = err;
        }
        this.#run(send.fail(err));
        this.#returnGrant();
        if (this.#inProgress.length === 0) {
            this.#end();
            this.#reject(this.#firstError ?? err);
        }
    }

    /** Returns the grant of a hedge that hasn't run. */
    #returnGrant(): void {
        if (this.#hedge?.isSettled && !this.#hedge.mayHaveRun) {
            this.#grant?.release();
            this.#grant = undefined;
        }
    }

    async #askSpeed(): Promise<void> {
        const { first, dispatcher, hedgeable, timers, clock } = this.#options;
        if (this.#ended || dispatcher.balancer.isOverloaded(clock())) {
            return;
        }
        const speed = await dispatcher.askSpeed(first.slot);
        const dueAt = dispatcher.hedging.dueAt(hedgeable(), speed, first.startedAt);
        if (!this.#ended && dueAt !== undefined) {
            this.#timer = timers.schedule(dueAt, () => this.#run(this.#hedgeNow()));
        }
    }

    async #hedgeNow(): Promise<void> {
        const { first, dispatcher, takeGrant } = this.#options;
        if (!this.#maySend()) {
            return;
        }
        const grant = await takeGrant();
        if (!grant) {
            dispatcher.hedges.record("noGrant");
            return;
        }
        const { request, server } = first.slot;
        const slot = this.#maySend()
            ? await dispatcher.acquireHedgeSlot({ ...request, tried: [...request.tried, server.id] })
            : undefined;
        if (!slot || !this.#begin(new SlotLease(slot, dispatcher), grant)) {
            grant.release();
        }
    }

    /** Begins the second send; returns false if it no longer may be sent. */
    #begin(lease: SlotLease, grant: SendGrant): boolean {
        const { dispatcher, tryRetry, begin } = this.#options;
        if (!this.#maySend()) {
            lease.release();
            return false;
        }
        if (!tryRetry() || !dispatcher.hedging.tryTake()) {
            dispatcher.hedges.record("overBudget");
            lease.release();
            return false;
        }
        const hedge = begin(lease);
        this.#hedge = hedge;
        dispatcher.hedges.record("sent");
        this.#grant = grant;
        this.#watch(hedge);
        return true;
    }

    #maySend(): boolean {
        const { dispatcher, hedgeable, maySend, clock } = this.#options;
        if (this.#ended || !maySend()) {
            return false;
        }
        const now = clock();
        const refusal = dispatcher.hedging.refusal(hedgeable(), dispatcher.balancer.isOverloaded(now), now);
        if (refusal === "budget" || refusal === "overloaded") {
            dispatcher.hedges.record(refusal === "budget" ? "overBudget" : "overloaded");
        }
        return refusal === undefined;
    }
}

const firstServerErrorStatus = 500;
