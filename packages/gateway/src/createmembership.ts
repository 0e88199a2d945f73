/** Creates the membership of an entry VM, with gossip periods that suit a few dozen to a few hundred entry VMs. */

import { randomBytes } from "node:crypto";
import { Membership, membershipDefaults } from "@bramleymoor/membership/membership";
import type { Transport } from "@bramleymoor/membership/messages";
import type { EntryVm } from "@bramleymoor/model/vm";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { GatewaySettings, ListenAddress } from "./settings.js";

/**
 * Creates the membership protocol of one run of the entry process.
 *
 * @param now monotonic milliseconds
 * @param startedAt milliseconds since the Unix epoch, a hint to which of two runs is newer
 */
export const createMembership = (
    gatewaySettings: GatewaySettings,
    incarnation: string,
    transport: Transport,
    now: number,
    startedAt: number,
): Membership => {
    const { id, place, front, peers } = gatewaySettings;
    const self: EntryVm = {
        id,
        incarnation,
        place,
        callerAddress: formatAddress(front),
        peerAddress: formatAddress(peers),
        state: "alive",
        load: 0,
    };
    const settings = {
        ...membershipDefaults,
        periodMs: gossipPeriodMs,
        pingTimeoutMs,
        cluster,
        startedAt,
        seeds: seedAddresses(gatewaySettings),
    };
    const random = xoroshiro128plus(randomBytes(seedBytes).readInt32LE());
    return new Membership(self, transport, settings, random, now);
};

/** Returns the peer addresses of the seeds, without this entry VM's own. */
const seedAddresses = ({ seeds, peers }: GatewaySettings): readonly string[] =>
    seeds.filter(host => host !== peers.host).map(host => formatAddress({ host, port: peers.port }));

/** Returns the peer addresses to ask for the store's content at the start; none for a seed, as the others ask it. */
export const addressesToAskAtStart = (settings: GatewaySettings): readonly string[] =>
    settings.seeds.includes(settings.peers.host) ? [] : seedAddresses(settings);

/** Formats an address as "HOST:port". */
export const formatAddress = ({ host, port }: ListenAddress): string => `${host}:${port}`;

/** The same name everywhere: a deployment has one cluster, and its network isolates it from others. */
const cluster = "gateway";
/** Among a few dozen entry VMs, a dead one is suspected within about a second. */
const gossipPeriodMs = 300;
/** Many round trips between failure domains, but less than a gossip period. */
const pingTimeoutMs = 250;
/** Size of a 32-bit integer. */
const seedBytes = 4;
