import { MemoryPlatform } from "@bramleymoor/platform/memory";
import type { LogBatch, LogService } from "@bramleymoor/platform/log";
import { VirtualTime } from "@bramleymoor/platform/virtualtime";
import type { ConfigEvent } from "../src/events.js";
import { Follower } from "../src/follower.js";
import type { ConfigRequest, ConfigResponse, Peers } from "../src/peers.js";
import { publish, type PublishOptions, type PublishResult } from "../src/publisher.js";
import type { Grammars } from "../src/version.js";

/** A valid text; each argument is a service with that many servers. */
export const textOf = (...servers: readonly number[]): string =>
    servers
        .map((count, index) => {
            const lines = Array.from({ length: count }, (_, n) => `server = 10.${index}.0.${n + 1}:8080`);
            return `[service s${index}]\n${lines.join("\n")}\n`;
        })
        .join("\n");

/** A follower with its events, that can be stopped. */
export interface Node {
    readonly follower: Follower;
    readonly events: ConfigEvent[];
    readonly stop: AbortController;
    readonly link: Link;
    reachable: boolean;
}

/** A way to the log whose calls may hang for ever. */
export class Link implements LogService {
    hangs = false;
    readonly #fleet: Fleet;

    constructor(fleet: Fleet) {
        this.#fleet = fleet;
    }

    append(...args: Parameters<LogService["append"]>): Promise<number> {
        return this.hangs ? new Promise(() => {}) : this.#fleet.log.append(...args);
    }

    read(...args: Parameters<LogService["read"]>): Promise<LogBatch> {
        return this.hangs ? new Promise(() => {}) : this.#fleet.log.read(...args);
    }
}

/** Entry VMs round one log, on virtual time. */
export class Fleet {
    readonly time = new VirtualTime();
    readonly log: MemoryPlatform;
    readonly nodes: Node[] = [];

    constructor(retentionMs = Infinity) {
        this.log = new MemoryPlatform({ now: () => this.time.now(), sleep: this.time.sleep, retentionMs });
    }

    start(options: { readonly grammars?: Grammars } = {}): Node {
        const events: ConfigEvent[] = [];
        const stop = new AbortController();
        const peers: Peers = { query: async (question, count) => this.#ask(node, question, count) };
        const link = new Link(this);
        const follower = new Follower({
            log: link,
            peers,
            events: event => events.push(event),
            random: () => 0.5,
            sleep: this.time.sleep,
            ...(options.grammars ? { grammars: options.grammars } : {}),
        });
        const node: Node = { follower, events, stop, link, reachable: true };
        this.nodes.push(node);
        void follower.run(stop.signal);
        return node;
    }

    halt(node: Node): void {
        node.stop.abort();
        this.nodes.splice(this.nodes.indexOf(node), 1);
    }

    /** Publishes, letting virtual time pass for retries. */
    async publish(
        text: string,
        base: number,
        id: string,
        more: Partial<PublishOptions> = {},
    ): Promise<PublishResult> {
        let result: PublishResult | undefined;
        const options = { id, random: () => 0.5, sleep: this.time.sleep, ...more };
        void publish(this.log, text, base, options).then(answer => (result = answer));
        while (!result) {
            await this.time.advance(100);
        }
        return result;
    }

    #ask(asker: Node, question: ConfigRequest, count: number): readonly ConfigResponse[] {
        const others = this.nodes.filter(node => node !== asker && node.reachable && asker.reachable);
        const offers = others.slice(0, count).map(node => node.follower.respond(question));
        return offers.filter(offer => offer !== undefined);
    }
}
