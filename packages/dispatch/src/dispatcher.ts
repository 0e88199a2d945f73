/** The dispatcher of one service in one entry VM. */

import type { BackendServer, Service } from "@bramleymoor/model/spec";
import type { LoadReport } from "@bramleymoor/protocol/answer";
import { CallError } from "@bramleymoor/protocol/kinds";
import { Observable, type Subscriber } from "rxjs";
import { type Chooser, makeChooser } from "./chooser.js";
import { CallQueue, type Waiting } from "./queue.js";
import type { Random } from "./random.js";
import { ServerState } from "./server.js";
import type { Call, Dispatcher, DispatchView, Share, Slot, SlotResult } from "./types.js";

/** Holds calls until a slot that it believes in is free (late binding). */
export class ServiceDispatcher implements Dispatcher {
    #service: Service;
    #share: Share;
    readonly #random: Random;
    #chooser: Chooser;
    readonly #queue = new CallQueue<Pending>();
    /** Servers of the accepted text, by address. */
    #servers: ReadonlyMap<string, ServerState> = new Map();
    /** Servers no longer in the text that still work for us. */
    readonly #gone = new Map<string, ServerState>();
    readonly #active = new Map<number, Pending>();
    #leaving: ReadonlySet<string> = new Set();

    constructor(service: Service, share: Share, random: Random, now: number) {
        this.#service = service;
        this.#share = share;
        this.#random = random;
        this.#chooser = makeChooser(service.chooser, random);
        this.follow(service, share, now);
    }

    submit(call: Call, now: number): Observable<Slot> {
        return new Observable(subscriber => {
            const pending: Pending = { call, queuedAt: now, subscriber, slots: new Set() };
            this.#admit(pending, now);
            return () => this.#abandon(pending);
        });
    }

    settle(slot: Slot, result: SlotResult, now: number): void {
        const state = this.#state(slot.server.address);
        if (!state?.settle(slot, result, now)) {
            throw new Error(`slot of call ${slot.call.id} at ${slot.server.address} is already settled`);
        }
        if (this.#gone.get(slot.server.address)?.inFlight === 0) {
            this.#gone.delete(slot.server.address);
        }
        this.#finish(slot);
        this.#drain(now);
    }

    answering(slot: Slot, now: number): void {
        if (slot.grantedAt > now) {
            throw new Error(`slot of call ${slot.call.id} answers before it was granted`);
        }
    }

    report(address: string, report: LoadReport, ageMs: number, now: number): void {
        this.#state(address)?.report(report, ageMs, now);
        this.#drain(now);
    }

    follow(service: Service, share: Share, now: number): void {
        const before = this.#servers;
        if (service.chooser !== this.#service.chooser) {
            this.#chooser = makeChooser(service.chooser, this.#random);
        }
        this.#service = service;
        this.#share = share;
        this.#servers = new Map(service.servers.map((it, at) => [it.address, this.#adopt(it, at)]));
        for (const [address, state] of before) {
            if (!this.#servers.has(address) && state.inFlight > 0) {
                this.#gone.set(address, state);
            }
        }
        this.leaving(this.#leaving, now);
    }

    leaving(addresses: ReadonlySet<string>, now: number): void {
        this.#leaving = addresses;
        this.#servers.forEach((state, address) => state.markLeaving(addresses.has(address)));
        this.#drain(now);
    }

    tick(now: number): number {
        for (const pending of this.#queue.expire(now)) {
            pending.subscriber.error(new CallError("deadline-queued"));
        }
        this.#drain(now);
        return Math.min(this.#queue.nextDeadline, now + idleTickMs);
    }

    view(now: number): DispatchView {
        const servers = [...this.#servers.values()].map(it => it.view(now));
        const inFlight = servers.reduce((sum, it) => sum + it.inFlight, 0);
        return { service: this.#service.name, queued: this.#queue.size, inFlight, servers };
    }

    #admit(pending: Pending, now: number): void {
        if (pending.call.deadlineAt <= now) {
            pending.subscriber.error(new CallError("deadline-queued"));
            return;
        }
        if (![...this.#servers.values()].some(it => it.limit(now) > 0)) {
            pending.subscriber.error(new CallError("no-server", "", noServerRetryMs));
            return;
        }
        if (this.#queue.size >= this.#service.queueLimit && !this.#makeRoom(pending)) {
            pending.subscriber.error(new CallError("overloaded", "", overloadedRetryMs));
            return;
        }
        this.#queue.push(pending);
        this.#drain(now);
    }

    /** Sheds a less urgent call in favour of a more urgent one. */
    #makeRoom(pending: Pending): boolean {
        const shed = this.#queue.shed(pending.call.class.priority);
        shed?.subscriber.error(new CallError("overloaded", "", overloadedRetryMs));
        return shed !== undefined;
    }

    #drain(now: number): void {
        for (let next = this.#queue.peek(); next; next = this.#queue.peek()) {
            if (next.call.deadlineAt <= now) {
                this.#queue.remove(next);
                next.subscriber.error(new CallError("deadline-queued"));
                continue;
            }
            const state = this.#choose(next.call, now);
            if (!state) {
                return;
            }
            this.#queue.pop();
            this.#grant(next, state, now);
        }
    }

    #choose(call: Call, now: number): ServerState | undefined {
        const usable = (it: ServerState): boolean =>
            this.#chooser.early ? it.available(now) : it.free(now) > 0;
        const free = [...this.#servers.values()].filter(usable);
        const fresh = free.filter(it => !call.tried.includes(it.server.address));
        const candidates = fresh.length > 0 ? fresh : free;
        return candidates.length > 0 ? this.#chooser.choose(candidates, now) : undefined;
    }

    #grant(pending: Pending, state: ServerState, now: number): void {
        const slot: Slot = { server: state.server, call: pending.call, grantedAt: now, hedge: false };
        state.start(slot);
        pending.slots.add(slot);
        this.#active.set(pending.call.id, pending);
        pending.subscriber.next(slot);
    }

    #finish(slot: Slot): void {
        const pending = this.#active.get(slot.call.id);
        pending?.slots.delete(slot);
        if (pending?.slots.size === 0) {
            this.#active.delete(slot.call.id);
            pending.subscriber.complete();
        }
    }

    #abandon(pending: Pending): void {
        this.#queue.remove(pending);
    }

    #state(address: string): ServerState | undefined {
        return this.#servers.get(address) ?? this.#gone.get(address);
    }

    #adopt(server: BackendServer, at: number): ServerState {
        const owned = ownedSlots(server, at, this.#share);
        const known = this.#state(server.address);
        this.#gone.delete(server.address);
        if (!known) {
            return new ServerState(server, owned);
        }
        known.follow(server, owned);
        return known;
    }
}

interface Pending extends Waiting {
    readonly subscriber: Subscriber<Slot>;
    readonly slots: Set<Slot>;
}

/** Slots of the service are dealt out in turn, so that each dispatcher gets some of most servers. */
const ownedSlots = (server: BackendServer, at: number, share: Share): number => {
    let owned = 0;
    for (let slot = 0; slot < server.slots; slot++) {
        owned += (at * server.slots + slot) % share.count === share.index ? 1 : 0;
    }
    return owned;
};

/** Longest time between two ticks. */
const idleTickMs = 1_000;
const noServerRetryMs = 500;
const overloadedRetryMs = 100;
