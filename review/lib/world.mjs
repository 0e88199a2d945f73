/** A small deployment on loopback addresses: a stand-in of the platform's store, and entry processes started as the deploy file says. */

import { Buffer } from "node:buffer";
import { spawn } from "node:child_process";
import { createSocket } from "node:dgram";
import { EventEmitter, once } from "node:events";
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync, writeSync } from "node:fs";
import { createServer as createHttpServer, request } from "node:http";
import { createServer as createTcpServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { performance } from "node:perf_hooks";
import process from "node:process";
import { clearInterval, clearTimeout, setInterval, setTimeout } from "node:timers";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath, URL } from "node:url";

const repository = dirname(dirname(dirname(fileURLToPath(import.meta.url))));

/** Whether the case makes its disruption; with TROUBLE=0 it does all else. */
export const hasTrouble = process.env.TROUBLE !== "0";

/** Time of the store's answer, as the site files give it. */
const storeAnswerMs = 4;
const heartbeatMs = 1_500;
/** A little more than `contact_s`, after which a machine is in touch. */
const contactMs = 3_300;

/** Writes what was sent, answered and run to a file, line by line. */
export class Record {
    #file;
    #startedAt = performance.now();

    /** @param path path of the file, which is replaced */
    constructor(path) {
        this.#file = openSync(path, "w");
    }

    write(line) {
        const seconds = ((performance.now() - this.#startedAt) / 1_000).toFixed(3);
        writeSync(this.#file, `${seconds} ${line}\n`);
    }
}

/** The platform's store, with the two topics that the operator and the servers write. */
export class Store {
    #topics = new Map([
        ["keyed.op", []],
        ["keyed.servers", []],
    ]);
    #changes = new EventEmitter().setMaxListeners(0);
    #server = createHttpServer((req, res) => this.#handle(req, res));
    address = "";

    async start() {
        this.#server.listen(0, "127.0.0.1");
        await once(this.#server, "listening");
        this.address = `127.0.0.1:${this.#server.address().port}`;
    }

    put(topic, key, value) {
        const bytes = value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value));
        this.#topics.get(topic).push({ key, value: bytes });
        this.#changes.emit(topic);
    }

    close() {
        this.#server.close();
        this.#server.closeAllConnections();
    }

    async #handle(req, res) {
        await delay(storeAnswerMs);
        const { pathname, searchParams: query } = new URL(req.url, "http://store");
        const topic = query.get("topic");
        const records = this.#topics.get(topic);
        res.setHeader("Store-Era", 1);
        if (pathname === "/log-newest") {
            const newest = new Map(records.map((it, offset) => [it.key, { ...it, offset }]));
            const items = [...newest.values()]
                .filter(it => it.value.length > 0)
                .map(it => ({ key: it.key, value: it.value.toString("base64"), offset: it.offset }));
            res.setHeader("Content-Type", "application/json");
            res.end(JSON.stringify({ items, has_more: false, end: records.length }));
        } else if (pathname === "/log-read") {
            this.#read(topic, Number(query.get("from")), Number(query.get("wait_ms") ?? 0), res);
        } else {
            res.statusCode = 404;
            res.end();
        }
    }

    #read(topic, from, waitMs, res) {
        const respond = () => {
            clearTimeout(timer);
            this.#changes.off(topic, respond);
            const records = this.#topics.get(topic);
            const head = Buffer.alloc(16);
            head.writeBigUInt64BE(BigInt(records.length), 0);
            res.end(Buffer.concat([head, ...records.slice(from).map(encodeRecord)]));
        };
        const timer = setTimeout(respond, from < this.#topics.get(topic).length ? 0 : waitMs);
        this.#changes.on(topic, respond);
        res.once("close", () => {
            clearTimeout(timer);
            this.#changes.off(topic, respond);
        });
    }
}

const encodeRecord = ({ key, value }) => {
    const content = Buffer.concat([Buffer.from([key.length]), Buffer.from(key), value]);
    const length = Buffer.alloc(4);
    length.writeUInt32BE(content.length);
    return Buffer.concat([length, content]);
};

/** Registers a server in the store and renews its entry; returns a function that removes the entry. */
export const register = (store, id, service, address, slots = 8) => {
    const born = Math.floor(performance.timeOrigin);
    let sequence = 0;
    const beat = () =>
        store.put("keyed.servers", id, {
            born,
            address,
            info: { service, version: "v1", zone: "dar-kariakoo", slots },
            status: { state: "ready", sequence: ++sequence, slow_start_s_time: 0 },
        });
    beat();
    const timer = setInterval(beat, heartbeatMs);
    return () => {
        clearInterval(timer);
        store.put("keyed.servers", id, undefined);
    };
};

