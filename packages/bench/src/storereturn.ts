/** The `store-return` measurement: how long until a fleet follows a store that came back from an older copy. */

import { routeConfig, serverEntry } from "@bramleymoor/testkit/builders";
import { Command } from "commander";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { StoreFleet } from "./storereturnfleet.js";

const fleetSizes = [5, 19, 60];
const servers = 40;
const heartbeatMs = 1000;
const copyAgeMs = 2000;
/** Time from the return until the operator writes the next configuration. */
const rewriteAfterMs = 500;
const settleMs = 8000;
const observedMs = 3000;
const stepMs = 5;

/** A row of the printed table; times are in milliseconds. */
interface StoreReturnRow {
    readonly vms: number;
    readonly returns: number;
    /** Time from the return until all entry VMs follow the new era of both topics. */
    readonly followP50Ms: number;
    readonly followMaxMs: number;
    /** Time from the operator's next write until the configuration is in force everywhere. */
    readonly inForceP50Ms: number;
    readonly inForceMaxMs: number;
    /** Mean number of the store's calls, from all entry VMs, in the 3 s before a return and the 3 s after it. */
    readonly callsBefore: number;
    readonly callsAfter: number;
}

/** Returns the `store-return` subcommand. */
export const storeReturnCommand = (): Command =>
    new Command("store-return")
        .description(
            "time until all entry VMs follow a store that came back from an older copy, in virtual time",
        )
        .option("--returns <count>", "returns of the store for each size of the fleet", "40")
        .option("--seed <number>", "seed of the random numbers", "1")
        .action(async (options: { readonly returns: string; readonly seed: string }) => {
            const rows: StoreReturnRow[] = [];
            for (const vms of fleetSizes) {
                const measurement = new StoreReturnMeasurement(vms, Number(options.seed));
                rows.push(await measurement.run(Number(options.returns)));
            }
            console.table(rows);
            process.stdout.write(`${JSON.stringify({ rows })}\n`);
        });

interface ReturnTimes {
    readonly followMs: number;
    readonly inForceMs: number;
    readonly callsBefore: number;
    readonly callsAfter: number;
}

class StoreReturnMeasurement {
    readonly #vms: number;
    readonly #fleet: StoreFleet;
    readonly #randomMs: () => number;
    #version = 1;

    constructor(vms: number, seed: number) {
        this.#vms = vms;
        this.#fleet = new StoreFleet(vms);
        const generator = xoroshiro128plus(seed);
        this.#randomMs = () => uniformInt(generator, 0, heartbeatMs);
    }

    async run(returns: number): Promise<StoreReturnRow> {
        this.#fleet.writeConfig(routeConfig(this.#version));
        this.#fleet.start();
        const measured: ReturnTimes[] = [];
        for (let i = 0; i < returns; i++) {
            measured.push(await this.#measureReturn());
        }
        this.#fleet.stop();
        const follow = measured.map(it => it.followMs).toSorted((a, b) => a - b);
        const inForce = measured.map(it => it.inForceMs).toSorted((a, b) => a - b);
        return {
            vms: this.#vms,
            returns,
            followP50Ms: quantile(follow, 0.5),
            followMaxMs: quantile(follow, 1),
            inForceP50Ms: quantile(inForce, 0.5),
            inForceMaxMs: quantile(inForce, 1),
            callsBefore: mean(measured.map(it => it.callsBefore)),
            callsAfter: mean(measured.map(it => it.callsAfter)),
        };
    }

    async #measureReturn(): Promise<ReturnTimes> {
        const { store } = this.#fleet;
        await this.#advance(settleMs + this.#randomMs());
        const callsAtRest = store.calls;
        await this.#advance(observedMs);
        const callsAtReturn = store.calls;
        store.restore(copyAgeMs);
        let followMs: number | undefined;
        let inForceMs: number | undefined;
        for (let spentMs = stepMs; spentMs <= observedMs; spentMs += stepMs) {
            await this.#advance(stepMs);
            if (spentMs === rewriteAfterMs) {
                this.#fleet.writeConfig(routeConfig(++this.#version));
            }
            followMs ??= this.#fleet.allFollow ? spentMs : undefined;
            inForceMs ??= this.#fleet.allHaveConfig(this.#version) ? spentMs - rewriteAfterMs : undefined;
            inForceMs = spentMs < rewriteAfterMs ? undefined : inForceMs;
        }
        return {
            followMs: followMs ?? Infinity,
            inForceMs: inForceMs ?? Infinity,
            callsBefore: callsAtReturn - callsAtRest,
            callsAfter: store.calls - callsAtReturn,
        };
    }

    /** Advances virtual time while the servers write their entries again every second, one after the other. */
    async #advance(ms: number): Promise<void> {
        const { time } = this.#fleet;
        const everyMs = heartbeatMs / servers;
        for (let left = ms; left > 0;) {
            const untilNext = everyMs - (time.now() % everyMs);
            const step = Math.min(left, untilNext);
            await time.advance(step);
            left -= step;
            if (step === untilNext) {
                const id = `s${Math.round(time.now() / everyMs) % servers}`;
                this.#fleet.writeServer(serverEntry(id));
            }
        }
    }
}

const quantile = (sorted: readonly number[], share: number): number =>
    sorted[Math.ceil(share * sorted.length) - 1] ?? 0;

const mean = (values: readonly number[]): number =>
    Math.round((values.reduce((sum, it) => sum + it, 0) / values.length) * 10) / 10;
