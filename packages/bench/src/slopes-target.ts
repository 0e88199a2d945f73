/** Resources that each role needs at the target size, extrapolated from the measured slopes. */

import type { Slope } from "./slopes-fit.js";
import {
    bandwidthRow,
    cpuRow,
    memoryRow,
    capacityRow,
    type Figures,
    type CapacityRow,
} from "./slopes-capacity.js";

const servers = 9_200;
const services = 380;
const callsPerSecond = 780_000;
const failureDomains = 7;
const changesPerSecond = 7_300 / 86_400;
/** Each VM that fails or is replaced, of 38 + 920 a day, is removed from the list once and added once. */
const listChangesPerSecond = (2 * (38 + 920)) / 86_400;
const onceTableMegabytes = 32;
/** Calls per second of one entry process in a closed loop, at commit ef8f9f5 on a busy machine. */
const processCallsPerSecond = 3_622;
const targetUtilization = 2 / 3;
const dispatchersPerService = 3;
const ticksPerSecond = 50;
const busyTicksPerSecond = 1_000;
const demandUpdatesPerSecond = 0.2;
const pollsPerSecond = 0.2;
const checkpointPartBytes = 131_072;
const onceEntries = 100_000;
const bytesPerMegabyte = 1e6;

/** Computes the capacity table at the target size from the slopes of one run. */
export class TargetCapacity {
    readonly #slopes: ReadonlyMap<string, Slope>;
    readonly #figures: Figures;
    /** Entry VMs, of one process each, that carry all calls at two thirds of capacity with one failure domain lost. */
    readonly vms = Math.ceil(
        (callsPerSecond / (processCallsPerSecond * targetUtilization)) *
            (failureDomains / (failureDomains - 1)),
    );
    /** Services dispatched by one entry VM. */
    readonly hosted = Math.ceil((services * dispatchersPerService) / this.vms);

    constructor(slopes: readonly Slope[], figures: Figures) {
        this.#slopes = new Map(slopes.map(slope => [slope.name, slope]));
        this.#figures = figures;
    }

    /** Returns all rows, by role. */
    rows(): readonly CapacityRow[] {
        return [
            ...this.#dispatch(),
            ...this.#placement(),
            ...this.#config(),
            ...this.#checkpoints(),
            ...this.#membership(),
            ...this.#once(),
            ...this.#sharing(),
            ...this.#metrics(),
            ...this.#vmList(),
            ...this.#totals(),
        ];
    }

