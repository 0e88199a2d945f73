/** Runs a deployment on loopback as separate processes: simulated platform, backend servers and entry VMs. */

import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { publish } from "@bramleymoor/config/publisher";
import { HttpPlatform } from "@bramleymoor/platform/http";
import type { ListedVm } from "@bramleymoor/platform/vmlist";
import type { BackendBehavior, BackendCounts } from "@bramleymoor/testkit/backend";
import { builtScriptPath, ScriptProcess } from "./child.js";
import { monotonicMs } from "./clock.js";

const callerPort = 7_080;
const operatorPort = 7_081;
const peerPort = 7_082;
const startTimeoutMs = 30_000;
const maxErrorChars = 500;

/** Key that the entry VMs of every fleet share; it only protects loopback ports during a run. */
export const fleetAuthKey = "fleet-key-0123456789";

/** Options of one entry VM. */
export interface EntryOptions {
    readonly id: string;
    /** IP address on loopback. */
    readonly host: string;
    readonly ordinal: number;
    readonly domain: string;
    readonly ttlMs: number;
    readonly logLevel: string;
    /** "IP:port" of peers to contact while the platform's VM list can't be read. */
    readonly seeds: readonly string[];
    /** Arguments of Node.js itself, such as --cpu-prof. */
    readonly nodeArgs: readonly string[];
}

/** The process of one entry VM. */
export class EntryProcess {
    readonly options: EntryOptions;
    #child: ScriptProcess;
    readonly #start: () => ScriptProcess;

    constructor(options: EntryOptions, start: () => ScriptProcess) {
        this.options = options;
        this.#start = start;
        this.#child = start();
    }

    /** "IP:port" of the callers' port. */
    get callerAddress(): string {
        return `${this.options.host}:${callerPort}`;
    }

    /** "IP:port" of the operators' port. */
    get operatorAddress(): string {
        return `${this.options.host}:${operatorPort}`;
    }

    /** The running process. */
    get child(): ScriptProcess {
        return this.#child;
    }

    /** Resolves once the process serves an accepted configuration. */
    async ready(): Promise<void> {
        await this.#child.waitForLine(/"name":"ready"/, startTimeoutMs);
    }

    /** Starts a new process after the last one has exited. */
    restart(): void {
        this.#child = this.#start();
    }

    /** Fetches a path of the operators' port and parses the body as JSON. */
    async fetchJson<T>(path: string): Promise<T> {
        return JSON.parse(await this.fetchText(path)) as T;
    }

    /** Fetches a path of the operators' port and returns the body. */
    async fetchText(path: string): Promise<string> {
        const headers = { authorization: `Bearer ${fleetAuthKey}` };
        const res = await fetch(`http://${this.operatorAddress}${path}`, { headers });
        return await res.text();
    }
}

/** A process that runs simulated backend servers. */
export class BackendsProcess {
    readonly child: ScriptProcess;
    readonly ports: readonly number[];
    readonly #adminPort: number;

    constructor(child: ScriptProcess, ports: readonly number[], admin: number) {
        this.child = child;
        this.ports = ports;
        this.#adminPort = admin;
    }

    /** Changes fields of the behavior of the server on `port`, or of all servers of the process. */
    async setBehavior(behavior: Partial<BackendBehavior>, port?: number): Promise<void> {
        const body = JSON.stringify(port === undefined ? behavior : { port, ...behavior });
        await fetch(`http://127.0.0.1:${this.#adminPort}/knobs`, { method: "POST", body });
    }

    /** Returns the counters of each server. */
    async counts(): Promise<readonly (BackendCounts & { readonly port: number })[]> {
        const res = await fetch(`http://127.0.0.1:${this.#adminPort}/counts`);
        return (await res.json()) as readonly (BackendCounts & { readonly port: number })[];
    }
}

/** A running deployment. */
export class Fleet {
    readonly platform: HttpPlatform;
    readonly platformUrl: string;
    readonly #directory: string;
    readonly #children: ScriptProcess[] = [];
    readonly #entries: EntryProcess[] = [];

    private constructor(platformUrl: string, platformChild: ScriptProcess) {
        this.platformUrl = platformUrl;
        this.platform = new HttpPlatform(platformUrl);
        this.#directory = mkdtempSync(join(tmpdir(), "bramleymoor-"));
        this.#children.push(platformChild);
    }

    /** Starts a deployment that has only the simulated platform. */
    static async start(): Promise<Fleet> {
        const child = new ScriptProcess(builtScriptPath("testkit", "platform-main"), ["--port", "0"]);
        const url = await child.waitForLine(/^http:/, startTimeoutMs);
        return new Fleet(url, child);
    }

