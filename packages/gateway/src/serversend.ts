/** One send of a request to a backend server, up to the head of its response, with what has to be recorded of it. */

import type { IncomingMessage } from "node:http";
import type { ServerStatement } from "@bramleymoor/balance/statement";
import type { Slot, SlotResult } from "@bramleymoor/balance/types";
import type { Timer, TimerSet } from "@bramleymoor/proxy/timers";
import type { Observable, Subscription } from "rxjs";
import type { CrashGuard } from "./crashexchange.js";
import type { Dispatcher } from "./dispatcher.js";
import type { SendError, Exchange } from "./exchange.js";
import type { LostSend } from "./forwardoptions.js";
import { sendEndOf } from "./outcomes.js";
import type { Send, Sends } from "./sends.js";
import type { SlotLease } from "./slotlease.js";

/** What a send needs. */
export interface ServerSendOptions {
    readonly lease: SlotLease;
    readonly dispatcher: Pick<Dispatcher, "recordResponseHead" | "report" | "hedging" | "isEvacuated">;
    readonly sends: Sends;
    readonly requestId: string;
    /** Returns the fingerprint of the request. */
    readonly fingerprint: () => string;
    /** Sends the request. */
    readonly open: (onStatement: (statement: ServerStatement) => void) => Exchange;
    /** Returns monotonic milliseconds. */
    readonly clock: () => number;
    readonly timers: TimerSet;
    /** Time for which a connection may take to open, in milliseconds. */
    readonly connectTimeoutMs: number;
    readonly linksLost: Observable<void>;
    /** Emits when failure domains have been evacuated or are used again. */
    readonly evacuationChanged: Observable<void>;
    readonly crashGuard: Pick<CrashGuard, "recordEnd">;
    readonly onSendLost: (send: LostSend) => void;
}

/** A send in progress, which is settled exactly once. */
export class ServerSend {
    readonly slot: Slot;
    readonly exchange: Exchange;
    readonly startedAt: number;
    readonly #options: ServerSendOptions;
    readonly #record: Send;
    readonly #connectTimer: Timer;
    readonly #linksLost: Subscription;
    readonly #evacuation: Subscription;
    #statement: ServerStatement | undefined = undefined;
    #settled: Promise<SlotResult> | undefined = undefined;

    constructor(options: ServerSendOptions) {
        const { lease, dispatcher, clock, sends, timers, linksLost, evacuationChanged } = options;
        this.#options = options;
        this.slot = lease.slot;
        this.startedAt = clock();
        this.exchange = options.open(it => (this.#statement = it));
        this.#record = sends.begin(this.slot.server.id, () => this.exchange.sent);
        this.#connectTimer = timers.schedule(this.startedAt + options.connectTimeoutMs, () => {
            if (!this.exchange.sent) {
                this.exchange.abort({ kind: "unreachable" });
            }
        });
        this.#linksLost = linksLost.subscribe(() => {
            if (this.slot.request.kind !== "non-idempotent") {
                this.exchange.abort({ kind: "lost" });
            }
        });
        this.#evacuation = evacuationChanged.subscribe(() => {
            if (!this.exchange.sent && dispatcher.isEvacuated(this.slot.server)) {
                this.exchange.abort({ kind: "cancelled" }, "the server's failure domain is evacuated");
            }
        });
    }

    /** Whether the send has been settled. */
    get isSettled(): boolean {
        return this.#settled !== undefined;
    }

    /** Whether the request may have run by this send. */
    get mayHaveRun(): boolean {
        return this.#record.doubt !== undefined;
    }

    /** Records that the head of the response has arrived; returns the result of a response that is read to its end. */
    recordHead(res: IncomingMessage): SlotResult {
        const { dispatcher, clock } = this.#options;
        this.#linksLost.unsubscribe();
        dispatcher.recordResponseHead(this.slot);
        const { load, notNowMs = 0 } = this.#statement ?? {};
        if (load) {
            dispatcher.report(this.slot.server, load);
        }
        const status = res.statusCode ?? 0;
        if (status < firstServerErrorStatus) {
            dispatcher.hedging.recordLatency(clock() - this.startedAt);
        }
        return { kind: "answered", status, notNow: notNowMs > 0 };
    }

    /** Settles a send that got no response that can be relayed. */
    fail({ result, detail }: SendError): Promise<SlotResult> {
        const { onSendLost, requestId, fingerprint, clock } = this.#options;
        if (result.kind === "lost" && !this.isSettled) {
            onSendLost({
                requestId,
                fingerprint: fingerprint(),
                server: this.slot.server,
                afterMs: clock() - this.startedAt,
                reason: detail,
            });
        }
        return this.settle(result, detail);
    }

    /** Records how the send ended and frees the slot; resolves when the request may be sent again. Later calls change nothing. */
    settle(result: SlotResult, evidence = ""): Promise<SlotResult> {
        this.#settled ??= this.#settle(result, evidence);
        return this.#settled;
    }

    /** Ends the supervision of the send. */
    end(): void {
        this.#linksLost.unsubscribe();
        this.#evacuation.unsubscribe();
        this.#options.timers.cancel(this.#connectTimer);
    }

    async #settle(result: SlotResult, evidence: string): Promise<SlotResult> {
        const { lease, crashGuard, fingerprint } = this.#options;
        lease.settle(result);
        this.#record.end(result, evidence);
        const end = sendEndOf(result);
        if (this.exchange.sent || end !== "abandoned") {
            const { server } = this.slot;
            await crashGuard.recordEnd({ fingerprint: fingerprint(), server, sentAt: this.startedAt, end });
        }
        return result;
    }
}

const firstServerErrorStatus = 500;
