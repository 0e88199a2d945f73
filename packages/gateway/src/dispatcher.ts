/** Runs one service's balancer: compares servers by up-to-date load, and assigns slots to waiting requests. */

import type { Balancer, Reservation } from "@bramleymoor/balance/balancer";
import type { ServerState } from "@bramleymoor/balance/server";
import type { ServerStatement, StatementSource } from "@bramleymoor/balance/statement";
import type { LoadReport, Refusal, Request, Slot, SlotResult } from "@bramleymoor/balance/types";
import type { ServerEntry, ServiceSettings } from "@bramleymoor/model/route";
import type { ProbeClient } from "./probeclient.js";

/** Result of a wait for a slot. */
export type AcquireResult =
    | { readonly kind: "slot"; readonly slot: Slot }
    | { readonly kind: "refused"; readonly refusal: Refusal }
    | { readonly kind: "withdrawn" };

/** Records what a server says of itself in a response. */
export type RecordStatement = (
    server: ServerEntry,
    statement: ServerStatement,
    source: StatementSource,
) => void;

/** Dependencies of a `Dispatcher`. */
export interface DispatcherOptions {
    readonly balancer: Balancer;
    readonly probeClient: ProbeClient;
    /** Records what a server says of itself in its response to a probe. */
    readonly recordStatement: RecordStatement;
    /** Returns monotonic milliseconds. */
    readonly clock: () => number;
}

/** Assigns the requests of one service to its backend servers. */
export class Dispatcher {
    readonly #balancer: Balancer;
    readonly #probeClient: ProbeClient;
    readonly #recordStatement: RecordStatement;
    readonly #clock: () => number;
    readonly #waiting = new Map<Request, (result: AcquireResult) => void>();
    #settings: ServiceSettings;

    constructor(
        settings: ServiceSettings,
        { balancer, probeClient, recordStatement, clock }: DispatcherOptions,
    ) {
        this.#settings = settings;
        this.#balancer = balancer;
        this.#probeClient = probeClient;
        this.#recordStatement = recordStatement;
        this.#clock = clock;
    }

    /** Number of requests that wait for a slot. */
    get waiting(): number {
        return this.#waiting.size;
    }

    get balancer(): Balancer {
        return this.#balancer;
    }

    /** Applies newer settings and the current list of the service's servers. */
    update(
        settings: ServiceSettings,
        servers: readonly { readonly entry: ServerEntry; readonly lapsed: boolean }[],
    ): void {
        this.#settings = settings;
        this.#balancer.updateServers(servers, this.#clock());
        this.#dispatchWaiting();
    }

    /** Waits for a slot; resolves immediately if the request is refused. */
    acquireSlot(request: Request): Promise<AcquireResult> {
        const refusal = this.#balancer.submit(request, this.#clock());
        if (refusal) {
            return Promise.resolve({ kind: "refused", refusal });
        }
        return new Promise(resolve => {
            this.#waiting.set(request, resolve);
            this.#dispatchWaiting();
        });
    }

    /** Ends the wait of a request whose caller has disconnected. */
    withdraw(request: Request): void {
        this.#balancer.withdraw(request);
        this.#resolveWait(request, { kind: "withdrawn" });
    }

    /** Records how a slot's request ended and frees the slot. */
    settle(slot: Slot, result: SlotResult): void {
        this.#balancer.settle(slot, result, this.#clock());
        this.#dispatchWaiting();
    }

    /** Records the load that a response reported. */
    report(server: ServerEntry, report: LoadReport): void {
        this.#balancer.recordLoad(server, report, this.#clock());
    }

    /** Refuses the requests whose deadline has passed, and tries to dispatch the others. */
    tick(): void {
        if (this.#waiting.size === 0) {
            return;
        }
        for (const { request, refusal } of this.#balancer.expire(this.#clock())) {
            this.#resolveWait(request, { kind: "refused", refusal });
        }
        this.#dispatchWaiting();
    }

    #dispatchWaiting(): void {
        for (;;) {
            const reservation = this.#balancer.reserveNext(this.#clock());
            if (!reservation) {
                return;
            }
            const now = this.#clock();
            const stale = reservation.candidates.filter(it => this.#balancer.needsProbe(it, now));
            if (stale.length > 0) {
                this.#probeThenGrant(reservation, stale);
            } else if (!this.#grant(reservation)) {
                return;
            }
        }
    }

    /**
     * Probes servers for their load, and grants a slot as soon as one is known to be idle and not slow, or all have
     * responded, or `probeWaitMs` has passed.
     */
    #probeThenGrant(reservation: Reservation, stale: readonly ServerState[]): void {
        const startedAt = this.#clock();
        let outstanding = stale.length;
        let finished = false;
        const finish = (): void => {
            if (!finished) {
                finished = true;
                clearTimeout(timer);
                this.#grant(reservation);
            }
            this.#dispatchWaiting();
        };
        const timer = setTimeout(finish, probeWaitMs);
        for (const { entry } of stale) {
            void this.#probe(entry, startedAt).then(() => {
                outstanding--;
                if (
                    finished ||
                    outstanding === 0 ||
                    this.#balancer.hasIdealCandidate(reservation, this.#clock())
                ) {
                    finish();
                }
            });
        }
    }

    async #probe(server: ServerEntry, startedAt: number): Promise<void> {
        this.#balancer.recordProbeSent(server);
        const response = await this.#probeClient.probe(server, this.#settings.healthPath);
        if (!response || response.misdirected) {
            this.#balancer.recordUnansweredProbe(server, this.#clock());
            return;
        }
        this.#recordStatement(server, response.statement, "probe");
        if (response.report) {
            this.#balancer.recordLoad(server, response.report, startedAt);
        } else {
            this.#balancer.recordResponseWithoutLoad(server);
        }
    }

    /** Returns false if none of the candidates has a free slot any more; the request then keeps waiting. */
    #grant(reservation: Reservation): boolean {
        if (!this.#waiting.has(reservation.request)) {
            this.#balancer.cancelReservation();
            return true;
        }
        const slot = this.#balancer.grant(reservation, this.#clock());
        if (slot) {
            this.#resolveWait(reservation.request, { kind: "slot", slot });
        }
        return slot !== undefined;
    }

    #resolveWait(request: Request, result: AcquireResult): void {
        const resolve = this.#waiting.get(request);
        this.#waiting.delete(request);
        resolve?.(result);
    }
}

/** Maximum wait for responses to probes: several round trips between failure domains. */
const probeWaitMs = 12;
