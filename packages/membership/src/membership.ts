/** Group membership of the entry VMs: a SWIM-like gossip protocol with suspicion and refutation. */

import type { EntryVm } from "@bramleymoor/model/vm";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import { BehaviorSubject, type Observable } from "rxjs";
import { GossipExchange } from "./exchange.js";
import { checkPayload, type GossipMessage, type GossipReply, type Transport } from "./messages.js";
import type { MemberRecord, Payload } from "./record.js";
import { MembershipState, type FailureDetectionCounts, type FailureDetectionSettings } from "./state.js";
import { Timers } from "./timers.js";
import { VmListCache, type ListedVm } from "./vmlist.js";

/** Settings of `Membership`; the same for all entry VMs of a cluster, except `startedAt`. */
export interface MembershipSettings extends FailureDetectionSettings {
    /** Name of the cluster, or a digest of its name and key; messages of other clusters are rejected. */
    readonly cluster: string;
    /** Start of the process in milliseconds on any clock; only an initial estimate of the order of incarnations. */
    readonly startedAt: number;
    /** "IP:port" of peers to contact first; may be empty if there is a list from the platform. */
    readonly seeds: readonly string[];
    /** A ping without a reply counts as failed after this time, in milliseconds. */
    readonly pingTimeoutMs: number;
    /** Number of peers asked to ping a peer that did not reply. */
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

/** An entry VM counts as joined after this many periods, even if no peer has had the same digest. */
const joinedAfterPeriods = 10;
/** A lost address is pinged once in this many periods. */
const lostRetryPeriods = 5;
const maxNewAddressesAtOnce = 3;
/** A longer gap between two calls counts as a pause of the process. */
const pausePeriods = 3;
/** After this many unanswered pings in a row an entry VM considers itself isolated. */
const isolatedAfterFailures = 3;

/** Counters of one entry VM's membership. */
export interface MembershipCounts extends FailureDetectionCounts {
    readonly pings: number;
    readonly failedPings: number;
}

/** One entry VM's view of which entry VMs are alive. It may be wrong, so no safety property may depend on it. */
export class Membership {
    readonly #settings: MembershipSettings;
    readonly #transport: Transport;
    readonly #random: RandomGenerator;
    readonly #vmList = new VmListCache();
    readonly #timers = new Timers();
    readonly #state: MembershipState;
    readonly #exchange: GossipExchange;
    readonly #members: BehaviorSubject<readonly EntryVm[]>;
    readonly #startedAt: number;
    #now: number;
    #nextPeriodAt: number;
    #periods = 0;
    #pauses = 0;
    #pings = 0;
    #failedPings = 0;
    /** Consecutive unanswered pings during which no message was received either. */
    #unansweredPings = 0;
    #pingOrder: readonly string[] = [];
    /** Addresses of `#state.lostAddresses` that have been pinged since they were lost. */
    #triedAddresses: ReadonlySet<string> = new Set();

