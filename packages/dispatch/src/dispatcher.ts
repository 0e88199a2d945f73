/** The dispatcher of one service in one entry VM. */

import type { Service } from "@bramleymoor/model/spec";
import type { LoadReport } from "@bramleymoor/protocol/messages";
import { CallError } from "@bramleymoor/protocol/errors";
import { Observable, type Subscriber } from "rxjs";
import { type Chooser, makeChooser } from "./chooser.js";
import { CallQueue, type QueuedCall } from "./queue.js";
import type { Random } from "./random.js";
import { DrainRate } from "./drainrate.js";
import { HedgeTracker } from "./hedge.js";
import { ServerPool } from "./pool.js";
import { type PeerMessage, type PeerSender, SlotSharing, type SlotUsage } from "./sharing.js";
import type { ServerState } from "./server.js";
import type { Call, Dispatcher, DispatchView, Share, Slot, SlotResult } from "./types.js";

/** Queues calls until a slot that this dispatcher may use is free (late binding), unless the chooser binds early. */
export class ServiceDispatcher implements Dispatcher {
    #service: Service;
    readonly #random: Random;
    #chooser: Chooser;
    readonly #queue = new CallQueue<PendingCall>();
    readonly #pool = new ServerPool();
    readonly #sharing: SlotSharing;
    #allocateAt = 0;
    readonly #hedges: HedgeTracker;
    readonly #drainRate = new DrainRate();
    /** Calls with slots in flight, by id. */
    readonly #active = new Map<number, PendingCall>();

    constructor(
        service: Service,
        share: Share,
        random: Random,
        now: number,
        peers: PeerSender = noPeerSender,
    ) {
        this.#service = service;
        this.#random = random;
        this.#sharing = new SlotSharing(peers);
        this.#chooser = makeChooser(service.chooser, random);
        this.#hedges = new HedgeTracker(service.hedgeBudget);
        this.update(service, share, now);
    }

    submit(call: Call, now: number): Observable<Slot> {
        return new Observable(subscriber => {
            const pending: PendingCall = { call, queuedAt: now, subscriber, slots: new Set() };
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
        this.#pool.recordFirstByte(slot, now);
        this.#hedges.untrack(slot);
    }

    recordLoad(address: string, report: LoadReport, ageMs: number, now: number): void {
        this.#pool.recordLoad(address, report, ageMs, now);
        this.#drain(now);
    }

    recordLimit(address: string, perSecond: number, namedAt: number, now: number): void {
        this.#pool.recordLimit(address, perSecond, namedAt, now);
        this.#drain(now);
    }

    update(service: Service, share: Share, now: number): void {
        if (service.chooser !== this.#service.chooser) {
            this.#chooser = makeChooser(service.chooser, this.#random);
        }
        this.#service = service;
        this.#pool.update(service, share);
        this.#sharing.update(service, share, now);
        this.#updateAllocation(now);
        this.#hedges.update(service.hedgeBudget);
        this.#drain(now);
    }

    markLeaving(addresses: ReadonlySet<string>, now: number): void {
        this.#pool.markLeaving(addresses);
        this.#drain(now);
    }

    tick(now: number): number {
        for (const pending of this.#queue.expire(now)) {
            pending.subscriber.error(new CallError("deadline-queued"));
        }
        const sharingDueAt = this.#chooser.earlyBinding
            ? Infinity
            : this.#sharing.tick(this.#slotUsage(now), now);
        if (now >= this.#allocateAt) {
            this.#updateAllocation(now);
            this.#drain(now);
        }
        return Math.min(
            this.#queue.nextDeadline,
            this.#hedgeSlowCalls(now),
            sharingDueAt,
            now + maxTickIntervalMs,
        );
    }

    /** Handles a message of another dispatcher of the service. */
    receive(message: PeerMessage, now: number): void {
        this.#sharing.receive(message, this.#slotUsage(now), now);
        this.#updateAllocation(now);
        this.#drain(now);
    }

    view(now: number): DispatchView {
        const servers = this.#pool.view(this.#sharing.lentPositions(now), now);
        const inFlight = servers.reduce((sum, it) => sum + it.inFlight, 0);
        return { service: this.#service.name, queued: this.#queue.size, inFlight, servers };
    }

    #updateAllocation(now: number): void {
        this.#allocateAt = now + allocationIntervalMs;
        this.#pool.setAllocation(this.#sharing.allocation(now));
    }

    #slotUsage(now: number): SlotUsage {
        const oldestWaitMs = now - (this.#queue.peek()?.queuedAt ?? now);
        const { inFlight } = this.#pool;
        return {
            inFlight,
            queued: this.#queue.size,
            oldestWaitMs,
            idleSlots: () => this.#pool.idleSlots(now),
        };
    }

    /** Queues a new call or refuses it. */
    #admit(pending: PendingCall, now: number): void {
        if (pending.call.deadlineAt <= now) {
            pending.subscriber.error(new CallError("deadline-queued"));
            return;
        }
        if (!this.#pool.hasAvailable(now)) {
            pending.subscriber.error(new CallError("no-server", "", noServerRetryMs));
            return;
        }
        const sendAt = this.#pool.earliestSendAt(now);
        if (sendAt > now && sendAt >= pending.call.deadlineAt) {
            const retryMs = Math.min(sendAt - now, maxLimitRetryMs);
            pending.subscriber.error(new CallError("overloaded", "", Math.ceil(retryMs)));
            return;
        }
        const waitMs = this.#drainRate.expectedWaitMs(this.#queue.countAhead(pending.call.class.priority));
        if (waitMs > maxWaitShare * (pending.call.deadlineAt - now)) {
            pending.subscriber.error(
                new CallError("overloaded", "", Math.ceil(Math.max(waitMs, overloadedRetryMs))),
            );
            return;
        }
        if (this.#queue.size >= this.#service.queueLimit && !this.#shedFor(pending)) {
            pending.subscriber.error(new CallError("overloaded", "", overloadedRetryMs));
            return;
        }
        this.#queue.push(pending);
        this.#drain(now);
    }

    /** Refuses a less urgent queued call to make room for a new one; false if there is none. */
    #shedFor(pending: PendingCall): boolean {
        const shed = this.#queue.shed(pending.call.class.priority);
        shed?.subscriber.error(new CallError("overloaded", "", overloadedRetryMs));
        return shed !== undefined;
    }

