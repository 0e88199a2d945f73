import { Prober } from "@bramleymoor/probing/prober";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { probingModel, type ProberFactory } from "../src/fuzz-probing.js";

const idleView = { queued: 0, inFlight: 0, servers: [] };

/** Returns a prober whose first budget window has already passed. */
const warmedUp: ProberFactory = (settings, service, now) => {
    const prober = new Prober(settings, service, now - 1300);
    for (let at = now - 1300; at <= now; at += 20) {
        prober.nextServer(idleView, at);
    }
    return prober;
};

const faultyFactories: Readonly<Record<string, ProberFactory>> = {
    "only one process per ordinal is assumed": (settings, service, now) =>
        new Prober({ ...settings, processesPerOrdinal: 1 }, service, now),
    "a new process doesn't wait for its first window": warmedUp,
    "the transit time of probes isn't counted": (settings, service, now) =>
        new Prober({ ...settings, probeTimeoutMs: 25 }, service, now),
    "the probes already sent are forgotten with each new configuration": (settings, service, now) => {
        let prober = new Prober(settings, service, now);
        let clock = now;
        return {
            nextServer: (view, at) => {
                clock = at;
                return prober.nextServer(view, at);
            },
            updateService: changed => {
                prober = warmedUp(settings, changed, clock) as Prober;
            },
        };
    },
    "every process uses the whole budget": (settings, service, now) =>
        new Prober({ ...settings, ordinal: 0, ordinalCount: 1 }, service, now),
};

test("no schedule of starts, pauses, configuration changes and delays exceeds the probe budget", async () => {
    const result = await fc.check(probingModel().property(), { seed: 1, numRuns: 150 });
    assert.ok(!result.failed, `${String(result.errorInstance)} ${String(result.counterexample)}`);
});

for (const [name, make] of Object.entries(faultyFactories)) {
    test(`the probing model detects a fault: ${name}`, async () => {
        const property = probingModel(make).property();
        const result = await fc.check(property, { seed: 1, numRuns: 400, endOnFailure: true });
        assert.ok(result.failed);
        assert.match(String(result.errorInstance), /ms of/);
    });
}
