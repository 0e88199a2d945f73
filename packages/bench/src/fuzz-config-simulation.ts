/** Entry VMs, operators and the platform's log in one process on virtual time, with every fault put in. */

import assert from "node:assert/strict";
import { isDeepStrictEqual } from "node:util";
import { Checkpointer } from "@bramleymoor/config/checkpointer";
import { Follower } from "@bramleymoor/config/follower";
import type { ConfigRequest, ConfigResponse, Peers } from "@bramleymoor/config/peers";
import { publish, type PublishResult } from "@bramleymoor/config/publisher";
import { configStream } from "@bramleymoor/config/record";
import type { Snapshot } from "@bramleymoor/config/snapshot";
import type { AcceptedVersion } from "@bramleymoor/config/version";
import { parseConfig } from "@bramleymoor/model/parser";
import { MemoryPlatform } from "@bramleymoor/platform/memory";
import type { Sleep } from "@bramleymoor/platform/timers";
import { VirtualTime } from "@bramleymoor/platform/virtualtime";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { FaultyLog } from "./faultylog.js";
import { ConfigOracle } from "./fuzz-config-oracle.js";

/** How long the fuzzed log keeps a record, in milliseconds of virtual time. */
export const retentionMs = 120_000;

const settleMs = 60_000;
const startMs = 500;
/** Within this time after a fault each entry VM has tried again. */
const maxRetryMs = 10_000;

/** The platform, whose config stream the oracle reads along. */
class ObservedPlatform extends MemoryPlatform {
    readonly #oracle: ConfigOracle;
    readonly published: string[] = [];

    constructor(time: VirtualTime, oracle: ConfigOracle) {
        super({ now: () => time.now(), sleep: time.sleep, retentionMs });
        this.#oracle = oracle;
    }

    override forceAppend(stream: string, data: string): number {
        const offset = super.forceAppend(stream, data);
        if (stream === configStream) {
            this.#oracle.append(offset, data);
            this.published.push(data);
        }
        return offset;
    }
}

/** One incarnation of an entry VM. */
export interface FuzzNode {
    readonly log: FaultyLog;
    readonly follower: Follower;
    readonly stop: AbortController;
    reachable: boolean;
    paused: boolean;
    /** What the log held at its start; 0 if the log was down then or leaves a gap. */
    minVersion: number;
    /** Newest version number seen served. */
    lastSeenVersion: number;
}

interface Wish {
    readonly id: string;
    readonly text: string;
    readonly base: number;
}

interface Outcome {
    readonly id: string;
    readonly base: number;
    readonly result: PublishResult;
}

/** What was known when an entry VM was started. */
interface Before {
    readonly accepted: number;
    /** Newest version that a peer could tell of. */
    readonly known: number;
    readonly peers: boolean;
}

/** The whole system, and the checks against the oracle. */
export class ConfigSimulation {
    readonly time = new VirtualTime();
    readonly oracle = new ConfigOracle();
    readonly platform = new ObservedPlatform(this.time, this.oracle);
    readonly nodes: FuzzNode[] = [];
    /** Snapshots that were current once. */
    readonly pastSnapshots: Snapshot[] = [];
    readonly delayedAppends: (() => void)[] = [];
    readonly operatorLogs: readonly FaultyLog[];
    readonly #outcomes: Outcome[] = [];
    readonly #wishes: Wish[] = [];
    readonly #problems: string[] = [];
    readonly #random: () => number;

    constructor(seed: number) {
        const generator = xoroshiro128plus(seed);
        this.#random = () => uniformFloat64(generator);
        this.operatorLogs = [0, 1].map(() => new FaultyLog(this.platform, this.delayedAppends));
    }

    /** Starts an entry VM, and checks what it serves shortly after. */
    async startNode(): Promise<void> {
        const answering = this.#answering();
        const known = Math.max(0, ...answering.map(node => node.follower.current?.number ?? 0));
        const before = { accepted: this.oracle.accepted.length, known, peers: answering.length > 0 };
        const node = this.#newNode(this.platform.down ? 0 : before.accepted);
        await this.advance(startMs);
        this.#checkFresh(node, before);
    }

