/** Which entry VMs are alive, as one entry VM believes: gossip with suspicion and refutation. */

import type { EntryVm } from "@bramleymoor/model/vm";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import { BehaviorSubject, type Observable } from "rxjs";
import { MembershipState, type FailureDetectionCounts, type FailureDetectionSettings } from "./state.js";
import { Timers } from "./timers.js";
import { GossipExchange } from "./exchange.js";
import { VmList, type ListedVm } from "./vmlist.js";
import { checkPayload, type GossipMessage, type GossipReply, type Transport } from "./messages.js";
import type { MemberRecord, Payload } from "./record.js";

/** Settings of `Membership`; all entry VMs of a cluster share them, but for `startedAt`. */
export interface MembershipSettings extends FailureDetectionSettings {
    /** Name of the cluster, or a digest of its name and key; messages of another one are refused. */
    readonly cluster: string;
    /** Any clock's milliseconds at the start of the process: a first guess at an order of runs, no more. */
    readonly startedAt: number;
    /** "IP:port" of peers to try first; may be empty when the platform's list is there. */
    readonly seeds: readonly string[];
    /** A ping without an answer counts as failed after this; milliseconds. */
    readonly pingTimeoutMs: number;
    /** Peers asked to ping a peer that did not answer. */
    readonly indirectPings: number;
}

/** Settings for clusters of 2 to 1,000 entry VMs; one peer is pinged in each period. */
export const membershipDefaults: Omit<MembershipSettings, "cluster" | "startedAt" | "seeds"> = {
    periodMs: 1000,
    pingTimeoutMs: 300,
    indirectPings: 3,
    suspectPeriods: 4,
    forgetAfterMs: 1_800_000,
};

const joiningPeriods = 10;
const retryPeriods = 5;
const triedAtOnce = 3;
const pausePeriods = 3;
const isolatedAfterFailures = 3;

/** Counters of one entry VM's membership. */
export interface MembershipCounts extends FailureDetectionCounts {
    readonly pings: number;
    readonly failedPings: number;
}

/** One entry VM's belief of who is alive. Nothing of safety may rest on it. */
export class Membership {
    readonly #settings: MembershipSettings;
    readonly #transport: Transport;
    readonly #random: RandomGenerator;
    readonly #listing = new VmList();
    readonly #deadlines = new Timers();
    readonly #beliefs: MembershipState;
    readonly #exchange: GossipExchange;
    readonly #members: BehaviorSubject<readonly EntryVm[]>;
    readonly #startedAt: number;
    #now: number;
    #nextPeriodAt: number;
    #periods = 0;
    #wakings = 0;
    #pings = 0;
    #failedPings = 0;
    /** Pings in a row without an answer, while no message came in either. */
    #silence = 0;
    #order: readonly string[] = [];
    /** Addresses of `#beliefs.lost` that were tried since they were lost. */
    #tried: ReadonlySet<string> = new Set();

    /** @param self as callers and peers reach it; its state and load are not read */
    constructor(
        self: EntryVm,
        transport: Transport,
        settings: MembershipSettings,
        random: RandomGenerator,
        now: number,
    ) {
        this.#settings = settings;
        this.#transport = transport;
        this.#random = random;
        this.#startedAt = now;
        this.#now = now;
        this.#nextPeriodAt = now;
        this.#beliefs = new MembershipState(recordOf(self, settings.startedAt), this.#listing, settings, now);
        this.#exchange = new GossipExchange(settings.cluster, this.#beliefs, now);
        this.#members = new BehaviorSubject(this.#beliefs.view());
    }

    /** Every member that is not dead, this one included, sorted by id; a new list after each change. */
    get members(): Observable<readonly EntryVm[]> {
        return this.#members.asObservable();
    }

    /** The newest list of `members`. */
    get current(): readonly EntryVm[] {
        return this.#members.value;
    }

    /** Whether a later run with this entry VM's id is alive; this one then keeps silent about itself. */
    get replaced(): boolean {
        return this.#beliefs.replaced;
    }

