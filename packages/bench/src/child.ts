/** Child processes of measurements; the shipped programs start none. */

import { spawn, type ChildProcess } from "node:child_process";
import { createInterface } from "node:readline";
import { delay } from "./clock.js";

const maxRecentLines = 40;
const stopTimeoutMs = 20_000;

/** A child process that runs a Node.js script. */
export class ScriptProcess {
    readonly #process: ChildProcess;
    readonly #lines: string[] = [];
    readonly #waiters: { readonly pattern: RegExp; readonly found: (line: string) => void }[] = [];
    /** Resolves to the exit status, or to -1 if a signal ended the process. */
    readonly exited: Promise<number>;

    /** @param script absolute path of the built script */
    constructor(script: string, args: readonly string[], nodeArgs: readonly string[] = []) {
        this.#process = spawn(process.execPath, [...nodeArgs, script, ...args], {
            stdio: ["ignore", "pipe", "pipe"],
        });
        this.exited = new Promise(resolve => this.#process.once("exit", code => resolve(code ?? -1)));
        runningProcesses.add(this);
        void this.exited.then(() => runningProcesses.delete(this));
        for (const stream of [this.#process.stdout, this.#process.stderr]) {
            if (stream) {
                createInterface({ input: stream }).on("line", line => this.#onLine(line));
            }
        }
    }

    /** Process id; undefined if the process did not start. */
    get pid(): number | undefined {
        return this.#process.pid;
    }

    /** The last lines that the process printed. */
    get recentLines(): readonly string[] {
        return this.#lines;
    }

    /** Resolves to the first recent or future line that matches; rejects after `ms` milliseconds or on exit. */
    async waitForLine(pattern: RegExp, ms = stopTimeoutMs): Promise<string> {
        const seen = this.#lines.find(line => pattern.test(line));
        if (seen !== undefined) {
            return seen;
        }
        const found = new Promise<string>(resolve => this.#waiters.push({ pattern, found: resolve }));
        const ended = this.exited.then(code =>
            this.#throwError(`exited with ${code} before printing ${pattern}`),
        );
        const timer = new AbortController();
        const late = delay(ms, timer.signal).then(() =>
            this.#throwError(`did not print ${pattern} within ${ms} ms`),
        );
        try {
            return await Promise.race([found, ended, late]);
        } finally {
            timer.abort();
        }
    }

    /** Sends a signal to the process. */
    signal(name: NodeJS.Signals): void {
        this.#process.kill(name);
    }

    /** Sends SIGTERM, and SIGKILL after `ms` milliseconds; returns the exit status. */
    async stop(ms = stopTimeoutMs): Promise<number> {
        this.signal("SIGTERM");
        const timer = setTimeout(() => this.signal("SIGKILL"), ms);
        const code = await this.exited;
        clearTimeout(timer);
        return code;
    }

    #onLine(line: string): void {
        this.#lines.push(line);
        if (this.#lines.length > maxRecentLines) {
            this.#lines.shift();
        }
        for (const { pattern, found } of this.#waiters) {
            if (pattern.test(line)) {
                found(line);
            }
        }
    }

    #throwError(why: string): never {
        throw new Error(`child ${this.#process.spawnargs.join(" ")} ${why}\n${this.#lines.join("\n")}`);
    }
}

const runningProcesses = new Set<ScriptProcess>();

process.once("exit", () => runningProcesses.forEach(child => child.signal("SIGKILL")));

/** Returns the path of a built script of a workspace package, such as ("entry", "bramleymoord"). */
export const builtScriptPath = (pkg: string, name: string): string =>
    new URL(`../../../${pkg}/dist/src/${name}.js`, import.meta.url).pathname;
