/**
 * Many backend server stand-ins in one process of their own.
 *
 * Usage: node backend-main.js COUNT [KNOBS-JSON] [FIRST-PORT]
 *
 * Prints one line of JSON, {"admin": port, "ports": [...]}, when all listen. The admin port answers
 * GET /counts with the counts of all stand-ins, and POST /knobs with {"port": n, ...knobs} (or without a port,
 * for all) sets knobs. With FIRST-PORT the stand-ins take the ports from there on.
 */

import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { startFakeBackend, type FakeBackend, type BackendBehavior } from "./backend.js";

const readText = async (req: IncomingMessage): Promise<string> => {
    let text = "";
    for await (const chunk of req as AsyncIterable<Buffer>) {
        text += chunk.toString();
    }
    return text;
};

const setKnobs = (backends: readonly FakeBackend[], text: string): void => {
    const { port, ...knobs } = JSON.parse(text) as Partial<BackendBehavior> & { readonly port?: number };
    backends
        .filter(backend => port === undefined || backend.port === port)
        .forEach(backend => Object.assign(backend.behavior, knobs));
};

const serveAdmin = async (backends: readonly FakeBackend[], req: IncomingMessage, res: ServerResponse) => {
    if (req.method === "POST" && req.url === "/knobs") {
        setKnobs(backends, await readText(req));
        res.end("{}");
        return;
    }
    if (req.url !== "/counts") {
        res.writeHead(404).end();
        return;
    }
    const counts = backends.map(backend => ({ port: backend.port, ...backend.counts }));
    res.end(JSON.stringify(counts));
};

const main = async (count: number, knobs: Partial<BackendBehavior>, firstPort: number): Promise<void> => {
    const ports = Array.from({ length: count }, (_, i) => (firstPort === 0 ? 0 : firstPort + i));
    const backends = await Promise.all(ports.map(port => startFakeBackend(knobs, port)));
    const admin = createServer((req, res) => {
        serveAdmin(backends, req, res).catch(() => res.writeHead(400).end());
    });
    admin.listen(0, "127.0.0.1", () => {
        const adminPort = (admin.address() as AddressInfo).port;
        console.log(JSON.stringify({ admin: adminPort, ports: backends.map(backend => backend.port) }));
    });
};

const [count = "1", knobs = "{}", firstPort = "0"] = process.argv.slice(2);
await main(Number(count), JSON.parse(knobs) as Partial<BackendBehavior>, Number(firstPort));
