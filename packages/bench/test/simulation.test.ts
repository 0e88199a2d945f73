import assert from "node:assert/strict";
import { writeFileSync, mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { pathToFileURL } from "node:url";
import { measureChoosers, type PolicySettings } from "../src/policy.js";
import { runScenario } from "../src/simulation.js";
import { deploymentOf } from "../src/simulationdeployment.js";
import { readTrace } from "../src/trace.js";

const settings: PolicySettings = {
    deployment: "ratiba",
    load: 0.7,
    faults: true,
    seeds: [3],
    dispatchers: 2,
    firstDispatcherShare: 0.5,
    durationMs: 1_000,
};

test("the same seed gives the same figures, another seed different ones", () => {
    const rows = measureChoosers(settings, ["late-binding", "two-choices"]);
    assert.deepEqual(measureChoosers(settings, ["late-binding", "two-choices"]), rows);
    assert.notDeepEqual(measureChoosers({ ...settings, seeds: [4] }, ["late-binding", "two-choices"]), rows);
});

test("entry VMs stand in the failure domains of the deployment's servers, however these are named", () => {
    const { service, trace } = deploymentOf("ratiba");
    const latenciesIn = (domain: string): readonly number[] => {
        const servers = service.servers.map(server => ({ ...server, domain }));
        const { outcomes } = runScenario({
            service: { ...service, servers },
            trace: readTrace(trace),
            chooser: "late-binding",
            faults: false,
            seed: 1,
            durationMs: 500,
            loadAt: () => 0.7,
            dispatchers: 2,
            firstDispatcherShare: 0.5,
            callerRetries: 0,
        });
        return outcomes.map(outcome => outcome.latencyMs);
    };
    assert.deepEqual(latenciesIn("z"), latenciesIn("a"));
});

test("an invalid trace line is reported with file and line", () => {
    const file = join(mkdtempSync(join(tmpdir(), "trace-")), "bad.txt");
    writeFileSync(file, "bramleymoor trace 1\n1 2 3 4\n1 2 x 4\n");
    assert.throws(() => readTrace(pathToFileURL(file)), /bad\.txt:3: a call is four whole numbers/);
});
