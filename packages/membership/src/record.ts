/** What one entry VM believes of another, and which of two beliefs is the newer. */

import type { EntryVm } from "@bramleymoor/model/vm";

/** Small values that travel with a member's record, such as the version of its accepted text. */
export type Payload = Readonly<Record<string, string | number>>;

/** What a belief says of life and death; enough for a peer that knows the rest of the record. */
export interface HealthRecord {
    readonly id: string;
    readonly incarnation: string;
    /** Orders the incarnations of one id; the highest one is the entry VM's present run. */
    readonly generation: number;
    /** Raised by the entry VM itself when it refutes a suspicion or starts to leave. */
    readonly counter: number;
    readonly health: "alive" | "suspect" | "dead";
    readonly leaving: boolean;
}

/** A belief of one run of the entry process on one entry VM. */
export interface MemberRecord extends HealthRecord {
    readonly region: string;
    readonly domain: string;
    readonly callerAddress: string;
    readonly peerAddress: string;
    /** Orders the values of load and payload within one counter. */
    readonly stamp: number;
    /** Calls per second. */
    readonly load: number;
    readonly payload: Payload;
}

const severity = { alive: 0, suspect: 1, dead: 2 } as const;

/** Tells whether `a` belongs to a later run than `b` of the same entry VM. */
export const isLaterIncarnation = (a: MemberRecord, b: MemberRecord): boolean => {
    if (a.generation !== b.generation) {
        return a.generation > b.generation;
    }
    return a.incarnation > b.incarnation;
};

/** Tells whether `a` says more of life and death than `b`, a belief of the same entry VM. */
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

/** Tells whether `a` has later values of load and payload than `b`, with nothing else changed. */
export const hasNewerValues = (a: MemberRecord, b: MemberRecord): boolean => {
    const same = a.incarnation === b.incarnation && a.generation === b.generation && a.counter === b.counter;
    return same && a.stamp > b.stamp;
};

/** The record as the other packages see it. */
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
