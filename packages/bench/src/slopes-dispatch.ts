/** Costs that grow with services and servers: config texts, dispatchers, placement, slot messages, metrics. */

import { emptyVersion, grammars } from "@bramleymoor/config/version";
import { snapshotOf, versionFromSnapshot } from "@bramleymoor/config/snapshot";
import { ServiceDispatcher } from "@bramleymoor/dispatch/dispatcher";
import { SeededRandom } from "@bramleymoor/dispatch/random";
import { SlotSharing } from "@bramleymoor/dispatch/sharing";
import type { Call, Slot } from "@bramleymoor/dispatch/types";
import { HostedService } from "@bramleymoor/entry/hostedservice";
import { SlotChannel } from "@bramleymoor/entry/slotchannel";
import { ConfigDocument } from "@bramleymoor/model/document";
import type { Service } from "@bramleymoor/model/spec";
import { parseConfig } from "@bramleymoor/model/parser";
import type { EntryVm } from "@bramleymoor/model/vm";
import { CallMetrics } from "@bramleymoor/observe/metrics";
import { selectEntryVms } from "@bramleymoor/placement/placement";
import { probeDefaults } from "@bramleymoor/probing/budget";
import { monotonicMs } from "./clock.js";
import { retainedHeap, measurePoints, Slope, minTimeMs, type Point } from "./slopes-fit.js";

const targetServers = 9_200;
const targetServices = 380;
const targetServersPerService = 24;
const microsecondsPerMs = 1_000;
const single = { index: 0, count: 1 };

/** Returns a config text whose services share the servers evenly. */
export const configTextOf = (services: number, servers: number): string => {
    const sections = Array.from({ length: services }, (_, service) => {
        const from = Math.floor((service * servers) / services);
        const to = Math.floor(((service + 1) * servers) / services);
        const lines = Array.from({ length: to - from }, (_, at) => serverLine(from + at));
        return `[service service-${service}]\n${lines.join("\n")}\n`;
    });
    return sections.join("\n");
};

const serverLine = (server: number): string =>
    `server = 10.${server >> 8}.${server & 255}.1:8080 domain=domain-${server % 7} slots=2 connections=250`;

/** Measures the heap and parse time of an accepted config text in one entry VM. */
export const textSlopes = (): readonly Slope[] => [
    new Slope(
        "text-heap-per-server",
        "B",
        `backend server, at ${targetServices} services`,
        measurePoints([1_150, 2_300, 4_600, targetServers], servers => configHeap(targetServices, servers)),
    ),
    new Slope(
        "text-heap-per-service",
        "B",
        `service, at ${targetServers} backend servers`,
        measurePoints([95, 190, targetServices, 760], services => configHeap(services, targetServers)),
    ),
    new Slope(
        "text-parse-per-server",
        "ms",
        `backend server, at ${targetServices} services`,
        measurePoints([1_150, 2_300, 4_600, targetServers], servers => {
            const text = configTextOf(targetServices, servers);
            return minTimeMs(1, () => parseConfig(text));
        }),
    ),
];

const configHeap = (services: number, servers: number): number => {
    const document = ConfigDocument.parse(configTextOf(services, servers));
    const base = { ...emptyVersion, number: 1, offset: 0 };
    const snapshot = snapshotOf({ ...base, document, digest: document.digest }, 1);
    return retainedHeap(() => {
        const version = versionFromSnapshot(snapshot, grammars);
        if (typeof version === "string") {
            throw new Error(`the config text was rejected: ${version}`);
        }
        return version;
    });
};

/** Returns a service with the given number of servers, of two slots each. */
const serviceOf = (servers: number, name = 0): Service => {
    const parsed = parseConfig(configTextOf(1, servers).replace("service-0", `service-${name}`));
    const service = parsed.ok ? parsed.spec.services.values().next().value : undefined;
    if (!service) {
        throw new Error(`the config text has no service: ${JSON.stringify(parsed)}`);
    }
    return service;
};

const callOf = (service: Service, id: number, now: number): Call => ({
    id,
    class: service.classes[0]!,
    tenant: "tenant",
    deadlineAt: now + 60_000,
    attempt: 1,
    retryBudget: 0,
    tried: [],
});

/** A dispatcher with half of its slots busy: each step ends the oldest call and submits another one. */
class DispatchLoop {
    readonly #service: Service;
    readonly #dispatcher: ServiceDispatcher;
    readonly #slots: Slot[] = [];
    #now = 0;
    #lastCallId = 0;

    constructor(servers: number) {
        this.#service = serviceOf(servers);
        this.#dispatcher = new ServiceDispatcher(this.#service, single, new SeededRandom(1), 0);
        for (let call = 0; call < servers; call++) {
            this.#submit();
        }
    }

    step(): void {
        this.#now += 0.1;
        const slot = this.#slots.shift();
        if (!slot) {
            throw new Error("no call was granted a slot");
        }
        this.#dispatcher.settle(slot, { kind: "answered", status: 200 }, this.#now);
        this.#submit();
    }

    tick(): void {
        this.#now += 20;
        this.#dispatcher.tick(this.#now);
    }

    #submit(): void {
        const call = callOf(this.#service, ++this.#lastCallId, this.#now);
        this.#dispatcher.submit(call, this.#now).subscribe(slot => this.#slots.push(slot));
    }
}

