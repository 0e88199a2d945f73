/** The dispatcher of one service in one entry VM. */

import type { Service } from "@bramleymoor/model/spec";
import type { LoadReport } from "@bramleymoor/protocol/answer";
import { CallError } from "@bramleymoor/protocol/kinds";
import { Observable, type Subscriber } from "rxjs";
import { type Chooser, makeChooser } from "./chooser.js";
import { CallQueue, type Waiting } from "./queue.js";
import type { Random } from "./random.js";
import { ServerPool } from "./pool.js";
import type { ServerState } from "./server.js";
import type { Call, Dispatcher, DispatchView, Share, Slot, SlotResult } from "./types.js";

/** Holds calls until a slot that it believes in is free (late binding). */
export class ServiceDispatcher implements Dispatcher {
    #service: Service;
    readonly #random: Random;
    #chooser: Chooser;
    readonly #queue = new CallQueue<Pending>();
    readonly #pool = new ServerPool();
    readonly #active = new Map<number, Pending>();

    constructor(service: Service, share: Share, random: Random, now: number) {
        this.#service = service;
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
        this.#pool.settle(slot, result, now);
        this.#finish(slot);
        this.#drain(now);
    }

    answering(slot: Slot, now: number): void {
        this.#pool.answering(slot, now);
    }

    report(address: string, report: LoadReport, ageMs: number, now: number): void {
        this.#pool.report(address, report, ageMs, now);
        this.#drain(now);
    }

    follow(service: Service, share: Share, now: number): void {
        if (service.chooser !== this.#service.chooser) {
            this.#chooser = makeChooser(service.chooser, this.#random);
        }
        this.#service = service;
        this.#pool.follow(service, share);
        this.#drain(now);
    }

    leaving(addresses: ReadonlySet<string>, now: number): void {
        this.#pool.leaving(addresses);
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
        const servers = this.#pool.view(now);
        const inFlight = servers.reduce((sum, it) => sum + it.inFlight, 0);
        return { service: this.#service.name, queued: this.#queue.size, inFlight, servers };
    }

    #admit(pending: Pending, now: number): void {
        if (pending.call.deadlineAt <= now) {
            pending.subscriber.error(new CallError("deadline-queued"));
            return;
        }
        if (!this.#pool.anyAvailable(now)) {
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
        const candidates = this.#candidates(call, now);
        return candidates.length > 0 ? this.#chooser.choose(candidates, now) : undefined;
    }

    #candidates(call: Call, now: number): readonly ServerState[] {
        if (this.#chooser.early) {
            return this.#pool.available(call, now);
        }
        const free = this.#pool.free(call, now);
        return free.length > 0 ? free : this.#pool.ahead(call, now);
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
}

interface Pending extends Waiting {
    readonly subscriber: Subscriber<Slot>;
    readonly slots: Set<Slot>;
}

/** Longest time between two ticks. */
const idleTickMs = 1_000;
const noServerRetryMs = 500;
const overloadedRetryMs = 100;
