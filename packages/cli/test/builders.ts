/** Runs the program inside the test process, against simulated platforms and entry VMs. */

import { mkdtempSync, writeFileSync } from "node:fs";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { TestContext } from "node:test";
import { grammars, type Grammars } from "@bramleymoor/config/version";
import { startPlatformServer, type PlatformServer } from "@bramleymoor/testkit/platform";
import { Program } from "../src/program.js";
import { Terminal } from "../src/terminal.js";

/** Exit code and output of one run of the program. */
export interface RunResult {
    readonly code: number;
    readonly out: string;
    readonly err: string;
}

let nextId = 0;

/** Runs one command line; its clock advances only while the program sleeps. */
export const run = async (
    args: readonly string[],
    isTTY = false,
    env = {},
    supportedGrammars: Grammars = grammars,
): Promise<RunResult> => {
    const output = { out: "", err: "" };
    const streamOf = (stream: "out" | "err") => ({
        isTTY,
        write: (text: string) => {
            output[stream] += text;
        },
    });
    let now = 0;
    const program = new Program({
        terminal: new Terminal(streamOf("out"), streamOf("err"), env),
        sleep: async ms => {
            now += ms;
        },
        random: () => 0.5,
        now: () => now,
        newId: () => `id-${nextId++}`,
        grammars: supportedGrammars,
    });
    const code = await program.run(args);
    return { code, ...output };
};

/** Writes a file into a new temporary directory and returns its path. */
export const writeTempFile = (text: string): string => {
    const path = join(mkdtempSync(join(tmpdir(), "cli-test-")), "file.ini");
    writeFileSync(path, text);
    return path;
};

/** Starts a simulated platform that is closed when the test ends. */
export const startTestPlatform = async (t: TestContext): Promise<PlatformServer> => {
    const platform = await startPlatformServer({ port: 0 });
    t.after(() => platform.close());
    return platform;
};

/** Key that the simulated entry VM requires. */
export const key = "a key of more than 16 characters";

/**
 * Starts a simulated operators' port of an entry VM and returns its "IP:port".
 *
 * @param responseOf returns the body for a path; undefined leads to status 404
 */
export const startFakeEntryVm = async (
    t: TestContext,
    responseOf: (path: string) => unknown,
): Promise<string> => {
    const server: Server = createServer((req, res) => {
        const authorized = req.headers.authorization === `Bearer ${key}`;
        const body = authorized ? responseOf(req.url ?? "") : undefined;
        const status = body === undefined ? 404 : 200;
        res.writeHead(authorized ? status : 401).end(JSON.stringify(body ?? {}));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    t.after(() => server.close());
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

/** Returns a configuration with one service and one backend server. */
export const configText = (host = "192.0.2.10"): string => `[service stops-lookup]\nserver = ${host}:8080\n`;
