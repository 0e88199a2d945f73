/** The `config` measurement: what one entry VM spends on following the accepted text. */

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
const secondsPerPeerAsk = 2;
const peersAsked = 2;

/** Cost of one size of text. */
interface Cost {
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

/** Bytes on the wire between one entry VM and the platform, and between it and its peers. */
interface Traffic {
    readonly changes: number;
    readonly bytesPerChange: number;
    readonly bytesPerPoll: number;
    readonly peerBodyBytes: number;
    readonly bytesPerSecond: number;
    readonly inForceMsP50: number;
    readonly inForceMsMax: number;
}

/** The `config` subcommand. */
export const configCommand = (): Command =>
    new Command("config")
        .description("processor time, memory and bytes of following the accepted text")
        .option("--changes <count>", "changes made to each text", "50")
        .action(async (options: { readonly changes: string }) => {
            const changes = Number(options.changes);
            const costs = [95, 190, 380, 760].map(services => measureCost(services, changes));
            console.table(costs);
            const traffic = await measureTraffic(380, changes);
            console.table([traffic]);
            process.stdout.write(`${JSON.stringify({ costs, traffic })}\n`);
        });

const textOf = (services: number, changed: number): string => {
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

const elapsed = (run: () => void): number => {
    const start = monotonicMs();
    run();
    return monotonicMs() - start;
};

const measureCost = (services: number, changes: number): Cost => {
    const text = textOf(services, -1);
    const half = accept(emptyVersion, 0, recordOf(emptyVersion, textOf(services >> 1, -1)));
    const first = accept(half, 1, recordOf(half, text));
    const parseMs = Math.min(...Array.from({ length: 5 }, () => elapsed(() => parseConfig(text))));
    const snapshot = snapshotOf(first, 2);
    const adoptMs = Math.min(
        ...Array.from({ length: 5 }, () => elapsed(() => versionFromSnapshot(snapshot, grammars))),
    );
    let version = first;
    let recordBytes = 0;
    const times = Array.from({ length: changes }, (_, index) => {
        const record = recordOf(version, textOf(services, index));
        recordBytes += Buffer.byteLength(record) / changes;
        return elapsed(() => (version = accept(version, index + 2, record)));
    });
    return {
        services,
        servers: services * serversPerService,
        textBytes: Buffer.byteLength(text),
        parseMs: round(parseMs),
        adoptMs: round(adoptMs),
        changeMsP50: round(middle(times)),
        changeMsMax: round(Math.max(...times)),
        recordBytes: Math.round(recordBytes),
        heapBytes: heapOf(() => versionFromSnapshot(snapshot, grammars)),
    };
};

/** Heap that a value keeps; needs node --expose-gc, otherwise 0. */
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

/** Passes TCP on to a port of this machine and counts the bytes of both directions. */
class CountingRelay {
    bytes = 0;
    readonly #server: Server;
    readonly #sockets = new Set<Socket>();

    constructor(port: number) {
        this.#server = createServer(near => {
            const far = connect(port, "127.0.0.1");
            for (const [from, to] of [
                [near, far],
                [far, near],
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

const measureTraffic = async (services: number, changes: number): Promise<Traffic> => {
    const platform = await startPlatformServer({ port: 0 });
    const relay = new CountingRelay(Number(new URL(platform.url).port));
    const url = await relay.listen();
    const client = new HttpPlatform(url);
    const operator = new HttpPlatform(platform.url);
    const stop = new AbortController();
    const peers = { query: async () => [] };
    const follower = new Follower({ log: client, peers, events: () => {}, random: Math.random });
    const running = follower.run(stop.signal);
    const times: number[] = [];
    let bytesAfterFirst = 0;
    for (let number = 0; number <= changes; number++) {
        const inForce = firstValueFrom(follower.changes);
        const appended = publish(operator, textOf(services, number - 1), number, {
            id: `p${number}`,
            random: Math.random,
        });
        const shown = timeOfAppend(platform.memory.append.bind(platform.memory), platform.memory);
        await inForce;
        times.push(monotonicMs() - shown());
        await appended;
        bytesAfterFirst = number === 0 ? relay.bytes : bytesAfterFirst;
    }
    const bytesPerChange = (relay.bytes - bytesAfterFirst) / changes;
    const before = relay.bytes;
    await client.read(configStream, changes + 1, 32, 0);
    const bytesPerPoll = relay.bytes - before;
    const question = { offset: follower.current?.offset ?? 0, fresh: false };
    const answer = JSON.stringify(follower.respond(question));
    const peerBodyBytes = JSON.stringify(question).length + answer.length;
    stop.abort();
    await running;
    client.close();
    operator.close();
    relay.close();
    await platform.close();
    const perSecond =
        (bytesPerChange * changesPerDay) / secondsPerDay +
        bytesPerPoll / secondsPerPoll +
        // Each entry VM is asked as often as it asks.
        (2 * peersAsked * peerBodyBytes) / secondsPerPeerAsk;
    const later = times.slice(1);
    return {
        changes,
        bytesPerChange: Math.round(bytesPerChange),
        bytesPerPoll,
        peerBodyBytes,
        bytesPerSecond: Math.round(perSecond),
        inForceMsP50: round(middle(later)),
        inForceMsMax: round(Math.max(...later)),
    };
};

/** Notes when the next record is appended. */
const timeOfAppend = (
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

const middle = (values: readonly number[]): number =>
    values.toSorted((a, b) => a - b)[values.length >> 1] ?? 0;

const round = (value: number): number => Math.round(value * 100) / 100;