    /** @param self this entry VM with its addresses; its state and load are not read */
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
        this.#state = new MembershipState(
            initialRecord(self, settings.startedAt),
            this.#vmList,
            settings,
            now,
        );
        this.#exchange = new GossipExchange(settings.cluster, this.#state, now);
        this.#members = new BehaviorSubject(this.#state.view());
    }

    /** Emits all members that are not dead, including this one, sorted by id; a new list after each change. */
    get members(): Observable<readonly EntryVm[]> {
        return this.#members.asObservable();
    }

    /** The latest list of `members`. */
    get current(): readonly EntryVm[] {
        return this.#members.value;
    }

    /** Whether a later incarnation with this entry VM's id is alive; this one then stops announcing itself. */
    get replaced(): boolean {
        return this.#state.replaced;
    }

    /** Counters since the start. */
    get counts(): MembershipCounts {
        return { ...this.#state.counts, pings: this.#pings, failedPings: this.#failedPings };
    }

    /** Number of records, including those of dead members. */
    get size(): number {
        return this.#state.table.size;
    }

    /** Returns the payload that a member sends with its record; empty for an unknown member. */
    payload(id: string): Payload {
        return this.#state.table.get(id)?.payload ?? {};
    }

    /** Sets a value of this entry VM's payload; throws a TypeError if the payload becomes too large. */
    setPayload(key: string, value: string | number): void {
        const payload = { ...this.#state.self.payload, [key]: value };
        checkPayload(payload);
        this.#state.updateSelfValues({ payload });
    }

    /** Sets the load of this entry VM, in calls per second. */
    setLoad(callsPerSecond: number): void {
        this.#state.updateSelfValues({ load: Math.max(0, Math.round(callsPerSecond)) });
    }

    /**
     * Sets the platform's list of live and leaving VMs. The list lags; it provides addresses to contact and a hint
     * about which members are leaving or dead.
     */
    updateVmList(listed: readonly ListedVm[], now: number): void {
        this.#now = Math.max(this.#now, now);
        this.#vmList.update(listed);
        this.#state.markChanged();
        this.#publish();
        this.#pingNewAddresses();
    }

    /** Announces to the peers that this entry VM is leaving. */
    leave(now: number): void {
        this.#now = Math.max(this.#now, now);
        this.#state.updateSelf({ leaving: true }, now);
        this.#publish();
    }

    /** Runs what is due at `now` and returns the time of the next call. */
    tick(now: number): number {
        this.#detectPause(now);
        this.#now = now;
        this.#timers.fire(now);
        if (now >= this.#nextPeriodAt) {
            this.#nextPeriodAt = now + this.#jittered(this.#settings.periodMs);
            this.#runPeriod(now);
        }
        this.#publish();
        return Math.min(this.#nextPeriodAt, this.#timers.nextDueAt());
    }

    /** Processes a peer's message; rejects with GossipRejectedError if its cluster or version differs. */
    async receive(message: GossipMessage, now: number): Promise<GossipReply> {
        this.#exchange.checkHeader(message);
        this.#detectPause(now);
        this.#now = Math.max(this.#now, now);
        this.#unansweredPings = 0;
        this.#exchange.receiveMessage(message, this.#now);
        this.#publish();
        const relayed = message.relayTo ? await this.#relay(message.relayTo) : false;
        return this.#exchange.createReply(message, relayed, this.#now);
    }

    /** After a pause of the process, extends the timeouts of suspects and ignores failures of earlier pings. */
    #detectPause(now: number): void {
        const gapMs = now - this.#now;
        if (gapMs > pausePeriods * this.#settings.periodMs) {
            this.#pauses++;
            this.#exchange.markJoined();
            this.#state.table.shiftTimes(gapMs);
        }
    }

    #runPeriod(now: number): void {
        this.#periods++;
        if (now - this.#startedAt > joinedAfterPeriods * this.#settings.periodMs) {
            this.#exchange.markJoined();
        }
        this.#state.expire(this.#unansweredPings >= isolatedAfterFailures, this.#exchange.joined, now);
        const target = this.#nextTarget();
        if (target) {
            void this.#checkMember(target);
        }
        this.#pingNewAddresses();
        if (!this.#exchange.listLoaded) {
            void this.#pingSeed();
        }
        if (this.#periods % lostRetryPeriods === 0) {
            void this.#pingLostAddress();
        }
    }

    /** Pings a member directly, then through other members; marks it as suspect if neither gets a reply. */
    async #checkMember(target: MemberRecord): Promise<void> {
        const pauses = this.#pauses;
        if (await this.#ping(target.peerAddress, target)) {
            return;
        }
        if (await this.#pingIndirectly(target)) {
            return;
        }
        if (pauses === this.#pauses) {
            this.#state.suspect(target, this.#now);
            this.#publish();
        }
    }

    async #ping(peerAddress: string, target: MemberRecord | undefined): Promise<boolean> {
        const reply = await this.#send(peerAddress, this.#exchange.createMessage(target, this.#now));
        const replied = reply !== undefined && (!target || reply.from[0] === target.id);
        this.#pings++;
        this.#failedPings += replied ? 0 : 1;
        this.#unansweredPings = replied ? 0 : this.#unansweredPings + 1;
        return replied;
    }

    async #pingIndirectly(target: MemberRecord): Promise<boolean> {
        const relayTo = { id: target.id, peerAddress: target.peerAddress };
        const helpers = this.#shuffled(this.#state.peers.filter(id => id !== target.id));
        const message = { ...this.#exchange.createMessage(target, this.#now), relayTo };
        const requests = helpers
            .slice(0, this.#settings.indirectPings)
            .map(id => this.#requestRelay(id, message));
        const replies = await Promise.all(requests);
        return replies.includes(true);
    }

    async #requestRelay(helper: string, message: GossipMessage): Promise<boolean> {
        const address = this.#state.table.get(helper)?.peerAddress;
        const reply = address === undefined ? undefined : await this.#send(address, message);
        return reply?.relayed === true;
    }

    async #relay(target: { readonly id: string; readonly peerAddress: string }): Promise<boolean> {
        const record = this.#state.table.get(target.id);
        const reply = await this.#send(target.peerAddress, this.#exchange.createMessage(record, this.#now));
        return reply?.from[0] === target.id;
    }

    /** Pings lost, listed and seed addresses that were not pinged before, a few at a time. */
    #pingNewAddresses(): void {
        const lost = this.#state.lostAddresses(this.#settings.seeds);
        const untried = this.#shuffled(lost.filter(address => !this.#triedAddresses.has(address)));
        const next = untried.slice(0, maxNewAddressesAtOnce);
        this.#triedAddresses = new Set([
            ...lost.filter(address => this.#triedAddresses.has(address)),
            ...next,
        ]);
        for (const address of next) {
            void this.#ping(address, undefined);
        }
    }

    /** Pings a random seed: of many entry VMs that start at once, all contact the seeds, which so know most of them. */
    async #pingSeed(): Promise<void> {
        const seeds = this.#settings.seeds.filter(it => it !== this.#state.self.peerAddress);
        if (seeds.length > 0) {
            await this.#ping(seeds[uniformInt(this.#random, 0, seeds.length - 1)] ?? "", undefined);
        }
    }

    /** Pings a random lost address, so that the two sides of a network partition rejoin. */
    async #pingLostAddress(): Promise<void> {
        const addresses = this.#state.lostAddresses(this.#settings.seeds);
        if (addresses.length > 0) {
            const address = addresses[uniformInt(this.#random, 0, addresses.length - 1)];
            await this.#ping(address ?? "", undefined);
        }
    }

    async #send(peerAddress: string, message: GossipMessage): Promise<GossipReply | undefined> {
        const hops = message.relayTo ? 2 : 1;
        const timeoutAt = this.#now + hops * this.#settings.pingTimeoutMs;
        const sent = this.#transport.send(peerAddress, message).catch(() => undefined);
        const reply = await Promise.race([sent, this.#timers.waitUntil(timeoutAt)]);
        if (!reply || !this.#isValidReply(reply)) {
            return undefined;
        }
        this.#unansweredPings = 0;
        this.#exchange.receiveReply(reply, this.#now);
        this.#publish();
        return reply;
    }

    #isValidReply(reply: GossipReply): boolean {
        try {
            this.#exchange.checkHeader(reply);
            return true;
        } catch {
            return false;
        }
    }

    /** Returns the next member of a shuffled round; each member is pinged once per round. */
    #nextTarget(): MemberRecord | undefined {
        while (this.#pingOrder.length > 0) {
            const record = this.#state.table.get(this.#pingOrder[0] ?? "");
            this.#pingOrder = this.#pingOrder.slice(1);
            if (record && record.health !== "dead") {
                return record;
            }
        }
        const [first, ...rest] = this.#shuffled(this.#state.peers);
        this.#pingOrder = rest;
        return first === undefined ? undefined : this.#state.table.get(first);
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
        if (this.#state.takeChange()) {
            this.#members.next(this.#state.view());
        }
    }
}

const initialRecord = (self: EntryVm, generation: number): MemberRecord => ({
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
