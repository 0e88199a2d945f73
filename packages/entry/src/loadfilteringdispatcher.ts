/** A dispatcher that filters load reports, and counts this entry VM's requests in flight at each backend server. */

import type { Call, Dispatcher, DispatchView, Share, Slot, SlotResult } from "@bramleymoor/dispatch/types";
import type { ServiceDispatcher } from "@bramleymoor/dispatch/dispatcher";
import type { PeerMessage } from "@bramleymoor/dispatch/sharing";
import type { Service } from "@bramleymoor/model/spec";
import { ReportFilter } from "@bramleymoor/probing/filter";
import type { LoadReport } from "@bramleymoor/protocol/messages";
import { tap, type Observable } from "rxjs";

/** Forwards every call to another dispatcher, with load reports filtered by `ReportFilter`. */
export class LoadFilteringDispatcher implements Dispatcher {
    readonly #inner: ServiceDispatcher;
    readonly #onReport: (address: string, now: number) => void;
    readonly #filter = new ReportFilter();
    readonly #inFlight = new Map<string, number>();
    #slots: ReadonlyMap<string, number>;
    /** When `tickIfDue` next has to tick; -Infinity after any change that may have made something due earlier. */
    #nextTickAt = -Infinity;

    /** @param onReport called with the server's address for every report, before it is filtered */
    constructor(
        inner: ServiceDispatcher,
        service: Service,
        onReport: (address: string, now: number) => void,
    ) {
        this.#inner = inner;
        this.#onReport = onReport;
        this.#slots = slotsByAddress(service);
    }

    /** Whether this entry VM has requests in flight. */
    get hasRequestsInFlight(): boolean {
        return this.#inFlight.size > 0;
    }

    /** Ticks if something may be due; returns when the next tick is due. */
    tickIfDue(now: number): number {
        if (now >= this.#nextTickAt) {
            this.#nextTickAt = this.tick(now);
        }
        return this.#nextTickAt;
    }

    /** Handles a message from another dispatcher of the service. */
    receive(message: PeerMessage, now: number): void {
        this.#nextTickAt = -Infinity;
        this.#inner.receive(message, now);
    }

    submit(call: Call, now: number): Observable<Slot> {
        this.#nextTickAt = -Infinity;
        return this.#inner.submit(call, now).pipe(tap(slot => this.#countInFlight(slot, 1)));
    }

    settle(slot: Slot, result: SlotResult, now: number): void {
        this.#nextTickAt = -Infinity;
        this.#countInFlight(slot, -1);
        this.#inner.settle(slot, result, now);
    }

    recordFirstByte(slot: Slot, now: number): void {
        this.#inner.recordFirstByte(slot, now);
    }

    recordLoad(address: string, report: LoadReport, ageMs: number, now: number): void {
        this.#onReport(address, now);
        const local = { inFlight: this.#inFlight.get(address) ?? 0, limit: this.#slots.get(address) ?? 1 };
        const filtered = this.#filter.accept(address, report, ageMs, local, now);
        if (filtered) {
            this.#inner.recordLoad(address, filtered, ageMs, now);
        }
    }

    recordLimit(address: string, perSecond: number, namedAt: number, now: number): void {
        this.#nextTickAt = -Infinity;
        this.#inner.recordLimit(address, perSecond, namedAt, now);
    }

    update(service: Service, share: Share, now: number): void {
        this.#slots = slotsByAddress(service);
        this.#filter.retainServers(new Set(this.#slots.keys()));
        this.#nextTickAt = -Infinity;
        this.#inner.update(service, share, now);
    }

    markLeaving(addresses: ReadonlySet<string>, now: number): void {
        this.#inner.markLeaving(addresses, now);
    }

    tick(now: number): number {
        return this.#inner.tick(now);
    }

    view(now: number): DispatchView {
        return this.#inner.view(now);
    }

    #countInFlight(slot: Slot, delta: 1 | -1): void {
        const { address } = slot.server;
        const count = (this.#inFlight.get(address) ?? 0) + delta;
        if (count > 0) {
            this.#inFlight.set(address, count);
        } else {
            this.#inFlight.delete(address);
        }
    }
}

const slotsByAddress = (service: Service): ReadonlyMap<string, number> =>
    new Map(service.servers.map(server => [server.address, server.slots]));
