/** The `config` measurement: cost of following the accepted configuration for one entry VM. */

import { createServer, connect, type AddressInfo, type Server, type Socket } from "node:net";
import { emptyVersion, grammars, type AcceptedVersion } from "@bramleymoor/config/version";
import { Follower } from "@bramleymoor/config/follower";
import { evaluateRecord } from "@bramleymoor/config/evaluate";
import { publish } from "@bramleymoor/config/publisher";
import { configStream, formatPublication } from "@bramleymoor/config/record";
import { snapshotOf, versionFromSnapshot } from "@bramleymoor/config/snapshot";
import { ConfigDocument } from "@bramleymoor/model/document";
import { parseConfig } from "@bramleymoor/model/parser";
import { HttpPlatform } from "@bramleymoor/platform/http";
import { startPlatformServer } from "@bramleymoor/testkit/platform";
import { Command } from "commander";
import { firstValueFrom } from "rxjs";
import { monotonicMs } from "./clock.js";

const serversPerService = 24;
const changesPerDay = 7300;
const secondsPerDay = 86_400;
const secondsPerPoll = 5;
const secondsPerPeerQuery = 2;
const queriedPeers = 2;

/** Processing cost of a configuration text of a given size. */
interface ProcessingCost {
    readonly services: number;
    readonly servers: number;
    readonly textBytes: number;
    readonly parseMs: number;
    readonly adoptMs: number;
    readonly changeMsP50: number;
    readonly changeMsMax: number;
    readonly recordBytes: number;
    readonly heapBytes: number;
}

/** Traffic between an entry VM and the platform, and between the entry VM and its peers. */
interface TrafficCost {
    readonly changes: number;
    readonly bytesPerChange: number;
    readonly bytesPerPoll: number;
    readonly peerBodyBytes: number;
    readonly bytesPerSecond: number;
    readonly inForceMsP50: number;
    readonly inForceMsMax: number;
}

/** Returns the `config` subcommand. */
export const configCommand = (): Command =>
    new Command("config")
        .description("processor time, memory and traffic of following the accepted configuration")
        .option("--changes <count>", "number of changes to each configuration", "50")
        .action(async (options: { readonly changes: string }) => {
            const changes = Number(options.changes);
            const costs = [95, 190, 380, 760].map(services => measureProcessing(services, changes));
            console.table(costs);
            const traffic = await measureTraffic(380, changes);
            console.table([traffic]);
            process.stdout.write(`${JSON.stringify({ costs, traffic })}\n`);
        });

const configText = (services: number, changed: number): string => {
    const sections = Array.from({ length: services }, (_, service) => {
        const slots = service === changed % services ? 2 + Math.floor(changed / services) + 1 : 2;
        const lines = Array.from({ length: serversPerService }, (_, server) => {
            const address = `10.${service >> 8}.${service & 255}.${server + 1}:8080`;
            return `server = ${address} domain=domain-${server % 7} slots=${slots} connections=250`;
        });
        return `[service service-${service}]\n${lines.join("\n")}\n`;
    });
    return sections.join("\n");
};

const recordOf = (base: AcceptedVersion, text: string): string => {
    const document = ConfigDocument.parse(text);
    return formatPublication({
        grammar: base.grammar,
        id: "change",
        base: { number: base.number, digest: base.digest },
        change: base.document.diff(document),
        digest: document.digest,
    });
};

const accept = (base: AcceptedVersion, offset: number, record: string): AcceptedVersion => {
    const verdict = evaluateRecord(base, offset, record, grammars);
    if (verdict.kind !== "accepted") {
        throw new Error(`the record was not accepted: ${JSON.stringify(verdict)}`);
    }
    return verdict.version;
};

const elapsedMs = (run: () => void): number => {
    const start = monotonicMs();
    run();
    return monotonicMs() - start;
};

const measureProcessing = (services: number, changes: number): ProcessingCost => {
    const text = configText(services, -1);
    const halfVersion = accept(emptyVersion, 0, recordOf(emptyVersion, configText(services >> 1, -1)));
    const fullVersion = accept(halfVersion, 1, recordOf(halfVersion, text));
    const parseMs = Math.min(...Array.from({ length: 5 }, () => elapsedMs(() => parseConfig(text))));
    const snapshot = snapshotOf(fullVersion, 2);
    const adoptMs = Math.min(
        ...Array.from({ length: 5 }, () => elapsedMs(() => versionFromSnapshot(snapshot, grammars))),
    );
    let version = fullVersion;
    let recordBytes = 0;
    const times = Array.from({ length: changes }, (_, index) => {
        const record = recordOf(version, configText(services, index));
        recordBytes += Buffer.byteLength(record) / changes;
        return elapsedMs(() => (version = accept(version, index + 2, record)));
    });
    return {
        services,
        servers: services * serversPerService,
        textBytes: Buffer.byteLength(text),
        parseMs: round(parseMs),
        adoptMs: round(adoptMs),
        changeMsP50: round(median(times)),
        changeMsMax: round(Math.max(...times)),
        recordBytes: Math.round(recordBytes),
        heapBytes: heapOf(() => versionFromSnapshot(snapshot, grammars)),
    };
};

