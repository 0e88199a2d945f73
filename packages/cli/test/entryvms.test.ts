import assert from "node:assert/strict";
import { test } from "node:test";
import { exitCodes } from "../src/exit.js";
import { mergeHistograms, quantile } from "../src/histograms.js";
import { startFakeEntryVm, writeTempFile, key, run } from "./builders.js";

const server = {
    address: "192.0.2.10:8080",
    inFlight: 1,
    limit: 2,
    state: "ejected",
    why: "5 answers in a row failed",
};
const view = { service: "stops-lookup", queued: 3, inFlight: 1, servers: [server] };
const status = {
    id: "entry-1",
    incarnation: "i",
    state: "serving",
    version: { number: 4, digest: "0123456789abcdef" },
    members: [{ id: "entry-1", state: "alive", callerAddress: "192.0.2.1:1" }],
    services: [view],
    rssBytes: 70_000_000,
    addedByALaterRelease: 1,
};
const explanation = { service: "stops-lookup", dispatchers: ["entry-1"], view, notes: ["share 0 of 1"] };
const histogram = {
    service: "stops-lookup",
    by: "class",
    label: "default",
    part: "server",
    count: 4,
    sumMs: 20,
    buckets: [{ upToMs: 2.5, count: 0 }, { upToMs: 4, count: 3 }, { upToMs: 6, count: 0 }, { count: 1 }],
} as const;

const responseOf = (path: string): unknown => {
    const byPath: Readonly<Record<string, unknown>> = {
        "/status": status,
        "/explain/stops-lookup": explanation,
        "/histograms": [histogram],
    };
    return byPath[path];
};

const flagsOf = (addresses: readonly string[]): readonly string[] => [
    ...addresses.flatMap(address => ["--entry", address]),
    "--key-file",
    writeTempFile(key),
];

test("status shows each entry VM and each service as tables or JSON", async t => {
    const address = await startFakeEntryVm(t, responseOf);
    const shown = await run(["status", ...flagsOf([address])]);
    assert.equal(shown.code, 0, shown.err);
    assert.equal(
        shown.out,
        [
            "ENTRY VM  STATE    VERSION  DIGEST        MEMBERS  SERVICES  MEMORY",
            "entry-1   serving  4        0123456789ab  1 alive  1         70 MB",
            "SERVICE       ENTRY VM  QUEUED  IN FLIGHT  BACKEND SERVERS",
            "stops-lookup  entry-1   3       1          1 ejected",
            "",
        ].join("\n"),
    );
    const json = await run(["status", "--json", ...flagsOf([address])]);
    const [first] = JSON.parse(json.out) as readonly { address: string; value: { id: string } }[];
    assert.deepEqual([first?.address, first?.value.id], [address, "entry-1"]);
});

test("an entry VM that doesn't respond or refuses the key is shown and sets the exit code", async t => {
    const address = await startFakeEntryVm(t, responseOf);
    const unreachable = await run(["status", ...flagsOf([address, "127.0.0.1:1"])]);
    assert.equal(unreachable.code, exitCodes["entry-unreachable"]);
    assert.match(unreachable.out, /127\.0\.0\.1:1 +connection refused\n/);
    const refused = await run(["status", "--entry", address, "--key-file", writeTempFile("another key")]);
    assert.equal(refused.code, exitCodes["entry-unreachable"]);
    assert.match(refused.err, /refuses the key/);
    assert.ok(!(refused.out + refused.err).includes("another key"));
});

test("explain shows why each server does or doesn't receive calls", async t => {
    const flags = flagsOf([await startFakeEntryVm(t, responseOf)]);
    const explained = await run(["explain", "stops-lookup", ...flags]);
    assert.equal(explained.code, 0, explained.err);
    assert.match(explained.out, /stops-lookup is dispatched by entry-1\n {2}share 0 of 1\n/);
    assert.match(explained.out, /192\.0\.2\.10:8080 +ejected +1\/2 +5 answers in a row failed/);
    assert.equal((await run(["explain", "notices", ...flags])).code, exitCodes["not-found"]);
});