    /** Ends an entry VM without notice. */
    crash(node: FuzzNode): void {
        node.log.disconnected = true;
        node.log.setPaused(false);
        node.stop.abort();
        this.nodes.splice(this.nodes.indexOf(node), 1);
    }

    /** Publishes as one of the operators and goes on without waiting. */
    publish(operator: number, text: string, base: number): void {
        const wish = { id: `p${this.#wishes.length}`, text, base };
        this.#wishes.push(wish);
        this.#send(operator, wish, true);
    }

    /** Publishes once more what was published before, with the same id. */
    republish(operator: number, index: number): void {
        const wish = this.#wishes.at(-1 - index);
        if (wish) {
            this.#send(operator, wish, false);
        }
    }

    #send(operator: number, { id, text, base }: Wish, fresh: boolean): void {
        const log = this.operatorLogs[operator % this.operatorLogs.length]!;
        const options = { id, fresh, random: this.#random, sleep: this.time.sleep };
        void publish(log, text, base, options).then(result => this.#outcomes.push({ id, base, result }));
    }

    /** How many publications got each kind of answer. */
    countResults(): Readonly<Record<string, number>> {
        const counts: Record<string, number> = {};
        for (const { result } of this.#outcomes) {
            counts[result.kind] = (counts[result.kind] ?? 0) + 1;
        }
        return counts;
    }

    /** Lets virtual time pass, then checks everything. */
    async advance(ms: number): Promise<void> {
        await this.time.advance(ms);
        this.check();
    }

    /** Checks every entry VM and every answer to an operator against the oracle. */
    check(): void {
        assert.deepEqual(this.#problems, []);
        for (const node of this.nodes) {
            this.#checkNode(node);
        }
        for (const outcome of this.#outcomes) {
            this.#checkOutcome(outcome);
        }
    }

    /** Ends all faults and checks that the newest version that anybody knows is in force everywhere. */
    async finish(): Promise<void> {
        this.platform.setDown(false);
        for (const log of this.operatorLogs) {
            Object.assign(log, { disconnected: false, loseAnswers: 0, delayAppends: 0 });
        }
        for (const node of this.nodes) {
            node.log.setPaused(false);
            Object.assign(node, { reachable: true, paused: false });
            Object.assign(node.log, { disconnected: false, loseAnswers: 0, delayAppends: 0 });
        }
        const { first, records } = await this.platform.read(configStream, 0, 1, 0);
        const whole = first === 0 && (records[0]?.ageMs ?? 0) < retentionMs - maxRetryMs;
        await this.advance(settleMs);
        const newest = this.oracle.accepted.length;
        const known = this.nodes.map(node => node.follower.current?.number ?? 0);
        const expected = whole ? newest : Math.max(0, ...known);
        assert.deepEqual(
            known,
            this.nodes.map(() => expected),
            "the newest version isn't in force everywhere",
        );
        if (this.nodes.length > 0 && this.nodes.every(node => node.follower.status.progress === "applied")) {
            await this.#replaceAll(expected);
        }
        this.#crashAll();
        await this.time.advance(settleMs);
    }

    /** Checks that a checkpoint has outlived the publications when every entry VM is gone at once. */
    async #replaceAll(expected: number): Promise<void> {
        await this.advance(2 * retentionMs);
        this.#crashAll();
        await this.startNode();
        assert.equal(this.nodes[0]?.follower.current?.number ?? 0, expected, "lost with all entry VMs");
    }

    #crashAll(): void {
        for (const node of [...this.nodes]) {
            this.crash(node);
        }
    }