/** Returns the heap size of a value in bytes; 0 unless Node.js runs with --expose-gc. */
const heapOf = (make: () => unknown): number => {
    if (!globalThis.gc) {
        return 0;
    }
    globalThis.gc();
    const before = process.memoryUsage().heapUsed;
    const value = make();
    globalThis.gc();
    const after = process.memoryUsage().heapUsed;
    return value === undefined ? 0 : after - before;
};

/** A TCP relay to a local port that counts the bytes of both directions. */
class CountingRelay {
    bytes = 0;
    readonly #server: Server;
    readonly #sockets = new Set<Socket>();

    constructor(port: number) {
        this.#server = createServer(client => {
            const upstream = connect(port, "127.0.0.1");
            for (const [from, to] of [
                [client, upstream],
                [upstream, client],
            ] as const) {
                this.#sockets.add(from);
                from.on("data", chunk => (this.bytes += chunk.length));
                from.on("error", () => to.destroy());
                from.pipe(to);
            }
        });
    }

    async listen(): Promise<string> {
        await new Promise<void>(resolve => this.#server.listen(0, "127.0.0.1", resolve));
        return `http://127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
    }

    close(): void {
        this.#sockets.forEach(socket => socket.destroy());
        this.#server.close();
    }
}

const measureTraffic = async (services: number, changes: number): Promise<TrafficCost> => {
    const platform = await startPlatformServer({ port: 0 });
    const relay = new CountingRelay(Number(new URL(platform.url).port));
    const url = await relay.listen();
    const followerPlatform = new HttpPlatform(url);
    const operatorPlatform = new HttpPlatform(platform.url);
    const stop = new AbortController();
    const peers = { query: async () => [] };
    const follower = new Follower({ log: followerPlatform, peers, events: () => {}, random: Math.random });
    const running = follower.run(stop.signal);
    const times: number[] = [];
    let bytesAfterFirst = 0;
    for (let number = 0; number <= changes; number++) {
        const inForce = firstValueFrom(follower.changes);
        const appended = publish(operatorPlatform, configText(services, number - 1), number, {
            id: `p${number}`,
            random: Math.random,
        });
        const appendedAt = watchAppends(platform.memory.append.bind(platform.memory), platform.memory);
        await inForce;
        times.push(monotonicMs() - appendedAt());
        await appended;
        bytesAfterFirst = number === 0 ? relay.bytes : bytesAfterFirst;
    }
    const bytesPerChange = (relay.bytes - bytesAfterFirst) / changes;
    const before = relay.bytes;
    await followerPlatform.read(configStream, changes + 1, 32, 0);
    const bytesPerPoll = relay.bytes - before;
    const request = { era: 0, offset: follower.current?.offset ?? 0, fresh: false };
    const response = JSON.stringify(follower.respond(request));
    const peerBodyBytes = JSON.stringify(request).length + response.length;
    stop.abort();
    await running;
    followerPlatform.close();
    operatorPlatform.close();
    relay.close();
    await platform.close();
    const perSecond =
        (bytesPerChange * changesPerDay) / secondsPerDay +
        bytesPerPoll / secondsPerPoll +
        // On average each entry VM responds to as many peer queries as it sends.
        (2 * queriedPeers * peerBodyBytes) / secondsPerPeerQuery;
    const later = times.slice(1);
    return {
        changes,
        bytesPerChange: Math.round(bytesPerChange),
        bytesPerPoll,
        peerBodyBytes,
        bytesPerSecond: Math.round(perSecond),
        inForceMsP50: round(median(later)),
        inForceMsMax: round(Math.max(...later)),
    };
};

/** Records the time of each append to the log; the returned function returns that of the latest. */
const watchAppends = (
    append: (stream: string, data: string) => Promise<number>,
    memory: { append: (stream: string, data: string) => Promise<number> },
): (() => number) => {
    let at = 0;
    memory.append = (stream, data) => {
        at = monotonicMs();
        return append(stream, data);
    };
    return () => at;
};

const median = (values: readonly number[]): number =>
    values.toSorted((a, b) => a - b)[values.length >> 1] ?? 0;

const round = (value: number): number => Math.round(value * 100) / 100;
