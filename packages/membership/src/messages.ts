/** Gossip messages between entry VMs, with their schemas and size limits. */

import * as z from "zod";
import type { HealthRecord, MemberRecord, Payload } from "./record.js";

/** Version of the message format; messages with another version are rejected. */
export const gossipVersion = 1;

/** Largest message or reply in bytes of JSON, except for a reply to a joining entry VM. */
export const maxMessageBytes = 1600;

/** Largest reply to a joining entry VM, in bytes of JSON. */
export const maxJoinReplyBytes = 32_768;

/** Maximum size of a payload as JSON, in bytes. */
export const maxPayloadBytes = 256;
const maxRecords = 800;

const name = z.string().min(1).max(64);
const address = z.string().min(1).max(64);
const nonNegativeInt = z.number().int().nonnegative();
const payloadSchema = z
    .record(z.string().max(32), z.union([z.string().max(64), z.number()]))
    .refine(payload => JSON.stringify(payload).length <= maxPayloadBytes);

const healthFields = [
    name, // id
    name, // incarnation
    nonNegativeInt, // generation
    nonNegativeInt, // counter
    z.union([z.literal(0), z.literal(1), z.literal(2)]), // alive, suspect, dead
    z.union([z.literal(0), z.literal(1)]), // leaving
] as const;

const healthSchema = z.tuple(healthFields).readonly();

/** A record as a tuple: field names would double its size. */
const recordSchema = z
    .tuple([
        ...healthFields,
        name, // region
        name, // failure domain
        address, // callerAddress
        address, // peerAddress
        nonNegativeInt, // stamp
        z.number().nonnegative(), // load
        payloadSchema,
    ])
    .readonly();

/** A full record on the wire. */
export type PackedRecord = z.infer<typeof recordSchema>;

/** The health part of a record on the wire. */
export type PackedHealth = z.infer<typeof healthSchema>;

const header = {
    version: z.literal(gossipVersion),
    /** Name of the cluster, or a digest of its name and key. */
    cluster: z.string().min(1).max(64),
    /** The sender's record of itself. */
    from: recordSchema,
    /** Digest of all members that the sender doesn't consider dead. */
    digest: nonNegativeInt,
    records: z
        .array(z.union([recordSchema, healthSchema]))
        .max(maxRecords)
        .readonly(),
};

/** Schema of `GossipMessage`. */
export const gossipMessageSchema = z.object({
    ...header,
    /** Asks the receiver to ping this peer on the sender's behalf. */
    relayTo: z.object({ id: name, peerAddress: address }).optional(),
    /** Cursor: the reply's page starts after this id; "" starts at the beginning. */
    after: z.string().max(64),
    /** Whether the sender is still loading the member list and wants long replies. */
    joining: z.boolean(),
});

/** A message to a peer; also serves as a ping. */
export type GossipMessage = Readonly<z.infer<typeof gossipMessageSchema>>;

/** Schema of `GossipReply`. */
export const gossipReplySchema = z.object({
    ...header,
    /** Cursor for the next message; "" at the end of the list. */
    next: z.string().max(64),
    /** Whether the peer named in `relayTo` replied. */
    relayed: z.boolean(),
});

/** The reply to a message. */
export type GossipReply = Readonly<z.infer<typeof gossipReplySchema>>;

/** Sends messages to peers; rejects if there is no reply. */
export interface Transport {
    send(peerAddress: string, message: GossipMessage): Promise<GossipReply>;
}

/** Thrown for a message of another cluster or another format version. */
export class GossipRejectedError extends Error {
    constructor(reason: string) {
        super(reason);
        this.name = "GossipRejectedError";
    }
}

const healthStates = ["alive", "suspect", "dead"] as const;

/** Encodes the health part of a record. */
export const packHealth = (record: HealthRecord): PackedHealth => [
    record.id,
    record.incarnation,
    record.generation,
    record.counter,
    healthCode(record),
    record.leaving ? 1 : 0,
];

/** Encodes a full record. */
export const packRecord = (record: MemberRecord): PackedRecord => [
    ...packHealth(record),
    record.region,
    record.domain,
    record.callerAddress,
    record.peerAddress,
    record.stamp,
    Math.round(record.load),
    record.payload,
];

/** Decodes a full record. */
export const unpackRecord = (packed: PackedRecord): MemberRecord => {
    const [, , , , , , region, domain, callerAddress, peerAddress, stamp, load, payload] = packed;
    const rest = { region, domain, callerAddress, peerAddress, stamp, load, payload };
    return { ...unpackHealth(packed), ...rest };
};

/** Decodes the health part of either kind of record. */
export const unpackHealth = (packed: PackedRecord | PackedHealth): HealthRecord => {
    const [id, incarnation, generation, counter, health, leaving] = packed;
    return { id, incarnation, generation, counter, health: healthStates[health], leaving: leaving === 1 };
};

/** Returns whether the tuple is a full record. */
export const isFullRecord = (packed: PackedRecord | PackedHealth): packed is PackedRecord => {
    return packed.length > healthFields.length;
};

/** Throws a TypeError if the payload doesn't fit into a record. */
export const checkPayload = (payload: Payload): void => {
    if (!payloadSchema.safeParse(payload).success) {
        throw new TypeError(
            "payload must have keys of up to 32 characters, numbers or strings of up to 64, and 256 bytes of JSON at most",
        );
    }
};

const healthCode = (record: HealthRecord): 0 | 1 | 2 => {
    if (record.health === "alive") {
        return 0;
    }
    return record.health === "suspect" ? 1 : 2;
};
