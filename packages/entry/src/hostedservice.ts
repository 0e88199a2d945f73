/** One service that this entry VM dispatches: its dispatcher, its prober, and the demand seen for it. */

import type { Random } from "@bramleymoor/dispatch/random";
import { ServiceDispatcher } from "@bramleymoor/dispatch/dispatcher";
import type { PeerMessage, PeerSender } from "@bramleymoor/dispatch/sharing";
import type { Share } from "@bramleymoor/dispatch/types";
import type { Service } from "@bramleymoor/model/spec";
import type { ProbeSettings } from "@bramleymoor/probing/budget";
import { Prober } from "@bramleymoor/probing/prober";
import { LoadFilteringDispatcher } from "./loadfilteringdispatcher.js";

const msPerSecond = 1_000;

/** What every hosted service needs from the rest of the process. */
export interface HostedServiceOptions {
    readonly probing: ProbeSettings;
    readonly random: Random;
    /** Sends a message to another dispatcher of the service, named by its place; may lose it. */
    readonly sendToDispatcher: (service: string, to: number, message: PeerMessage) => void;
}

/** A service under dispatch in this process. */
export class HostedService {
    readonly dispatcher: LoadFilteringDispatcher;
    readonly prober: Prober;
    #service: Service;
    #share: Share;
    #calls = 0;
    #ratedAt: number;
    #rate = 0;

    constructor(service: Service, share: Share, parts: HostedServiceOptions, now: number) {
        this.#service = service;
        this.#share = share;
        this.#ratedAt = now;
        this.prober = new Prober(parts.probing, service, now);
        const peers: PeerSender = {
            send: (to, message) => parts.sendToDispatcher(service.name, to, message),
        };
        const inner = new ServiceDispatcher(service, share, parts.random, now, peers);
        this.dispatcher = new LoadFilteringDispatcher(inner, service, (address, at) =>
            this.prober.recordReport(address, at),
        );
    }

    /** The service as last accepted. */
    get service(): Service {
        return this.#service;
    }

    /** This entry VM's share of the service's slots. */
    get share(): Share {
        return this.#share;
    }

    /** Calls per second in the last rated period. */
    get callsPerSecond(): number {
        return this.#rate;
    }

    /** Follows a newly accepted text or a new share. */
    update(service: Service, share: Share, now: number): void {
        const same = service === this.#service && sameShare(share, this.#share);
        this.#service = service;
        this.#share = share;
        if (!same) {
            this.dispatcher.update(service, share, now);
            this.prober.updateService(service);
        }
    }

    /** Counts one call. */
    recordCall(): void {
        this.#calls++;
    }

    /** Ends the running period and gives its calls per second. */
    endRatePeriod(now: number): number {
        const periodMs = Math.max(1, now - this.#ratedAt);
        this.#rate = (this.#calls * msPerSecond) / periodMs;
        this.#calls = 0;
        this.#ratedAt = now;
        return this.#rate;
    }

    /** Whether calls are queued or in flight. */
    isBusy(now: number): boolean {
        const view = this.dispatcher.view(now);
        return view.queued > 0 || view.inFlight > 0;
    }
}

const sameShare = (a: Share, b: Share): boolean => a.index === b.index && a.count === b.count;
