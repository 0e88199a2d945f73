/** Fuzzes the probe budget: several processes probe one service, and the probes that arrive are counted. */

import type { Service } from "@bramleymoor/model/spec";
import { budgetMsOf, budgetWindowMs, probeDefaults, type ProbeSettings } from "@bramleymoor/probing/budget";
import { Prober, type ServiceLoadView } from "@bramleymoor/probing/prober";
import fc from "fast-check";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { FuzzModel } from "./fuzz-model.js";

/** Creates the prober under test; tests inject a faulty one to show that the check detects it. */
export type ProberFactory = (settings: ProbeSettings, service: Service, now: number) => ProberApi;

/** The part of a prober that the model uses. */
export type ProberApi = Pick<Prober, "nextServer" | "updateService">;

const stepMs = 20;
const maxDriftPerMille = 20;
const configLagMs = 3000;
const slots = 28;

const serviceOf = (probeBudget: number): Service => ({
    name: "stops",
    dependsOn: [],
    servers: Array.from({ length: 14 }, (_, index) => ({
        address: `10.1.0.${index}:80`,
        host: `10.1.0.${index}`,
        port: 80,
        domain: "d",
        slots: 2,
        connections: 200,
        leaving: false,
    })),
    classes: [],
    chooser: "late-binding",
    queueLimit: 100,
    probeBudget,
    retryBudget: 0,
    hedgeBudget: 0,
    ejectShare: 0.3,
});

const loadView: ServiceLoadView = {
    queued: 5,
    inFlight: 5,
    servers: serviceOf(0).servers.map(({ address }) => ({
        address,
        inFlight: 0,
        limit: 2,
        state: "serving",
    })),
};

/** An entry process with its own clock. */
class ProberProcess {
    readonly prober: ProberApi;
    budgetMs: number;
    paused = false;
    clock: number;
    /** Remaining delays of probes in transit, in milliseconds; they don't elapse while the VM is paused. */
    probeDelaysMs: readonly number[] = [];

    constructor(
        readonly ordinal: number,
        readonly clockRate: number,
        ordinals: number,
        make: ProberFactory,
        service: Service,
        offset: number,
    ) {
        this.clock = offset;
        this.budgetMs = budgetMsOf(service);
        this.prober = make({ ...probeDefaults, ordinal, ordinalCount: ordinals }, service, this.clock);
    }

    updateService(service: Service): void {
        this.budgetMs = budgetMsOf(service);
        this.prober.updateService(service);
    }
}

/** Simulates the processes and the arrival of their probes at the servers in virtual time. */
class ProbingSimulation {
    readonly #random = xoroshiro128plus(7);
    readonly #make: ProberFactory;
    readonly #ordinals: number;
    #processes: readonly ProberProcess[] = [];
    #arrivals: readonly number[] = [];
    #budgets: readonly { readonly at: number; readonly budgetMs: number }[] = [];
    #now = 0;

    /** @param ordinals number of ordinals; one process starts for each */
    constructor(make: ProberFactory, ordinals: number) {
        this.#make = make;
        this.#ordinals = ordinals;
        for (let ordinal = 0; ordinal < ordinals; ordinal++) {
            this.start(ordinal, 1);
        }
    }

