import assert from "node:assert/strict";
import { mkdtempSync, writeFileSync } from "node:fs";
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test, type TestContext } from "node:test";
import { SeededRandom } from "@bramleymoor/dispatch/random";
import { parseConfig } from "@bramleymoor/model/parser";
import { LoadCaller, type CallResult } from "../src/loadcaller.js";
import { mixes, configTextOf } from "../src/loadmix.js";
import { BodyPattern } from "../src/loadpattern.js";
import { generatePlan, readTrace, writeTrace, type PlannedCall } from "../src/loadplan.js";
import { formatReport, LoadReport } from "../src/loadreport.js";

const planned = (changed: Partial<PlannedCall> = {}): PlannedCall => ({
    atMs: 0,
    id: "load-1-7",
    service: "publish-desk",
    class: "publications",
    tenant: "tenant-1",
    method: "POST",
    path: "/publications",
    workMs: 0,
    bytes: 1_000,
    sentBytes: 10,
    ...changed,
});

/** Starts a fake entry VM that returns itself as the only address and passes calls to `respond`. */
const startEntryVm = async (
    t: TestContext,
    respond: (req: IncomingMessage, res: ServerResponse, attempt: number) => void,
): Promise<string> => {
    let attempts = 0;
    const server = createServer((req, res) => {
        if (req.url?.startsWith("/v1/addresses/")) {
            const addresses = [`127.0.0.1:${(server.address() as AddressInfo).port}`];
            res.end(
                JSON.stringify({ service: "s", addresses, ttlMs: 60_000, ticket: "ticket-1", version: 1 }),
            );
            return;
        }
        req.resume().on("end", () => respond(req, res, ++attempts));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    t.after(() => server.close().closeAllConnections());
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

const runCall = async (entry: string, call: PlannedCall): Promise<CallResult> => {
    const caller = new LoadCaller({ entries: [entry], attempts: 3, checkPattern: true });
    try {
        return await caller.run(call, 0);
    } finally {
        caller.close();
    }
};

const expectedBody = (call: PlannedCall): Buffer => new BodyPattern(call.id).bytes(0, call.bytes);

test("a body pattern detects wrong offsets, ids and bytes", () => {
    const pattern = new BodyPattern("a");
    const whole = pattern.bytes(0, 1_000);
    assert.ok(pattern.matches(0, whole));
    assert.ok(pattern.matches(333, whole.subarray(333, 777)));
    assert.ok(!pattern.matches(334, whole.subarray(333, 777)));
    assert.ok(!new BodyPattern("b").matches(0, whole));
    whole[999] = (whole[999] ?? 0) ^ 1;
    assert.ok(!pattern.matches(0, whole));
});

test("the same seed generates the same load, at the rate and in the shares of its mix", () => {
    const options = { kinds: mixes.ratiba.kinds, rate: 500, seconds: 20, tenants: 4, name: "x" };
    const calls = generatePlan(options, new SeededRandom(3));
    assert.deepEqual(generatePlan(options, new SeededRandom(3)), calls);
    assert.notDeepEqual(generatePlan(options, new SeededRandom(4)), calls);
    assert.ok(Math.abs(calls.length / 10_000 - 1) < 0.05, String(calls.length));
    const lookups = calls.filter(call => call.service === "stops-lookup").length;
    assert.ok(Math.abs(lookups / calls.length - 0.7) < 0.03, String(lookups));
    const meanWork = calls.reduce((sum, call) => sum + call.workMs, 0) / calls.length;
    assert.ok(Math.abs(meanWork / 10 - 1) < 0.05, String(meanWork));
    assert.equal(new Set(calls.map(call => call.id)).size, calls.length);
});

test("a recorded load is read as written, and an invalid line is reported", () => {
    const file = join(mkdtempSync(join(tmpdir(), "load-test-")), "trace");
    const calls = [planned(), planned({ atMs: 3, readPerSecond: 10 })];
    writeTrace(file, calls);
    assert.deepEqual(readTrace(file), calls);
    writeFileSync(file, `${JSON.stringify(planned({ atMs: 5 }))}\n${JSON.stringify(planned())}\n`);
    assert.throws(() => readTrace(file), /:2: atMs 0 is less than in the line above/);
    writeFileSync(file, '{"atMs": 1}\n');
    assert.throws(() => readTrace(file), /:1: invalid call/);
});

test("the config texts of all mixes are valid and list every server", () => {
    for (const mix of Object.values(mixes)) {
        const addresses = new Map(
            mix.services.map(({ name, servers }, s) => [
                name,
                Array.from({ length: servers }, (_, i) => `192.0.2.${i + 1}:${8_000 + s}`),
            ]),
        );
        const parsed = parseConfig(configTextOf(mix, addresses));
        assert.ok(parsed.ok);
        for (const { name, servers } of mix.services) {
            assert.equal(parsed.spec.services.get(name)?.servers.length, servers);
        }
        assert.ok(Math.abs(mix.kinds.reduce((sum, kind) => sum + kind.share, 0) - 1) < 1e-9);
    }
});

test("a complete response that matches its request has no faults", async t => {
    const call = planned();
    const entry = await startEntryVm(t, (_req, res) =>
        res.setHeader("x-received-bytes", 10).end(expectedBody(call)),
    );
    const { end, ran, attempts, cut, foreign, mangled } = await runCall(entry, call);
    assert.deepEqual(
        [end, ran, attempts, cut, foreign, mangled],
        ["answered", "ran", 1, false, false, false],
    );
});

test("short, broken and foreign responses and mangled requests are detected", async t => {
    const call = planned();
    const short = await startEntryVm(t, (_req, res) => res.end(expectedBody(call).subarray(1)));
    assert.deepEqual([(await runCall(short, call)).cut, (await runCall(short, call)).foreign], [true, true]);
    const broken = await startEntryVm(t, (_req, res) => {
        res.writeHead(200, { "content-length": call.bytes }).write(expectedBody(call).subarray(0, 500), () =>
            res.destroy(),
        );
    });
    assert.equal((await runCall(broken, call)).cut, true);
    const foreign = await startEntryVm(t, (_req, res) => res.end(expectedBody(planned({ id: "load-1-8" }))));
    assert.equal((await runCall(foreign, call)).foreign, true);
    const mangled = await startEntryVm(t, (_req, res) =>
        res.setHeader("x-received-bytes", 9).end(expectedBody(call)),
    );
    assert.equal((await runCall(mangled, call)).mangled, true);
});

test("a refusal that allows a retry is retried with the same ticket and request id", async t => {
    const call = planned();
    const seen: unknown[] = [];
    const entry = await startEntryVm(t, (req, res, attempt) => {
        seen.push([req.headers["bm-request-id"], req.headers["bm-ticket"], req.headers["bm-attempt"]]);
        if (attempt === 1) {
            res.writeHead(503, { "bm-error": "overloaded" }).end();
        } else if (attempt === 2) {
            res.socket?.destroy();
        } else {
            res.end(expectedBody(call));
        }
    });
    assert.deepEqual([(await runCall(entry, call)).attempts, seen.length], [3, 3]);
    assert.deepEqual(
        seen,
        ["1", "2", "3"].map(attempt => [call.id, "ticket-1", attempt]),
    );
    const final = await startEntryVm(t, (_req, res) =>
        res.writeHead(409, { "bm-error": "ticket-expired" }).end(),
    );
    const { end, ran, attempts } = await runCall(final, call);
    assert.deepEqual([end, ran, attempts], ["ticket-expired", "outcome unknown", 1]);
});

test("a call without a reachable entry VM is reported as not run", async () => {
    const { end, ran } = await runCall("127.0.0.1:1", planned());
    assert.deepEqual([end, ran], ["no address", "not run"]);
});

test("doubled, lost and untrue requests are found from the servers' counts", async () => {
    const result = (id: string, end: string, ran: CallResult["ran"]): CallResult => ({
        call: planned({ id }),
        end,
        ran,
        attempts: 1,
        firstByteMs: 5,
        lastByteMs: 6,
        cut: false,
        foreign: false,
        mangled: false,
    });
    const collected = new LoadReport();
    collected.add(result("fine", "answered", "ran"));
    collected.add(result("doubled", "answered", "ran"));
    collected.add(result("lost", "answered", "ran"));
    collected.add(result("untrue", "overloaded", "not run"));
    collected.add(result("refused", "overloaded", "not run"));
    collected.add(result("unknown", "server-lost", "outcome unknown"));
    const runs = new Map([
        ["fine", 1],
        ["doubled", 2],
        ["untrue", 1],
        ["unknown", 1],
    ]);
    const report = collected.report(runs);
    assert.deepEqual(report.faults, { cut: 0, foreign: 0, mangled: 0, doubled: 1, lost: 1, untrue: 1 });
    assert.deepEqual(report.classes[0]?.ends, { answered: 3, overloaded: 2, "server-lost": 1 });
    assert.match(formatReport(report), /publications: 2 ended as "overloaded"/);
    assert.match(formatReport(report), /of 6 calls: cut 0, .*doubled 1, lost 1, untrue 1$/);
    assert.match(await collected.svg(), /^<svg .*publish-desk\/publications/s);
});
