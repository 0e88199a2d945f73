/** Runs one service's balancer: compares servers by up-to-date load, and assigns slots to waiting requests. */

import type { Balancer, Reservation } from "@bramleymoor/balance/balancer";
import { HedgePolicy, type ServerSpeed } from "@bramleymoor/balance/hedging";
import type { ProbeBudget } from "@bramleymoor/balance/probebudget";
import type { ServerState } from "@bramleymoor/balance/server";
import type { ServerStatement, StatementSource } from "@bramleymoor/balance/statement";
import type {
    ListedServer,
    LoadReport,
    Refusal,
    Request,
    Slot,
    SlotResult,
} from "@bramleymoor/balance/types";
import { incarnationKey, type ServerEntry, type ServiceSettings } from "@bramleymoor/model/route";
import { HedgeUsage, type HedgeUsageReport } from "./hedgeusage.js";
import type { ProbeClient } from "./probeclient.js";
import { ProbeRound } from "./proberound.js";
import { ProbeUsage, type ProbeUsageReport } from "./probeusage.js";

/** Result of a wait for a slot. */
export type AcquireResult =
    | { readonly kind: "slot"; readonly slot: Slot }
    | { readonly kind: "refused"; readonly refusal: Refusal }
    | { readonly kind: "withdrawn" }
    /** The entry VM has lost its links to the servers. */
    | { readonly kind: "released" };

/** Records what a server says of itself in a response; `sentAt` is when the probe was sent that it responds to, if it does. */
export type RecordStatement = (
    server: ServerEntry,
    statement: ServerStatement,
    source: StatementSource,
    sentAt?: number,
) => void;

/** Records whether a server has responded to a probe sent at `sentAt`. */
export type RecordProbe = (server: ServerEntry, isAlive: boolean, sentAt: number) => void;

/** Dependencies of a `Dispatcher`. */
export interface DispatcherOptions {
    readonly balancer: Balancer;
    readonly probeClient: ProbeClient;
    readonly probeBudget: ProbeBudget;
    /** Records what a server says of itself in its response to a probe. */
    readonly recordStatement: RecordStatement;
    readonly recordProbe: RecordProbe;
    /** Returns monotonic milliseconds. */
    readonly clock: () => number;
    /** Hedged requests as a share of the service's requests; 0 if absent. */
    readonly maxHedgeRatio?: number;
}

/** Assigns the requests of one service to its backend servers. */
export class Dispatcher {
    readonly #balancer: Balancer;
    readonly #probeClient: ProbeClient;
    readonly #probeBudget: ProbeBudget;
    readonly #recordStatement: RecordStatement;
    readonly #recordProbe: RecordProbe;
    readonly #clock: () => number;
    readonly #usage: ProbeUsage;
    /** Decides which requests are hedged. */
    readonly hedging: HedgePolicy;
    /** Counts the hedged requests. */
    readonly hedges: HedgeUsage;
    /** Probes in flight by incarnation key; each resolves when its result has been recorded. */
    readonly #pendingProbes = new Map<string, Promise<void>>();
    /** Probes of `confirmAlive` in flight by incarnation key. */
    readonly #confirmations = new Map<string, Promise<boolean>>();
    readonly #waiting = new Map<Request, (result: AcquireResult) => void>();
    /** When the servers were last looked through for ones that may have become cold. */
    #checkedAt = -Infinity;
    #settings: ServiceSettings;

    constructor(
        settings: ServiceSettings,
        {
            balancer,
            probeClient,
            probeBudget,
            recordStatement,
            recordProbe,
            clock,
            maxHedgeRatio = 0,
        }: DispatcherOptions,
    ) {
        this.#settings = settings;
        this.#balancer = balancer;
        this.#probeClient = probeClient;
        this.#probeBudget = probeBudget;
        this.#recordStatement = recordStatement;
        this.#recordProbe = recordProbe;
        this.#clock = clock;
        this.#usage = new ProbeUsage(clock());
        this.hedging = new HedgePolicy(maxHedgeRatio);
        this.hedges = new HedgeUsage(clock());
    }

    /** Number of requests that wait for a slot. */
    get waiting(): number {
        return this.#waiting.size;
    }

