import assert from "node:assert/strict";
import { test } from "node:test";
import { Balancer } from "@bramleymoor/balance/balancer";
import { SeededRandom } from "@bramleymoor/dispatch/random";
import { Replay, type ReplayResult } from "../src/replay.js";
import { loadScenarios, faultScenarios } from "../src/replayscenarios.js";

const results = new Map<string, ReplayResult>();

const replay = (name: string): ReplayResult => {
    const known = results.get(name);
    const pattern = [...loadScenarios, ...faultScenarios].find(it => it.name === name);
    assert.ok(pattern);
    const random = new SeededRandom(pattern.seed);
    const result =
        known ??
        new Replay(pattern, new Balancer({ candidateCount: 3, domain: "a" }, () => random.next())).run();
    results.set(name, result);
    return result;
};

/** What all callers of a pattern earn together, against the pattern at 100%. */
const kept = (name: string, full: string): number => {
    const { utility: worth, requests: owed } = replay(name);
    return (worth * owed) / (replay(full).utility * replay(full).requests);
};

for (const kind of ["crowdable", "roomy"]) {
    for (const share of ["150%", "300%"]) {
        test(`${kind} servers at ${share} earn at least 0.9 of what they earn at 100%`, () => {
            const ratio = kept(`${kind} ${share}`, `${kind} 100%`);
            assert.ok(ratio >= 0.9, ratio.toFixed(3));
        });
    }
}

const allKnowing = 1;

for (const { name } of [...loadScenarios.filter(it => it.name.endsWith("100%")), ...faultScenarios]) {
    test(`${name}: at least 0.85 of what an all-knowing scheduler could earn at most`, () => {
        assert.ok(replay(name).utility >= 0.85 * allKnowing, replay(name).utility.toFixed(3));
    });
}

test("what is refused is refused within 5 ms, also under three times the load", () => {
    for (const { name } of loadScenarios) {
        assert.ok(replay(name).maxRefusalDelayMs <= 5, `${name}: ${replay(name).maxRefusalDelayMs} ms`);
    }
});

test("3 s after a burst's end callers earn what they did before it", () => {
    const { utilityBySecond: bySecond } = replay("crowdable burst");
    const mean = (from: number, to: number): number =>
        bySecond.slice(from, to).reduce((sum, it) => sum + it, 0) / (to - from);
    assert.ok(mean(13, 20) >= 0.95 * mean(0, 5), `${mean(13, 20)} after, ${mean(0, 5)} before`);
});

test("a replay gives the same figures every time", () => {
    const pattern = loadScenarios[0];
    assert.ok(pattern);
    const run = (): ReplayResult => {
        const random = new SeededRandom(1);
        return new Replay(
            pattern,
            new Balancer({ candidateCount: 3, domain: "a" }, () => random.next()),
        ).run();
    };
    assert.deepEqual(run(), run());
});