/** Returns a rule of the operator's configuration. */
export const rule = (service, pathPrefix, kind, timeoutS = 3, maxAttempts = 2) => ({
    name: `r-${service}`,
    route_kind: kind,
    target_latency_s: 0.4,
    priority: 1,
    match: { path_prefix: pathPrefix },
    action: { service, timeout_s: timeoutS, max_attempts: maxAttempts },
});

/** Writes a version of the operator's configuration. */
export const configure = (store, version, rules) =>
    store.put("keyed.op", "config", {
        version: `r${version}`,
        limits: {
            max_header_bytes: 16_384,
            max_body_bytes: 1_000_000,
            header_timeout_s: 5,
            idle_timeout_s: 15,
        },
        listeners: [{ hostname, rule_set: rules }],
        clusters: [...new Set(rules.map(it => it.action.service))].map(name => ({
            name,
            health_path: "/healthz",
            max_connections: 220,
        })),
    });

export const hostname = "hulo84.example";

/** An entry process. */
export class Entry {
    host;
    port;
    readyPort;
    process;
    /** "running", or how the process ended. */
    ended = "running";

    constructor(host, port, readyPort, child) {
        this.host = host;
        this.port = port;
        this.readyPort = readyPort;
        this.run(child);
    }

    /** Takes over a newly started process. */
    run(child) {
        this.process = child;
        this.ended = "running";
        child.once("exit", (code, signal) => {
            if (this.process === child) {
                this.ended = signal ?? `exit ${code}`;
            }
        });
    }

    /** Status of the platform's readiness check; 0 without an answer. */
    readiness() {
        return new Promise(resolve => {
            const req = request({ host: this.host, port: this.readyPort, path: "/readyz", agent: false });
            req.setTimeout(1_000, () => req.destroy());
            req.on("response", res => {
                res.resume();
                resolve(res.statusCode);
            });
            req.on("error", () => resolve(0));
            req.on("close", () => resolve(0));
            req.end();
        });
    }
}

const freePort = async host => {
    const server = createTcpServer().listen(0, host);
    await once(server, "listening");
    const { port } = server.address();
    server.close();
    await once(server, "close");
    return port;
};

/** Returns a port that is free for TCP and UDP on all hosts. */
const freePeerPort = async hosts => {
    for (;;) {
        const port = 10_000 + Math.floor(Math.random() * 20_000);
        const probes = hosts.map(
            host =>
                new Promise(resolve => {
                    const tcp = createTcpServer();
                    const udp = createSocket("udp4");
                    const done = result => {
                        udp.close();
                        tcp.close(() => resolve(result));
                    };
                    tcp.once("error", () => done(false));
                    udp.once("error", () => done(false));
                    tcp.listen(port, host, () => udp.bind(port, host, () => done(true)));
                }),
        );
        if ((await Promise.all(probes)).every(Boolean)) {
            return port;
        }
    }
};

/** The whole deployment; ends all that it started. */
export class World {
    store = new Store();
    entries = [];
    #cleanups = [];
    #folder = mkdtempSync(join(tmpdir(), "review-"));

    /** Calls `cleanup` at the end. */
    onEnd(cleanup) {
        this.#cleanups.push(cleanup);
    }

