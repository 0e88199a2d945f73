/** What requests need to be forwarded: the dependencies that all of them share. */

import type { IncomingMessage } from "node:http";
import type { ClientAccount, Route, ServerEntry } from "@bramleymoor/model/route";
import type { RequestAge } from "@bramleymoor/proxy/requestage";
import type { TimerSet } from "@bramleymoor/proxy/timers";
import type { TurnBudget } from "@bramleymoor/proxy/turnbudget";
import type { ExitReset } from "@bramleymoor/reset/exitreset";
import type { Observable } from "rxjs";
import type { KeepAliveAgent } from "./agent.js";
import type { BufferBudget } from "./bufferbudget.js";
import type { CrashGuard } from "./crashexchange.js";
import type { Dispatcher, RecordStatement } from "./dispatcher.js";
import type { SendGrant } from "./hedgedsend.js";
import type { ForwardRecord } from "./outcomes.js";
import type { PeerForwarder } from "./peerforward.js";
import type { QuotaGate } from "./quotaexchange.js";
import type { StopPlan } from "./stopplan.js";
import type { WireFormat } from "./wireformat.js";

/** A send that got no response that can be relayed. */
export interface LostSend {
    readonly requestId: string;
    /** Identifies the request among attempts that carry the same one. */
    readonly fingerprint: string;
    readonly server: ServerEntry;
    /** Time from the send to the end of the connection, in milliseconds. */
    readonly afterMs: number;
    /** What was received instead. */
    readonly reason: string;
}

/** Dependencies that all requests share. */
export interface ForwardOptions {
    readonly wire: WireFormat;
    /** Returns monotonic milliseconds. */
    readonly clock: () => number;
    readonly timers: TimerSet;
    readonly nextId: () => number;
    /** Returns a request's route; throws a CallError if there is none. */
    readonly findRoute: (host: string, target: string) => Route;
    /**
     * Returns the client account of a request; undefined if its route needs none, or none are configured.
     *
     * @throws CallError if the request carries no key of an account, or the accounts may be outdated
     */
    readonly authenticate: (req: IncomingMessage, route: Route) => ClientAccount | undefined;
    /** Whether client accounts are configured, so that servers get no keys. */
    readonly hasAccounts: () => boolean;
    /** Grants requests of accounts that have a quota. */
    readonly quotas: QuotaGate;
    /** Maximum size of a request body, in bytes. */
    readonly maxBodyBytes: () => number;
    /** Chooses one of a route's services for the next request. */
    readonly chooseService: (route: Route) => string;
    /** Returns a service's dispatcher; undefined if the service isn't configured. */
    readonly dispatcher: (service: string) => Dispatcher | undefined;
    /** Estimates the time since the caller's first attempt from its remaining deadline; both in milliseconds. */
    readonly elapsedMs: (route: Route, deadlineMs: number) => number;
    /** Counts a request at its first send, which adds to the service's retry budget. */
    readonly countRequest: (service: string) => void;
    /** Takes one retry from the service's budget; returns false if the budget is exhausted. */
    readonly tryRetry: (service: string) => boolean;
    /**
     * Takes a grant of an account's quota for a hedge; resolves to undefined or rejects with a CallError if there is none. No grant is
     * needed if this is absent.
     */
    readonly takeHedgeGrant?: (account: ClientAccount | undefined) => Promise<SendGrant | undefined>;
    /** Records what a server says of itself in a response. */
    readonly recordStatement: RecordStatement;
    /** Sends requests to peers while this entry VM can't reach the servers. */
    readonly peers: PeerForwarder;
    /** Emits when this entry VM has lost its links to the servers. */
    readonly linksLost: Observable<void>;
    /** Emits when failure domains have been evacuated or taken back into use. */
    readonly evacuationChanged: Observable<void>;
    /** Returns the times of the planned stop; undefined before it. */
    readonly stopPlan: () => StopPlan | undefined;
    /** Connections to servers: pooled ones, and new ones for requests that must not risk a stale connection. */
    readonly agents: Readonly<Record<"pooled" | "unpooled", KeepAliveAgent>>;
    /** Returns how long input has recently waited unread in accepted connections, in milliseconds. */
    readonly lagMs: () => number;
    /** Bounds the requests that are begun in one turn of the event loop. */
    readonly turns: TurnBudget;
    /** Returns where a request has spent time; called when it is read. */
    readonly ageOf: (req: IncomingMessage) => RequestAge;
    /** Returns the number of pending earlier requests on a request's connection; called when the request is read. */
    readonly countAhead: (req: IncomingMessage) => number;
    /** Whether other requests are pending on a request's connection. */
    readonly isPipelined: (req: IncomingMessage) => boolean;
    /** Whether later requests are pending on a request's connection. */
    readonly isFollowed: (req: IncomingMessage) => boolean;
    /** Bytes that may be buffered of long responses. */
    readonly responseBuffers: BufferBudget;
    /** Has the end of this process reset the connections of responses that end with them. */
    readonly exitReset: ExitReset;
    /** Resolves when no response before that of a request is being streamed on its connection. */
    readonly endOfStreamAhead: (req: IncomingMessage) => Promise<void>;
    /** Returns the headers that the entry VM adds to a response; called when the response head is written. */
    readonly extraHeaders: (req: IncomingMessage) => readonly string[];
    /** Keeps requests from servers that end under them. */
    readonly crashGuard: CrashGuard;
    /** Called for each send that got no response that can be relayed. */
    readonly onSendLost: (send: LostSend) => void;
    /** Called for each error that isn't the caller's or a server's, and that doesn't become the outcome of a request. */
    readonly onInternalError: (doing: string, err: unknown) => void;
    /** Called once at the end of each request. */
    readonly onDone: (record: ForwardRecord) => void;
}
