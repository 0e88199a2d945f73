/** Sends requests to peers that reach the servers, while this entry VM doesn't. */

import type { IncomingMessage } from "node:http";
import { isAddress } from "@bramleymoor/model/address";
import type { RouteKind } from "@bramleymoor/model/route";
import type { EntryVm } from "@bramleymoor/model/vm";
import type { KeepAliveAgent } from "./agent.js";
import { examinePeerResponse } from "./examine.js";
import { Exchange, type OutgoingRequest } from "./exchange.js";
import type { WireFormat } from "./wireformat.js";

/** A request to send to a peer. */
export type PeerRequest = Pick<
    OutgoingRequest,
    "requestId" | "method" | "target" | "headers" | "latestConnectAt" | "writeBody"
> & {
    /** What may be repeated; one that may not isn't sent on a connection that the peer may have dropped. */
    readonly kind: RouteKind;
};

/** Dependencies of a `PeerForwarder`. */
export interface PeerForwarderOptions {
    readonly wire: WireFormat;
    /** Whether this entry VM has lost its links to the servers. */
    readonly isCutOff: () => boolean;
    /** Returns the peers that reach the servers and have room. */
    readonly helpers: () => readonly EntryVm[];
    /** Connections to peers: pooled ones, and new ones for requests that must not risk a stale connection. */
    readonly agents: Readonly<Record<"pooled" | "unpooled", KeepAliveAgent>>;
    /** Returns a random number of at least 0 and below 1. */
    readonly random: () => number;
    /** Returns monotonic milliseconds. */
    readonly clock: () => number;
}

/** Sends requests to the peers that help, and spreads them over these. */
export class PeerForwarder {
    readonly #options: PeerForwarderOptions;
    /** Requests in flight, by the peer's name. */
    readonly #inFlight = new Map<string, number>();

    constructor(options: PeerForwarderOptions) {
        this.#options = options;
    }

    /** Whether requests are to be sent to peers. */
    get isNeeded(): boolean {
        return this.#options.isCutOff();
    }

    /**
     * Sends a request to one of the peers that it hasn't been sent to; returns undefined if none has room.
     *
     * @param tried names of the peers that it has been sent to, to which the chosen one is added
     */
    open(
        request: PeerRequest,
        tried: Set<string>,
    ): { readonly exchange: Exchange; readonly peer: string } | undefined {
        const { wire, clock } = this.#options;
        const peer = this.#choose(tried);
        if (!peer) {
            return undefined;
        }
        tried.add(peer.id);
        const exchange = new Exchange({
            ...request,
            address: peer.peerAddress,
            agent: this.#agentFor(peer.peerAddress, request),
            clock,
            examine: res => examinePeerResponse(res, request, wire),
        });
        this.#count(peer.id, 1);
        void exchange.closed.then(() => this.#count(peer.id, -1));
        return { exchange, peer: peer.id };
    }

    #agentFor(address: string, { kind, requestId }: PeerRequest): KeepAliveAgent {
        const { pooled, unpooled } = this.#options.agents;
        return kind === "non-idempotent" || pooled.hasCarried(address, requestId) ? unpooled : pooled;
    }

    /** Returns the less busy of two random peers. */
    #choose(tried: ReadonlySet<string>): EntryVm | undefined {
        const { helpers, random } = this.#options;
        const candidates = helpers().filter(
            vm =>
                isAddress(vm.peerAddress) &&
                !tried.has(vm.id) &&
                (this.#inFlight.get(vm.id) ?? 0) < maxInFlight,
        );
        const pick = (): EntryVm | undefined => candidates[Math.floor(random() * candidates.length)];
        const [first, second] = [pick(), pick()];
        const load = (vm: EntryVm | undefined): number => (vm ? (this.#inFlight.get(vm.id) ?? 0) : Infinity);
        return load(second) < load(first) ? second : first;
    }

    #count(vm: string, change: number): void {
        const count = (this.#inFlight.get(vm) ?? 0) + change;
        if (count > 0) {
            this.#inFlight.set(vm, count);
        } else {
            this.#inFlight.delete(vm);
        }
    }
}

/** Returns headers that tell a peer how old a request is, in milliseconds; names and values alternating. */
export const peerAgeHeaders = (ageMs: number): readonly string[] => [
    peerAgeHeader,
    String(Math.round(ageMs)),
];

/** Returns how long a request of a peer had been there when the peer sent it, in milliseconds; 0 if it doesn't say. */
export const ageAtPeerMs = ({ headers }: IncomingMessage): number => {
    const value = String(headers[peerAgeHeader] ?? "");
    return /^\d{1,8}$/.test(value) ? Number(value) : 0;
};

/** Name of the header between entry VMs that holds a request's age; not forwarded to servers. */
export const peerAgeHeader = "bm-age-ms";

/** Requests in flight at one peer; more would keep it from its own callers. */
const maxInFlight = 64;
