/** Child processes of a measurement: started, watched, stopped. The shipped programs start none. */

import { spawn, type ChildProcess } from "node:child_process";
import { createInterface } from "node:readline";
import { delay } from "./clock.js";

const linesKept = 40;
const stopTimeoutMs = 20_000;

/** One child process that runs a Node script. */
export class ScriptProcess {
    readonly #process: ChildProcess;
    readonly #lines: string[] = [];
    readonly #waiting: { readonly pattern: RegExp; readonly found: (line: string) => void }[] = [];
    /** Resolves to the exit status, or to -1 after a signal. */
    readonly exited: Promise<number>;

    /** @param script absolute path of the built script */
    constructor(script: string, args: readonly string[], nodeArgs: readonly string[] = []) {
        this.#process = spawn(process.execPath, [...nodeArgs, script, ...args], {
            stdio: ["ignore", "pipe", "pipe"],
        });
        this.exited = new Promise(resolve => this.#process.once("exit", code => resolve(code ?? -1)));
        running.add(this);
        void this.exited.then(() => running.delete(this));
        for (const stream of [this.#process.stdout, this.#process.stderr]) {
            if (stream) {
                createInterface({ input: stream }).on("line", line => this.#heard(line));
            }
        }
    }

    /** Process number; undefined if it did not start. */
    get pid(): number | undefined {
        return this.#process.pid;
    }

    /** The last lines that it printed. */
    get recentLines(): readonly string[] {
        return this.#lines;
    }

    /** Resolves to the first line from now on, or already printed, that matches; rejects after `ms`. */
    async waitForLine(pattern: RegExp, ms = stopTimeoutMs): Promise<string> {
        const seen = this.#lines.find(line => pattern.test(line));
        if (seen !== undefined) {
            return seen;
        }
        const found = new Promise<string>(resolve => this.#waiting.push({ pattern, found: resolve }));
        const ended = this.exited.then(code => this.#fail(`ended with ${code} before printing ${pattern}`));
        const timer = new AbortController();
        const late = delay(ms, timer.signal).then(() =>
            this.#fail(`did not print ${pattern} within ${ms} ms`),
        );
        try {
            return await Promise.race([found, ended, late]);
        } finally {
            timer.abort();
        }
    }

    /** Sends a signal. */
    signal(name: NodeJS.Signals): void {
        this.#process.kill(name);
    }

    /** Asks it to stop, and kills it when it takes longer than `ms`. */
    async stop(ms = stopTimeoutMs): Promise<number> {
        this.signal("SIGTERM");
        const timer = setTimeout(() => this.signal("SIGKILL"), ms);
        const code = await this.exited;
        clearTimeout(timer);
        return code;
    }

    #heard(line: string): void {
        this.#lines.push(line);
        if (this.#lines.length > linesKept) {
            this.#lines.shift();
        }
        for (const { pattern, found } of this.#waiting) {
            if (pattern.test(line)) {
                found(line);
            }
        }
    }

    #fail(why: string): never {
        throw new Error(`child ${this.#process.spawnargs.join(" ")} ${why}\n${this.#lines.join("\n")}`);
    }
}

const running = new Set<ScriptProcess>();

process.once("exit", () => running.forEach(child => child.signal("SIGKILL")));

/** Path of a built script of a workspace package, such as ("entry", "bramleymoord"). */
export const builtScriptPath = (pkg: string, name: string): string =>
    new URL(`../../../${pkg}/dist/src/${name}.js`, import.meta.url).pathname;
