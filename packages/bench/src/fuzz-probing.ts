/** Fuzzes the probe budget: many processes that probe one service, against a count kept at the servers. */

import type { Service } from "@bramleymoor/model/spec";
import { budgetMsOf, budgetWindowMs, probeDefaults, type ProbeSettings } from "@bramleymoor/probing/budget";
import { Prober, type ServiceLoadView } from "@bramleymoor/probing/prober";
import fc from "fast-check";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { FuzzModel } from "./fuzz-model.js";

/** Builds the prober under test; another one may be put in its place to show that the check bites. */
export type ProberFactory = (settings: ProbeSettings, service: Service, now: number) => ProberApi;

/** What the model asks of a prober. */
export type ProberApi = Pick<Prober, "nextServer" | "updateService">;

const stepMs = 20;
const driftPerMille = 20;
const textLagMs = 3000;
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

const belief: ServiceLoadView = {
    queued: 5,
    inFlight: 5,
    servers: serviceOf(0).servers.map(({ address }) => ({
        address,
        inFlight: 0,
        limit: 2,
        state: "serving",
    })),
};

/** One run of the entry process, with a clock of its own. */
class Process {
    readonly prober: ProberApi;
    budgetMs: number;
    paused = false;
    clock: number;
    /** Delays left of probes that are on their way; they stand still while the VM is paused. */
    sending: readonly number[] = [];

    constructor(
        readonly ordinal: number,
        readonly rate: number,
        ordinals: number,
        make: ProberFactory,
        service: Service,
        offset: number,
    ) {
        this.clock = offset;
        this.budgetMs = budgetMsOf(service);
        this.prober = make({ ...probeDefaults, ordinal, ordinalCount: ordinals }, service, this.clock);
    }

    follow(service: Service): void {
        this.budgetMs = budgetMsOf(service);
        this.prober.updateService(service);
    }
}

/** The processes and the servers' count of probes, in virtual time. */
class World {
    readonly #random = xoroshiro128plus(7);
    readonly #make: ProberFactory;
    readonly #ordinals: number;
    #processes: readonly Process[] = [];
    #arrivals: readonly number[] = [];
    #texts: readonly { readonly at: number; readonly budgetMs: number }[] = [];
    #now = 0;

    /** @param ordinals a process runs for each at first */
    constructor(make: ProberFactory, ordinals: number) {
        this.#make = make;
        this.#ordinals = ordinals;
        for (let ordinal = 0; ordinal < ordinals; ordinal++) {
            this.start(ordinal, 1);
        }
    }

