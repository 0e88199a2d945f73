import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { createSocket } from "node:dgram";
import { once } from "node:events";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { createServer, type AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test, type TestContext } from "node:test";
import { fileURLToPath } from "node:url";
import { sharedKey } from "./setup.js";

const main = fileURLToPath(new URL("../src/bramleymoord.js", import.meta.url));

type PortName = "callers" | "operators" | "peers";

interface FailedStart {
    readonly exitCode: number;
    /** Parsed log lines. */
    readonly events: readonly Readonly<Record<string, unknown>>[];
}

/** Starts the entry process with one address changed, and waits for it to exit. */
const startWith = async (t: TestContext, name: PortName, address: string): Promise<FailedStart> => {
    const dir = await mkdtemp(join(tmpdir(), "bramleymoor-start-"));
    t.after(() => rm(dir, { recursive: true }));
    const ports = { callers: "127.0.0.1:0", operators: "127.0.0.1:0", peers: "127.0.0.1:0", [name]: address };
    const lines = Object.entries(ports).map(([key, value]) => `${key} = ${value}`);
    const text = ["[entry]", "id = entry-1", "[ports]", ...lines, "[peers]", `key = ${sharedKey}`].join("\n");
    await writeFile(join(dir, "node.ini"), text);
    const child = spawn(process.execPath, [main, "node.ini"], {
        cwd: dir,
        stdio: ["ignore", "pipe", "inherit"],
    });
    t.after(() => child.kill("SIGKILL"));
    let output = "";
    child.stdout.on("data", chunk => (output += String(chunk)));
    const [exitCode] = (await once(child, "close")) as [number];
    const events = output
        .trim()
        .split("\n")
        .map(line => JSON.parse(line) as Readonly<Record<string, unknown>>);
    return { exitCode, events };
};

for (const [name, line] of [
    ["callers", 4],
    ["operators", 5],
    ["peers", 6],
] as const) {
    test(
        `a taken port for ${name} ends the start, and the log names port, setting and line`,
        { timeout: 60_000 },
        async t => {
            const server = createServer().listen(0, "127.0.0.1");
            t.after(() => server.close());
            await once(server, "listening");
            const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
            const { exitCode, events } = await startWith(t, name, address);
            const failure = events.find(event => event["event"] === 6003);
            assert.deepEqual(
                [exitCode, failure?.["address"], failure?.["setting"]],
                [3, address, `[ports] ${name}, node.ini:${line}`],
            );
        },
    );
}

test(
    "a peers' port that is taken as UDP ends the start, and the log names it",
    { timeout: 60_000 },
    async t => {
        const socket = createSocket("udp4");
        t.after(() => socket.close());
        await new Promise<void>(resolve => socket.bind(0, "127.0.0.1", resolve));
        const address = `127.0.0.1:${socket.address().port}`;
        const { exitCode, events } = await startWith(t, "peers", address);
        const failure = events.find(event => event["event"] === 6003);
        assert.deepEqual(
            [exitCode, failure?.["address"], failure?.["setting"]],
            [3, address, "[ports] peers, node.ini:6"],
        );
    },
);

test(
    "an address that the VM doesn't have ends the start with an event and exit code of its own",
    { timeout: 60_000 },
    async t => {
        const { exitCode, events } = await startWith(t, "operators", "192.0.2.1:7");
        const failure = events.find(event => event["event"] === 6004);
        assert.deepEqual(
            [exitCode, failure?.["address"], failure?.["setting"]],
            [5, "192.0.2.1:7", "[ports] operators, node.ini:5"],
        );
    },
);