/** Measures the time and heap of dispatching one service. */
export const dispatchSlopes = (): readonly Slope[] => {
    const sizes = [8, 24, 96, 192, 384];
    const loops = new Map(sizes.map(size => [size, new DispatchLoop(size)]));
    const steps = measurePoints(
        sizes,
        size => minTimeMs(2_000, () => loops.get(size)?.step()) * microsecondsPerMs,
    );
    const ticks = measurePoints(
        sizes,
        size => minTimeMs(500, () => loops.get(size)?.tick()) * microsecondsPerMs,
    );
    const hosted = [8, 24, 96, 192, 384].map(size => ({ size, value: hostedHeap(size) }));
    return [
        new Slope("dispatch-call-time", "us", "backend server of the service, half of its slots busy", steps),
        new Slope("dispatch-tick-time", "us", "backend server of the service, half of its slots busy", ticks),
        new Slope("hosted-heap-per-server", "B", "backend server of a service dispatched here", hosted),
    ];
};

/** Returns the heap of one dispatched service with its prober and report filter, as the mean of several copies. */
const hostedHeap = (servers: number): number => {
    const copies = 20;
    const services = Array.from({ length: copies }, (_, name) => serviceOf(servers, name));
    const parts = {
        probing: { ...probeDefaults, ordinal: 0 },
        random: new SeededRandom(1),
        sendToDispatcher: () => undefined,
    };
    return retainedHeap(() => services.map(service => new HostedService(service, single, parts, 0))) / copies;
};

const vmOf = (index: number): EntryVm => ({
    id: `vm-${index}`,
    incarnation: "a",
    place: { region: `r${index % 3}`, domain: `d${index % 7}` },
    callerAddress: `10.0.${index >> 8}.${index & 255}:8080`,
    peerAddress: `10.0.${index >> 8}.${index & 255}:8081`,
    state: "alive",
    load: 0,
});

/** Measures how long an entry VM takes to recompute all placements, as on any change of members, text or demand. */
export const placementSlope = (): Slope => {
    const sizes = [
        [16, 95],
        [32, 190],
        [64, 380],
        [128, 380],
        [256, 380],
        [512, 380],
    ] as const;
    const points = sizes.map(([members, services]) => {
        const vms = Array.from({ length: members }, (_, index) => vmOf(index));
        const names = Array.from({ length: services }, (_, index) => `service-${index}`);
        return {
            size: members * services,
            value: minTimeMs(3, () => names.forEach(name => selectEntryVms(name, vms, 3))),
        };
    });
    return new Slope("placement-time", "ms", "member times service", points);
};

/** Measures the bytes per second that a dispatcher of a busy service sends and receives, by its number of peers. */
export const hintSlope = (): Slope => {
    const service = serviceOf(targetServersPerService);
    const points = [2, 3, 4, 5].map(count => ({
        size: count - 1,
        // Each peer sends as many hints as it receives.
        value: 2 * hintBytes(service, count),
    }));
    return new Slope("hint-bytes", "B/s", "other dispatcher of a service with calls", points);
};

const hintBytes = (service: Service, count: number): number => {
    const seconds = 10;
    const channel = new SlotChannel(
        "a key of this measurement",
        () => undefined,
        () => undefined,
    );
    const id = "entry-001";
    const peers = {
        send: (_to: number, message: Parameters<SlotSharing["receive"]>[0]) =>
            channel.send("127.0.0.1:9", { id, service: service.name, message }),
    };
    const sharing = new SlotSharing(peers);
    sharing.update(service, { index: 0, count }, 0);
    const use = { inFlight: 12, queued: 0, oldestWaitMs: 0, idleSlots: () => [] };
    for (let now = 0; now < seconds * 1_000; now += 10) {
        sharing.tick(use, now);
    }
    channel.close();
    return channel.bytes / seconds;
};

const recordOf = (label: number, service: number) => ({
    service: `service-${service}`,
    class: `class-${label}`,
    tenant: `tenant-${label}`,
    outcome: "answered" as const,
    status: 200,
    queueMs: 0.1,
    serverMs: 4,
    addedMs: 0.7,
    hedged: false,
    retried: false,
});

/** Measures heap, time to record a call and time to read all metrics, by services with two classes and tenants each. */
export const metricsSlopes = async (): Promise<readonly Slope[]> => {
    const sizes = [25, 50, 100, 190, targetServices];
    const heap: Point[] = [];
    const call: Point[] = [];
    const read: Point[] = [];
    for (const size of sizes) {
        let metrics = new CallMetrics();
        heap.push({ size, value: retainedHeap(() => (metrics = metricsOf(size))) });
        const records = Array.from({ length: size }, (_, service) => recordOf(service % 2, service));
        const ms = minTimeMs(2_000, index => metrics.recordCall(records[index % size]!));
        call.push({ size, value: ms * microsecondsPerMs });
        const start = monotonicMs();
        await metrics.text();
        read.push({ size, value: monotonicMs() - start });
    }
    const per = "service with calls, of 2 classes and 2 tenants";
    return [
        new Slope("metrics-heap", "B", per, heap),
        new Slope("metrics-call-time", "us", per, call),
        new Slope("metrics-read-time", "ms", per, read),
    ];
};

const metricsOf = (services: number): CallMetrics => {
    const metrics = new CallMetrics();
    for (let service = 0; service < services; service++) {
        metrics.recordCall(recordOf(0, service));
        metrics.recordCall(recordOf(1, service));
    }
    return metrics;
};
