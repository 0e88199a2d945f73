/** Joins the other entry VMs: one entry VM's membership, with the periods that suit a few dozen to a few hundred. */

import { randomBytes } from "node:crypto";
import { Membership, membershipDefaults } from "@bramleymoor/membership/membership";
import type { Transport } from "@bramleymoor/membership/messages";
import type { EntryVm } from "@bramleymoor/model/vm";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { GatewaySettings, ListenAddress } from "./settings.js";

/**
 * @param now monotonic milliseconds
 * @param startedAt milliseconds since 1970, a first guess at the order of runs
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

/** "HOST:port". */
export const formatAddress = ({ host, port }: ListenAddress): string => `${host}:${port}`;

/** One deployment has one cluster; its network keeps others out. */
const cluster = "gateway";
/** A dead entry VM is suspected within about a second among a few dozen. */
const gossipPeriodMs = 300;
/** Many round trips between failure domains, less than a period. */
const pingTimeoutMs = 250;
/** Of a 32-bit integer. */
const seedBytes = 4;
