/** Runs one service's balancer: compares servers by fresh load, and hands out slots. */

import type { Balancer, Reservation } from "@bramleymoor/balance/balancer";
import type { ServerState } from "@bramleymoor/balance/server";
import type { LoadReport, Refusal, Request, SlotResult, Slot } from "@bramleymoor/balance/types";
import type { ServerEntry, ServiceSettings } from "@bramleymoor/model/route";
import type { LoadClient } from "./loadclient.js";

/** How the wait for a slot ended. */
export type AcquireResult =
    | { readonly kind: "slot"; readonly slot: Slot }
    | { readonly kind: "refused"; readonly refusal: Refusal }
    | { readonly kind: "withdrawn" };

/** What a dispatcher needs. */
export interface DispatcherOptions {
    readonly balancer: Balancer;
    readonly loadClient: LoadClient;
    readonly clock: () => number;
}

/** Places the requests of one service. */
export class Dispatcher {
    readonly #balancer: Balancer;
    readonly #asker: LoadClient;
    readonly #clock: () => number;
    readonly #waiting = new Map<Request, (placement: AcquireResult) => void>();
    #settings: ServiceSettings;

    constructor(settings: ServiceSettings, { balancer, loadClient: asker, clock }: DispatcherOptions) {
        this.#settings = settings;
        this.#balancer = balancer;
        this.#asker = asker;
        this.#clock = clock;
    }

    /** Requests that wait for a slot. */
    get waiting(): number {
        return this.#waiting.size;
    }

    get balancer(): Balancer {
        return this.#balancer;
    }

    /** Takes newer settings and the service's servers. */
    update(
        settings: ServiceSettings,
        servers: readonly { readonly entry: ServerEntry; readonly lapsed: boolean }[],
    ): void {
        this.#settings = settings;
        this.#balancer.updateServers(servers, this.#clock());
        this.#pump();
    }

    /** Waits for a slot; the answer comes at once when the request is refused. */
    acquireSlot(request: Request): Promise<AcquireResult> {
        const refusal = this.#balancer.submit(request, this.#clock());
        if (refusal) {
            return Promise.resolve({ kind: "refused", refusal });
        }
        return new Promise(resolve => {
            this.#waiting.set(request, resolve);
            this.#pump();
        });
    }

    /** Ends the wait of a request whose caller has gone. */
    withdraw(request: Request): void {
        this.#balancer.withdraw(request);
        this.#end(request, { kind: "withdrawn" });
    }

    /** Tells how a send ended. */
    settle(slot: Slot, end: SlotResult): void {
        this.#balancer.settle(slot, end, this.#clock());
        this.#pump();
    }

    /** Takes the load that an answer told. */
    report(server: ServerEntry, report: LoadReport): void {
        this.#balancer.recordLoad(server, report, this.#clock());
    }

    /** Ends the waits whose deadline has passed, and tries again to place the others. */
    tick(): void {
        if (this.#waiting.size === 0) {
            return;
        }
        for (const { request, refusal } of this.#balancer.expire(this.#clock())) {
            this.#end(request, { kind: "refused", refusal });
        }
        this.#pump();
    }

    #pump(): void {
        for (;;) {
            const turn = this.#balancer.reserveNext(this.#clock());
            if (!turn) {
                return;
            }
            const now = this.#clock();
            const stale = turn.candidates.filter(it => !it.isFresh(now));
            if (stale.length > 0) {
                this.#compare(turn, stale);
            } else if (!this.#grant(turn)) {
                return;
            }
        }
    }

    /** Asks servers, and grants when one is known to be calm and idle, all have answered, or time is up. */
    #compare(turn: Reservation, stale: readonly ServerState[]): void {
        const began = this.#clock();
        let missing = stale.length;
        let over = false;
        const finish = (): void => {
            if (!over) {
                over = true;
                clearTimeout(timer);
                this.#grant(turn);
            }
            this.#pump();
        };
        const timer = setTimeout(finish, comparingMs);
        for (const { entry } of stale) {
            void this.#ask(entry, began).then(() => {
                missing--;
                if (over || missing === 0 || this.#balancer.hasIdealCandidate(turn, this.#clock())) {
                    finish();
                }
            });
        }
    }

    async #ask(server: ServerEntry, began: number): Promise<void> {
        this.#balancer.recordLoadQuery(server);
        const answer = await this.#asker.query(server, this.#settings.healthPath);
        if (!answer || answer.misdirected) {
            this.#balancer.recordUnansweredQuery(server, this.#clock());
        } else if (answer.report) {
            this.#balancer.recordLoad(server, answer.report, began);
        } else {
            this.#balancer.recordAnswerWithoutLoad(server);
        }
    }

    /** False if none of the turn's servers has a free slot any more; the request then waits on. */
    #grant(turn: Reservation): boolean {
        if (!this.#waiting.has(turn.request)) {
            this.#balancer.cancelReservation();
            return true;
        }
        const slot = this.#balancer.grant(turn, this.#clock());
        if (slot) {
            this.#end(turn.request, { kind: "slot", slot });
        }
        return slot !== undefined;
    }

    #end(request: Request, placement: AcquireResult): void {
        const resolve = this.#waiting.get(request);
        this.#waiting.delete(request);
        resolve?.(placement);
    }
}

/** Longest wait for answers about load: several round trips between failure domains. */
const comparingMs = 12;