    /** Counters since the start. */
    get counts(): MembershipCounts {
        return { ...this.#beliefs.counts, pings: this.#pings, failedPings: this.#failedPings };
    }

    /** Records held, dead members' included. */
    get size(): number {
        return this.#beliefs.table.size;
    }

    /** Values that a member sends along with its record; empty for an unknown member. */
    payload(id: string): Payload {
        return this.#beliefs.table.get(id)?.payload ?? {};
    }

    /** Sends a value along with this entry VM's record; throws a TypeError if the payload grows too large. */
    setPayload(key: string, value: string | number): void {
        const payload = { ...this.#beliefs.self.payload, [key]: value };
        checkPayload(payload);
        this.#beliefs.updateSelfValues({ payload });
    }

    /** Tells the calls per second that this entry VM carries. */
    setLoad(callsPerSecond: number): void {
        this.#beliefs.updateSelfValues({ load: Math.max(0, Math.round(callsPerSecond)) });
    }

    /** Takes the platform's list of live and leaving VMs, which lags: seeds, and a hint of leaving and death. */
    updateVmList(listed: readonly ListedVm[], now: number): void {
        this.#now = Math.max(this.#now, now);
        this.#listing.update(listed);
        this.#beliefs.markChanged();
        this.#publish();
        this.#tryNew();
    }

    /** Tells the peers that this entry VM is leaving. */
    leave(now: number): void {
        this.#now = Math.max(this.#now, now);
        this.#beliefs.updateSelf({ leaving: true }, now);
        this.#publish();
    }

    /** Does what has come due and tells when the next thing will be; call it at that time. */
    tick(now: number): number {
        this.#noticePause(now);
        this.#now = now;
        this.#deadlines.fire(now);
        if (now >= this.#nextPeriodAt) {
            this.#nextPeriodAt = now + this.#jittered(this.#settings.periodMs);
            this.#period(now);
        }
        this.#publish();
        return Math.min(this.#nextPeriodAt, this.#deadlines.nextDueAt());
    }

    /** Answers a peer's message; rejects with GossipRejectedError if it is another cluster's. */
    async receive(message: GossipMessage, now: number): Promise<GossipReply> {
        this.#exchange.checkHeader(message);
        this.#noticePause(now);
        this.#now = Math.max(this.#now, now);
        this.#silence = 0;
        this.#exchange.receiveMessage(message, this.#now);
        this.#publish();
        const relayed = message.relayTo ? await this.#relay(message.relayTo) : false;
        return this.#exchange.createReply(message, relayed, this.#now);
    }

    /** After a pause, suspects get their time again, and pings begun before it prove nothing. */
    #noticePause(now: number): void {
        const gap = now - this.#now;
        if (gap > pausePeriods * this.#settings.periodMs) {
            this.#wakings++;
            this.#exchange.markJoined();
            this.#beliefs.table.shiftTimes(gap);
        }
    }

    #period(now: number): void {
        this.#periods++;
        if (now - this.#startedAt > joiningPeriods * this.#settings.periodMs) {
            this.#exchange.markJoined();
        }
        this.#beliefs.expire(this.#silence >= isolatedAfterFailures, this.#exchange.joined, now);
        const target = this.#nextTarget();
        if (target) {
            void this.#probe(target);
        }
        this.#tryNew();
        if (this.#periods % retryPeriods === 0) {
            void this.#tryLost();
        }
    }

    /** Pings a member, directly, then through others; suspects it if neither brings an answer. */
    async #probe(target: MemberRecord): Promise<void> {
        const wakings = this.#wakings;
        if (await this.#ping(target.peerAddress, target)) {
            return;
        }
        if (await this.#pingThroughOthers(target)) {
            return;
        }
        if (wakings === this.#wakings) {
            this.#beliefs.suspect(target, this.#now);
            this.#publish();
        }
    }

