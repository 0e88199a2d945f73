/** The `store-start` measurement: calls to the store by entry VMs that start at once. */

import { routeConfig, serverEntry } from "@bramleymoor/testkit/builders";
import { Command } from "commander";
import { configKey } from "./simulatedstore.js";
import { StartingFleet } from "./storestartfleet.js";

const servers = 40;
const heartbeatMs = 1_000;
const periods = 8;
const periodMs = 2_000;

/** Counts of one period after the start, a row of the printed table. */
export interface StoreStartRow {
    readonly vms: number;
    /** Seconds since the start. */
    readonly until: number;
    /** Calls and messages in the period that ends then. */
    readonly calls: number;
    readonly messages: number;
    readonly meanMembers: number;
    /** Entry VMs whose data is older than the bound of 2 s. */
    readonly outdated: number;
}

/** Returns the `store-start` subcommand. */
export const storeStartCommand = (): Command =>
    new Command("store-start")
        .description("calls to the store by entry VMs that start at once, in virtual time")
        .option("--vms <counts>", "numbers of entry VMs, separated by commas", "21,103,311")
        .option("--seed <number>", "seed of the random numbers", "1")
        .action(async (options: { readonly vms: string; readonly seed: string }) => {
            for (const vms of options.vms.split(",").map(Number)) {
                console.table(await measureStart(vms, Number(options.seed)));
            }
        });

/** Starts a fleet and counts its calls over 16 s. */
export const measureStart = async (vms: number, seed: number): Promise<readonly StoreStartRow[]> => {
    const fleet = new StartingFleet(seed);
    fleet.store.write("configuration", configKey, routeConfig(1));
    const heartbeat = (): void => {
        for (let i = 0; i < servers; i++) {
            fleet.store.write("servers", `s${i}`, serverEntry(`s${i}`));
        }
    };
    heartbeat();
    fleet.start(vms);
    const rows: StoreStartRow[] = [];
    for (let period = 1; period <= periods; period++) {
        const [callsBefore, messagesBefore] = [fleet.store.calls, fleet.messages];
        for (let elapsed = 0; elapsed < periodMs; elapsed += heartbeatMs) {
            await fleet.run(heartbeatMs);
            heartbeat();
        }
        rows.push({
            vms,
            until: (period * periodMs) / 1_000,
            calls: fleet.store.calls - callsBefore,
            messages: fleet.messages - messagesBefore,
            meanMembers: Math.round(fleet.meanMembers),
            outdated: fleet.countOlderThan(boundMs),
        });
    }
    fleet.stop();
    return rows;
};

/** The shortest bound on the propagation of what the store says. */
const boundMs = 2_000;
