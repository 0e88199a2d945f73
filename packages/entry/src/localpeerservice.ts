/** This entry VM's side of what peers ask and are asked: membership, accepted texts, answers, dispatch hints. */

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

/** Asks members for accepted texts, as the configuration follower wants it. */
export class ConfigPeers implements Peers {
    readonly #client: PeerClient;
    readonly #others: () => readonly EntryVm[];
    readonly #random: Random;

    /** @param others reachable members but for this entry VM itself */
    constructor(client: PeerClient, others: () => readonly EntryVm[], random: Random) {
        this.#client = client;
        this.#others = others;
        this.#random = random;
    }

    async query(question: ConfigRequest, count: number): Promise<readonly ConfigResponse[]> {
        const asked = pick(this.#others(), count, this.#random);
        const answers = await Promise.allSettled(
            asked.map(vm => this.#client.config(vm.peerAddress, question)),
        );
        return answers.flatMap(answer =>
            answer.status === "fulfilled" && answer.value ? [answer.value] : [],
        );
    }
}

/** What the answers to peers are made from. */
export interface LocalPeerServiceOptions {
    readonly membership: Membership;
    readonly follower: Follower;
    readonly services: ServiceTable;
    readonly clock: () => number;
}

/** Answers peers. */
export class LocalPeerService implements PeerService {
    readonly #parts: LocalPeerServiceOptions;

    constructor(parts: LocalPeerServiceOptions) {
        this.#parts = parts;
    }

    async gossip(msg: GossipMessage): Promise<GossipReply> {
        return await this.#parts.membership.receive(msg, this.#parts.clock());
    }

    config(question: ConfigRequest): ConfigResponse | undefined {
        return this.#parts.follower.respond(question);
    }

    addresses(service: string): AddressResponse | undefined {
        return this.#parts.services.localAddresses(service);
    }

    hint(hint: RateHint): void {
        const { services, clock } = this.#parts;
        for (const { service, perSecond } of hint.rates) {
            services.recordPeerRate(service, hint.from, perSecond, clock());
        }
    }
}

const pick = <T>(items: readonly T[], count: number, random: Random): readonly T[] => {
    const left = [...items];
    const picked: T[] = [];
    while (left.length > 0 && picked.length < count) {
        picked.push(...left.splice(Math.floor(random.next() * left.length), 1));
    }
    return picked;
};
