/** Messages between entry VMs about who is alive, with their schemas and bounds. */

import * as z from "zod";
import type { HealthRecord, MemberRecord, Payload } from "./record.js";

/** Number of the messages' form; another form is refused. */
export const gossipVersion = 1;

/** Most bytes of a message or reply as JSON, but for a reply to a joining entry VM. */
export const maxMessageBytes = 1600;

/** Most bytes of a reply to a joining entry VM. */
export const maxJoinReplyBytes = 32_768;

const payloadBytes = 256;
const recordsAtMost = 800;

const name = z.string().min(1).max(64);
const address = z.string().min(1).max(64);
const whole = z.number().int().nonnegative();
const payloadSchema = z
    .record(z.string().max(32), z.union([z.string().max(64), z.number()]))
    .refine(payload => JSON.stringify(payload).length <= payloadBytes);

const healthFields = [
    name, // id
    name, // incarnation
    whole, // generation
    whole, // counter
    z.union([z.literal(0), z.literal(1), z.literal(2)]), // alive, suspect, dead
    z.union([z.literal(0), z.literal(1)]), // leaving
] as const;

const healthSchema = z.tuple(healthFields).readonly();

/** A record on the wire: its fields in a fixed order, since names would double its size. */
const packedSchema = z
    .tuple([
        ...healthFields,
        name, // region
        name, // failure domain
        address, // for callers
        address, // for peers
        whole, // stamp
        z.number().nonnegative(), // load
        payloadSchema,
    ])
    .readonly();

/** A record on the wire. */
export type PackedRecord = z.infer<typeof packedSchema>;

/** What a record says of life and death, on the wire. */
export type PackedHealth = z.infer<typeof healthSchema>;

const header = {
    version: z.literal(gossipVersion),
    /** Name of the cluster, or a digest of its name and key. */
    cluster: z.string().min(1).max(64),
    /** The sender's record of itself. */
    from: packedSchema,
    /** Digest over all members that the sender believes in. */
    digest: whole,
    records: z
        .array(z.union([packedSchema, healthSchema]))
        .max(recordsAtMost)
        .readonly(),
};

/** A message to a peer: schema. */
export const gossipMessageSchema = z.object({
    ...header,
    /** Set when the receiver is to ping this peer on the sender's behalf. */
    relayTo: z.object({ id: name, peerAddress: address }).optional(),
    /** The reply's records go on after this id; "" for the beginning. */
    after: z.string().max(64),
    /** The sender knows nobody yet and wants long replies. */
    joining: z.boolean(),
});

/** A message to a peer. */
export type GossipMessage = Readonly<z.infer<typeof gossipMessageSchema>>;

/** The answer to a message: schema. */
export const gossipReplySchema = z.object({
    ...header,
    /** Id to go on after in the next message; "" at the end of the list. */
    next: z.string().max(64),
    /** Whether the peer of `relayTo` answered. */
    relayed: z.boolean(),
});

/** The answer to a message. */
export type GossipReply = Readonly<z.infer<typeof gossipReplySchema>>;

/** Carries messages to peers; rejects when there is no answer. */
export interface Transport {
    send(peerAddress: string, message: GossipMessage): Promise<GossipReply>;
}

/** A message of another cluster, or one of another form. */
export class GossipRejectedError extends Error {
    constructor(reason: string) {
        super(reason);
        this.name = "GossipRejectedError";
    }
}

const healths = ["alive", "suspect", "dead"] as const;

/** What the record says of life and death, in its wire form. */
export const packHealth = (record: HealthRecord): PackedHealth => [
    record.id,
    record.incarnation,
    record.generation,
    record.counter,
    healthNumber(record),
    record.leaving ? 1 : 0,
];

/** The record in its wire form. */
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

/** The record from its wire form. */
export const unpackRecord = (packed: PackedRecord): MemberRecord => {
    const [, , , , , , region, domain, callerAddress, peerAddress, stamp, load, payload] = packed;
    const rest = { region, domain, callerAddress, peerAddress, stamp, load, payload };
    return { ...unpackHealth(packed), ...rest };
};

/** What a record says of life and death, from the wire form of either kind. */
export const unpackHealth = (packed: PackedRecord | PackedHealth): HealthRecord => {
    const [id, incarnation, generation, counter, health, leaving] = packed;
    return { id, incarnation, generation, counter, health: healths[health], leaving: leaving === 1 };
};

/** Tells whether the wire form is that of a whole record. */
export const isFullRecord = (packed: PackedRecord | PackedHealth): packed is PackedRecord => {
    return packed.length > healthFields.length;
};

/** Throws a TypeError unless the payload fits a record. */
export const checkPayload = (payload: Payload): void => {
    if (!payloadSchema.safeParse(payload).success) {
        throw new TypeError("payload: short keys with numbers or strings, 256 bytes of JSON in all");
    }
};

const healthNumber = (record: HealthRecord): 0 | 1 | 2 => {
    if (record.health === "alive") {
        return 0;
    }
    return record.health === "suspect" ? 1 : 2;
};
