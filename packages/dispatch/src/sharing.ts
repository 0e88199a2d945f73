/**
 * How the dispatchers of one service share the slots of its backend servers. They exchange messages that may be lost,
 * so that the shares may overlap or leave slots unused for a short time.
 */

import type { Service } from "@bramleymoor/model/spec";
import { PauseDetector } from "./pauses.js";
import type { Share } from "./types.js";

/** Message between two dispatchers, which are identified by their index in the share. */
export type PeerMessage = DemandHint | LoanRequest | LoanReply;

/** Sent to every peer at intervals: how many slots the sender could use. */
export interface DemandHint {
    readonly version: 1;
    readonly kind: "hint";
    readonly from: number;
    /** Moving average of the requests in flight and queued. */
    readonly demand: number;
}

/** Sent by a dispatcher whose calls wait, to borrow idle slots of the receiver. */
export interface LoanRequest {
    readonly version: 1;
    readonly kind: "ask";
    readonly from: number;
}

/** Reply to a LoanRequest, possibly without any slots. The loan expires on both sides without a message. */
export interface LoanReply {
    readonly version: 1;
    readonly kind: "loan";
    readonly from: number;
    /** Position in the accepted configuration of each lent slot's server. */
    readonly servers: readonly number[];
    /** Duration of the loan, in milliseconds. */
    readonly termMs: number;
}

/** Sends messages to the other dispatchers of the service; messages may be lost. */
export interface PeerSender {
    send(to: number, message: PeerMessage): void;
}

/** Use of the slots by the dispatcher that owns the `SlotSharing`. */
export interface SlotUsage {
    readonly inFlight: number;
    readonly queued: number;
    /** Time for which the oldest queued call has waited, in milliseconds; 0 if none is queued. */
    readonly oldestWaitMs: number;
    /** Returns the idle slots that this dispatcher may use: the position of its server for each. */
    readonly idleSlots: () => readonly number[];
}

/**
 * Determines which slots this dispatcher may use. Wrong information about peers costs some milliseconds of latency and
 * expires by itself.
 */
export class SlotSharing {
    readonly #peers: PeerSender;
    #share: Share = { index: 0, count: 1 };
    #slots: readonly number[] = [];
    #order: readonly number[] = [];
    #allocation: Allocation | undefined;
    #otherPeers = new Map<number, PeerState>();
    #pauses = new PauseDetector(Infinity);
    #borrowed: readonly ActiveLoan[] = [];
    #lent: readonly ActiveLoan[] = [];
    #demand = 0;
    #demandSampledAt = 0;
    #hintDueAt = 0;

    constructor(peers: PeerSender) {
        this.#peers = peers;
    }

