/** What became of each send of one request. */

import type { SlotResult } from "@bramleymoor/balance/types";

/** One send of a request. */
export class Send {
    readonly #receiver: string;
    readonly #isSent: () => boolean;
    #result: SlotResult | undefined = undefined;
    #evidence = "";

    /**
     * @param receiver the server's or peer's name
     * @param isSent returns whether any byte can have reached the receiver
     */
    constructor(receiver: string, isSent: () => boolean) {
        this.#receiver = receiver;
        this.#isSent = isSent;
    }

    /** How it ended; undefined while it is in progress. */
    get result(): SlotResult | undefined {
        return this.#result;
    }

    /**
     * Records how the send ended; later calls do nothing. One that can't have reached the receiver counts as unreachable.
     *
     * @param evidence what was seen of the receiver, in a few words; empty if nothing was
     */
    end(result: SlotResult, evidence = ""): void {
        if (!this.#result) {
            this.#result = this.#isSent() ? result : { kind: "unreachable" };
            this.#evidence = evidence;
        }
    }

    /** Returns what the send ended with, for the log. */
    describe(): string {
        const state = `${this.#receiver} ${this.#result ? nameOf(this.#result) : "in progress"}`;
        return this.#evidence === "" ? state : `${state}: ${this.#evidence}`;
    }
}

/** The sends of one request, one after the other. */
export class Sends {
    readonly #sends: Send[] = [];

    /** Records that a send begins; to be called before its first byte is written. */
    begin(receiver: string, isSent: () => boolean): Send {
        const send = new Send(receiver, isSent);
        this.#sends.push(send);
        return send;
    }

    /** Returns what each send ended with, for the log. */
    describe(): string {
        return this.#sends.map(it => it.describe()).join("; ");
    }
}

/** Returns whether a send ended in a way that guarantees that the request did not run. */
export const isNotRun = ({ kind }: SlotResult): boolean => kind === "refused" || kind === "unreachable";

const nameOf = (result: SlotResult): string => {
    switch (result.kind) {
        case "answered":
            return `answered ${result.status}`;
        case "refused":
            return `refused (${result.reason})`;
        default:
            return result.kind;
    }
};
