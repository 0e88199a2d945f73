/** How the dispatchers of one service share the slots of its backend servers, softly and by messages. */

import type { Service } from "@bramleymoor/model/spec";
import type { Share } from "./types.js";

/** What one dispatcher tells another; dispatchers are named by their index in the share. */
export type PeerMessage = DemandHint | LoanRequest | LoanReply;

/** Sent to every peer from time to time: how many slots the sender could use. */
export interface DemandHint {
    readonly version: 1;
    readonly kind: "hint";
    readonly from: number;
    /** Mean of requests in flight and queued. */
    readonly demand: number;
}

/** Sent by a dispatcher whose calls wait: lend me idle slots. */
export interface LoanRequest {
    readonly version: 1;
    readonly kind: "ask";
    readonly from: number;
}

/** Answer to a LoanRequest, perhaps with no slots. The loan ends by itself on both sides. */
export interface LoanReply {
    readonly version: 1;
    readonly kind: "loan";
    readonly from: number;
    /** A slot of each of these servers, by position in the accepted text. */
    readonly servers: readonly number[];
    readonly termMs: number;
}

/** Carries messages to the other dispatchers of the service; may lose them. */
export interface PeerSender {
    send(to: number, message: PeerMessage): void;
}

/** Slots in use and idle, as the owner of the sharing sees them. */
export interface SlotUsage {
    readonly inFlight: number;
    readonly queued: number;
    /** How long the oldest queued call has waited, in milliseconds; 0 if none has. */
    readonly waitedMs: number;
    /** Idle slots that this dispatcher may use, one entry a slot: positions of their servers. */
    readonly idle: () => readonly number[];
}

/** Decides which slots this dispatcher may use; a wrong belief costs milliseconds and ends by itself. */
export class SlotSharing {
    readonly #peers: PeerSender;
    #share: Share = { index: 0, count: 1 };
    #slots: readonly number[] = [];
    #order: readonly number[] = [];
    #allotted: Allotment | undefined;
    #others = new Map<number, PeerState>();
    #borrowed: readonly LoanHeld[] = [];
    #lent: readonly LoanHeld[] = [];
    #demand = 0;
    #sampledAt = 0;
    #hintDue = 0;

    constructor(peers: PeerSender) {
        this.#peers = peers;
    }

