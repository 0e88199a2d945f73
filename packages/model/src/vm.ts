/** State of the entry VMs as seen by peers, placement and operators. */

import type { Locality } from "./spec.js";

/** Membership state of an entry VM. */
export type VmState = "alive" | "suspect" | "leaving" | "dead";

/** A running instance of the entry process on an entry VM. */
export interface EntryVm {
    /** Stable name, taken from the settings file. */
    readonly id: string;
    /** Random identifier, generated at each start; part of tickets and of messages between peers. */
    readonly incarnation: string;
    readonly place: Locality;
    /** "IP:port" on which callers connect. */
    readonly callerAddress: string;
    /** "IP:port" on which peers connect. */
    readonly peerAddress: string;
    readonly state: VmState;
    /** Current load, in calls per second. */
    readonly load: number;
}
