/** Member records of the gossip protocol, and which of two records of a member is newer. */

import type { EntryVm } from "@bramleymoor/model/vm";

/** Small values sent with a member's record, such as the version of its accepted configuration. */
export type Payload = Readonly<Record<string, string | number>>;

/** The health part of a record; enough for a peer that already has the rest. */
export interface HealthRecord {
    readonly id: string;
    readonly incarnation: string;
    /** Orders the incarnations of one id; the highest is the current process. */
    readonly generation: number;
    /** Incremented only by the entry VM itself, when it refutes a suspicion or starts to leave. */
    readonly counter: number;
    readonly health: "alive" | "suspect" | "dead";
    readonly leaving: boolean;
}

/** What is known of one incarnation of an entry VM. */
export interface MemberRecord extends HealthRecord {
    readonly region: string;
    readonly domain: string;
    readonly callerAddress: string;
    readonly peerAddress: string;
    /** Version of load and payload; comparable between records with the same counter. */
    readonly stamp: number;
    /** Calls per second that the entry VM carries. */
    readonly load: number;
    readonly payload: Payload;
}

const severity = { alive: 0, suspect: 1, dead: 2 } as const;

/** Returns whether `a` belongs to a later incarnation than `b` of the same entry VM. */
export const isLaterIncarnation = (a: MemberRecord, b: MemberRecord): boolean => {
    if (a.generation !== b.generation) {
        return a.generation > b.generation;
    }
    return a.incarnation > b.incarnation;
};

/** Returns whether the health in `a` overrides that in `b`, a record of the same entry VM. */
export const supersedes = (a: MemberRecord, b: MemberRecord): boolean => {
    if (a.incarnation !== b.incarnation) {
        return isLaterIncarnation(a, b);
    }
    if (a.generation !== b.generation) {
        return a.generation > b.generation;
    }
    if (a.counter !== b.counter) {
        return a.counter > b.counter;
    }
    return severity[a.health] > severity[b.health];
};

/** Returns whether `a` differs from `b` only by newer values of load and payload. */
export const hasNewerValues = (a: MemberRecord, b: MemberRecord): boolean => {
    const same = a.incarnation === b.incarnation && a.generation === b.generation && a.counter === b.counter;
    return same && a.stamp > b.stamp;
};

/** Converts a record to the type that the other packages use. */
export const toEntryVm = (record: MemberRecord): EntryVm => ({
    id: record.id,
    incarnation: record.incarnation,
    place: { region: record.region, domain: record.domain },
    callerAddress: record.callerAddress,
    peerAddress: record.peerAddress,
    state: stateOf(record),
    load: record.load,
});

const stateOf = (record: MemberRecord): EntryVm["state"] => {
    if (record.health === "dead") {
        return "dead";
    }
    return record.leaving ? "leaving" : record.health;
};