    /** Applies a new configuration of the service or a new share; a changed share drops all loans. */
    update(service: Service, share: Share, now: number): void {
        this.#slots = service.servers.map(it => it.slots);
        this.#order = slotOrder(this.#slots);
        this.#allocation = undefined;
        if (share.index !== this.#share.index || share.count !== this.#share.count) {
            this.#share = share;
            this.#otherPeers = new Map(
                otherIndexes(share).map(it => [
                    it,
                    { demand: undefined, heardAt: now, loanRequestedAt: -Infinity },
                ]),
            );
            this.#pauses = new PauseDetector(this.#silentAfterMs / 2);
            this.#borrowed = [];
            this.#lent = [];
        }
    }

    /**
     * Returns how many slots of each server, by position in the accepted configuration, this dispatcher may use
     * now; the same array as before if nothing has changed.
     */
    allocation(now: number): readonly number[] {
        const [from, to] = this.#interval(now);
        this.#lent = unexpired(this.#lent, now);
        this.#borrowed = unexpired(this.#borrowed, now);
        const inputs = { from, to, lent: this.#lent, borrowed: this.#borrowed };
        if (!this.#allocation || !sameInputs(this.#allocation, inputs)) {
            this.#allocation = { ...inputs, counts: this.#countSlots(inputs) };
        }
        return this.#allocation.counts;
    }

    /** Returns the positions of the servers of which slots are lent now. */
    lentPositions(now: number): ReadonlySet<number> {
        return new Set(unexpired(this.#lent, now).map(it => it.position));
    }

    /** Sends the messages that are due; returns when to call it again. */
    tick(usage: SlotUsage, now: number): number {
        if (this.#otherPeers.size === 0) {
            return Infinity;
        }
        this.#pauses.tick(now);
        this.#sampleDemand(usage, now);
        if (now >= this.#hintDueAt) {
            this.#hintDueAt = now + hintIntervalMs * this.#intervalFactor;
            this.#broadcast({
                version: 1,
                kind: "hint",
                from: this.#share.index,
                demand: Math.round(this.#demand * 10) / 10,
            });
        }
        if (usage.oldestWaitMs >= loanRequestDelayMs) {
            this.#requestLoans(now);
        }
        const queuedTickAt = usage.queued > 0 ? now + queuedTickMs : Infinity;
        return Math.min(
            this.#hintDueAt,
            queuedTickAt,
            ...unexpired([...this.#borrowed, ...this.#lent], now).map(it => it.until),
        );
    }

    /** Handles a message of another dispatcher; those of unknown senders and versions are ignored. */
    receive(message: PeerMessage, usage: SlotUsage, now: number): void {
        const peer = this.#otherPeers.get(message.from);
        if (!peer || message.version !== 1) {
            return;
        }
        peer.heardAt = now;
        switch (message.kind) {
            case "hint":
                peer.demand = message.demand;
                break;
            case "ask":
                this.#lend(message.from, usage, now);
                break;
            case "loan":
                this.#borrowed = [
                    ...unexpired(this.#borrowed, now),
                    ...loansOf(message.servers, now + message.termMs),
                ];
        }
    }

    #countSlots({ from, to, lent, borrowed }: AllocationInputs): readonly number[] {
        const counts = this.#slots.map(() => 0);
        const add = (position: number, by: number): void => {
            counts[position] = Math.max(0, (counts[position] ?? 0) + by);
        };
        for (let at = from; at < to; at++) {
            add(this.#order[at]!, 1);
        }
        lent.forEach(it => add(it.position, -1));
        borrowed.forEach(it => add(it.position, 1));
        return counts.map((count, position) => Math.min(count, this.#slots[position] ?? 0));
    }

    /** Factor by which the intervals between messages to one peer are extended when there are many peers. */
    get #intervalFactor(): number {
        return Math.max(1, Math.ceil(this.#otherPeers.size / peersAtFullRate));
    }

    /** Time without a message after which a peer counts as gone, in milliseconds. */
    get #silentAfterMs(): number {
        return missedHintsUntilSilent * hintIntervalMs * this.#intervalFactor;
    }

    /** Lends half of the idle slots to a peer; none while own calls are queued. */
    #lend(to: number, usage: SlotUsage, now: number): void {
        const idle = usage.queued > 0 ? [] : usage.idleSlots();
        const servers = idle.slice(0, Math.floor(idle.length / 2));
        this.#lent = [...unexpired(this.#lent, now), ...loansOf(servers, now + loanTermMs)];
        this.#peers.send(to, {
            version: 1,
            kind: "loan",
            from: this.#share.index,
            servers,
            termMs: loanTermMs,
        });
    }

    #requestLoans(now: number): void {
        for (const [index, peer] of this.#otherPeers) {
            if (now >= peer.loanRequestedAt + loanRequestIntervalMs * this.#intervalFactor) {
                peer.loanRequestedAt = now;
                this.#peers.send(index, { version: 1, kind: "ask", from: this.#share.index });
            }
        }
    }

    #broadcast(message: DemandHint): void {
        for (const index of this.#otherPeers.keys()) {
            this.#peers.send(index, message);
        }
    }

    /** This dispatcher's part of the slot order, in proportion to demand; unresponsive peers have none. */
    #interval(now: number): readonly [number, number] {
        const total = this.#order.length;
        const weights = Array.from({ length: this.#share.count }, (_, index) => this.#weight(index, now));
        const sum = weights.reduce((a, b) => a + b, 0);
        const before = weights.slice(0, this.#share.index).reduce((a, b) => a + b, 0);
        const own = weights[this.#share.index] ?? 0;
        return [Math.round((before / sum) * total), Math.round(((before + own) / sum) * total)];
    }

    #weight(index: number, now: number): number {
        const peer = this.#otherPeers.get(index);
        if (!peer) {
            return Math.max(minDemand, this.#demand);
        }
        const runningSince = this.#pauses.runningSince(now);
        const isUnanswered =
            peer.loanRequestedAt > peer.heardAt &&
            now >= Math.max(peer.loanRequestedAt, runningSince) + loanReplyTimeoutMs;
        const isSilent = now >= Math.max(peer.heardAt, runningSince) + this.#silentAfterMs;
        return isUnanswered || isSilent ? 0 : Math.max(minDemand, peer.demand ?? this.#demand);
    }

    #sampleDemand({ inFlight, queued }: SlotUsage, now: number): void {
        const keep = Math.exp((this.#demandSampledAt - now) / demandDecayMs);
        this.#demand = this.#demand * keep + (inFlight + queued) * (1 - keep);
        this.#demandSampledAt = now;
    }
}

interface PeerState {
    demand: number | undefined;
    heardAt: number;
    loanRequestedAt: number;
}

interface ActiveLoan {
    readonly position: number;
    readonly until: number;
}

/** What an allocation is computed from. */
interface AllocationInputs {
    /** This dispatcher's part of the slot order, from `from` up to but not including `to`. */
    readonly from: number;
    readonly to: number;
    readonly lent: readonly ActiveLoan[];
    readonly borrowed: readonly ActiveLoan[];
}

interface Allocation extends AllocationInputs {
    readonly counts: readonly number[];
}

const sameInputs = (left: AllocationInputs, right: AllocationInputs): boolean =>
    left.from === right.from &&
    left.to === right.to &&
    left.lent === right.lent &&
    left.borrowed === right.borrowed;

const otherIndexes = ({ index, count }: Share): readonly number[] =>
    Array.from({ length: count }, (_, at) => at).filter(at => at !== index);

/** Orders the first slot of every server before every second one and so on, so that each part covers most servers. */
const slotOrder = (slots: readonly number[]): readonly number[] => {
    const most = Math.max(0, ...slots);
    const rounds = Array.from({ length: most }, (_, round) => round);
    return rounds.flatMap(round => slots.flatMap((count, position) => (count > round ? [position] : [])));
};

/** Returns the loans that haven't expired; the same array if none has. */
const unexpired = (loans: readonly ActiveLoan[], now: number): readonly ActiveLoan[] =>
    loans.every(it => it.until > now) ? loans : loans.filter(it => it.until > now);

const loansOf = (servers: readonly number[], until: number): readonly ActiveLoan[] =>
    servers.map(position => ({ position, until }));

const hintIntervalMs = 100;
/** Number of peers up to which messages are sent at their normal intervals. */
const peersAtFullRate = 4;
/** Wait of the oldest queued call after which slots are borrowed. */
const loanRequestDelayMs = 1;
const loanRequestIntervalMs = 25;
/** Time between two ticks while calls are queued. */
const queuedTickMs = 1;
/** Time without a reply to a LoanRequest after which a peer counts as gone until it is heard again. */
const loanReplyTimeoutMs = 6;
/** Hint intervals without a message after which a peer counts as gone. */
const missedHintsUntilSilent = 3.5;
const loanTermMs = 50;
const demandDecayMs = 200;
/** Demand that is assumed at least, so that a dispatcher without calls still gets slots. */
const minDemand = 0.05;
