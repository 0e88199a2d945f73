/** Builds and processes gossip messages within their limits of size and rate. */

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

/** Bytes reserved in a reply for everything but its records. */
const headerBytes = 250;
/** Records in the page of a reply to a peer that needs no long page. */
const shortPageRecords = 2;
/** With more updates than this, a reply carries a short page. */
const maxUpdatesWithFullPage = 4;
/** Bytes that a page may use even when the budget is spent. */
const minPageBytes = 250;
/** After this many replies an entry VM counts as having loaded the member list, whatever the digests. */
const maxLoadingReplies = 100;
/** Replies in a row with an equal digest that show that the member list has been loaded. */
const equalDigestsWhenLoaded = 4;
/** Rate and burst of the budget for updates, pages and indirect pings. */
const updateBytesPerSecond = 700;
const updateBurstBytes = 6000;
/** An indirect ping needs this balance, so that updates take precedence. */
const minBytesForIndirectPing = 2000;
/** Bytes charged for one indirect ping. */
const indirectPingBytes = 1500;
/** Rate of the budget for replies to joining entry VMs. */
const joinReplyBytesPerSecond = 200_000;

/** Fills outgoing messages with records that peers may lack, and merges the records of incoming ones. */
export class GossipExchange {
    readonly #cluster: string;
    readonly #state: MembershipState;
    readonly #updateBudget: ByteBudget;
    readonly #joinBudget: ByteBudget;
    #joined = false;
    #listLoaded = false;
    #replies = 0;
    /** Consecutive replies whose digest equals the local one. */
    #equalDigests = 0;
    /** Id up to which the peers' member lists have been read. */
    #pageCursor = "";

    constructor(cluster: string, state: MembershipState, now: number) {
        this.#cluster = cluster;
        this.#state = state;
        this.#updateBudget = new ByteBudget(updateBytesPerSecond, updateBurstBytes, now);
        this.#joinBudget = new ByteBudget(joinReplyBytesPerSecond, 2 * maxJoinReplyBytes, now);
    }

    /** Whether this entry VM has been a member for some time, or had the same digest as a peer. */
    get joined(): boolean {
        return this.#joined;
    }

    /** Whether this entry VM has, most probably, loaded the whole member list from its peers. */
    get listLoaded(): boolean {
        return this.#listLoaded;
    }

    markJoined(): void {
        this.#joined = true;
    }

    /** Throws GossipRejectedError unless the message has this cluster and format version. */
    checkHeader(message: GossipMessage | GossipReply): void {
        if (message.version !== gossipVersion) {
            throw new GossipRejectedError(`gossip version ${message.version} is not ${gossipVersion}`);
        }
        if (message.cluster !== this.#cluster) {
            throw new GossipRejectedError(`cluster ${message.cluster} is not ${this.#cluster}`);
        }
    }

    /** Creates a message for a member, or for an address where there may be one (`target` undefined). */
    createMessage(target: MemberRecord | undefined, now: number): GossipMessage {
        const suspicion = target && target.health !== "alive" ? [packHealth(target)] : [];
        const records = [...suspicion, ...this.#takeUpdates(now)];
        return { ...this.#header(), records, after: this.#pageCursor, joining: !this.#listLoaded };
    }

    /** Charges the bytes of one indirect ping; returns false if the balance is to be kept for updates. */
    tryIndirectPing(now: number): boolean {
        if (this.#updateBudget.available(now) < minBytesForIndirectPing) {
            return false;
        }
        this.#updateBudget.spend(indirectPingBytes);
        return true;
    }

    /** Creates the reply to a message whose records have been merged. */
    createReply(message: GossipMessage, relayed: boolean, now: number): GossipReply {
        const header = this.#header();
        const equal = message.digest === header.digest;
        const updates = [...this.#recordToRefute(unpackRecord(message.from)), ...this.#takeUpdates(now)];
        const budget = message.joining && !equal ? this.#joinBudget : this.#updateBudget;
        const maxBytes = message.joining && !equal ? maxJoinReplyBytes : maxMessageBytes;
        const affordable = Math.max(budget.available(now), minPageBytes);
        const pageBytes = Math.min(affordable, maxBytes - headerBytes - jsonLength(updates));
        const short = equal || (updates.length > maxUpdatesWithFullPage && !message.joining);
        const page = this.#state.table.page(message.after, pageBytes, short ? shortPageRecords : Infinity);
        budget.spend(jsonLength(page.records));
        return { ...header, records: [...updates, ...page.records], next: page.next, relayed };
    }

    /** Merges a message's records. */
    receiveMessage(message: GossipMessage, now: number): void {
        this.#merge(message, now);
    }

    /** Merges a reply's records and moves the page cursor on. */
    receiveReply(reply: GossipReply, now: number): void {
        this.#pageCursor = reply.next;
        this.#merge(reply, now);
        const equal = reply.digest === this.#state.table.digest;
        this.#replies++;
        this.#equalDigests = equal ? this.#equalDigests + 1 : 0;
        this.#listLoaded ||=
            this.#replies > maxLoadingReplies || this.#equalDigests >= equalDigestsWhenLoaded;
        if (equal) {
            this.#joined = true;
            this.#state.table.recordEqualDigest();
        }
    }

    #merge(message: GossipMessage | GossipReply, now: number): void {
        for (const packed of [...message.records, message.from]) {
            if (isFullRecord(packed)) {
                this.#state.mergeRecords([unpackRecord(packed)], this.#joined, now);
            } else {
                this.#state.mergeHealth(unpackHealth(packed), this.#joined, now);
            }
        }
    }

    /** Returns the local record of the sender if the sender has to refute it or yield to it. */
    #recordToRefute(sender: MemberRecord): readonly PackedRecord[] {
        const known = this.#state.table.get(sender.id);
        return known && (known.health !== "alive" || isLaterIncarnation(known, sender))
            ? [packRecord(known)]
            : [];
    }

    #takeUpdates(now: number): readonly (PackedRecord | PackedHealth)[] {
        const records = this.#state.table.takeUpdates(
            Math.min(this.#updateBudget.available(now), maxMessageBytes / 2),
        );
        this.#updateBudget.spend(jsonLength(records));
        return records;
    }

    #header() {
        return {
            version: gossipVersion,
            cluster: this.#cluster,
            from: packRecord(this.#state.self),
            digest: this.#state.table.digest,
        } as const;
    }
}

const jsonLength = (records: readonly unknown[]): number => {
    return records.length === 0 ? 0 : JSON.stringify(records).length;
};
