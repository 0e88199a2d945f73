/** What a backend server says of itself in a response. */

import type { LoadReport } from "./types.js";

/** Statements of one response; a statement that can't be parsed is undefined. */
export interface ServerStatement {
    /** Id of the server incarnation that made them; undefined if it doesn't say. */
    readonly serverId: string | undefined;
    /** Load at the time of the response; undefined if it carries none. */
    readonly load: LoadReport | undefined;
    /** Requests per second that the server takes from all entry VMs together; Infinity if it names no limit. */
    readonly requestLimit: number | undefined;
    /** Whether the server is about to stop. */
    readonly leaving: boolean | undefined;
    /** Time for which the server wants no requests from this entry VM, in milliseconds; 0 if it names none. */
    readonly notNowMs: number | undefined;
    /** How long the server stays cold, in milliseconds; 0 if it doesn't say. Valid only in responses to probes. */
    readonly remainingColdMs: number | undefined;
}

/** Kind of response that contains a statement. */
export type StatementSource = "response" | "refusal" | "probe";
