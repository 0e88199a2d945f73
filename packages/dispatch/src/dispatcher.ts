/** The dispatcher of one service in one entry VM. */

import type { Service } from "@bramleymoor/model/spec";
import type { LoadReport } from "@bramleymoor/protocol/messages";
import { CallError } from "@bramleymoor/protocol/errors";
import { Observable, type Subscriber } from "rxjs";
import { type Chooser, makeChooser } from "./chooser.js";
import { CallQueue, type Waiting } from "./queue.js";
import type { Random } from "./random.js";
import { DrainRate } from "./drainrate.js";
import { HedgeWatch } from "./hedge.js";
import { ServerPool } from "./pool.js";
import { type PeerMessage, type PeerSender, SlotSharing, type SlotUsage } from "./sharing.js";
import type { ServerState } from "./server.js";
import type { Call, Dispatcher, DispatchView, Share, Slot, SlotResult } from "./types.js";

/** Holds calls until a slot that it believes in is free (late binding). */
export class ServiceDispatcher implements Dispatcher {
    #service: Service;
    readonly #random: Random;
    #chooser: Chooser;
    readonly #queue = new CallQueue<Pending>();
    readonly #pool = new ServerPool();
    readonly #sharing: SlotSharing;
    #allotDue = 0;
    readonly #hedges: HedgeWatch;
    readonly #drainRate = new DrainRate();
    readonly #active = new Map<number, Pending>();

    constructor(service: Service, share: Share, random: Random, now: number, peers: PeerSender = noPeers) {
        this.#service = service;
        this.#random = random;
        this.#sharing = new SlotSharing(peers);
        this.#chooser = makeChooser(service.chooser, random);
        this.#hedges = new HedgeWatch(service.hedgeBudget);
        this.update(service, share, now);
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

    recordFirstByte(slot: Slot, now: number): void {
        this.#pool.answering(slot, now);
        this.#hedges.ended(slot);
    }

    recordLoad(address: string, report: LoadReport, ageMs: number, now: number): void {
        this.#pool.report(address, report, ageMs, now);
        this.#drain(now);
    }

    update(service: Service, share: Share, now: number): void {
        if (service.chooser !== this.#service.chooser) {
            this.#chooser = makeChooser(service.chooser, this.#random);
        }
        this.#service = service;
        this.#pool.follow(service, share);
        this.#sharing.update(service, share, now);
        this.#allot(now);
        this.#hedges.follow(service.hedgeBudget);
        this.#drain(now);
    }

    markLeaving(addresses: ReadonlySet<string>, now: number): void {
        this.#pool.leaving(addresses);
        this.#drain(now);
    }

    tick(now: number): number {
        for (const pending of this.#queue.expire(now)) {
            pending.subscriber.error(new CallError("deadline-queued"));
        }
        const shareDue = this.#chooser.early ? Infinity : this.#sharing.tick(this.#use(now), now);
        if (now >= this.#allotDue) {
            this.#allot(now);
            this.#drain(now);
        }
        return Math.min(this.#queue.nextDeadline, this.#hedge(now), shareDue, now + idleTickMs);
    }

    /** Takes a message of another dispatcher of the service. */
    receive(message: PeerMessage, now: number): void {
        this.#sharing.receive(message, this.#use(now), now);
        this.#allot(now);
        this.#drain(now);
    }

    view(now: number): DispatchView {
        const servers = this.#pool.view(this.#sharing.lentPositions(now), now);
        const inFlight = servers.reduce((sum, it) => sum + it.inFlight, 0);
        return { service: this.#service.name, queued: this.#queue.size, inFlight, servers };
    }

    #allot(now: number): void {
        this.#allotDue = now + allotEveryMs;
        this.#pool.allot(this.#sharing.allocation(now));
    }

    #use(now: number): SlotUsage {
        const waitedMs = now - (this.#queue.peek()?.queuedAt ?? now);
        const { inFlight } = this.#pool;
        return { inFlight, queued: this.#queue.size, waitedMs, idle: () => this.#pool.idleSlots(now) };
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
        const waitMs = this.#drainRate.waitMs(this.#queue.ahead(pending.call.class.priority));
        if (waitMs > mostWaitShare * (pending.call.deadlineAt - now)) {
            pending.subscriber.error(
                new CallError("overloaded", "", Math.ceil(Math.max(waitMs, overloadedRetryMs))),
            );
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
            const state = this.#choose(next, now);
            if (!state) {
                return;
            }
            this.#queue.pop();
            this.#drainRate.taken(this.#queue.size, now);
            this.#grant(next, state, now);
        }
    }

    #choose(pending: Pending, now: number): ServerState | undefined {
        const candidates = this.#candidates(pending, now);
        return candidates.length > 0 ? this.#chooser.choose(candidates, now) : undefined;
    }

    #candidates({ call, queuedAt }: Pending, now: number): readonly ServerState[] {
        if (this.#chooser.early) {
            return this.#pool.available(call, now);
        }
        const waitedMs = now - queuedAt;
        const free = this.#pool.free(call, waitedMs, now);
        return free.length > 0 ? free : this.#pool.ahead(call, waitedMs, now);
    }

    #grant(pending: Pending, state: ServerState, now: number): void {
        const slot: Slot = { server: state.server, call: pending.call, grantedAt: now, hedge: false };
        this.#active.set(pending.call.id, pending);
        this.#hedges.granted(slot);
        this.#open(pending, state, slot);
    }

