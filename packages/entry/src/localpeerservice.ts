/** Handles the requests of other entry VMs, and asks them for accepted versions of the configuration. */

import type { Follower } from "@bramleymoor/config/follower";
import type { ConfigRequest, ConfigResponse, Peers } from "@bramleymoor/config/peers";
import type { Random } from "@bramleymoor/dispatch/random";
import type { Membership } from "@bramleymoor/membership/membership";
import type { GossipMessage, GossipReply } from "@bramleymoor/membership/messages";
import type { EntryVm } from "@bramleymoor/model/vm";
import type { AddressResponse } from "@bramleymoor/protocol/messages";
import type { PeerClient } from "./peerclient.js";
import type { RateHint, PeerService } from "./peerserver.js";
import type { ServiceTable } from "./services.js";

/** Queries randomly selected members for their accepted version, for the configuration follower. */
export class ConfigPeers implements Peers {
    readonly #client: PeerClient;
    readonly #others: () => readonly EntryVm[];
    readonly #random: Random;

    /** @param others returns the members that can be reached, without this entry VM */
    constructor(client: PeerClient, others: () => readonly EntryVm[], random: Random) {
        this.#client = client;
        this.#others = others;
        this.#random = random;
    }

    async query(req: ConfigRequest, count: number): Promise<readonly ConfigResponse[]> {
        const targets = sample(this.#others(), count, this.#random);
        const results = await Promise.allSettled(targets.map(vm => this.#client.config(vm.peerAddress, req)));
        return results.flatMap(result =>
            result.status === "fulfilled" && result.value ? [result.value] : [],
        );
    }
}

/** Dependencies of a `LocalPeerService`. */
export interface LocalPeerServiceOptions {
    readonly membership: Membership;
    readonly follower: Follower;
    readonly services: ServiceTable;
    /** Monotonic milliseconds. */
    readonly clock: () => number;
}

/** Handles the peers' procedures in this entry VM. */
export class LocalPeerService implements PeerService {
    readonly #options: LocalPeerServiceOptions;

    constructor(options: LocalPeerServiceOptions) {
        this.#options = options;
    }

    async gossip(msg: GossipMessage): Promise<GossipReply> {
        return await this.#options.membership.receive(msg, this.#options.clock());
    }

    config(req: ConfigRequest): ConfigResponse | undefined {
        return this.#options.follower.respond(req);
    }

    addresses(service: string): AddressResponse | undefined {
        return this.#options.services.localAddresses(service);
    }

    hint(hint: RateHint): void {
        const { services, clock } = this.#options;
        for (const { service, perSecond } of hint.rates) {
            services.recordPeerRate(service, hint.from, perSecond, clock());
        }
    }
}

const sample = <T>(items: readonly T[], count: number, random: Random): readonly T[] => {
    const remaining = [...items];
    const sampled: T[] = [];
    while (remaining.length > 0 && sampled.length < count) {
        sampled.push(...remaining.splice(Math.floor(random.next() * remaining.length), 1));
    }
    return sampled;
};
