/** A dispatcher whose load reports are filtered, and what this entry VM has in flight at each backend server. */

import type { Call, Dispatcher, DispatchView, Share, Slot, SlotResult } from "@bramleymoor/dispatch/types";
import type { ServiceDispatcher } from "@bramleymoor/dispatch/dispatcher";
import type { PeerMessage } from "@bramleymoor/dispatch/sharing";
import type { Service } from "@bramleymoor/model/spec";
import { ReportFilter } from "@bramleymoor/probing/filter";
import type { LoadReport } from "@bramleymoor/protocol/messages";
import { tap, type Observable } from "rxjs";

/** Passes everything on to another dispatcher, reports only as far as they may be believed. */
export class LoadFilteringDispatcher implements Dispatcher {
    readonly #inner: ServiceDispatcher;
    readonly #heard: (address: string, now: number) => void;
    readonly #filter = new ReportFilter();
    readonly #inFlight = new Map<string, number>();
    #slots: ReadonlyMap<string, number>;
    #dueAt = -Infinity;

    /** @param heard told of every server that a report has come from */
    constructor(inner: ServiceDispatcher, service: Service, heard: (address: string, now: number) => void) {
        this.#inner = inner;
        this.#heard = heard;
        this.#slots = slotsOf(service);
    }

    /** Whether this entry VM has requests in flight. */
    get hasRequestsInFlight(): boolean {
        return this.#inFlight.size > 0;
    }

    /** Ticks if something may have come due; tells when the next thing will be. */
    tickIfDue(now: number): number {
        if (now >= this.#dueAt) {
            this.#dueAt = this.tick(now);
        }
        return this.#dueAt;
    }

    /** Takes a message of another dispatcher of the service. */
    receive(message: PeerMessage, now: number): void {
        this.#dueAt = -Infinity;
        this.#inner.receive(message, now);
    }

    submit(call: Call, now: number): Observable<Slot> {
        this.#dueAt = -Infinity;
        return this.#inner.submit(call, now).pipe(tap(slot => this.#count(slot, 1)));
    }

    settle(slot: Slot, result: SlotResult, now: number): void {
        this.#dueAt = -Infinity;
        this.#count(slot, -1);
        this.#inner.settle(slot, result, now);
    }

    recordFirstByte(slot: Slot, now: number): void {
        this.#inner.recordFirstByte(slot, now);
    }

    recordLoad(address: string, report: LoadReport, ageMs: number, now: number): void {
        this.#heard(address, now);
        const own = { inFlight: this.#inFlight.get(address) ?? 0, limit: this.#slots.get(address) ?? 1 };
        const believed = this.#filter.accept(address, report, ageMs, own, now);
        if (believed) {
            this.#inner.recordLoad(address, believed, ageMs, now);
        }
    }

    update(service: Service, share: Share, now: number): void {
        this.#slots = slotsOf(service);
        this.#filter.retainServers(new Set(this.#slots.keys()));
        this.#dueAt = -Infinity;
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

    #count(slot: Slot, step: 1 | -1): void {
        const { address } = slot.server;
        const count = (this.#inFlight.get(address) ?? 0) + step;
        if (count > 0) {
            this.#inFlight.set(address, count);
        } else {
            this.#inFlight.delete(address);
        }
    }
}

const slotsOf = (service: Service): ReadonlyMap<string, number> =>
    new Map(service.servers.map(server => [server.address, server.slots]));