    async #ping(peerAddress: string, target: MemberRecord | undefined): Promise<boolean> {
        const reply = await this.#send(peerAddress, this.#exchange.message(target, this.#now));
        const answered = reply !== undefined && (!target || reply.from[0] === target.id);
        this.#pings++;
        this.#failedPings += answered ? 0 : 1;
        this.#silence = answered ? 0 : this.#silence + 1;
        return answered;
    }

    async #pingThroughOthers(target: MemberRecord): Promise<boolean> {
        const relayTo = { id: target.id, peerAddress: target.peerAddress };
        const others = this.#shuffled(this.#beliefs.peers.filter(id => id !== target.id));
        const message = { ...this.#exchange.message(target, this.#now), relayTo };
        const asked = others.slice(0, this.#settings.indirectPings).map(id => this.#askToRelay(id, message));
        const replies = await Promise.all(asked);
        return replies.includes(true);
    }

    async #askToRelay(helper: string, message: GossipMessage): Promise<boolean> {
        const address = this.#beliefs.table.get(helper)?.peerAddress;
        const reply = address === undefined ? undefined : await this.#send(address, message);
        return reply?.relayed === true;
    }

    async #relay(target: { readonly id: string; readonly peerAddress: string }): Promise<boolean> {
        const held = this.#beliefs.table.get(target.id);
        const reply = await this.#send(target.peerAddress, this.#exchange.message(held, this.#now));
        return reply?.from[0] === target.id;
    }

    /** Tries addresses that are listed and were not tried before, a few at a time. */
    #tryNew(): void {
        const lost = this.#beliefs.lostAddresses(this.#settings.seeds);
        const fresh = this.#shuffled(lost.filter(address => !this.#tried.has(address)));
        const next = fresh.slice(0, triedAtOnce);
        this.#tried = new Set([...lost.filter(address => this.#tried.has(address)), ...next]);
        for (const address of next) {
            void this.#ping(address, undefined);
        }
    }

    /** Tries an address where a lost member may be, so that two sides of a partition find each other. */
    async #tryLost(): Promise<void> {
        const addresses = this.#beliefs.lostAddresses(this.#settings.seeds);
        if (addresses.length > 0) {
            const address = addresses[uniformInt(this.#random, 0, addresses.length - 1)];
            await this.#ping(address ?? "", undefined);
        }
    }

    async #send(peerAddress: string, message: GossipMessage): Promise<GossipReply | undefined> {
        const rounds = message.relayTo ? 2 : 1;
        const timeoutAt = this.#now + rounds * this.#settings.pingTimeoutMs;
        const sent = this.#transport.send(peerAddress, message).catch(() => undefined);
        const reply = await Promise.race([sent, this.#deadlines.waitUntil(timeoutAt)]);
        if (!reply || !this.#isOurs(reply)) {
            return undefined;
        }
        this.#silence = 0;
        this.#exchange.receiveReply(reply, this.#now);
        this.#publish();
        return reply;
    }

    #isOurs(reply: GossipReply): boolean {
        try {
            this.#exchange.checkHeader(reply);
            return true;
        } catch {
            return false;
        }
    }

    /** The next member of a shuffled round, so that each is pinged once in every round. */
    #nextTarget(): MemberRecord | undefined {
        while (this.#order.length > 0) {
            const record = this.#beliefs.table.get(this.#order[0] ?? "");
            this.#order = this.#order.slice(1);
            if (record && record.health !== "dead") {
                return record;
            }
        }
        const [first, ...rest] = this.#shuffled(this.#beliefs.peers);
        this.#order = rest;
        return first === undefined ? undefined : this.#beliefs.table.get(first);
    }

    #shuffled(ids: readonly string[]): readonly string[] {
        const shuffled = [...ids];
        for (let i = shuffled.length - 1; i > 0; i--) {
            const j = uniformInt(this.#random, 0, i);
            [shuffled[i], shuffled[j]] = [shuffled[j] ?? "", shuffled[i] ?? ""];
        }
        return shuffled;
    }

    #jittered(ms: number): number {
        return Math.round((ms * uniformInt(this.#random, 900, 1100)) / 1000);
    }

    #publish(): void {
        if (this.#beliefs.takeChange()) {
            this.#members.next(this.#beliefs.view());
        }
    }
}

const recordOf = (self: EntryVm, generation: number): MemberRecord => ({
    id: self.id,
    incarnation: self.incarnation,
    generation,
    counter: 0,
    health: "alive",
    leaving: false,
    region: self.place.region,
    domain: self.place.domain,
    callerAddress: self.callerAddress,
    peerAddress: self.peerAddress,
    stamp: 0,
    load: 0,
    payload: {},
});