    get balancer(): Balancer {
        return this.#balancer;
    }

    /** Applies newer settings and the current list of the service's servers. */
    update(settings: ServiceSettings, servers: readonly ListedServer[]): void {
        this.#settings = settings;
        this.updateServers(servers);
    }

    /** Applies the current list of the service's servers. */
    updateServers(servers: readonly ListedServer[]): void {
        this.#balancer.updateServers(servers, this.#clock());
        this.#refuseIfEvacuated();
        this.#dispatchWaiting();
    }

    /** Waits for a slot; resolves immediately if the request is refused. */
    acquireSlot(request: Request): Promise<AcquireResult> {
        if (request.tried.length === 0) {
            this.#probeBudget.recordRequest(this.#clock());
        }
        const refusal = this.#balancer.submit(request, this.#clock());
        for (const displaced of this.#balancer.takeDisplaced()) {
            this.#resolveWait(displaced.request, { kind: "refused", refusal: displaced.refusal });
        }
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

    /** Ends all waits, as this entry VM has lost its links to the servers. */
    releaseWaiting(): void {
        this.#endWaits(() => ({ kind: "released" }));
    }

    /** Whether a server's failure domain is evacuated, so that nothing may be sent to it. */
    isEvacuated(server: ServerEntry): boolean {
        return this.#balancer.isEvacuated(server);
    }

    /** Refuses all waiting requests if evacuations leave them no server. */
    #refuseIfEvacuated(): void {
        if (this.#balancer.evacuationRefusal(this.#clock())) {
            // Each refusal has a retry time of its own, so that the callers don't all return at once.
            this.#endWaits(() => {
                const refusal = this.#balancer.evacuationRefusal(this.#clock());
                return refusal ? { kind: "refused", refusal } : { kind: "released" };
            });
        }
    }

    #endWaits(makeResult: () => AcquireResult): void {
        for (const request of [...this.#waiting.keys()]) {
            this.#balancer.withdraw(request);
            this.#resolveWait(request, makeResult());
        }
    }

    /**
     * Resolves to what is known of the speed of a slot's server since the slot was granted; probes the server if nothing is, unless
     * it is limited or the budget is used up.
     */
    async askSpeed(slot: Slot): Promise<ServerSpeed> {
        const { server } = slot;
        if (this.#balancer.needsSpeed(slot, this.#clock())) {
            if (this.#pendingProbes.has(incarnationKey(server)) || this.#probeBudget.tryTake(this.#clock())) {
                await this.#probe(server, false);
                this.#dispatchWaiting();
            }
        }
        return this.#balancer.speedOf(slot);
    }

    /**
     * Resolves to an idle slot for the second send of a request, once its candidates' load is known; to undefined if there is none.
     *
     * @param request names the servers that it was sent to, the first send's included
     */
    async acquireHedgeSlot(request: Request): Promise<Slot | undefined> {
        const reservation = this.#balancer.reserveHedge(request, this.#clock());
        if (!reservation) {
            this.hedges.record("noServer");
            return undefined;
        }
        const slot = await new Promise<Slot | undefined>(resolve => {
            const grant = (): void => resolve(this.#balancer.grantHedge(reservation, this.#clock()));
            if (!this.#probeCandidates(reservation, () => true, grant)) {
                grant();
            }
        });
        if (!slot) {
            this.hedges.record("noServer");
        }
        this.#dispatchWaiting();
        return slot;
    }

    /** Records how a slot's request ended and frees the slot. */
    settle(slot: Slot, result: SlotResult): void {
        this.#balancer.settle(slot, result, this.#clock());
        this.#dispatchWaiting();
    }

    /** Probes a server that may have ended, unless the budget is used up; resolves when the result has been recorded. */
    async checkServer(server: ServerEntry): Promise<void> {
        if (this.#balancer.isEvacuated(server)) {
            return;
        }
        if (this.#pendingProbes.has(incarnationKey(server)) || this.#probeBudget.tryTake(this.#clock())) {
            await this.#probe(server, true);
            this.#dispatchWaiting();
        }
    }

    /**
     * Resolves to whether a server responds to a probe that is sent from now on, so that it hasn't ended before. The probe is
     * debited to the budget, which doesn't prevent it. An evacuated server isn't probed, so that this can't be found out.
     */
    async confirmAlive(server: ServerEntry): Promise<boolean> {
        if (this.#balancer.isEvacuated(server)) {
            return false;
        }
        const key = incarnationKey(server);
        // Probes in flight may have been answered before.
        await Promise.all([this.#pendingProbes.get(key), this.#confirmations.get(key)]);
        if (this.#balancer.isEvacuated(server)) {
            return false;
        }
        const confirmation = this.#confirmations.get(key) ?? this.#startConfirmation(key, server);
        return await confirmation;
    }

    #startConfirmation(key: string, server: ServerEntry): Promise<boolean> {
        this.#probeBudget.recordUnplanned();
        const confirmation = this.#sendProbe(server, true).finally(() => {
            this.#confirmations.delete(key);
            this.#dispatchWaiting();
        });
        this.#confirmations.set(key, confirmation);
        this.#usage.recordSent(server.id, this.#pendingProbes.size);
        return confirmation;
    }

    /** Records that the head of the response to a slot's request has arrived. */
    recordResponseHead(slot: Slot): void {
        this.#balancer.recordResponseHead(slot);
    }

    /** Records the load that a response reported. */
    report(server: ServerEntry, report: LoadReport): void {
        this.#balancer.recordLoad(server, report, this.#clock());
    }

    /**
     * Refuses the requests whose deadline has passed, tries to dispatch the others, and sends the probes that no request waits
     * for. To be called often.
     */
    tick(): void {
        this.#balancer.tick(this.#clock());
        if (this.#settings.slowStart) {
            this.#checkForColdServers();
        }
        if (this.#waiting.size === 0) {
            return;
        }
        this.#refuseIfEvacuated();
        for (const { request, refusal } of this.#balancer.expire(this.#clock())) {
            this.#resolveWait(request, { kind: "refused", refusal });
        }
        this.#dispatchWaiting();
    }

    /** Returns what probes were used for in a period that has ended since the last call. */
    takeProbeUsage(now: number): ProbeUsageReport | undefined {
        const period = this.#usage.takePeriod(now);
        const { name } = this.#settings;
        return period && { service: name, servers: this.#balancer.servers.length, ...period };
    }

    /** Probes the servers that may have become cold since their last probe; debited to the budget, which doesn't prevent it. */
    #checkForColdServers(): void {
        const now = this.#clock();
        if (now - this.#checkedAt < checkIntervalMs) {
            return;
        }
        this.#checkedAt = now;
        this.#balancer.recordColdDemand(now);
        for (const { key, entry } of this.#balancer.serversDueForProbe(now)) {
            if (!this.#pendingProbes.has(key)) {
                this.#probeBudget.recordUnplanned();
                void this.#probe(entry, false).then(() => this.#dispatchWaiting());
            }
        }
    }

    /** Returns the counts of hedges in a period that has ended since the last call. */
    takeHedgeUsage(now: number): HedgeUsageReport | undefined {
        return this.hedges.takePeriod(this.#settings.name, now);
    }

    #dispatchWaiting(): void {
        for (;;) {
            const reservation = this.#balancer.reserveNext(this.#clock());
            if (!reservation) {
                if (this.#balancer.queued > 0) {
                    this.#usage.recordBlocked(this.#balancer.heldServers(this.#clock()));
                }
                return;
            }
            this.#usage.recordReservation(reservation.candidates.length);
            if (!this.#startProbing(reservation) && !this.#grant(reservation, 0)) {
                return;
            }
        }
    }

    /**
     * Probes the candidates whose load isn't known, and then grants a slot. Returns false if no probe is needed, or none
     * is left in the budget. If no candidate may be sent a request before it has answered a probe, one is probed all the same.
     */
    #startProbing(reservation: Reservation): boolean {
        return this.#probeCandidates(
            reservation,
            () => this.#waiting.has(reservation.request),
            probes => {
                this.#grant(reservation, probes);
                this.#dispatchWaiting();
            },
        );
    }

    /** @param onEnd called with the number of probes once the candidates' load is known; never if this returns false */
    #probeCandidates(
        reservation: Reservation,
        isWanted: () => boolean,
        onEnd: (probes: number) => void,
    ): boolean {
        if (this.#balancer.hasIdealCandidate(reservation, this.#clock())) {
            return false;
        }
        let probes = 0;
        const round = new ProbeRound({
            servers: reservation.candidates,
            needsProbe: it => this.#balancer.needsProbe(it, this.#clock()),
            tryTake: it =>
                this.#pendingProbes.has(it.key) ||
                this.#probeBudget.tryTake(this.#clock()) ||
                this.#takeUnplanned(reservation, it),
            probe: ({ entry }) => {
                probes++;
                return this.#probe(entry, false);
            },
            isDecided: () => !isWanted() || this.#balancer.hasIdealCandidate(reservation, this.#clock()),
            onEnd: end => {
                if (end === "timeout") {
                    this.#usage.record("timedOut");
                }
                onEnd(probes);
            },
            onLateResult: () => this.#dispatchWaiting(),
        });
        return round.start();
    }

    /** Debits a probe beyond the budget, if a reservation requires one. */
    #takeUnplanned(reservation: Reservation, server: ServerState): boolean {
        const isRequired = this.#balancer.requiresProbe(reservation, server, this.#clock());
        if (isRequired) {
            this.#probeBudget.recordUnplanned();
        }
        return isRequired;
    }

    /** Probes a server and records the result once, however many requests wait for it. */
    #probe(server: ServerEntry, onNewConnection: boolean): Promise<void> {
        const key = incarnationKey(server);
        const pending = this.#pendingProbes.get(key);
        if (pending) {
            this.#usage.record("shared");
            return pending;
        }
        const result = this.#sendProbe(server, onNewConnection).then(() => {
            this.#pendingProbes.delete(key);
        });
        this.#pendingProbes.set(key, result);
        this.#usage.recordSent(server.id, this.#pendingProbes.size);
        return result;
    }

    /** Sends a probe; resolves to whether the server has responded, when that has been recorded. */
    async #sendProbe(server: ServerEntry, onNewConnection: boolean): Promise<boolean> {
        const startedAt = this.#clock();
        this.#balancer.recordProbeSent(server);
        const response = await this.#probeClient.probe(server, this.#settings.healthPath, {
            onNewConnection,
            onResend: () => this.#probeBudget.recordUnplanned(),
        });
        this.#usage.record(response ? "answered" : "unanswered");
        const isAlive = response !== undefined && !response.misdirected;
        this.#recordProbe(server, isAlive, startedAt);
        if (!isAlive) {
            this.#balancer.recordUnansweredProbe(server, this.#clock());
            return false;
        }
        this.#recordStatement(server, response.statement, "probe", startedAt);
        if (response.report) {
            this.#balancer.recordLoad(server, response.report, startedAt, this.#clock());
        } else {
            this.#balancer.recordResponseWithoutLoad(server);
        }
        return true;
    }

    /**
     * Returns false if none of the candidates has a free slot any more, or it isn't known whether one has and a probe will be
     * possible soon; the request then keeps waiting.
     *
     * @param probes number of probes that were sent for the request
     */
    #grant(reservation: Reservation, probes: number): boolean {
        if (!this.#waiting.has(reservation.request)) {
            this.#balancer.cancelReservation();
            return true;
        }
        const allowsUnknownLoad = this.#probeBudget.perRequest < 1;
        const slot = this.#balancer.grant(reservation, this.#clock(), allowsUnknownLoad);
        if (slot) {
            this.#usage.record("granted");
            this.#resolveWait(reservation.request, { kind: "slot", slot });
        } else {
            this.#usage.recordRequeued(probes);
        }
        return slot !== undefined;
    }

    #resolveWait(request: Request, result: AcquireResult): void {
        const resolve = this.#waiting.get(request);
        this.#waiting.delete(request);
        resolve?.(result);
    }
}

/** A quarter of the interval at which servers of a service with a slow start are probed. */
const checkIntervalMs = 100;
