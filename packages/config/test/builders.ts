import { MemoryPlatform } from "@bramleymoor/platform/memory";
import type { LogBatch, LogService } from "@bramleymoor/platform/log";
import { VirtualTime } from "@bramleymoor/platform/virtualtime";
import type { ConfigEvent } from "../src/events.js";
import { Follower } from "../src/follower.js";
import type { ConfigRequest, ConfigResponse, Peers } from "../src/peers.js";
import { publish, type PublishOptions, type PublishResult } from "../src/publisher.js";
import type { Grammars } from "../src/version.js";

/** Returns a valid config text; each argument is the number of servers of one service. */
export const textOf = (...servers: readonly number[]): string =>
    servers
        .map((count, index) => {
            const lines = Array.from({ length: count }, (_, n) => `server = 10.${index}.0.${n + 1}:8080`);
            return `[service s${index}]\n${lines.join("\n")}\n`;
        })
        .join("\n");

/** An entry VM's follower with the events it reported; it can be stopped or cut off from the log and from peers. */
export interface FleetNode {
    readonly follower: Follower;
    readonly events: ConfigEvent[];
    readonly stop: AbortController;
    readonly link: LogLink;
    reachable: boolean;
}

/** A connection to the log whose calls can be made to hang forever, or whose responses can be held back. */
export class LogLink implements LogService {
    hangs = false;
    #held: Promise<void> | undefined;
    readonly #fleet: Fleet;

    constructor(fleet: Fleet) {
        this.#fleet = fleet;
    }

    append(...args: Parameters<LogService["append"]>): Promise<number> {
        return this.hangs ? new Promise(() => {}) : this.#fleet.log.append(...args);
    }

    read(...args: Parameters<LogService["read"]>): Promise<LogBatch> {
        if (this.hangs) {
            return new Promise(() => {});
        }
        const held = this.#held;
        const batch = this.#fleet.log.read(...args);
        return held ? batch.then(it => held.then(() => it)) : batch;
    }

    /** Holds back the responses of the next reads until the returned function is called. */
    holdResponses(): () => void {
        let release = (): void => {};
        this.#held = new Promise(resolve => (release = resolve));
        return () => {
            this.#held = undefined;
            release();
        };
    }
}

/** Entry VMs that share one log, on virtual time. */
export class Fleet {
    readonly time = new VirtualTime();
    readonly log: MemoryPlatform;
    readonly nodes: FleetNode[] = [];

    constructor(retentionMs = Infinity) {
        this.log = new MemoryPlatform({ now: () => this.time.now(), sleep: this.time.sleep, retentionMs });
    }

    start(options: { readonly grammars?: Grammars } = {}): FleetNode {
        const events: ConfigEvent[] = [];
        const stop = new AbortController();
        const peers: Peers = { query: async (request, count) => this.#query(node, request, count) };
        const link = new LogLink(this);
        const follower = new Follower({
            log: link,
            peers,
            events: event => events.push(event),
            random: () => 0.5,
            sleep: this.time.sleep,
            ...(options.grammars ? { grammars: options.grammars } : {}),
        });
        const node: FleetNode = { follower, events, stop, link, reachable: true };
        this.nodes.push(node);
        void follower.run(stop.signal);
        return node;
    }

    halt(node: FleetNode): void {
        node.stop.abort();
        this.nodes.splice(this.nodes.indexOf(node), 1);
    }

    /** Publishes a text while virtual time advances, so that retries take place. */
    async publish(
        text: string,
        base: number,
        id: string,
        overrides: Partial<PublishOptions> = {},
    ): Promise<PublishResult> {
        let result: PublishResult | undefined;
        const options = { id, random: () => 0.5, sleep: this.time.sleep, ...overrides };
        void publish(this.log, text, base, options).then(value => (result = value));
        while (!result) {
            await this.time.advance(100);
        }
        return result;
    }

    #query(requester: FleetNode, request: ConfigRequest, count: number): readonly ConfigResponse[] {
        const others = this.nodes.filter(node => node !== requester && node.reachable && requester.reachable);
        const responses = others.slice(0, count).map(node => node.follower.respond(request));
        return responses.filter(response => response !== undefined);
    }
}