    /**
     * Starts a process, unless two with its ordinal run already: the assumption of the bound.
     *
     * @param quota probes in a window that the process's text allows it
     */
    start(number: number, quota: number): void {
        const ordinal = number % this.#ordinals;
        const same = this.#processes.filter(process => process.ordinal === ordinal);
        if (same.length < probeDefaults.processesPerOrdinal) {
            const rate = 1 + uniformInt(this.#random, -driftPerMille, driftPerMille) / 1000;
            const offset = uniformInt(this.#random, 0, 1_000_000);
            const process = new Process(
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
        const process = this.#at(index);
        this.#processes = this.#processes.filter(each => each !== process);
    }

    pause(index: number, paused: boolean): void {
        const process = this.#at(index);
        if (process) {
            process.paused = paused;
        }
    }

    follow(index: number, quota: number): void {
        this.#at(index)?.follow(this.#service(quota));
    }

    /** Lets time pass; the clock of a paused process goes on only if `clocksRun`. */
    run(ms: number, clocksRun: boolean): void {
        for (const end = this.#now + ms; this.#now < end;) {
            this.#now += stepMs;
            this.#processes.forEach(process => this.#step(process, clocksRun));
            this.#noteTexts();
        }
        this.#check();
    }

    #step(process: Process, clocksRun: boolean): void {
        if (!process.paused || clocksRun) {
            process.clock += stepMs * process.rate;
        }
        if (process.paused) {
            return;
        }
        const arriving = process.sending.filter(left => left <= stepMs);
        this.#arrivals = [...this.#arrivals, ...arriving.map(() => this.#now)];
        process.sending = process.sending.filter(left => left > stepMs).map(left => left - stepMs);
        if (process.prober.nextServer(belief, process.clock) !== undefined) {
            const delay = uniformInt(this.#random, 0, probeDefaults.probeTimeoutMs);
            process.sending = [...process.sending, delay];
        }
    }

    #noteTexts(): void {
        const budgetMs = Math.max(0, ...this.#processes.map(process => process.budgetMs));
        if (this.#texts.at(-1)?.budgetMs !== budgetMs) {
            this.#texts = [...this.#texts, { at: this.#now, budgetMs }];
        }
    }

    /** Every window that begins with an arrival holds no more server time than the budget in force. */
    #check(): void {
        for (const from of this.#arrivals) {
            const to = from + budgetWindowMs;
            const count = this.#arrivals.filter(at => at >= from && at < to).length;
            const costMs = count * probeDefaults.probeCostMs;
            const allowedMs = this.#budgetOf(from, to);
            if (costMs > allowedMs) {
                throw new Error(`${costMs} ms of ${allowedMs} ms from ${from} to ${to}`);
            }
        }
        this.#arrivals = this.#arrivals.filter(at => at > this.#now - budgetWindowMs);
    }

    /** The largest budget that some process followed in the window, or shortly before it. */
    #budgetOf(from: number, to: number): number {
        const before = this.#texts.findLast(text => text.at <= from - textLagMs);
        const within = this.#texts.filter(text => text.at > from - textLagMs && text.at < to);
        return Math.max(before?.budgetMs ?? 0, ...within.map(text => text.budgetMs));
    }

    #service(quota: number): Service {
        const probes = quota * this.#ordinals * probeDefaults.processesPerOrdinal;
        return serviceOf((probes * probeDefaults.probeCostMs + 0.5) / (slots * budgetWindowMs));
    }

    #at(index: number): Process | undefined {
        return this.#processes[index % Math.max(1, this.#processes.length)];
    }
}

type Act = (world: World) => void;

class ActCommand implements fc.Command<object, World> {
    readonly #text: string;
    readonly #act: Act;

    constructor(text: string, act: Act) {
        this.#text = text;
        this.#act = act;
    }

    check(): boolean {
        return true;
    }

    run(_model: object, world: World): void {
        this.#act(world);
    }

    toString(): string {
        return this.#text;
    }
}

const command = (text: string, act: Act): fc.Command<object, World> => new ActCommand(text, act);

const index = fc.nat({ max: 7 });
const quotas = fc.constantFrom(1, 1, 1, 1, 1, 1, 2);

const commands = [
    fc.tuple(fc.nat({ max: 3 }), quotas).map(([ordinal, quota]) => {
        return command(`start ${ordinal} with ${quota}`, world => world.start(ordinal, quota));
    }),
    index.map(each => command(`kill ${each}`, world => world.kill(each))),
    index.map(each => command(`pause ${each}`, world => world.pause(each, true))),
    index.map(each => command(`wake ${each}`, world => world.pause(each, false))),
    fc.tuple(index, quotas).map(([each, quota]) => {
        return command(`${each} follows ${quota}`, world => world.follow(each, quota));
    }),
    fc.tuple(fc.integer({ min: 100, max: 4000 }), fc.boolean()).map(([ms, clocksRun]) => {
        return command(`run ${ms} ms${clocksRun ? "" : ", clocks stopped"}`, world =>
            world.run(ms, clocksRun),
        );
    }),
];

/** The probe budget as a model for the fuzz command. */
export const probingModel = (make: ProberFactory = makeProber): FuzzModel => ({
    name: "probing",
    property: replayPath =>
        fc.asyncProperty(
            fc.constantFrom(1, 2, 4),
            fc.commands(commands, { size: "large", maxCommands: 60, ...(replayPath ? { replayPath } : {}) }),
            async (ordinals, each) => {
                fc.modelRun(() => ({ model: {}, real: new World(make, ordinals) }), each);
                await Promise.resolve();
            },
        ),
});

const makeProber: ProberFactory = (settings, service, now) => new Prober(settings, service, now);