    #newNode(floor: number): FuzzNode {
        const log = new FaultyLog(this.platform, this.delayedAppends);
        const stop = new AbortController();
        const sleep: Sleep = async (ms, signal) => {
            await this.time.sleep(ms, signal);
            await log.untilResumed();
        };
        const common = { log, events: () => {}, random: this.#random, sleep };
        const peers: Peers = { query: (question, count) => this.#ask(node, question, count) };
        const follower = new Follower({ ...common, peers });
        const checkpointer = new Checkpointer({ ...common, follower, retentionMs });
        const node: FuzzNode = {
            log,
            follower,
            stop,
            reachable: true,
            paused: false,
            minVersion: floor,
            lastSeenVersion: 0,
        };
        follower.changes.subscribe(version => this.#note(node, version));
        this.nodes.push(node);
        void follower.run(stop.signal);
        void checkpointer.run(stop.signal);
        return node;
    }

    async #ask(asker: FuzzNode, question: ConfigRequest, count: number): Promise<readonly ConfigResponse[]> {
        const asked = asker.reachable ? this.#answering().filter(node => node !== asker) : [];
        const turn = Math.floor(this.#random() * asked.length);
        const chosen = [...asked.slice(turn), ...asked.slice(0, turn)].slice(0, count);
        const offers = chosen.map(node => node.follower.respond(question));
        await asker.log.untilResumed();
        return offers.filter(offer => offer !== undefined);
    }

    #answering(): readonly FuzzNode[] {
        return this.nodes.filter(node => node.reachable && !node.paused && node.follower.status.ready);
    }

    #note(node: FuzzNode, version: AcceptedVersion): void {
        const snapshot = node.follower.snapshot();
        if (snapshot) {
            this.pastSnapshots.push(snapshot);
        }
        if (node.follower.status.progress === "missing") {
            node.minVersion = 0;
        }
        if (version.number < node.minVersion) {
            this.#problems.push(
                `a fresh entry VM served version ${version.number}, the log held ${node.minVersion}`,
            );
        }
        if (version.number <= node.lastSeenVersion) {
            this.#problems.push(`an entry VM went from version ${node.lastSeenVersion} to ${version.number}`);
        }
        node.lastSeenVersion = version.number;
        const whole = parseConfig(version.document.toString());
        if (
            !whole.ok ||
            whole.document.digest !== version.digest ||
            !isDeepStrictEqual(whole.spec, version.spec)
        ) {
            this.#problems.push(`version ${version.number} isn't what its text says`);
        }
    }

    #checkFresh(node: FuzzNode, before: Before): void {
        const { ready, progress } = node.follower.status;
        const number = node.follower.current?.number ?? 0;
        if (!this.platform.down && progress !== "missing") {
            assert.ok(
                ready && number >= before.accepted,
                `fresh at ${number}, the log holds ${before.accepted}`,
            );
        } else {
            assert.equal(ready, before.peers, "a fresh entry VM is ready just if a peer could tell");
            assert.ok(number >= before.known, `fresh at ${number}, peers know ${before.known}`);
        }
    }

    #checkNode(node: FuzzNode): void {
        const current = node.follower.current;
        if (current) {
            assert.equal(this.oracle.mismatch(current), undefined);
        }
        assert.equal(
            current?.number ?? 0,
            node.lastSeenVersion,
            "the version served isn't the newest one told",
        );
    }

    #checkOutcome({ id, base, result }: Outcome): void {
        const accepted = this.oracle.accepted.filter(version => version.id === id);
        assert.ok(accepted.length <= 1, `${id} was accepted ${accepted.length} times`);
        assert.notEqual(result.kind, "rejected", `${id} is valid`);
        if (result.kind === "accepted") {
            assert.equal(accepted[0]?.number, result.number, `${id} was told to be accepted`);
            assert.equal(result.number, base + 1, `${id} replaced another version than its base`);
        } else if (result.kind === "lost") {
            assert.equal(accepted.length, 0, `${id} was told to have lost`);
            assert.equal(this.oracle.mismatch(result.winner), undefined);
        }
    }
}
