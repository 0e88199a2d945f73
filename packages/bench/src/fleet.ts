/** A whole deployment on loopback as separate processes: platform stand-in, backend servers, entry VMs. */

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
const maxShownCharacters = 500;

/** The shared key of every fleet; it guards loopback ports of one run. */
export const fleetAuthKey = "fleet-key-0123456789";

/** How one entry VM of a fleet differs from the others. */
export interface EntryOptions {
    readonly id: string;
    /** IP number on loopback. */
    readonly host: string;
    readonly ordinal: number;
    readonly domain: string;
    readonly ttlMs: number;
    readonly logLevel: string;
    /** Peers' addresses to try while the platform's list can't be read. */
    readonly seeds: readonly string[];
    /** Arguments for Node itself, such as --cpu-prof. */
    readonly nodeArgs: readonly string[];
}

/** One entry VM's process. */
export class EntryProcess {
    readonly options: EntryOptions;
    #child: ScriptProcess;
    readonly #start: () => ScriptProcess;

    constructor(options: EntryOptions, start: () => ScriptProcess) {
        this.options = options;
        this.#start = start;
        this.#child = start();
    }

    /** "IP:port" for callers. */
    get callerAddress(): string {
        return `${this.options.host}:${callerPort}`;
    }

    /** "IP:port" for operators. */
    get operatorAddress(): string {
        return `${this.options.host}:${operatorPort}`;
    }

    /** The running process. */
    get child(): ScriptProcess {
        return this.#child;
    }

    /** Resolves when the process serves an accepted text. */
    async ready(): Promise<void> {
        await this.#child.waitForLine(/"name":"ready"/, startTimeoutMs);
    }

    /** Starts a new process in place of the ended one. */
    restart(): void {
        this.#child = this.#start();
    }

    /** Asks the operators' port for JSON. */
    async fetchJson<T>(path: string): Promise<T> {
        return JSON.parse(await this.fetchText(path)) as T;
    }

    /** Asks the operators' port. */
    async fetchText(path: string): Promise<string> {
        const headers = { authorization: `Bearer ${fleetAuthKey}` };
        const res = await fetch(`http://${this.operatorAddress}${path}`, { headers });
        return await res.text();
    }
}

/** One process with backend server stand-ins. */
export class BackendsProcess {
    readonly child: ScriptProcess;
    readonly ports: readonly number[];
    readonly #admin: number;

    constructor(child: ScriptProcess, ports: readonly number[], admin: number) {
        this.child = child;
        this.ports = ports;
        this.#admin = admin;
    }

    /** Sets knobs of the stand-in on `port`, or of all. */
    async setKnobs(knobs: Partial<BackendBehavior>, port?: number): Promise<void> {
        const body = JSON.stringify(port === undefined ? knobs : { port, ...knobs });
        await fetch(`http://127.0.0.1:${this.#admin}/knobs`, { method: "POST", body });
    }

    /** What each stand-in has seen. */
    async counts(): Promise<readonly (BackendCounts & { readonly port: number })[]> {
        const res = await fetch(`http://127.0.0.1:${this.#admin}/counts`);
        return (await res.json()) as readonly (BackendCounts & { readonly port: number })[];
    }
}

/** The deployment. */
export class Fleet {
    readonly platform: HttpPlatform;
    readonly platformUrl: string;
    readonly #folder: string;
    readonly #children: ScriptProcess[] = [];
    readonly #entries: EntryProcess[] = [];

    private constructor(platformUrl: string, platformChild: ScriptProcess) {
        this.platformUrl = platformUrl;
        this.platform = new HttpPlatform(platformUrl);
        this.#folder = mkdtempSync(join(tmpdir(), "bramleymoor-"));
        this.#children.push(platformChild);
    }

    /** Starts the platform's stand-in. */
    static async start(): Promise<Fleet> {
        const child = new ScriptProcess(builtScriptPath("testkit", "platform-main"), ["--port", "0"]);
        const url = await child.waitForLine(/^http:/, startTimeoutMs);
        return new Fleet(url, child);
    }

    /** Every entry VM started so far. */
    get entries(): readonly EntryProcess[] {
        return this.#entries;
    }

    /** Starts `count` backend servers in one process. */
    async startBackends(count: number, knobs: Partial<BackendBehavior>): Promise<BackendsProcess> {
        const child = new ScriptProcess(builtScriptPath("testkit", "backend-main"), [
            String(count),
            JSON.stringify(knobs),
        ]);
        this.#children.push(child);
        const line = await child.waitForLine(/"admin"/, startTimeoutMs);
        const { admin, ports } = JSON.parse(line) as { admin: number; ports: readonly number[] };
        return new BackendsProcess(child, ports, admin);
    }

    /** Starts entry VMs, spread over `domains`, without waiting until they serve. */
    startEntries(
        count: number,
        domains: readonly string[],
        ttlMs: number,
        { logLevel = "info", nodeArgs = [] }: Partial<EntryOptions> = {},
    ): void {
        const net = `127.${1 + (process.pid % 250)}.${Math.floor(monotonicMs()) % 250}`;
        for (let i = 0; i < count; i++) {
            const options: EntryOptions = {
                id: `entry-${i + 1}`,
                host: `${net}.${i + 1}`,
                ordinal: i,
                domain: domains[i % domains.length] ?? "default",
                ttlMs,
                logLevel,
                seeds: [1, 2, 3].map(n => `${net}.${n}:${peerPort}`),
                nodeArgs,
            };
            this.#entries.push(new EntryProcess(options, () => this.#entryProcess(options)));
        }
    }

    /** Puts the entry VMs into the platform's list; those named in `leaving` as leaving. */
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
     * Publishes a text on top of version `base`; gives the accepted version's number.
     *
     * @throws Error unless it was accepted
     */
    async publish(text: string, base: number, id: string): Promise<number> {
        const result = await publish(this.platform, text, base, { id, random: Math.random });
        if (result.kind !== "accepted") {
            throw new Error(`publication ${id}: ${JSON.stringify(result).slice(0, maxShownCharacters)}`);
        }
        return result.number;
    }

    /** Turns the platform stand-in's knobs. */
    async controlPlatform(path: "/test/knobs" | "/test/vms", body: unknown): Promise<void> {
        // A platform that goes down breaks the connection that asked for it, too.
        await fetch(`${this.platformUrl}${path}`, { method: "POST", body: JSON.stringify(body) }).catch(
            () => undefined,
        );
    }

    /** Stops every process at once. */
    async stop(): Promise<void> {
        const all = [...this.#entries.map(entry => entry.child), ...this.#children];
        for (const child of all) {
            child.signal("SIGKILL");
        }
        await Promise.all(all.map(child => child.exited));
        rmSync(this.#folder, { recursive: true, force: true });
    }

    #entryProcess(options: EntryOptions): ScriptProcess {
        const file = join(this.#folder, `${options.id}.ini`);
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
