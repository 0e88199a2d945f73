import { Prober } from "@bramleymoor/probing/prober";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { probingModel, type ProberFactory } from "../src/fuzz-probing.js";

const idle = { queued: 0, inFlight: 0, servers: [] };

/** A prober that has already waited its first window. */
const warmed: ProberFactory = (settings, service, now) => {
    const prober = new Prober(settings, service, now - 1300);
    for (let at = now - 1300; at <= now; at += 20) {
        prober.nextServer(idle, at);
    }
    return prober;
};

const faults: Readonly<Record<string, ProberFactory>> = {
    "one process for each ordinal is taken for granted": (settings, service, now) =>
        new Prober({ ...settings, processesPerOrdinal: 1 }, service, now),
    "a new process does not wait": warmed,
    "the time on the way is not counted": (settings, service, now) =>
        new Prober({ ...settings, probeTimeoutMs: 25 }, service, now),
    "what was sent is forgotten with each text": (settings, service, now) => {
        let prober = new Prober(settings, service, now);
        let clock = now;
        return {
            nextServer: (belief, at) => {
                clock = at;
                return prober.nextServer(belief, at);
            },
            updateService: changed => {
                prober = warmed(settings, changed, clock) as Prober;
            },
        };
    },
    "every process takes the whole budget": (settings, service, now) =>
        new Prober({ ...settings, ordinal: 0, ordinalCount: 1 }, service, now),
};

test("no schedule of starts, pauses, texts and delays breaks the probe budget", async () => {
    const result = await fc.check(probingModel().property(), { seed: 1, numRuns: 150 });
    assert.ok(!result.failed, `${String(result.errorInstance)} ${String(result.counterexample)}`);
});

for (const [name, make] of Object.entries(faults)) {
    test(`the probe budget's check bites: ${name}`, async () => {
        const property = probingModel(make).property();
        const result = await fc.check(property, { seed: 1, numRuns: 400, endOnFailure: true });
        assert.ok(result.failed);
        assert.match(String(result.errorInstance), /ms of/);
    });
}
