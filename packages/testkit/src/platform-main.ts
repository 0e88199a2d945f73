/**
 * Runs a simulated platform in a separate process and prints its URL.
 *
 * Usage: node platform-main.js [--port N] [--host IP] [--slow-ms N] [--retention-ms N] [--list-lag-ms N] [--down]
 *
 * Other processes change its behavior with POST /test/knobs and replace the VM list with POST /test/vms; the bodies
 * are JSON.
 */

import { parseArgs } from "node:util";
import { startPlatformServer } from "./platform.js";

const { values } = parseArgs({
    options: {
        port: { type: "string", default: "9400" },
        host: { type: "string", default: "127.0.0.1" },
        "slow-ms": { type: "string", default: "0" },
        "retention-ms": { type: "string", default: "Infinity" },
        "list-lag-ms": { type: "string", default: "0" },
        down: { type: "boolean", default: false },
    },
});

const server = await startPlatformServer({
    port: Number(values.port),
    host: values.host,
    slowMs: Number(values["slow-ms"]),
    retentionMs: Number(values["retention-ms"]),
    listLagMs: Number(values["list-lag-ms"]),
    down: values.down,
});
process.stdout.write(`${server.url}\n`);

const stop = (): void => {
    void server.close();
};
process.once("SIGTERM", stop);
process.once("SIGINT", stop);
