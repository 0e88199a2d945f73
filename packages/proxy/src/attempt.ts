/** One submission of a call to its dispatcher: sends to the granted slots, and takes the first answer. */

import type { IncomingMessage } from "node:http";
import type { Call, Dispatcher, Slot, SlotResult } from "@bramleymoor/dispatch/types";
import { responseHeaders } from "@bramleymoor/protocol/headers";
import { parseLoadHeader } from "@bramleymoor/protocol/messages";
import { CallError } from "@bramleymoor/protocol/errors";
import type { Subscription } from "rxjs";
import { ExchangeError, type BackendClient, type Exchange, type OutgoingRequest } from "./backend.js";

/** A slot with the request that uses it; settled exactly once. */
export class SlotRequest {
    readonly slot: Slot;
    readonly exchange: Exchange;
    readonly #dispatcher: Dispatcher;
    readonly #clock: () => number;
    #settled = false;

    constructor(slot: Slot, exchange: Exchange, dispatcher: Dispatcher, clock: () => number) {
        this.slot = slot;
        this.exchange = exchange;
        this.#dispatcher = dispatcher;
        this.#clock = clock;
    }

    /** Tells the dispatcher how the request ended; later calls do nothing. */
    settle(result: SlotResult): void {
        if (!this.#settled) {
            this.#settled = true;
            this.#dispatcher.settle(this.slot, result, this.#clock());
        }
    }

    /** Breaks the request off and settles its slot. */
    abort(result: SlotResult): void {
        this.settle(result);
        this.exchange.abort(result);
    }
}

/** How a round ended, when it wasn't refused by the dispatcher. */
export type AttemptResult =
    | { readonly kind: "answer"; readonly slotRequest: SlotRequest; readonly response: IncomingMessage }
    | { readonly kind: "failed"; readonly slot: Slot; readonly error: ExchangeError };

/** What a round needs from its call. */
export interface AttemptParts {
    readonly dispatcher: Dispatcher;
    readonly client: BackendClient;
    readonly clock: () => number;
    /** Whether a second copy may be sent while the first one runs. */
    readonly hedgeable: boolean;
    /** Writes the request for a slot. */
    readonly buildRequest: (slot: Slot) => OutgoingRequest;
}

/** Races the slots that a dispatcher grants to one call. */
export class Attempt {
    readonly #parts: AttemptParts;
    readonly #running = new Set<SlotRequest>();
    #subscription: Subscription | undefined = undefined;
    #resolve: (end: AttemptResult) => void = () => undefined;
    #reject: (error: CallError) => void = () => undefined;
    #ended = false;

    constructor(parts: AttemptParts) {
        this.#parts = parts;
    }

    /** Whether a byte of the request may have reached a server that is still at work on it. */
    get sent(): boolean {
        return [...this.#running].some(sending => sending.exchange.sent);
    }

    /** Whether a request has gone out whole. */
    get fullySent(): boolean {
        return [...this.#running].some(sending => sending.exchange.fullySent);
    }

    /** Submits the call; rejects with the dispatcher's CallError, or with the one given to cancel. */
    run(call: Call): Promise<AttemptResult> {
        return new Promise((resolve, reject) => {
            this.#resolve = resolve;
            this.#reject = reject;
            const { dispatcher, clock } = this.#parts;
            const subscription = dispatcher.submit(call, clock()).subscribe({
                next: slot => this.#handleSlot(slot),
                error: (err: unknown) => this.#handleRefusal(err),
            });
            this.#subscription = subscription;
            if (this.#ended) {
                subscription.unsubscribe();
            }
        });
    }

    /** Ends the round; slots are settled with `result`. */
    cancel(error: CallError, result: SlotResult): void {
        if (!this.#ended) {
            this.#end();
            this.#reject(error);
            this.#abortAll(result);
        }
    }

    #handleSlot(slot: Slot): void {
        const { dispatcher, client, clock, hedgeable: copyable } = this.#parts;
        if (this.#ended || (this.#running.size > 0 && !copyable)) {
            dispatcher.settle(slot, { kind: "cancelled" }, clock());
            return;
        }
        const sending = new SlotRequest(slot, client.send(this.#parts.buildRequest(slot)), dispatcher, clock);
        this.#running.add(sending);
        sending.exchange.head.then(
            answer => this.#handleResponse(sending, answer),
            (err: unknown) => this.#handleFailure(sending, err),
        );
    }

    #handleResponse(sending: SlotRequest, answer: IncomingMessage): void {
        const { dispatcher, clock } = this.#parts;
        if (this.#ended) {
            sending.abort({ kind: "cancelled" });
            return;
        }
        this.#running.delete(sending);
        this.#end();
        this.#abortAll({ kind: "cancelled" });
        this.#recordLoad(sending.slot, answer);
        dispatcher.recordFirstByte(sending.slot, clock());
        this.#resolve({ kind: "answer", slotRequest: sending, response: answer });
    }

    #handleFailure(sending: SlotRequest, err: unknown): void {
        this.#running.delete(sending);
        const error = err instanceof ExchangeError ? err : new ExchangeError({ kind: "lost" });
        sending.settle(error.result);
        if (!this.#ended && this.#running.size === 0) {
            this.#end();
            this.#resolve({ kind: "failed", slot: sending.slot, error });
        }
    }

    #handleRefusal(err: unknown): void {
        if (!this.#ended && this.#running.size === 0) {
            this.#end();
            this.#reject(err instanceof CallError ? err : new CallError("internal", String(err)));
        }
    }

    #recordLoad(slot: Slot, answer: IncomingMessage): void {
        const text = answer.headers[responseHeaders.load];
        const report = typeof text === "string" ? parseLoadHeader(text) : undefined;
        if (report) {
            this.#parts.dispatcher.recordLoad(slot.server.address, report, 0, this.#parts.clock());
        }
    }

    #end(): void {
        this.#ended = true;
        this.#subscription?.unsubscribe();
    }

    #abortAll(result: SlotResult): void {
        const running = [...this.#running];
        this.#running.clear();
        running.forEach(sending => sending.abort(result));
    }
}