    #open(pending: Pending, state: ServerState, slot: Slot): void {
        state.start(slot);
        pending.slots.add(slot);
        pending.subscriber.next(slot);
    }

    /** Gives second copies to calls that take long, while slots are idle; tells when the next may be due. */
    #hedge(now: number): number {
        const { latencies } = this.#pool;
        if (this.#chooser.early || !latencies.ready) {
            return Infinity;
        }
        const ageMs = latencies.latencyAt(hedgeFromZ);
        if (this.#queue.size === 0) {
            this.#hedgeSlow(ageMs, now);
        }
        return Math.max(now + hedgeStepMs, this.#hedges.nextDue(ageMs));
    }

    #hedgeSlow(ageMs: number, now: number): void {
        const odds = new Map<string, number>();
        for (const slot of this.#hedges.older(ageMs, now)) {
            const { address } = slot.server;
            const slowOdds = odds.get(address) ?? this.#pool.slowOdds(address, now);
            odds.set(address, slowOdds);
            if (this.#hedges.affordable && slowOdds > hedgeOdds) {
                this.#hedgeOne(slot, now);
            }
        }
    }

    #hedgeOne(slow: Slot, now: number): void {
        const pending = this.#active.get(slow.call.id);
        const { address } = slow.server;
        const idle = this.#pool.free(slow.call, 0, now).filter(it => it.server.address !== address);
        if (pending && idle.length > 0) {
            this.#hedges.hedged(slow);
            const state = this.#chooser.choose(idle, now);
            this.#open(pending, state, {
                server: state.server,
                call: slow.call,
                grantedAt: now,
                hedge: true,
            });
        }
    }

    #finish(slot: Slot): void {
        const pending = this.#active.get(slot.call.id);
        pending?.slots.delete(slot);
        this.#hedges.ended(slot);
        if (pending?.slots.size === 0) {
            this.#active.delete(slot.call.id);
            pending.subscriber.complete();
        }
    }

    #abandon(pending: Pending): void {
        this.#queue.remove(pending);
        pending.slots.forEach(slot => this.#hedges.ended(slot));
    }
}

interface Pending extends Waiting {
    readonly subscriber: Subscriber<Slot>;
    readonly slots: Set<Slot>;
}

/** Used where no peers can be reached: every Ask stays unanswered. */
const noPeers: PeerSender = { send: () => undefined };

/** Time between two looks at which slots are ours, unless a peer sends word. */
const allotEveryMs = 5;
/** Longest time between two ticks. */
const idleTickMs = 20;
const noServerRetryMs = 500;
/** A call that would wait for more than this share of the time it has left is refused at once. */
const mostWaitShare = 0.25;
const overloadedRetryMs = 100;

/** Calls older than the median, in standard deviations of the log latency, may be hedged. */
const hedgeFromZ = 0;
/** Log-odds of a slow server above which a call is hedged. */
const hedgeOdds = 0;
/** Time between two looks at calls that may be hedged. */
const hedgeStepMs = 1;
