/** Stand-ins for the platform's store, backend servers and the platform's process control; no dependency beside Node. */

import { Buffer } from "node:buffer";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync, appendFileSync } from "node:fs";
import { createServer, request } from "node:http";
import { createServer as createNetServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { performance } from "node:perf_hooks";
import process from "node:process";
import { clearTimeout, setTimeout } from "node:timers";
import { setTimeout as delay } from "node:timers/promises";
import { URL } from "node:url";

export { delay };

const startedAt = performance.now();

/** Milliseconds since the start of the script, on the steady clock. */
export const now = () => performance.now() - startedAt;

/** What was sent, answered and run, a line each; written to the file as it happens. */
export class Recorder {
    constructor(path) {
        this.path = path;
        writeFileSync(path, "");
    }

    write(what, fields = {}) {
        const rest = Object.entries(fields).map(([name, value]) => `${name}=${value}`);
        appendFileSync(this.path, `${now().toFixed(1)} ${what} ${rest.join(" ")}\n`);
    }
}

/** A loopback network of this process's own: 127.A.B.n. */
const network = `127.${64 + (process.pid % 128)}.${1 + (Math.floor(process.pid / 128) % 250)}`;

/** Returns the n-th loopback address of this script, 1 to 254. */
export const hostAt = n => `${network}.${n}`;

/** Returns different free ports of a host. */
export const freePorts = async (host, count) => {
    const servers = Array.from({ length: count }, () => createNetServer().listen(0, host));
    await Promise.all(servers.map(it => once(it, "listening")));
    const ports = servers.map(it => it.address().port);
    await Promise.all(servers.map(it => new Promise(resolve => it.close(resolve))));
    return ports;
};

const encodeRecord = ({ key, value }) => {
    const content = Buffer.concat([Buffer.from([key.length]), Buffer.from(key), value ?? Buffer.alloc(0)]);
    const length = Buffer.alloc(4);
    length.writeUInt32BE(content.length);
    return Buffer.concat([length, content]);
};

/** The platform's store, with the keyed topics that the operator and the backend servers write. */
export class Store {
    topics = new Map();
    waiting = new Set();

    async start(host) {
        this.server = createServer((req, res) => this.handle(req, res));
        this.server.listen(0, host);
        await once(this.server, "listening");
        this.address = `${host}:${this.server.address().port}`;
        return this;
    }

    /** Writes a record; undefined as its value removes the key. */
    put(topic, key, value) {
        const records = this.topics.get(topic) ?? [];
        records.push({ key, value: value === undefined ? undefined : Buffer.from(JSON.stringify(value)) });
        this.topics.set(topic, records);
        this.waiting.forEach(it => it(topic));
    }

    handle(req, res) {
        const url = new URL(req.url ?? "", "http://store");
        const topic = url.searchParams.get("topic") ?? "";
        const records = this.topics.get(topic) ?? [];
        if (url.pathname === "/log-newest") {
            const newest = new Map(records.map((it, offset) => [it.key, { ...it, offset }]));
            const items = [...newest.values()].flatMap(({ key, value, offset }) =>
                value ? [{ key, value: value.toString("base64"), offset }] : [],
            );
            res.setHeader("Content-Type", "application/json");
            res.end(JSON.stringify({ items, has_more: false, end: records.length }));
        } else if (url.pathname === "/log-read") {
            this.read(topic, Number(url.searchParams.get("from")), url.searchParams, res);
        } else {
            res.writeHead(404).end();
        }
    }

    read(topic, from, params, res) {
        const respond = () => {
            clearTimeout(timer);
            this.waiting.delete(onRecord);
            const records = this.topics.get(topic) ?? [];
            const head = Buffer.alloc(16);
            head.writeBigUInt64BE(BigInt(records.length), 0);
            res.end(Buffer.concat([head, ...records.slice(from).map(encodeRecord)]));
        };
        const onRecord = it => it === topic && respond();
        const hasNews = from < (this.topics.get(topic) ?? []).length;
        const timer = setTimeout(respond, hasNews ? 0 : Number(params.get("wait_ms") ?? 0));
        this.waiting.add(onRecord);
        res.once("close", () => {
            clearTimeout(timer);
            this.waiting.delete(onRecord);
        });
    }

    close() {
        this.server.closeAllConnections();
        this.server.close();
    }
}

/** A sound backend server: queues beyond its slots, answers with its marks, tells its load, and drops what its caller gives up. */
export class BackendServer {
    running = 0;
    queue = [];
    leaving = false;

    /** @param run called when a request begins to run, with its id and headers */
    constructor({
        id,
        service,
        zone = "a",
        slots = 4,
        workMs = 20,
        queueLength = 16,
        onRun = () => undefined,
    }) {
        Object.assign(this, { id, service, zone, slots, workMs, queueLength, onRun });
    }

    async start(host) {
        this.server = createServer({ keepAliveTimeout: 10_000 }, (req, res) => this.handle(req, res));
        this.server.listen(0, host);
        await once(this.server, "listening");
        this.address = `${host}:${this.server.address().port}`;
        return this;
    }

    entry(state = "ready") {
        return {
            address: this.address,
            born: Math.floor(performance.timeOrigin),
            info: { service: this.service, version: "v1", zone: this.zone, slots: this.slots },
            status: { state, sequence: 1, slow_start_s_time: 0 },
        };
    }

    get load() {
        return `${this.running},${this.queue.length},${this.slots},100`;
    }

    handle(req, res) {
        if (req.url === "/healthz") {
            res.writeHead(200, { "X-Instance-Id": this.id, "X-Server-Load": this.load, "Content-Length": 0 });
            res.end();
            return;
        }
        if (req.headers["x-expect-instance"] !== undefined && req.headers["x-expect-instance"] !== this.id) {
            req.resume();
            res.writeHead(421, { "X-Instance-Id": this.id, "X-Not-Executed": "1", "Content-Length": 0 });
            res.end();
            return;
        }
        const id = String(req.headers["x-request-id"]);
        const chunks = [];
        req.on("data", it => chunks.push(it));
        req.on("end", () => {
            const job = { id, req, res, body: Buffer.concat(chunks), arrivedAt: now() };
            if (this.running < this.slots) {
                this.run(job);
            } else if (this.queue.length < this.queueLength) {
                this.queue.push(job);
            } else {
                res.writeHead(503, { "X-Request-Id": id, "X-Not-Executed": "1", "Content-Length": 0 });
                res.end();
            }
        });
    }

    run(job) {
        const { id, req, res } = job;
        this.running++;
        this.onRun(job, this);
        const end = () => {
            clearTimeout(timer);
            this.running--;
            const next = this.queue.shift();
            if (next && !next.res.destroyed) {
                this.run(next);
            }
        };
        const timer = setTimeout(() => {
            end();
            this.answer(id, req, res);
        }, this.workMs);
        res.once("close", () => {
            if (!res.writableEnded) {
                end();
            }
        });
    }

    answer(id, req, res) {
        const body = `${this.id} ran ${id}`;
        res.writeHead(200, {
            "X-Request-Id": id,
            "X-Server-Signature": `s.${this.id}.${id}`,
            "X-Server-Load": this.load,
            "Content-Length": body.length,
        });
        res.end(body);
    }

    close() {
        this.server.closeAllConnections();
        this.server.close();
    }
}

/** The run command of deploy/system.toml. */
const command = ["--max-old-space-size=160", "--max-semi-space-size=4", "target/bramleymoord.js"];

/** Starts and ends entry processes, as the platform does. */
export class Platform {
    entries = [];

    /** @param root the repository's root, from which the program is started */
    constructor({ root, store, recorder }) {
        Object.assign(this, { root, store, recorder });
        this.dir = mkdtempSync(join(tmpdir(), "review-"));
    }

    /** Prepares entry machines; `settings` are added to those of each. */
    async addMachines(count, { firstHost = 1, settings = () => ({}) } = {}) {
        const [peerPort] = await freePorts(hostAt(firstHost), 1);
        for (let i = 0; i < count; i++) {
            const host = hostAt(firstHost + i);
            const [front, ready, directory, control] = await freePorts(host, 4);
            const path = join(this.dir, `${host}.json`);
            const name = `edge-${i + 1}`;
            const base = {
                node_name: name,
                role: "entry",
                machine_class: "edge",
                serves: ["edge", "control_plane", "directory"],
                ip: host,
                zone: "a",
                region: "r",
                zones: { a: "r" },
                listen: {
                    front: `${host}:${front}`,
                    ready: `${host}:${ready}`,
                    control: `${host}:${control}`,
                    directory: `${host}:${directory}`,
                },
                internal_port_range: [peerPort, peerPort + 15],
                seeds: Array.from(
                    { length: Math.min(3, count) },
                    (_, k) => `${hostAt(firstHost + k)}:${control}`,
                ),
                bootstrap: true,
                limits: {
                    cpu_share: 1,
                    cpu_cores: 1,
                    memory_mb: 350,
                    max_fds: 4100,
                    link_mbps: 1000,
                    disk_mb: 0,
                },
                heartbeat_s: 1.5,
                bounds: {},
                platform: { address: this.store.address },
            };
            const all = { ...base, ...settings(i, base) };
            writeFileSync(path, JSON.stringify(all));
            const entry = {
                name,
                host,
                front,
                ready,
                directory,
                path,
                settings: all,
                child: undefined,
                log: "",
            };
            this.entries.push(entry);
        }
        return this.entries;
    }

    /** Starts the process of a machine. */
    start(entry) {
        const child = spawn(process.execPath, command, {
            cwd: this.root,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, BRAMLEYMOOR_NODE_FILE: entry.path },
            stdio: ["ignore", "pipe", "pipe"],
        });
        child.stdout.on("data", it => (entry.log += it));
        child.stderr.on("data", it => (entry.log += it));
        entry.child = child;
        entry.isRunning = true;
        entry.exited = once(child, "exit").then(([code, signal]) => {
            entry.isRunning = false;
            this.recorder.write("process-ended", { entry: entry.name, code, signal });
        });
        this.recorder.write("process-started", { entry: entry.name, pid: child.pid });
    }

    async waitUntilReady(entry, withinMs = 15_000) {
        const end = now() + withinMs;
        while (now() < end) {
            if ((await this.isReady(entry)) === true) {
                return;
            }
            await delay(20);
        }
        throw new Error(`${entry.name} isn't ready after ${withinMs} ms: ${entry.log.slice(-2000)}`);
    }

    isReady({ host, ready }) {
        return new Promise(resolve => {
            const req = request({ host, port: ready, path: "/readyz", agent: false }, res => {
                res.resume();
                resolve(res.statusCode === 200);
            });
            req.on("error", () => resolve(false));
            req.end();
        });
    }

    signal(entry, signal) {
        this.recorder.write("signal", { entry: entry.name, signal });
        entry.child.kill(signal);
    }

    /** Ends all processes that were started. */
    async close() {
        for (const entry of this.entries) {
            if (entry.isRunning) {
                entry.child.kill("SIGCONT");
                entry.child.kill("SIGKILL");
                await entry.exited;
            }
        }
        rmSync(this.dir, { recursive: true, force: true });
    }
}

