/** One attempt of a call: sends the request, and any hedge, to the granted slots and uses the first response. */

import type { IncomingMessage } from "node:http";
import type { Call, Dispatcher, Slot, SlotResult } from "@bramleymoor/dispatch/types";
import { responseHeaders } from "@bramleymoor/protocol/headers";
import { parseLoadHeader } from "@bramleymoor/protocol/messages";
import { CallError } from "@bramleymoor/protocol/errors";
import type { ExecutionTracker } from "@bramleymoor/protocol/execution";
import type { Subscription } from "rxjs";
import { SendError, type BackendClient, type Exchange, type OutgoingRequest } from "./backend.js";
import { drainPendingInput, mayHideDisconnect } from "./unreadinput.js";

/** A request and the slot that it occupies; the slot is settled exactly once. */
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

    /** Reports the request's result to the dispatcher and releases the slot; later calls do nothing. */
    settle(result: SlotResult): void {
        if (!this.#settled) {
            this.#settled = true;
            this.#dispatcher.settle(this.slot, result, this.#clock());
        }
    }

    /** Aborts the request and settles its slot. */
    abort(result: SlotResult): void {
        this.settle(result);
        this.exchange.abort(result);
    }
}

/** Result of an attempt that the dispatcher didn't refuse. */
export type AttemptResult =
    | { readonly kind: "response"; readonly slotRequest: SlotRequest; readonly response: IncomingMessage }
    | { readonly kind: "failed"; readonly slot: Slot; readonly error: SendError };

/** Dependencies and settings of an Attempt. */
export interface AttemptOptions {
    readonly dispatcher: Dispatcher;
    readonly client: BackendClient;
    readonly clock: () => number;
    /** Returns the event loop lag in milliseconds. */
    readonly lagMs: () => number;
    /** Tracks the sends of the call, which are started before their first byte is written. */
    readonly execution: ExecutionTracker;
    /** Whether a hedge may be sent while the first request is running. */
    readonly hedgeable: boolean;
    /** Builds the request for a slot. */
    readonly buildRequest: (slot: Slot) => OutgoingRequest;
}

/** Runs one attempt; the requests in all granted slots race. */
export class Attempt {
    readonly #options: AttemptOptions;
    readonly #running = new Set<SlotRequest>();
    #subscription: Subscription | undefined = undefined;
    #resolve: (result: AttemptResult) => void = () => undefined;
    #reject: (error: CallError) => void = () => undefined;
    #ended = false;

    constructor(options: AttemptOptions) {
        this.#options = options;
    }

    /** Whether any byte of a running request may have reached its server. */
    get sent(): boolean {
        return [...this.#running].some(slotRequest => slotRequest.exchange.sent);
    }

    /** Whether a running request has been sent completely. */
    get fullySent(): boolean {
        return [...this.#running].some(slotRequest => slotRequest.exchange.fullySent);
    }

    /** Submits the call; rejects with the dispatcher's CallError or with the one passed to `cancel`. */
    run(call: Call): Promise<AttemptResult> {
        return new Promise((resolve, reject) => {
            this.#resolve = resolve;
            this.#reject = reject;
            const { dispatcher, clock } = this.#options;
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

    /** Cancels the attempt: `run` rejects with `error`, and running requests are settled with `result`. */
    cancel(error: CallError, result: SlotResult): void {
        if (!this.#ended) {
            this.#finish();
            this.#reject(error);
            this.#abortAll(result);
        }
    }

    /** Sends the request to a granted slot, once the caller's disconnect has been read if it may lie unread. */
    #handleSlot(slot: Slot): void {
        if (mayHideDisconnect({ lagMs: this.#options.lagMs(), acceptMs: 0 })) {
            void drainPendingInput().then(() => this.#sendTo(slot));
        } else {
            this.#sendTo(slot);
        }
    }

    #sendTo(slot: Slot): void {
        const { dispatcher, client, clock, hedgeable } = this.#options;
        if (this.#ended || (this.#running.size > 0 && !hedgeable)) {
            dispatcher.settle(slot, { kind: "cancelled" }, clock());
            return;
        }
        let exchange: Exchange;
        try {
            exchange = client.send(this.#options.buildRequest(slot));
        } catch (err) {
            dispatcher.settle(slot, { kind: "cancelled" }, clock());
            this.#handleRefusal(err);
            return;
        }
        const slotRequest = new SlotRequest(slot, exchange, dispatcher, clock);
        this.#running.add(slotRequest);
        slotRequest.exchange.head.then(
            response => this.#handleResponse(slotRequest, response),
            (err: unknown) => this.#handleFailure(slotRequest, err),
        );
    }

    #handleResponse(slotRequest: SlotRequest, response: IncomingMessage): void {
        const { dispatcher, clock, execution } = this.#options;
        execution.settle("ran");
        if (this.#ended) {
            slotRequest.abort({ kind: "cancelled" });
            return;
        }
        this.#running.delete(slotRequest);
        this.#finish();
        this.#abortAll({ kind: "cancelled" });
        this.#recordLoad(slotRequest.slot, response);
        dispatcher.recordFirstByte(slotRequest.slot, clock());
        this.#resolve({ kind: "response", slotRequest, response });
    }

    #handleFailure(slotRequest: SlotRequest, err: unknown): void {
        this.#running.delete(slotRequest);
        const error = err instanceof SendError ? err : new SendError({ kind: "lost" });
        if (slotRequest.exchange.sent) {
            this.#options.execution.settle(error.isNotRun ? "not run" : "outcome unknown");
        }
        slotRequest.settle(error.result);
        if (!this.#ended && this.#running.size === 0) {
            this.#finish();
            this.#resolve({ kind: "failed", slot: slotRequest.slot, error });
        }
    }

    #handleRefusal(err: unknown): void {
        if (!this.#ended && this.#running.size === 0) {
            this.#finish();
            this.#reject(err instanceof CallError ? err : new CallError("internal", String(err)));
        }
    }

    #recordLoad(slot: Slot, response: IncomingMessage): void {
        const text = response.headers[responseHeaders.load];
        const report = typeof text === "string" ? parseLoadHeader(text) : undefined;
        if (report) {
            const { dispatcher, clock } = this.#options;
            const { address } = slot.server;
            const now = clock();
            dispatcher.recordLimit(address, report.limit ?? Infinity, now, now);
            dispatcher.recordLoad(address, report, 0, now);
        }
    }

    #finish(): void {
        this.#ended = true;
        this.#subscription?.unsubscribe();
    }

    #abortAll(result: SlotResult): void {
        const running = [...this.#running];
        this.#running.clear();
        running.forEach(slotRequest => slotRequest.abort(result));
    }
}