    #dispatch(): readonly CapacityRow[] {
        const perServer = servers / services;
        const role = "dispatch";
        return [
            capacityRow(
                role,
                "processor time of a call",
                "dispatch-call-time(s)",
                this.#at("dispatch-call-time", perServer),
                "us",
            ),
            cpuRow(role, "processor, ticks at rest", "h x 50/s x dispatch-tick-time(s)", this.#tickPercent),
            cpuRow(
                role,
                "processor, ticks while calls run, at most",
                "h x 1,000/s x dispatch-tick-time(s)",
                (this.#tickPercent * busyTicksPerSecond) / ticksPerSecond,
            ),
            memoryRow(role, "memory", "h x hosted-heap-per-server(s)", this.#hostedMegabytes),
        ];
    }

    #placement(): readonly CapacityRow[] {
        const role = "placement";
        return [
            capacityRow(role, "time of one placing", "placement-time(n x 380)", this.#placementMs, "ms"),
            cpuRow(
                role,
                "processor",
                "(1 in 5 s + changes of text and members) x placement-time",
                this.#placementPercent,
            ),
        ];
    }

    #config(): readonly CapacityRow[] {
        const role = "following texts";
        return [
            memoryRow(role, "memory", "text-heap-per-server(9,200)", this.#textMegabytes),
            bandwidthRow(role, "messages", "change x 7,300 a day + poll x 0.2/s", this.#configBytes),
            cpuRow(role, "processor", "change-time(9,200) x 7,300 a day", this.#configPercent),
            capacityRow(
                role,
                "one standstill, a whole text",
                "snapshot-time(9,200)",
                this.#at("snapshot-time", servers),
                "ms",
            ),
        ];
    }

    #checkpoints(): readonly CapacityRow[] {
        const bytes = this.#at("text-bytes", servers);
        const day = this.#figure("checkpoints-a-day-76-vms");
        const appends = day * (Math.ceil(bytes / checkpointPartBytes) + 1);
        return [
            capacityRow("checkpoints", "appends of all", "6 a day x (parts of 128 Ki + 1)", appends, "a day"),
            capacityRow(
                "checkpoints",
                "appended by all",
                "6 a day x text-bytes(9,200)",
                (day * bytes) / 86_400,
                "B/s",
            ),
            capacityRow(
                "log",
                "appends of all",
                "7,300 a day + checkpoints",
                changesPerSecond + appends / 86_400,
                "a second",
                200,
            ),
            capacityRow(
                "log",
                "appended by all",
                "change x 7,300 a day + checkpoints",
                this.#logBytes(day * bytes),
                "B/s",
            ),
            capacityRow(
                "log",
                "reads of all",
                "n x (0.2/s + 7,300 a day)",
                this.vms * (pollsPerSecond + changesPerSecond),
                "a second",
            ),
        ];
    }

    #logBytes(checkpointBytesPerDay: number): number {
        return this.#figure("config-bytes-per-change") * changesPerSecond + checkpointBytesPerDay / 86_400;
    }

    #membership(): readonly CapacityRow[] {
        const role = "membership";
        const at = (name: string): number => this.#at(name, this.vms);
        return [
            bandwidthRow(role, "messages at rest", "membership-calm(n)", at("membership-calm")),
            bandwidthRow(role, "messages, busiest minute", "membership-busy(n)", at("membership-busy")),
            cpuRow(role, "processor", "membership-core(n)", at("membership-core")),
            memoryRow(role, "memory", "member-heap(n)", this.#memberMegabytes),
            capacityRow(
                role,
                "a dead member is out everywhere",
                "membership-out(n)",
                at("membership-out"),
                "ms",
            ),
            capacityRow(
                role,
                "lists agree after regions apart",
                "membership-heal(n)",
                at("membership-heal"),
                "ms",
            ),
        ];
    }

    #once(): readonly CapacityRow[] {
        const role = "at-most-once table";
        const entries = (onceTableMegabytes * bytesPerMegabyte) / this.#slope("once-heap").slope;
        return [
            memoryRow(
                role,
                "memory of 100,000 entries",
                "once-heap(100,000)",
                this.#at("once-heap", onceEntries) / bytesPerMegabyte,
            ),
            capacityRow(
                role,
                "non-idempotent calls a VM in 32 MB",
                "32 MB / once-heap / 120 s",
                entries / 120,
                "calls/s",
            ),
        ];
    }

    #sharing(): readonly CapacityRow[] {
        const formula = "h x 2 others x hint-bytes";
        return [bandwidthRow("slot sharing", "messages", formula, this.#hintBytes)];
    }

    #metrics(): readonly CapacityRow[] {
        const perVm = callsPerSecond / this.vms;
        const call = this.#at("metrics-call-time", this.hosted);
        const role = "metrics";
        return [
            capacityRow(
                role,
                "processor, part of the calls",
                "780,000 / n x metrics-call-time(h)",
                (perVm * call) / 1e4,
                "% of a core",
            ),
            memoryRow(role, "memory", "h x metrics-heap", this.#metricsMegabytes),
            capacityRow(
                role,
                "one reading, labels of all services",
                "metrics-read-time(380)",
                this.#at("metrics-read-time", services),
                "ms",
            ),
        ];
    }

    #vmList(): readonly CapacityRow[] {
        const role = "VM list";
        return [
            bandwidthRow(
                role,
                "messages, mean",
                "vm-list-bytes(9,200 + n) x 1,916 changes a day",
                this.#listBytes,
            ),
            bandwidthRow(
                role,
                "messages in a second with a change",
                "vm-list-bytes(9,200 + n)",
                this.#at("vm-list-bytes", servers + this.vms),
            ),
            memoryRow(role, "memory", "vm-list-heap(9,200 + n)", this.#listMegabytes),
        ];
    }

    #totals(): readonly CapacityRow[] {
        const bytes =
            this.#at("membership-calm", this.vms) + this.#configBytes + this.#hintBytes + this.#listBytes;
        const core =
            this.#tickPercent +
            this.#placementPercent +
            this.#configPercent +
            this.#at("membership-core", this.vms);
        const memory =
            this.#textMegabytes +
            this.#hostedMegabytes +
            this.#memberMegabytes +
            this.#metricsMegabytes +
            this.#listMegabytes;
        return [
            bandwidthRow("all control", "messages at rest", "sum of the above", bytes),
            cpuRow("all control", "processor", "sum of the above", core),
            memoryRow("all control", "memory without at-most-once entries", "sum of the above", memory),
        ];
    }

    get #tickPercent(): number {
        return (this.hosted * ticksPerSecond * this.#at("dispatch-tick-time", servers / services)) / 1e4;
    }

    get #hostedMegabytes(): number {
        return (this.hosted * this.#at("hosted-heap-per-server", servers / services)) / bytesPerMegabyte;
    }

    get #placementMs(): number {
        return this.#at("placement-time", this.vms * services);
    }

    get #placementPercent(): number {
        // Each replaced VM changes the member list twice: when it leaves and when it joins.
        const memberChanges = (listChangesPerSecond * this.vms) / (servers + this.vms);
        return ((demandUpdatesPerSecond + changesPerSecond + memberChanges) * this.#placementMs) / 10;
    }

    get #textMegabytes(): number {
        return this.#at("text-heap-per-server", servers) / bytesPerMegabyte;
    }

    get #configBytes(): number {
        const { "config-bytes-per-change": change = NaN, "config-bytes-per-poll": poll = NaN } =
            this.#figures;
        return change * changesPerSecond + poll * pollsPerSecond;
    }

    get #configPercent(): number {
        return (this.#at("change-time", servers) * changesPerSecond) / 10;
    }

    get #memberMegabytes(): number {
        return this.#at("member-heap", this.vms) / bytesPerMegabyte;
    }

    get #hintBytes(): number {
        return this.hosted * (dispatchersPerService - 1) * this.#slope("hint-bytes").slope;
    }

    get #metricsMegabytes(): number {
        return (this.hosted * this.#slope("metrics-heap").slope) / bytesPerMegabyte;
    }

    get #listBytes(): number {
        return this.#at("vm-list-bytes", servers + this.vms) * listChangesPerSecond;
    }

    get #listMegabytes(): number {
        return this.#at("vm-list-heap", servers + this.vms) / bytesPerMegabyte;
    }

    #at(name: string, size: number): number {
        return this.#slope(name).valueAt(size);
    }

    #slope(name: string): Slope {
        const slope = this.#slopes.get(name);
        if (!slope) {
            throw new RangeError(`the slope ${name} was not measured`);
        }
        return slope;
    }

    #figure(name: string): number {
        const figure = this.#figures[name];
        if (figure === undefined) {
            throw new RangeError(`the figure ${name} was not measured`);
        }
        return figure;
    }
}