    /** Starts entry processes, with settings like those of a small deployment; resolves when all are in touch. */
    async startEntries(count) {
        // The port for metrics is fixed, so each run takes hosts of its own.
        const network = `127.${64 + (process.pid % 128)}.${Math.floor(process.pid / 128) % 250}`;
        const hosts = Array.from({ length: count }, (_, i) => `${network}.${i + 1}`);
        const peerPort = await freePeerPort(hosts);
        for (const [i, host] of hosts.entries()) {
            this.entries.push(await this.#startEntry(host, i, peerPort, hosts));
        }
        for (let i = 0; i < 300; i++) {
            const states = await Promise.all(this.entries.map(it => it.readiness()));
            if (states.every(it => it === 200)) {
                await delay(contactMs);
                return;
            }
            await delay(50);
        }
        throw new Error("the entry processes are not ready");
    }

    /** Kills an entry process and starts it again after a delay, with the same settings. */
    async restart(entry, afterMs) {
        const exited = once(entry.process, "exit");
        entry.process.kill("SIGKILL");
        await exited;
        await delay(afterMs);
        entry.run(this.#spawn(entry.host));
    }

    async #startEntry(host, i, peerPort, hosts) {
        const [front, ready, directory] = [await freePort(host), await freePort(host), await freePort(host)];
        const path = join(this.#folder, `${host}.json`);
        const settings = {
            node_name: `edge-dar-kariakoo-${i + 1}`,
            role: "entry",
            machine_class: "edge",
            serves: ["edge", "control_plane", "directory"],
            ip: host,
            zone: "dar-kariakoo",
            region: "dar",
            zones: { "dar-kariakoo": "dar" },
            listen: {
                front: `${host}:${front}`,
                ready: `${host}:${ready}`,
                control: `${host}:${peerPort + 2}`,
                directory: `${host}:${directory}`,
            },
            internal_port_range: [peerPort, peerPort + 1],
            seeds: hosts.slice(0, 3).map(it => `${it}:${peerPort + 2}`),
            bootstrap: false,
            limits: {
                cpu_share: 0.54,
                cpu_cores: 1,
                memory_mb: 350,
                max_fds: 4100,
                link_mbps: 1000,
                disk_mb: 0,
            },
            heartbeat_s: heartbeatMs / 1_000,
            bounds: {
                contact_s: 3,
                drain_s: 2,
                grace_s: 6,
                loss_slack_s: 0.2,
                config_apply_s: 2,
                retry_budget_ratio: 0.2,
                retry_window_s: 10,
                budget_slack: 58,
                ttl_max_s: 5,
                probes_per_s: 60,
            },
            platform: { address: this.store.address, form: "log", writes_per_s: 400, reads_per_s: 2000 },
        };
        writeFileSync(path, JSON.stringify(settings));
        return new Entry(host, front, ready, this.#spawn(host));
    }

    #spawn(host) {
        const log = openSync(join(this.#folder, `${host}.log`), "a");
        const [program, ...args] = runCommand();
        const child = spawn(program, args, {
            cwd: repository,
            env: {
                PATH: process.env.PATH,
                HOME: process.env.HOME,
                BRAMLEYMOOR_NODE_FILE: join(this.#folder, `${host}.json`),
            },
            stdio: ["ignore", log, log],
        });
        closeSync(log);
        return child;
    }

    /** Last lines of an entry process's log. */
    logTail(entry, lines = 5) {
        return readFileSync(join(this.#folder, `${entry.host}.log`), "utf8")
            .replaceAll(repository, "")
            .trimEnd()
            .split("\n")
            .slice(-lines);
    }

    end() {
        this.entries.filter(it => it.ended === "running").forEach(it => it.process.kill("SIGKILL"));
        this.#cleanups.forEach(it => it());
        this.store.close();
        rmSync(this.#folder, { recursive: true, force: true });
    }
}

/** The command of the deploy file. */
const runCommand = () => {
    const text = readFileSync(join(repository, "deploy", "system.toml"), "utf8");
    const [, command] = /^run = "([^"]+)"$/m.exec(text);
    const [program, ...args] = command.split(" ");
    return [program === "node" ? process.execPath : program, ...args];
};

/** Throws an error if a case doesn't see what it needs to judge its rule; the case then couldn't run. */
export const requireThat = (condition, what) => {
    if (!condition) {
        throw new Error(`not seen: ${what}`);
    }
};

/** Below the 120 s that a case may take. */
const maxCaseMs = 112_000;

/**
 * Runs a case, and exits with 1 if its rule was broken, 0 if it held, and 2 if the case couldn't run.
 *
 * @param recordPath where to write what was sent, answered and run
 * @param body gets the deployment and the record, and returns the breaches that were seen
 */
export const runCase = async (recordPath, body) => {
    const record = new Record(recordPath);
    const world = new World();
    let code = 2;
    try {
        const failed = new Promise((_, reject) => {
            process.on("uncaughtException", reject);
            process.on("SIGTERM", () => reject(new Error("stopped")));
            process.on("SIGINT", () => reject(new Error("stopped")));
            setTimeout(() => reject(new Error("took too long")), maxCaseMs);
        });
        const run = async () => {
            await world.store.start();
            return await body(world, record);
        };
        const breaches = await Promise.race([run(), failed]);
        breaches.forEach(it => record.write(`BREACH ${it}`));
        record.write(`breaches: ${breaches.length}`);
        process.stdout.write(`breaches: ${breaches.length}\n`);
        code = breaches.length > 0 ? 1 : 0;
    } catch (err) {
        record.write(`could not run: ${err.message}`);
        process.stdout.write(`could not run: ${err.message}\n`);
    } finally {
        world.end();
    }
    process.exit(code);
};
