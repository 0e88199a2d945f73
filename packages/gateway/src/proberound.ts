/** Probes the candidates of one request one after the other, until one of them is good enough. */

import type { ServerState } from "@bramleymoor/balance/server";
import { startTimeout } from "@bramleymoor/proxy/timers";

/** What a `ProbeRound` needs from its owner. */
export interface ProbeRoundOptions {
    /** The servers to probe, in this order. */
    readonly servers: readonly ServerState[];
    /** Whether a probe of a server would still add something. */
    readonly needsProbe: (server: ServerState) => boolean;
    /** Debits a probe from the budget; false if the budget is used up. */
    readonly tryTake: () => boolean;
    /** Probes a server, and resolves when the result has been recorded; never rejects. */
    readonly probe: (server: ServerState) => Promise<void>;
    /** Whether a candidate is known to which no other can be much preferable. */
    readonly isDecided: () => boolean;
    /** Called once, when the round has ended. */
    readonly onEnd: (end: ProbeRoundEnd) => void;
    /** Called for each result that arrives after the round has ended. */
    readonly onLateResult: () => void;
}

/** Why a round ended. */
export type ProbeRoundEnd =
    /** A candidate is good enough. */
    | "decided"
    /** All servers that were probed have responded, and there are no further ones or no budget for them. */
    | "exhausted"
    /** The round has taken `maxRoundMs`. */
    | "timeout";

/** One round of probes. */
export class ProbeRound {
    readonly #options: ProbeRoundOptions;
    readonly #remaining: ServerState[];
    #cancelRoundTimeout: () => void = () => undefined;
    #cancelStagger: () => void = () => undefined;
    #outstanding = 0;
    #ended = false;

    constructor(options: ProbeRoundOptions) {
        this.#options = options;
        this.#remaining = [...options.servers];
    }

    /** Sends the first probe and returns true; returns false if there is none to send, and then never calls `onEnd`. */
    start(): boolean {
        if (!this.#probeNext()) {
            return false;
        }
        this.#cancelRoundTimeout = startTimeout(maxRoundMs, () => this.#end("timeout"));
        return true;
    }

    /** Probes the next server; one that doesn't respond soon doesn't hold back the probe of the one after it. */
    #probeNext(): boolean {
        this.#cancelStagger();
        const server = this.#takeServer();
        if (!server || !(server.probePending || this.#options.tryTake())) {
            return false;
        }
        this.#outstanding++;
        this.#cancelStagger = startTimeout(staggerMs, () => this.#continue());
        void this.#options.probe(server).then(() => {
            this.#outstanding--;
            this.#continue();
        });
        return true;
    }

    #takeServer(): ServerState | undefined {
        for (let server = this.#remaining.shift(); server; server = this.#remaining.shift()) {
            if (this.#options.needsProbe(server)) {
                return server;
            }
        }
        return undefined;
    }

    #continue(): void {
        if (this.#ended) {
            this.#options.onLateResult();
        } else if (this.#options.isDecided()) {
            this.#end("decided");
        } else if (!this.#probeNext() && this.#outstanding === 0) {
            this.#end("exhausted");
        }
    }

    #end(end: ProbeRoundEnd): void {
        if (!this.#ended) {
            this.#ended = true;
            this.#cancelRoundTimeout();
            this.#cancelStagger();
            this.#options.onEnd(end);
        }
    }
}

/** Longer than a round trip between failure domains. */
const staggerMs = 4;
/** Several round trips between failure domains. */
const maxRoundMs = 12;