    /** Grants slots to queued calls while there are servers for them. */
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
            this.#drainRate.recordDequeue(this.#queue.size, now);
            this.#grant(next, state, now);
        }
    }

    #choose(pending: PendingCall, now: number): ServerState | undefined {
        const candidates = this.#candidates(pending, now);
        return candidates.length > 0 ? this.#chooser.choose(candidates, now) : undefined;
    }

    #candidates({ call, queuedAt }: PendingCall, now: number): readonly ServerState[] {
        if (this.#chooser.earlyBinding) {
            return this.#pool.available(call, now);
        }
        const waitedMs = now - queuedAt;
        const free = this.#pool.withFreeSlot(call, waitedMs, now);
        return free.length > 0 ? free : this.#pool.sendAheadCandidates(call, waitedMs, now);
    }

    #grant(pending: PendingCall, state: ServerState, now: number): void {
        const slot: Slot = { server: state.server, call: pending.call, grantedAt: now, hedge: false };
        this.#active.set(pending.call.id, pending);
        this.#hedges.track(slot);
        this.#openSlot(pending, state, slot);
    }

    #openSlot(pending: PendingCall, state: ServerState, slot: Slot): void {
        state.start(slot);
        pending.slots.add(slot);
        pending.subscriber.next(slot);
    }

    /** Hedges calls that take long while slots are idle; returns when the next hedge may be due. */
    #hedgeSlowCalls(now: number): number {
        const { latencies } = this.#pool;
        if (this.#chooser.earlyBinding || !latencies.isReady) {
            return Infinity;
        }
        const ageMs = latencies.latencyAtZ(minHedgeAgeZ);
        if (this.#queue.size === 0) {
            this.#hedgeOlderThan(ageMs, now);
        }
        return Math.max(now + hedgeCheckIntervalMs, this.#hedges.nextDueAt(ageMs));
    }

    #hedgeOlderThan(ageMs: number, now: number): void {
        const logOdds = new Map<string, number>();
        for (const slot of this.#hedges.olderThan(ageMs, now)) {
            const { address } = slot.server;
            const slowLogOdds = logOdds.get(address) ?? this.#pool.slowLogOdds(address, now);
            logOdds.set(address, slowLogOdds);
            if (this.#hedges.hasBudget && slowLogOdds > hedgeLogOdds) {
                this.#hedgeCall(slot, now);
            }
        }
    }

    #hedgeCall(slow: Slot, now: number): void {
        const pending = this.#active.get(slow.call.id);
        const { address } = slow.server;
        const idle = this.#pool.withFreeSlot(slow.call, 0, now).filter(it => it.server.address !== address);
        if (pending && idle.length > 0) {
            this.#hedges.recordHedge(slow);
            const state = this.#chooser.choose(idle, now);
            this.#openSlot(pending, state, {
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
        this.#hedges.untrack(slot);
        if (pending?.slots.size === 0) {
            this.#active.delete(slot.call.id);
            pending.subscriber.complete();
        }
    }

    /** Removes a call whose observable was unsubscribed; its open slots get no hedge. */
    #abandon(pending: PendingCall): void {
        this.#queue.remove(pending);
        pending.slots.forEach(slot => this.#hedges.untrack(slot));
    }
}

/** A call with the subscriber of its slots and the slots in flight. */
interface PendingCall extends QueuedCall {
    readonly subscriber: Subscriber<Slot>;
    readonly slots: Set<Slot>;
}

/** Used where no peers can be reached: every LoanRequest remains unanswered. */
const noPeerSender: PeerSender = { send: () => undefined };

/** Time between two updates of the allocation, unless a peer sends a message. */
const allocationIntervalMs = 5;
/** Longest time between two ticks. */
const maxTickIntervalMs = 20;
const noServerRetryMs = 500;
/** A call whose expected wait exceeds this share of the time to its deadline is refused at once. */
const maxWaitShare = 0.25;
const overloadedRetryMs = 100;
/** Longest retry time while the servers' request limits allow no request: the limits may end before. */
const maxLimitRetryMs = 2_000;

/** Age from which calls may be hedged, in standard deviations of the log latency above the median. */
const minHedgeAgeZ = 0;
/** Log-odds that the server is slow above which a call is hedged. */
const hedgeLogOdds = 0;
/** Time between two checks for calls to hedge. */
const hedgeCheckIntervalMs = 1;