    /**
     * Starts a process unless two with its ordinal are running: the bound holds only under this assumption.
     *
     * @param quota probes per window that the process's configuration allows it
     */
    start(number: number, quota: number): void {
        const ordinal = number % this.#ordinals;
        const same = this.#processes.filter(process => process.ordinal === ordinal);
        if (same.length < probeDefaults.processesPerOrdinal) {
            const rate = 1 + uniformInt(this.#random, -maxDriftPerMille, maxDriftPerMille) / 1000;
            const offset = uniformInt(this.#random, 0, 1_000_000);
            const process = new ProberProcess(
                ordinal,
                rate,
                this.#ordinals,
                this.#make,
                this.#service(quota),
                offset,
            );
            this.#processes = [...this.#processes, process];
        }
    }

    kill(index: number): void {
        const process = this.#processAt(index);
        this.#processes = this.#processes.filter(each => each !== process);
    }

    pause(index: number, paused: boolean): void {
        const process = this.#processAt(index);
        if (process) {
            process.paused = paused;
        }
    }

    updateService(index: number, quota: number): void {
        this.#processAt(index)?.updateService(this.#service(quota));
    }

    /** Advances virtual time and checks the budget; with `clocksRun`, clocks of paused processes advance too. */
    advance(ms: number, clocksRun: boolean): void {
        for (const end = this.#now + ms; this.#now < end;) {
            this.#now += stepMs;
            this.#processes.forEach(process => this.#step(process, clocksRun));
            this.#recordBudget();
        }
        this.#check();
    }

    #step(process: ProberProcess, clocksRun: boolean): void {
        if (!process.paused || clocksRun) {
            process.clock += stepMs * process.clockRate;
        }
        if (process.paused) {
            return;
        }
        const arriving = process.probeDelaysMs.filter(delayMs => delayMs <= stepMs);
        this.#arrivals = [...this.#arrivals, ...arriving.map(() => this.#now)];
        process.probeDelaysMs = process.probeDelaysMs
            .filter(delayMs => delayMs > stepMs)
            .map(delayMs => delayMs - stepMs);
        if (process.prober.nextServer(loadView, process.clock) !== undefined) {
            const delay = uniformInt(this.#random, 0, probeDefaults.probeTimeoutMs);
            process.probeDelaysMs = [...process.probeDelaysMs, delay];
        }
    }

    #recordBudget(): void {
        const budgetMs = Math.max(0, ...this.#processes.map(process => process.budgetMs));
        if (this.#budgets.at(-1)?.budgetMs !== budgetMs) {
            this.#budgets = [...this.#budgets, { at: this.#now, budgetMs }];
        }
    }

    /** Checks that the probes in each window that begins with an arrival cost no more than the budget. */
    #check(): void {
        for (const from of this.#arrivals) {
            const to = from + budgetWindowMs;
            const count = this.#arrivals.filter(at => at >= from && at < to).length;
            const costMs = count * probeDefaults.probeCostMs;
            const allowedMs = this.#maxBudgetMs(from, to);
            if (costMs > allowedMs) {
                throw new Error(
                    `the probes cost ${costMs} ms of ${allowedMs} ms allowed from ${from} to ${to}`,
                );
            }
        }
        this.#arrivals = this.#arrivals.filter(at => at > this.#now - budgetWindowMs);
    }

    /** Returns the largest budget in milliseconds that a process applied in the window or `configLagMs` before it. */
    #maxBudgetMs(from: number, to: number): number {
        const before = this.#budgets.findLast(budget => budget.at <= from - configLagMs);
        const within = this.#budgets.filter(budget => budget.at > from - configLagMs && budget.at < to);
        return Math.max(before?.budgetMs ?? 0, ...within.map(budget => budget.budgetMs));
    }

    #service(quota: number): Service {
        const probes = quota * this.#ordinals * probeDefaults.processesPerOrdinal;
        return serviceOf((probes * probeDefaults.probeCostMs + 0.5) / (slots * budgetWindowMs));
    }

    #processAt(index: number): ProberProcess | undefined {
        return this.#processes[index % Math.max(1, this.#processes.length)];
    }
}

type Action = (sim: ProbingSimulation) => void;

class SyncCommand implements fc.Command<object, ProbingSimulation> {
    readonly #text: string;
    readonly #action: Action;

    constructor(text: string, action: Action) {
        this.#text = text;
        this.#action = action;
    }

    check(): boolean {
        return true;
    }

    run(_model: object, sim: ProbingSimulation): void {
        this.#action(sim);
    }

    toString(): string {
        return this.#text;
    }
}

const command = (text: string, action: Action): fc.Command<object, ProbingSimulation> =>
    new SyncCommand(text, action);

const index = fc.nat({ max: 7 });
const quotas = fc.constantFrom(1, 1, 1, 1, 1, 1, 2);

const commands = [
    fc.tuple(fc.nat({ max: 3 }), quotas).map(([ordinal, quota]) => {
        return command(`start ${ordinal} with quota ${quota}`, sim => sim.start(ordinal, quota));
    }),
    index.map(each => command(`kill ${each}`, sim => sim.kill(each))),
    index.map(each => command(`pause ${each}`, sim => sim.pause(each, true))),
    index.map(each => command(`resume ${each}`, sim => sim.pause(each, false))),
    fc.tuple(index, quotas).map(([each, quota]) => {
        return command(`set the quota of ${each} to ${quota}`, sim => sim.updateService(each, quota));
    }),
    fc.tuple(fc.integer({ min: 100, max: 4000 }), fc.boolean()).map(([ms, clocksRun]) => {
        return command(`run ${ms} ms${clocksRun ? "" : ", clocks stopped"}`, sim =>
            sim.advance(ms, clocksRun),
        );
    }),
];

/** Returns the fuzz model of the probe budget. */
export const probingModel = (make: ProberFactory = makeProber): FuzzModel => ({
    name: "probing",
    property: replayPath =>
        fc.asyncProperty(
            fc.constantFrom(1, 2, 4),
            fc.commands(commands, { size: "large", maxCommands: 60, ...(replayPath ? { replayPath } : {}) }),
            async (ordinals, each) => {
                fc.modelRun(() => ({ model: {}, real: new ProbingSimulation(make, ordinals) }), each);
                await Promise.resolve();
            },
        ),
});

const makeProber: ProberFactory = (settings, service, now) => new Prober(settings, service, now);
