/** Connects the quarantine of requests with the sends of this entry VM, the other entry VMs and the log. */

import { incarnationKey, type ServerEntry } from "@bramleymoor/model/route";
import type { EventLog } from "@bramleymoor/observe/event-log";
import { CallError } from "@bramleymoor/protocol/errors";
import { delay } from "@bramleymoor/proxy/delay";
import type { CrashMessage } from "@bramleymoor/quarantine/messages";
import { Quarantine, type SendEnd } from "@bramleymoor/quarantine/quarantine";

/** How a send of a request ended. */
export interface SendOutcome {
    /** Fingerprint of the request. */
    readonly fingerprint: string;
    readonly server: ServerEntry;
    readonly sentAt: number;
    readonly end: SendEnd;
}

/** Keeps requests from servers that end under them. */
export interface CrashGuard {
    /**
     * Resolves when a request may be sent; to true if it is a trial, which isn't to be sent again.
     *
     * @param getFingerprint returns the request's fingerprint; called only if servers have ended under any request
     * @throws CallError if the request is quarantined
     */
    admit(getFingerprint: () => string): Promise<boolean>;
    /** Ends the trial of a request that was admitted for one. */
    endTrial(fingerprint: string): void;
    /** Whether the request has been quarantined since it was admitted. */
    isQuarantined(getFingerprint: () => string): boolean;
    /** Whether servers have ended under the request, so that it mustn't be at two servers at the same time. */
    isSuspect(getFingerprint: () => string): boolean;
    /** Records how a send ended; resolves when the request may be sent again. */
    recordEnd(outcome: SendOutcome): Promise<void>;
}

/** Dependencies of a `CrashExchange`. */
export interface CrashExchangeOptions {
    /** Stable name of this entry VM. */
    readonly self: string;
    readonly events: Pick<EventLog, "emit">;
    /** Returns the names of all entry VMs that aren't dead, this one's included. */
    readonly members: () => readonly string[];
    /** Sends a message to all other entry VMs. */
    readonly send: (message: CrashMessage) => void;
    /** Probes a server, unless too many are probed already; resolves when the result has been recorded. */
    readonly probe: (server: ServerEntry) => Promise<void>;
    /** Whether this entry VM has lost its links to the servers, so that it can't tell whether any has ended. */
    readonly isCutOff: () => boolean;
    /** Returns monotonic milliseconds. */
    readonly clock: () => number;
}

/** The quarantine of one entry VM, kept up to date with its peers and logged. */
export class CrashExchange implements CrashGuard {
    readonly #options: CrashExchangeOptions;
    readonly #quarantine: Quarantine;

    constructor(options: CrashExchangeOptions) {
        this.#options = options;
        this.#quarantine = new Quarantine(options.self);
    }

    /** Number of quarantined requests. */
    get quarantined(): number {
        return this.#quarantine.quarantined;
    }

    async admit(getFingerprint: () => string): Promise<boolean> {
        if (this.#quarantine.size === 0) {
            return false;
        }
        const { members, clock } = this.#options;
        const fingerprint = getFingerprint();
        const admission = this.#quarantine.admit(fingerprint, members().length > 1, clock());
        if (admission.kind === "free") {
            return false;
        }
        if (admission.kind === "quarantined") {
            throw new CallError("quarantined", "", admission.retryAfterMs);
        }
        this.#sendDue();
        await delay(admission.waitMs);
        if (!this.#quarantine.holdsTrial(fingerprint)) {
            throw new CallError("quarantined", "", trialRetryMs);
        }
        this.#options.events.emit("request-trial", { fingerprint });
        return true;
    }

    endTrial(fingerprint: string): void {
        this.#quarantine.endTrial(fingerprint);
    }

    isQuarantined(getFingerprint: () => string): boolean {
        return this.#quarantine.size > 0 && this.#quarantine.isQuarantined(getFingerprint());
    }

    isSuspect(getFingerprint: () => string): boolean {
        return this.#quarantine.size > 0 && this.#quarantine.isSuspect(getFingerprint());
    }

    async recordEnd({ fingerprint: key, server, sentAt, end }: SendOutcome): Promise<void> {
        const { clock, probe, isCutOff } = this.#options;
        if (isCutOff()) {
            return;
        }
        const incarnation = incarnationKey(server);
        this.#quarantine.recordEnd({ key, server: incarnation, sentAt, end }, clock());
        this.#logChanges();
        const isUnanswered = end === "lost" || end === "abandoned";
        if (isUnanswered && this.#quarantine.isUnclear(incarnation, sentAt)) {
            const probed = probe(server);
            if (end === "lost" && this.#quarantine.isSuspect(key)) {
                await Promise.race([probed, delay(maxProbeWaitMs)]);
            }
        }
    }

    /** Records whether a server has responded to a probe sent at `sentAt`. */
    recordProbe(server: ServerEntry, isAlive: boolean, sentAt: number): void {
        if (this.#options.isCutOff()) {
            return;
        }
        this.#quarantine.recordProbe(incarnationKey(server), isAlive, sentAt, this.#options.clock());
        this.#logChanges();
    }

    /** Forgets the sends of which it isn't known yet whether their server has ended. */
    forgetUnclear(): void {
        this.#quarantine.forgetUnclear();
    }

    /**
     * Processes a peer's message.
     *
     * @param unreadMs how long the message may have waited unread, in milliseconds
     */
    receive(message: CrashMessage, unreadMs: number): void {
        this.#quarantine.receive(message, unreadMs, this.#options.clock());
        this.#logChanges();
    }

    /** Sends what is due. To be called often. */
    tick(): void {
        this.#sendDue();
        this.#logChanges();
    }

    #sendDue(): void {
        const { members, send, clock } = this.#options;
        this.#quarantine.tick(members(), clock()).forEach(it => send(it));
    }

    #logChanges(): void {
        const { events } = this.#options;
        for (const { key: fingerprint, kind, endings } of this.#quarantine.takeChanges()) {
            switch (kind) {
                case "ending":
                    events.emit("server-ended-under-request", { fingerprint, endings });
                    break;
                case "suspect":
                    events.emit("request-suspected", { fingerprint, endings });
                    break;
                case "cleared":
                    events.emit("request-cleared", { fingerprint, endings });
                    break;
            }
        }
    }
}

/** Time until a trial that another entry VM has begun has probably ended. */
const trialRetryMs = 500;
/** Longest time for which a request waits to learn whether its last server has ended; a refused connection takes less. */
const maxProbeWaitMs = 100;
