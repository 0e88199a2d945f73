import assert from "node:assert/strict";
import { test } from "node:test";
import {
    CallMetrics,
    maxClassLabels,
    maxServiceLabels,
    maxTenantLabels,
    type CallSample,
} from "../src/metrics.js";

const sample = (changes: Partial<CallSample> = {}): CallSample => ({
    service: "stops-lookup",
    class: "default",
    tenant: "agents",
    outcome: "answered",
    status: 200,
    queueMs: 2,
    serverMs: 11,
    addedMs: 0.4,
    hedged: false,
    retried: false,
    ...changes,
});

test("a registered counter reads its total at each request for the metrics", async () => {
    const metrics = new CallMetrics(false);
    let total = 3;
    metrics.registerCounter("bm_test_total", "A total.", () => total);
    assert.match(await metrics.text(), /^bm_test_total 3$/m);
    total = 8;
    assert.match(await metrics.text(), /^bm_test_total 8$/m);
});

test("queue time, server time and added time are recorded separately", async () => {
    const metrics = new CallMetrics();
    metrics.recordCall(sample());
    metrics.recordCall(sample({ serverMs: 60_000 }));
    const views = await metrics.histograms();
    const nonEmpty = views.map(({ by, label, part, count, buckets }) => ({
        by,
        label,
        part,
        count,
        bounds: buckets.filter(bucket => bucket.count > 0).map(bucket => [bucket.upToMs, bucket.count]),
    }));
    const [label, count] = ["default", 2];
    assert.deepEqual(nonEmpty, [
        { by: "class", label, part: "queue", count, bounds: [[2.5, 2]] },
        {
            by: "class",
            label,
            part: "server",
            count,
            bounds: [
                [16, 1],
                [undefined, 1],
            ],
        },
        { by: "class", label, part: "added", count, bounds: [[0.5, 2]] },
        {
            by: "tenant",
            label: "agents",
            part: "total",
            count,
            bounds: [
                [16, 1],
                [undefined, 1],
            ],
        },
    ]);
    assert.equal(Math.round(views[1]!.sumMs), 60_011);
});

test("outcomes, hedges, retries, probes and control bytes are counted", async () => {
    const metrics = new CallMetrics();
    metrics.recordCall(sample({ outcome: "overloaded", status: 503, retried: true }));
    metrics.recordCall(sample({ hedged: true, tenant: "" }));
    metrics.recordProbe("stops-lookup", 6);
    metrics.recordControlTraffic("peers", "out", 120);
    metrics.setConfigVersion(7);
    metrics.setMemberCounts({ alive: 3, suspect: 0 });
    const text = await metrics.text();
    for (const line of [
        'bm_calls_total{service="stops-lookup",class="default",outcome="overloaded"} 1',
        'bm_hedged_calls_total{service="stops-lookup"} 1',
        'bm_retried_calls_total{service="stops-lookup"} 1',
        'bm_probes_total{service="stops-lookup"} 1',
        'bm_probe_server_seconds_total{service="stops-lookup"} 0.006',
        'bm_control_bytes_total{channel="peers",direction="out"} 120',
        'bm_tenant_seconds_count{service="stops-lookup",tenant="none"} 1',
        "bm_config_version 7",
        'bm_members{state="alive"} 3',
    ]) {
        assert.ok(text.includes(`${line}\n`), line);
    }
});

test("a forwarded call is counted without recording its latency", async () => {
    const metrics = new CallMetrics();
    metrics.recordCall(sample({ outcome: "passed-on" }));
    assert.deepEqual(await metrics.histograms(), []);
    assert.match(await metrics.text(), /bm_calls_total\{.*outcome="passed-on"\} 1\n/);
});

test("a call that no server answered records only its queue time", async () => {
    const metrics = new CallMetrics();
    metrics.recordCall(sample({ outcome: "overloaded", serverMs: 0 }));
    metrics.recordCall(sample({ outcome: "deadline-sent", serverMs: 0, addedMs: 500 }));
    const views = await metrics.histograms();
    assert.deepEqual(
        views.map(view => [view.part, view.count]),
        [["queue", 2]],
    );
});

test('the number of label values is bounded, and everything over the limit is counted as "other"', async () => {
    const metrics = new CallMetrics();
    for (let i = 0; i < 40; i++) {
        metrics.recordCall(sample({ class: `class-${i}`, tenant: `tenant-${i}` }));
    }
    const views = await metrics.histograms();
    const ofClass = views.filter(view => view.part === "queue");
    const ofTenant = views.filter(view => view.by === "tenant");
    assert.equal(ofClass.length, maxClassLabels + 1);
    assert.equal(ofTenant.length, maxTenantLabels + 1);
    assert.equal(ofClass.find(view => view.label === "other")?.count, 40 - maxClassLabels);
    for (let i = 0; i < maxServiceLabels + 20; i++) {
        metrics.recordProbe(`service-${i}`, 1);
    }
    const probed = (await metrics.text()).match(/^bm_probes_total\{/gm);
    assert.equal(probed?.length, maxServiceLabels);
});

test("a label value that could break the exposition format is replaced", async () => {
    const metrics = new CallMetrics();
    metrics.recordCall(sample({ tenant: 'x"} 1\ny' }));
    assert.deepEqual(
        (await metrics.histograms()).filter(view => view.by === "tenant").map(view => view.label),
        ["other"],
    );
});

test("a registered gauge reads its value at each request for the metrics", async () => {
    const metrics = new CallMetrics(false);
    let value = 0.5;
    metrics.registerGauge("bm_test", "A value.", () => value);
    assert.match(await metrics.text(), /^bm_test 0.5$/m);
    value = 0.2;
    assert.match(await metrics.text(), /^bm_test 0.2$/m);
});

test("waits of connections to be accepted are recorded in seconds", async () => {
    const metrics = new CallMetrics(false);
    metrics.recordAcceptWait(800);
    assert.match(await metrics.text(), /^bm_accept_wait_seconds_sum 0.8$/m);
});
