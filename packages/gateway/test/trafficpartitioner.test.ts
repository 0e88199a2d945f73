import assert from "node:assert/strict";
import { test } from "node:test";
import type { EntryVm } from "@bramleymoor/model/vm";
import { routeConfig, serverEntry as entry } from "@bramleymoor/testkit/builders";
import { DemandExchange } from "../src/demand.js";
import { TrafficPartitioner } from "../src/trafficpartitioner.js";
import { route } from "./setup.js";

const vm = (id: string): EntryVm => ({
    id,
    incarnation: id,
    place: { region: "r", domain: "a" },
    callerAddress: `${id}:1`,
    peerAddress: `${id}:2`,
    state: "alive",
    load: 0,
});

const config = routeConfig(1, { routes: [route()] });

/** Creates a partitioner per entry VM; all of them see each other's payloads immediately. */
const fleet = (ids: readonly string[], linkMbps = 1_000) => {
    const payloads = new Map<string, Record<string, string | number>>(ids.map(id => [id, {}]));
    const preferred = new Map<string, ReadonlySet<string> | undefined>();
    const partitions: string[] = [];
    const members = (): readonly EntryVm[] => ids.map(vm);
    const partitioners = ids.map(self => {
        const membership = {
            payload: (id: string) => payloads.get(id) ?? {},
            setPayload: (key: string, value: string | number) => {
                payloads.set(self, { ...payloads.get(self), [key]: value });
            },
        };
        const demand = new DemandExchange({ self, membership, members, now: 0 });
        const partitioner = new TrafficPartitioner({
            self,
            processorShare: 0.5,
            linkMbps,
            membership,
            members,
            isCutOff: () => false,
            setPreferredServers: (service, serverIds) => {
                partitions.push(service);
                preferred.set(self, serverIds);
            },
            demand,
        });
        return {
            countRequest: (host: string) => demand.countHost(host),
            update: (...args: Parameters<TrafficPartitioner["update"]>) => partitioner.update(...args),
            entryVmsFor: (host: string, domain: string) => partitioner.entryVmsFor(host, domain),
            tick: (now: number) => {
                if (demand.tick(now)) {
                    partitioner.updateDemand(now);
                }
            },
        };
    });
    return { partitioners, preferred, partitions };
};

test("entry VMs that serve one host observe its total demand, and partition its servers", () => {
    const { partitioners, preferred } = fleet(["v1", "v2", "v3"]);
    const servers = Array.from({ length: 20 }, (_, i) => ({ entry: entry(`s${i}`), lapsed: false }));
    partitioners.forEach(it => it.update(config, servers.slice(0, 1)));
    assert.equal(partitioners[0]?.entryVmsFor("h.example", "a").length, 1);
    for (let now = 500; now <= 2_000; now += 500) {
        partitioners.forEach(it => {
            for (let n = 0; n < 50; n++) {
                it.countRequest("h.example");
            }
            it.update(config, servers);
            it.tick(now);
        });
    }
    assert.equal(partitioners[0]?.entryVmsFor("h.example", "a").length, 3);
    const subsets = [...preferred.values()].map(it => it ?? new Set<string>());
    assert.equal(new Set(subsets.flatMap(it => [...it])).size, servers.length);
    assert.equal(
        subsets.reduce((sum, it) => sum + it.size, 0),
        servers.length,
    );
});

test("a host gets more entry VMs if their links are slow", () => {
    const ids = Array.from({ length: 40 }, (_, i) => `v${i}`);
    const servers = Array.from({ length: 20 }, (_, i) => ({ entry: entry(`s${i}`), lapsed: false }));
    const count = (linkMbps: number): number | undefined => {
        const { partitioners } = fleet(ids, linkMbps);
        partitioners.forEach(it => it.update(config, servers));
        return partitioners[0]?.entryVmsFor("h.example", "a").length;
    };
    assert.equal(count(1_000), count(200));
    assert.ok((count(14) ?? 0) >= 2 * (count(200) ?? 0));
});

test("the slots of leaving servers bring no entry VMs to a host", () => {
    const ids = Array.from({ length: 40 }, (_, i) => `v${i}`);
    const count = (servers: number, leavingServers: number): number | undefined => {
        const entries = Array.from({ length: servers + leavingServers }, (_, i) =>
            entry(`s${i}`, { slots: 40, leaving: i >= servers }),
        );
        const { partitioners } = fleet(ids);
        partitioners.forEach(it =>
            it.update(
                config,
                entries.map(it => ({ entry: it, lapsed: false })),
            ),
        );
        return partitioners[0]?.entryVmsFor("h.example", "a").length;
    };
    assert.ok((count(20, 0) ?? 0) > (count(5, 0) ?? 0));
    assert.equal(count(5, 15), count(5, 0));
});

test("servers are partitioned again only if they or the entry VMs have changed", () => {
    const { partitioners, partitions } = fleet(["v1", "v2"]);
    const servers = Array.from({ length: 20 }, (_, i) => ({ entry: entry(`s${i}`), lapsed: false }));
    const runUntil = (from: number, until: number): void => {
        for (let now = from; now <= until; now += 500) {
            partitioners.forEach(it => {
                it.countRequest("h.example");
                it.tick(now);
            });
        }
    };
    partitioners.forEach(it => it.update(config, servers));
    runUntil(500, 1_500);
    const settled = partitions.length;
    assert.ok(settled > 0);
    runUntil(2_000, 10_000);
    assert.equal(partitions.length, settled);
    partitioners.forEach(it => it.update(config, servers.slice(1)));
    runUntil(10_500, 10_500);
    assert.equal(partitions.length, settled + 2);
});
