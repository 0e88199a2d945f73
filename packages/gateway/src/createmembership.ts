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
    { id, place, front, peers, seeds }: GatewaySettings,
    incarnation: string,
    transport: Transport,
    now: number,
    startedAt: number,
): Membership => {
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
        seeds: seeds.map(host => formatAddress({ host, port: peers.port })),
    };
    const random = xoroshiro128plus(randomBytes(seedBytes).readInt32LE());
    return new Membership(self, transport, settings, random, now);
};

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
