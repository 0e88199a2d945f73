/** One service that this entry VM dispatches: its dispatcher, its prober and its call rate. */

import type { Random } from "@bramleymoor/dispatch/random";
import { ServiceDispatcher } from "@bramleymoor/dispatch/dispatcher";
import type { PeerMessage, PeerSender } from "@bramleymoor/dispatch/sharing";
import type { Share } from "@bramleymoor/dispatch/types";
import type { Service } from "@bramleymoor/model/spec";
import type { ProbeSettings } from "@bramleymoor/probing/budget";
import { Prober } from "@bramleymoor/probing/prober";
import { LoadFilteringDispatcher } from "./loadfilteringdispatcher.js";

const msPerSecond = 1_000;

/** Dependencies that all hosted services share. */
export interface HostedServiceOptions {
    readonly probing: ProbeSettings;
    readonly random: Random;
    /** Sends a message to another dispatcher of the service, by its index among them; delivery is not guaranteed. */
    readonly sendToDispatcher: (service: string, to: number, message: PeerMessage) => void;
}

/** A service that this process dispatches. */
export class HostedService {
    readonly dispatcher: LoadFilteringDispatcher;
    readonly prober: Prober;
    #service: Service;
    #share: Share;
    #calls = 0;
    #periodStartedAt: number;
    #callsPerSecond = 0;

    constructor(service: Service, share: Share, options: HostedServiceOptions, now: number) {
        this.#service = service;
        this.#share = share;
        this.#periodStartedAt = now;
        this.prober = new Prober(options.probing, service, now);
        const peers: PeerSender = {
            send: (to, message) => options.sendToDispatcher(service.name, to, message),
        };
        const dispatcher = new ServiceDispatcher(service, share, options.random, now, peers);
        this.dispatcher = new LoadFilteringDispatcher(dispatcher, service, (address, at) =>
            this.prober.recordReport(address, at),
        );
    }

    /** The service as in the last accepted configuration. */
    get service(): Service {
        return this.#service;
    }

    /** This entry VM's share of the service's slots. */
    get share(): Share {
        return this.#share;
    }

    /** Calls per second in the last complete rate period. */
    get callsPerSecond(): number {
        return this.#callsPerSecond;
    }

    /** Applies a newly accepted configuration of the service or a new share. */
    update(service: Service, share: Share, now: number): void {
        const unchanged = service === this.#service && isSameShare(share, this.#share);
        this.#service = service;
        this.#share = share;
        if (!unchanged) {
            this.dispatcher.update(service, share, now);
            this.prober.updateService(service);
        }
    }

    /** Counts one call. */
    recordCall(): void {
        this.#calls++;
    }

    /** Ends the current rate period and returns its calls per second. */
    endRatePeriod(now: number): number {
        const periodMs = Math.max(1, now - this.#periodStartedAt);
        this.#callsPerSecond = (this.#calls * msPerSecond) / periodMs;
        this.#calls = 0;
        this.#periodStartedAt = now;
        return this.#callsPerSecond;
    }

    /** Whether calls are queued or in flight. */
    isBusy(now: number): boolean {
        const view = this.dispatcher.view(now);
        return view.queued > 0 || view.inFlight > 0;
    }
}

const isSameShare = (a: Share, b: Share): boolean => a.index === b.index && a.count === b.count;