test("histograms of several entry VMs are merged and drawn", async t => {
    const addresses = [await startFakeEntryVm(t, responseOf), await startFakeEntryVm(t, responseOf)];
    const drawn = await run(["histograms", ...flagsOf(addresses)]);
    assert.equal(drawn.code, 0, drawn.err);
    assert.equal(
        drawn.out,
        [
            "stops-lookup, class default, server: 8 calls, mean 5.00 ms, p50 <= 4 ms, p99 more than 6 ms",
            `       4 ms         6 ${"#".repeat(50)}`,
            "       6 ms         0",
            `      above         2 ${"#".repeat(17)}`,
            "",
        ].join("\n"),
    );
    const none = await run(["histograms", "--service", "notices", ...flagsOf(addresses)]);
    assert.equal(none.code, exitCodes["not-found"]);
});

test("a quantile is the upper bound of the bucket that holds it", () => {
    const [merged] = mergeHistograms([histogram]);
    assert.equal(quantile(merged!, 0.5), 4);
    assert.equal(quantile(merged!, 0.75), 4);
    assert.equal(quantile(merged!, 0.76), undefined);
    assert.equal(quantile({ ...merged!, count: 0, buckets: [] }, 0.5), undefined);
});

test("settings come from a file, flags override it, and every error is reported with its line", async t => {
    const address = await startFakeEntryVm(t, responseOf);
    const good = writeTempFile(
        `platform = http://192.0.2.1:7000\nentry = ${address}\nkey-file = ${writeTempFile(key)}\n`,
    );
    assert.equal((await run(["status", "--settings", good])).code, 0);
    const overridden = await run(["status", "--settings", good, "--entry", "127.0.0.1:1"]);
    assert.match(overridden.err, /127\.0\.0\.1:1: connection refused/);
    const bad = writeTempFile("entries = x\nentry = entry-1:9\nplatform = https://x\n[more]\n");
    const refused = await run(["status", "--settings", bad]);
    assert.equal(refused.code, exitCodes.usage);
    const lines = refused.err.trimEnd().split("\n");
    assert.deepEqual(
        lines.map(line => line.replace(bad, "").split(":")[1]),
        ["1", "2", "3", "4"],
    );
    assert.match(lines[0]!, /Did you mean "entry"\?/);
});

test("flags are validated by the same rules, and a missing or empty file is reported", async () => {
    const bad = await run([
        "status",
        "--entry",
        "entry-1:80",
        "--platform",
        "https://x",
        "--key-file",
        writeTempFile(key),
    ]);
    assert.equal(bad.code, exitCodes.usage);
    assert.match(bad.err, /found "entry-1:80"; expected the IP address/);
    assert.match(bad.err, /found "https:\/\/x"; expected a URL such as/);
    const empty = await run(["status", "--entry", "127.0.0.1:1", "--key-file", writeTempFile("\n")]);
    assert.match(empty.err, /^The key file .* is empty\.\n$/);
    const missing = await run(["check", "/no/such/file"]);
    assert.deepEqual(
        [missing.code, missing.err],
        [2, "The configuration file /no/such/file can't be read: there is no such file.\n"],
    );
});

test("colours and in-place lines are used only on a terminal, and NO_COLOR turns colours off", async t => {
    const flags = flagsOf([await startFakeEntryVm(t, responseOf)]);
    const args = ["explain", "stops-lookup", ...flags];
    const escape = "\u001b[";
    const plain = await run(args);
    assert.ok(!(plain.out + plain.err).includes(escape));
    const onTerminal = await run(args, true);
    assert.ok(onTerminal.out.includes(escape) && onTerminal.err.includes(escape));
    assert.ok(!(await run(args, true, { NO_COLOR: "1" })).out.includes(escape));
});
