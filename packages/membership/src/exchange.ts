/** Writes and reads the messages between entry VMs, inside their bounds of size and rate. */

import { ByteBudget } from "./bytebudget.js";
import type { MembershipState } from "./state.js";
import {
    GossipRejectedError,
    gossipVersion,
    isFullRecord,
    maxJoinReplyBytes,
    maxMessageBytes,
    packRecord,
    packHealth,
    unpackRecord,
    unpackHealth,
    type GossipMessage,
    type GossipReply,
    type PackedHealth,
    type PackedRecord,
} from "./messages.js";
import { isLaterIncarnation, type MemberRecord } from "./record.js";

const frameBytes = 250;
const shortPageCount = 2;
const fewChanges = 4;
const leastPageBytes = 250;
const learningReplies = 100;
const learnedAgreements = 4;
const newsBytesPerSecond = 700;
const newsBytesSaved = 6000;
const helpBytesSpare = 2000;
const helpBytes = 1500;
const joinBytesPerSecond = 16_000;

/** One side of the messages: fills them with what peers may not know, and takes theirs in. */
export class GossipExchange {
    readonly #cluster: string;
    readonly #beliefs: MembershipState;
    readonly #news: ByteBudget;
    readonly #joins: ByteBudget;
    #joined = false;
    /** Whether this entry VM has most probably read all that its peers know. */
    #learned = false;
    #replies = 0;
    /** Replies in a row with our own digest. */
    #agreements = 0;
    /** Where the peers' lists have been read up to. */
    #after = "";

    constructor(cluster: string, beliefs: MembershipState, now: number) {
        this.#cluster = cluster;
        this.#beliefs = beliefs;
        this.#news = new ByteBudget(newsBytesPerSecond, newsBytesSaved, now);
        this.#joins = new ByteBudget(joinBytesPerSecond, 2 * maxJoinReplyBytes, now);
    }

    /** Whether this entry VM has been a member for a while, or knows all that a peer knows. */
    get joined(): boolean {
        return this.#joined;
    }

    markJoined(): void {
        this.#joined = true;
    }

    /** Throws GossipRejectedError unless the message is of this cluster and form. */
    checkHeader(createMessage: GossipMessage | GossipReply): void {
        if (createMessage.version !== gossipVersion) {
            throw new GossipRejectedError(`gossip version ${createMessage.version} is not ${gossipVersion}`);
        }
        if (createMessage.cluster !== this.#cluster) {
            throw new GossipRejectedError(`cluster ${createMessage.cluster} is not ${this.#cluster}`);
        }
    }

    /** A message for a member, or for an address where one may be. */
    message(target: MemberRecord | undefined, now: number): GossipMessage {
        const doubted = target && target.health !== "alive" ? [packHealth(target)] : [];
        const records = [...doubted, ...this.#changes(now)];
        return { ...this.#frame(), records, after: this.#after, joining: !this.#learned };
    }

    /** Spends the bytes of asking one helper to ping a member; false if they are better spent on news. */
    tryIndirectPing(now: number): boolean {
        if (this.#news.available(now) < helpBytesSpare) {
            return false;
        }
        this.#news.spend(helpBytes);
        return true;
    }

    /** The reply to a message whose records have been taken. */
    createReply(message: GossipMessage, relayed: boolean, now: number): GossipReply {
        const frame = this.#frame();
        const agreed = message.digest === frame.digest;
        const first = [...this.#correction(unpackRecord(message.from)), ...this.#changes(now)];
        const purse = message.joining && !agreed ? this.#joins : this.#news;
        const most = message.joining && !agreed ? maxJoinReplyBytes : maxMessageBytes;
        const affordable = Math.max(purse.available(now), leastPageBytes);
        const left = Math.min(affordable, most - frameBytes - sizeOf(first));
        const short = agreed || (first.length > fewChanges && !message.joining);
        const page = this.#beliefs.table.page(message.after, left, short ? shortPageCount : Infinity);
        purse.spend(sizeOf(page.records));
        return { ...frame, records: [...first, ...page.records], next: page.next, relayed };
    }

    /** Takes a message's records. */
    receiveMessage(message: GossipMessage, now: number): void {
        this.#take(message, now);
    }

    /** Takes a reply's records, and reads on from there with the next message. */
    receiveReply(reply: GossipReply, now: number): void {
        this.#after = reply.next;
        this.#take(reply, now);
        const agreed = reply.digest === this.#beliefs.table.digest;
        this.#replies++;
        this.#agreements = agreed ? this.#agreements + 1 : 0;
        this.#learned ||= this.#replies > learningReplies || this.#agreements >= learnedAgreements;
        if (agreed) {
            this.#joined = true;
            this.#beliefs.table.recordEqualDigest();
        }
    }

    #take(message: GossipMessage | GossipReply, now: number): void {
        for (const packed of [...message.records, message.from]) {
            if (isFullRecord(packed)) {
                this.#beliefs.mergeRecords([unpackRecord(packed)], this.#joined, now);
            } else {
                this.#beliefs.mergeHealth(unpackHealth(packed), this.#joined, now);
            }
        }
    }

    /** What this entry VM holds of the sender, if the sender has to answer to it. */
    #correction(sender: MemberRecord): readonly PackedRecord[] {
        const held = this.#beliefs.table.get(sender.id);
        return held && (held.health !== "alive" || isLaterIncarnation(held, sender))
            ? [packRecord(held)]
            : [];
    }

    #changes(now: number): readonly (PackedRecord | PackedHealth)[] {
        const records = this.#beliefs.table.takeUpdates(
            Math.min(this.#news.available(now), maxMessageBytes / 2),
        );
        this.#news.spend(sizeOf(records));
        return records;
    }

    #frame() {
        return {
            version: gossipVersion,
            cluster: this.#cluster,
            from: packRecord(this.#beliefs.self),
            digest: this.#beliefs.table.digest,
        } as const;
    }
}

const sizeOf = (records: readonly unknown[]): number => {
    return records.length === 0 ? 0 : JSON.stringify(records).length;
};
