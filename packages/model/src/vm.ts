/** Entry VMs as their peers, placement and the operators see them. */

import type { Locality } from "./spec.js";

/** What peers believe of an entry VM. */
export type VmState = "alive" | "suspect" | "leaving" | "dead";

/** One run of the entry process on an entry VM. */
export interface EntryVm {
    /** Stable name, from its settings. */
    readonly id: string;
    /** Random, new at each start; tickets and peers' messages carry it. */
    readonly incarnation: string;
    readonly place: Locality;
    /** "IP:port" where callers connect. */
    readonly callerAddress: string;
    /** "IP:port" where peers connect. */
    readonly peerAddress: string;
    readonly state: VmState;
    /** Calls per second that it carries now. */
    readonly load: number;
}