/** A version of the operator's configuration. */
export const config = (version, { rules, clusters, tenants, limits = {} }) => ({
    version: `r${version}`,
    limits: {
        max_header_bytes: 16_384,
        max_body_bytes: 67_108_864,
        header_timeout_s: 3,
        idle_timeout_s: 15,
        ...limits,
    },
    ...(tenants ? { tenants } : {}),
    listeners: [{ hostname: "h.example", rule_set: rules }],
    clusters: clusters.map(name => ({
        name,
        health_path: "/healthz",
        max_connections: 200,
        protocol: "h1",
        tls: false,
    })),
});

/** A rule of the operator's configuration. */
export const rule = (service, prefix, kind, { timeoutS = 2, attempts = 2, aimS = 0.4 } = {}) => ({
    name: `r-${service}`,
    route_kind: kind,
    target_latency_s: aimS,
    priority: 1,
    public: false,
    match: { path_prefix: prefix },
    action: { service, timeout_s: timeoutS, max_attempts: attempts },
});

/** Sends a request and resolves to its status and body; to status 0 if the connection ends without a whole answer. */
export const send = (
    to,
    { method = "GET", path, id, deadlineMs = 2_000, headers = {}, body, agent = false },
) =>
    new Promise(resolve => {
        const req = request(
            {
                host: to.host,
                port: to.front,
                method,
                path,
                agent,
                headers: {
                    Host: "h.example",
                    "X-Request-Id": id,
                    "X-Deadline-Ms": String(deadlineMs),
                    ...(body === undefined ? {} : { "Content-Length": Buffer.byteLength(body) }),
                    ...headers,
                },
            },
            res => {
                const chunks = [];
                res.on("data", it => chunks.push(it));
                res.on("end", () =>
                    resolve({
                        status: res.complete ? res.statusCode : 0,
                        headers: res.headers,
                        body: Buffer.concat(chunks).toString(),
                    }),
                );
                res.on("error", () => resolve({ status: 0, headers: res.headers, body: "" }));
            },
        );
        req.on("error", err => resolve({ status: 0, headers: {}, body: "", error: err.message }));
        req.end(body);
    });

/** Runs a case and exits with 1 if it found the rule broken, 0 if the rule held, 2 if the case couldn't run. */
export const runCase = async main => {
    const closers = [];
    let code = 2;
    const timer = setTimeout(() => {
        process.stdout.write("the case took too long\n");
        process.exitCode = 2;
        void Promise.all(closers.map(it => it())).finally(() => process.exit(2));
    }, 115_000);
    try {
        code = (await main(it => closers.unshift(it))) ? 1 : 0;
    } catch (err) {
        process.stdout.write(`the case couldn't run: ${err instanceof Error ? err.stack : String(err)}\n`);
    }
    clearTimeout(timer);
    for (const close of closers) {
        await close();
    }
    process.exit(code);
};
