/**
 * Runs fake backend servers in a separate process.
 *
 * Usage: node backend-main.js COUNT [BEHAVIOR-JSON] [FIRST-PORT]
 *
 * BEHAVIOR-JSON has fields of BackendBehavior. The servers use consecutive ports from FIRST-PORT on; without it, the
 * system chooses. When all servers listen, the program prints one line of JSON: {"admin": port, "ports": [...]}.
 * On the admin port, GET /counts returns the counters of every server, and POST /knobs with {"port": n, ...} changes
 * fields of the behavior of the server on that port, or of all servers if the port is absent.
 */

import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { startFakeBackend, type FakeBackend, type BackendBehavior } from "./backend.js";

const readBody = async (req: IncomingMessage): Promise<string> => {
    let text = "";
    for await (const chunk of req as AsyncIterable<Buffer>) {
        text += chunk.toString();
    }
    return text;
};

const setBehavior = (backends: readonly FakeBackend[], text: string): void => {
    const { port, ...behavior } = JSON.parse(text) as Partial<BackendBehavior> & { readonly port?: number };
    backends
        .filter(backend => port === undefined || backend.port === port)
        .forEach(backend => Object.assign(backend.behavior, behavior));
};

const serveAdmin = async (backends: readonly FakeBackend[], req: IncomingMessage, res: ServerResponse) => {
    if (req.method === "POST" && req.url === "/knobs") {
        setBehavior(backends, await readBody(req));
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

const main = async (count: number, behavior: Partial<BackendBehavior>, firstPort: number): Promise<void> => {
    const ports = Array.from({ length: count }, (_, i) => (firstPort === 0 ? 0 : firstPort + i));
    const backends = await Promise.all(ports.map(port => startFakeBackend(behavior, port)));
    const admin = createServer((req, res) => {
        serveAdmin(backends, req, res).catch(() => res.writeHead(400).end());
    });
    admin.listen(0, "127.0.0.1", () => {
        const adminPort = (admin.address() as AddressInfo).port;
        console.log(JSON.stringify({ admin: adminPort, ports: backends.map(backend => backend.port) }));
    });
};

const [count = "1", behavior = "{}", firstPort = "0"] = process.argv.slice(2);
await main(Number(count), JSON.parse(behavior) as Partial<BackendBehavior>, Number(firstPort));
