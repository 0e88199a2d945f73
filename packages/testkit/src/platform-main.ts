/**
 * Runs the platform's stand-in as a process of its own and prints its address:
 * node platform-main.js --port 9400 [--host IP] [--slow-ms N] [--retention-ms N] [--list-lag-ms N] [--down].
 * Other processes turn the knobs by POST /test/knobs and replace the VM list by POST /test/vms, as JSON.
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
