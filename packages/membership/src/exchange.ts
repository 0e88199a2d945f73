/** Writes and reads the messages between entry VMs, inside their bounds of size. */

import type { Beliefs } from "./beliefs.js";
import {
    GossipRefused,
    gossipVersion,
    joinBytes,
    messageBytes,
    pack,
    unpack,
    type GossipMessage,
    type GossipReply,
    type PackedRecord,
} from "./messages.js";
import { isLaterRun, type MemberRecord } from "./record.js";

const frameBytes = 250;
const agreedPageCount = 2;

/** One side of the messages: fills them with what peers may not know, and takes theirs in. */
export class Exchange {
    readonly #cluster: string;
    readonly #beliefs: Beliefs;
    #joined = false;
    /** Where the peers' lists have been read up to. */
    #after = "";

    constructor(cluster: string, beliefs: Beliefs) {
        this.#cluster = cluster;
        this.#beliefs = beliefs;
    }

    /** Whether this entry VM has been a member for a while, or knows all that a peer knows. */
    get joined(): boolean {
        return this.#joined;
    }

    markJoined(): void {
        this.#joined = true;
    }

    /** Throws GossipRefused unless the message is of this cluster and form. */
    check(message: GossipMessage | GossipReply): void {
        if (message.version !== gossipVersion) {
            throw new GossipRefused(`gossip version ${message.version} is not ${gossipVersion}`);
        }
        if (message.cluster !== this.#cluster) {
            throw new GossipRefused(`cluster ${message.cluster} is not ${this.#cluster}`);
        }
    }

    /** A message for a member, or for an address where one may be. */
    message(target: MemberRecord | undefined): GossipMessage {
        const doubted = target && target.health !== "alive" ? [pack(target)] : [];
        return {
            ...this.#frame(doubted, messageBytes - frameBytes),
            after: this.#after,
            joining: !this.#joined,
        };
    }

    /** The reply to a message whose records have been taken. */
    reply(message: GossipMessage, relayed: boolean): GossipReply {
        const bytes = (message.joining ? joinBytes : messageBytes) - frameBytes;
        const frame = this.#frame(this.#correction(unpack(message.from)), bytes);
        const agreed = message.digest === frame.digest;
        const left = bytes - sizeOf([frame.from, ...frame.records]);
        const page = this.#beliefs.roster.page(message.after, left, agreed ? agreedPageCount : Infinity);
        return { ...frame, records: [...frame.records, ...page.records], next: page.next, relayed };
    }

    /** Takes a message's records. */
    takeMessage(message: GossipMessage, now: number): void {
        this.#take(message, now);
    }

    /** Takes a reply's records, and reads on from there with the next message. */
    takeReply(reply: GossipReply, now: number): void {
        this.#after = reply.next;
        this.#take(reply, now);
        this.#joined ||= reply.digest === this.#beliefs.roster.digest;
    }

    #take(message: GossipMessage | GossipReply, now: number): void {
        const records = [...message.records, message.from].map(unpack);
        this.#beliefs.take(records, this.#joined, now);
    }

    /** What this entry VM holds of the sender, if the sender has to answer to it. */
    #correction(sender: MemberRecord): readonly PackedRecord[] {
        const held = this.#beliefs.roster.get(sender.id);
        return held && (held.health !== "alive" || isLaterRun(held, sender)) ? [pack(held)] : [];
    }

    #frame(first: readonly PackedRecord[], bytes: number) {
        const from = pack(this.#beliefs.self);
        const left = bytes - sizeOf([from, ...first]);
        return {
            version: gossipVersion,
            cluster: this.#cluster,
            from,
            digest: this.#beliefs.roster.digest,
            records: [...first, ...this.#beliefs.roster.changes(left)],
        } as const;
    }
}

const sizeOf = (records: readonly PackedRecord[]): number => JSON.stringify(records).length;