    /** Every entry VM that was started. */
    get entries(): readonly EntryProcess[] {
        return this.#entries;
    }

    /** Starts `count` simulated backend servers in one process. */
    async startBackends(count: number, behavior: Partial<BackendBehavior>): Promise<BackendsProcess> {
        const child = new ScriptProcess(builtScriptPath("testkit", "backend-main"), [
            String(count),
            JSON.stringify(behavior),
        ]);
        this.#children.push(child);
        const line = await child.waitForLine(/"admin"/, startTimeoutMs);
        const { admin, ports } = JSON.parse(line) as { admin: number; ports: readonly number[] };
        return new BackendsProcess(child, ports, admin);
    }

    /** Starts entry VMs, distributed over `domains` in turn, without waiting until they are ready. */
    startEntries(
        count: number,
        domains: readonly string[],
        ttlMs: number,
        { logLevel = "info", nodeArgs = [] }: Partial<EntryOptions> = {},
    ): void {
        const subnet = `127.${1 + (process.pid % 250)}.${Math.floor(monotonicMs()) % 250}`;
        for (let i = 0; i < count; i++) {
            const options: EntryOptions = {
                id: `entry-${i + 1}`,
                host: `${subnet}.${i + 1}`,
                ordinal: i,
                domain: domains[i % domains.length] ?? "default",
                ttlMs,
                logLevel,
                seeds: [1, 2, 3].map(n => `${subnet}.${n}:${peerPort}`),
                nodeArgs,
            };
            this.#entries.push(new EntryProcess(options, () => this.#entryProcess(options)));
        }
    }

    /** Replaces the platform's VM list with the entry VMs; ids in `leaving` are listed as leaving. */
    async publishVmList(leaving: ReadonlySet<string> = new Set()): Promise<void> {
        const vms: readonly ListedVm[] = this.#entries.map(({ options }) => ({
            id: options.id,
            peerAddress: `${options.host}:${peerPort}`,
            callerAddress: `${options.host}:${callerPort}`,
            region: "default",
            domain: options.domain,
            role: "entry",
            leaving: leaving.has(options.id),
        }));
        await this.controlPlatform("/test/vms", vms);
    }

    /**
     * Publishes a configuration text that replaces version `base`; returns the number of the accepted version.
     *
     * @throws Error if it is not accepted
     */
    async publish(text: string, base: number, id: string): Promise<number> {
        const result = await publish(this.platform, text, base, { id, random: Math.random });
        if (result.kind !== "accepted") {
            throw new Error(`publication ${id}: ${JSON.stringify(result).slice(0, maxErrorChars)}`);
        }
        return result.number;
    }

    /** Changes the behavior or the VM list of the simulated platform. */
    async controlPlatform(path: "/test/knobs" | "/test/vms", body: unknown): Promise<void> {
        // A platform that is set down also closes the connection of this request.
        await fetch(`${this.platformUrl}${path}`, { method: "POST", body: JSON.stringify(body) }).catch(
            () => undefined,
        );
    }

    /** Kills every process and deletes the settings files. */
    async stop(): Promise<void> {
        const all = [...this.#entries.map(entry => entry.child), ...this.#children];
        for (const child of all) {
            child.signal("SIGKILL");
        }
        await Promise.all(all.map(child => child.exited));
        rmSync(this.#directory, { recursive: true, force: true });
    }

    #entryProcess(options: EntryOptions): ScriptProcess {
        const file = join(this.#directory, `${options.id}.ini`);
        writeFileSync(file, settingsOf(options, this.platformUrl));
        return new ScriptProcess(builtScriptPath("entry", "bramleymoord"), [file], options.nodeArgs);
    }
}

const settingsOf = (options: EntryOptions, platformUrl: string): string =>
    [
        "[entry]",
        `id = ${options.id}`,
        `ordinal = ${options.ordinal}`,
        `domain = ${options.domain}`,
        "[ports]",
        `callers = ${options.host}:${callerPort}`,
        `operators = ${options.host}:${operatorPort}`,
        `peers = ${options.host}:${peerPort}`,
        "[peers]",
        `key = ${fleetAuthKey}`,
        `seeds = ${options.seeds.join(", ")}`,
        "[platform]",
        `url = ${platformUrl}`,
        "[callers]",
        `ttl-ms = ${options.ttlMs}`,
        "[log]",
        `level = ${options.logLevel}`,
    ].join("\n");