    update(service: Service, share: Share, now: number): void {
        this.#slots = service.servers.map(it => it.slots);
        this.#order = slotOrder(this.#slots);
        this.#allotted = undefined;
        if (share.index !== this.#share.index || share.count !== this.#share.count) {
            this.#share = share;
            this.#others = new Map(
                othersOf(share).map(it => [it, { demand: undefined, heardAt: now, askedAt: -Infinity }]),
            );
            this.#borrowed = [];
            this.#lent = [];
        }
    }

    /**
     * Slots of each server, by position in the accepted text, that this dispatcher may use now; the same array as
     * before if nothing has changed.
     */
    allocation(now: number): readonly number[] {
        const [from, to] = this.#interval(now);
        this.#lent = live(this.#lent, now);
        this.#borrowed = live(this.#borrowed, now);
        const basis = { from, to, lent: this.#lent, borrowed: this.#borrowed };
        if (!this.#allotted || !sameBasis(this.#allotted, basis)) {
            this.#allotted = { ...basis, counts: this.#count(basis) };
        }
        return this.#allotted.counts;
    }

    /** Positions of servers of which slots are lent now. */
    lentPositions(now: number): ReadonlySet<number> {
        return new Set(live(this.#lent, now).map(it => it.position));
    }

    /** Sends what has come due and tells when the next thing will be. */
    tick(use: SlotUsage, now: number): number {
        if (this.#others.size === 0) {
            return Infinity;
        }
        this.#sample(use, now);
        if (now >= this.#hintDue) {
            this.#hintDue = now + hintEveryMs * this.#spacing;
            this.#tellAll({
                version: 1,
                kind: "hint",
                from: this.#share.index,
                demand: Math.round(this.#demand * 10) / 10,
            });
        }
        if (use.waitedMs >= askAfterMs) {
            this.#askAll(now);
        }
        const asking = use.queued > 0 ? now + askStepMs : Infinity;
        return Math.min(
            this.#hintDue,
            asking,
            ...live([...this.#borrowed, ...this.#lent], now).map(it => it.until),
        );
    }

    receive(message: PeerMessage, use: SlotUsage, now: number): void {
        const peer = this.#others.get(message.from);
        if (!peer || message.version !== 1) {
            return;
        }
        peer.heardAt = now;
        switch (message.kind) {
            case "hint":
                peer.demand = message.demand;
                break;
            case "ask":
                this.#lend(message.from, use, now);
                break;
            case "loan":
                this.#borrowed = [
                    ...live(this.#borrowed, now),
                    ...held(message.servers, now + message.termMs),
                ];
        }
    }

    #count({ from, to, lent, borrowed }: AllotmentBasis): readonly number[] {
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

    /** Factor by which messages to one peer are spaced out when there are many peers. */
    get #spacing(): number {
        return Math.max(1, Math.ceil(this.#others.size / peersAtFullPace));
    }

    #lend(to: number, use: SlotUsage, now: number): void {
        const idle = use.queued > 0 ? [] : use.idle();
        const servers = idle.slice(0, Math.floor(idle.length / 2));
        this.#lent = [...live(this.#lent, now), ...held(servers, now + loanTermMs)];
        this.#peers.send(to, {
            version: 1,
            kind: "loan",
            from: this.#share.index,
            servers,
            termMs: loanTermMs,
        });
    }

    #askAll(now: number): void {
        for (const [index, peer] of this.#others) {
            if (now >= peer.askedAt + askEveryMs * this.#spacing) {
                peer.askedAt = now;
                this.#peers.send(index, { version: 1, kind: "ask", from: this.#share.index });
            }
        }
    }

    #tellAll(message: DemandHint): void {
        for (const index of this.#others.keys()) {
            this.#peers.send(index, message);
        }
    }

    /** This dispatcher's part of the slots, in proportion to demand; silent peers have none. */
    #interval(now: number): readonly [number, number] {
        const total = this.#order.length;
        const weights = Array.from({ length: this.#share.count }, (_, index) => this.#weight(index, now));
        const sum = weights.reduce((a, b) => a + b, 0);
        const before = weights.slice(0, this.#share.index).reduce((a, b) => a + b, 0);
        const own = weights[this.#share.index] ?? 0;
        return [Math.round((before / sum) * total), Math.round(((before + own) / sum) * total)];
    }

    #weight(index: number, now: number): number {
        const peer = this.#others.get(index);
        if (!peer) {
            return Math.max(leastDemand, this.#demand);
        }
        const unanswered = peer.askedAt > peer.heardAt && now >= peer.askedAt + answerWithinMs;
        if (unanswered || now >= peer.heardAt + hintsUntilSilent * hintEveryMs * this.#spacing) {
            return 0;
        }
        return Math.max(leastDemand, peer.demand ?? this.#demand);
    }

    #sample({ inFlight, queued }: SlotUsage, now: number): void {
        const keep = Math.exp((this.#sampledAt - now) / demandMemoryMs);
        this.#demand = this.#demand * keep + (inFlight + queued) * (1 - keep);
        this.#sampledAt = now;
    }
}

interface PeerState {
    demand: number | undefined;
    heardAt: number;
    askedAt: number;
}

interface LoanHeld {
    readonly position: number;
    readonly until: number;
}

/** What an allotment was made from. */
interface AllotmentBasis {
    /** Part of the slot order, without its end. */
    readonly from: number;
    readonly to: number;
    readonly lent: readonly LoanHeld[];
    readonly borrowed: readonly LoanHeld[];
}

interface Allotment extends AllotmentBasis {
    readonly counts: readonly number[];
}

const sameBasis = (one: AllotmentBasis, other: AllotmentBasis): boolean =>
    one.from === other.from &&
    one.to === other.to &&
    one.lent === other.lent &&
    one.borrowed === other.borrowed;

const othersOf = ({ index, count }: Share): readonly number[] =>
    Array.from({ length: count }, (_, at) => at).filter(at => at !== index);

/** Every server's first slot, then every second one and so on, so that each part touches most servers. */
const slotOrder = (slots: readonly number[]): readonly number[] => {
    const most = Math.max(0, ...slots);
    const rounds = Array.from({ length: most }, (_, round) => round);
    return rounds.flatMap(round => slots.flatMap((count, position) => (count > round ? [position] : [])));
};

/** Loans that have not ended; the same array if none has. */
const live = (loans: readonly LoanHeld[], now: number): readonly LoanHeld[] =>
    loans.every(it => it.until > now) ? loans : loans.filter(it => it.until > now);

const held = (servers: readonly number[], until: number): readonly LoanHeld[] =>
    servers.map(position => ({ position, until }));

const hintEveryMs = 100;
const peersAtFullPace = 4;
const askAfterMs = 1;
const askEveryMs = 25;
const askStepMs = 1;
/** A peer that leaves a LoanRequest unanswered for so long is taken to be gone until it is heard again. */
const answerWithinMs = 6;
/** Hint intervals without a word after which a peer counts as gone. */
const hintsUntilSilent = 3.5;
const loanTermMs = 50;
const demandMemoryMs = 200;
/** Demand that a dispatcher without calls still counts for. */
const leastDemand = 0.05;
