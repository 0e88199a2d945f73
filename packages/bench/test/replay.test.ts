import assert from "node:assert/strict";
import { test } from "node:test";
import { replayScenario, type ReplayResult } from "../src/replay.js";
import { loadScenarios, faultScenarios } from "../src/replayscenarios.js";

const results = new Map<string, ReplayResult>();

const replay = (name: string): ReplayResult => {
    const known = results.get(name);
    const scenario = [...loadScenarios, ...faultScenarios].find(it => it.name === name);
    assert.ok(scenario);
    const result = known ?? replayScenario(scenario);
    results.set(name, result);
    return result;
};

/** Total utility of a scenario as a share of that of the scenario at 100% load. */
const utilityShare = (name: string, full: string): number => {
    const { utility, requests } = replay(name);
    return (utility * requests) / (replay(full).utility * replay(full).requests);
};

for (const kind of ["crowdable", "roomy"]) {
    for (const share of ["150%", "300%"]) {
        test(`${kind} servers at ${share} load reach at least 0.9 of the utility at 100%`, () => {
            const ratio = utilityShare(`${kind} ${share}`, `${kind} 100%`);
            assert.ok(ratio >= 0.9, ratio.toFixed(3));
        });
    }
}

/** Upper bound of the mean utility under any scheduler. */
const omniscientUtility = 1;

for (const { name } of [...loadScenarios.filter(it => it.name.endsWith("100%")), ...faultScenarios]) {
    test(`${name}: utility is at least 0.85 of an omniscient scheduler's upper bound`, () => {
        assert.ok(replay(name).utility >= 0.85 * omniscientUtility, replay(name).utility.toFixed(3));
    });
}

test("refusals take at most 5 ms, also at 300% load", () => {
    for (const { name } of loadScenarios) {
        assert.ok(replay(name).maxRefusalDelayMs <= 5, `${name}: ${replay(name).maxRefusalDelayMs} ms`);
    }
});

test("3 s after a burst utility is back to at least 0.95 of its value before", () => {
    const { utilityBySecond } = replay("crowdable burst");
    const mean = (from: number, to: number): number =>
        utilityBySecond.slice(from, to).reduce((sum, it) => sum + it, 0) / (to - from);
    assert.ok(mean(13, 20) >= 0.95 * mean(0, 5), `${mean(13, 20)} after, ${mean(0, 5)} before`);
});

test("of the callers that a burst leaves no room for, at least a third are served after it", () => {
    const { late, refused } = replay("large bursts");
    assert.ok(late >= (late + refused) / 3, `${late} late, ${refused} refused`);
});

for (const name of ["large bursts, 11 VMs", "roomy 150%, 10 VMs"]) {
    test(`${name}: utility is at least 0.85 of that of one entry VM that sees all requests`, () => {
        const alone = replay(name.replace(/, \d+ VMs$/, "")).utility;
        assert.ok(
            replay(name).utility >= 0.85 * alone,
            `${replay(name).utility.toFixed(3)} of ${alone.toFixed(3)}`,
        );
    });
}

test("a replay is deterministic", () => {
    const several = loadScenarios.find(it => it.entryVms !== undefined);
    for (const scenario of [loadScenarios[0], several]) {
        assert.ok(scenario);
        assert.deepEqual(replayScenario(scenario, 1), replayScenario(scenario, 1));
    }
});
