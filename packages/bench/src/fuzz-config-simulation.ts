/** Simulates entry VMs, operators and the platform's log in virtual time, with fault injection. */

import assert from "node:assert/strict";
import { isDeepStrictEqual } from "node:util";
import { Checkpointer } from "@bramleymoor/config/checkpointer";
import { Follower } from "@bramleymoor/config/follower";
import type { ConfigRequest, ConfigResponse, Peers } from "@bramleymoor/config/peers";
import type { KnownVersion } from "@bramleymoor/config/accepted";
import { publish, type PublishResult } from "@bramleymoor/config/publisher";
import { configStream } from "@bramleymoor/config/record";
import { restorationStream } from "@bramleymoor/config/restorations";
import { restore } from "@bramleymoor/config/restore";
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

/** Retention time of the simulated log, in milliseconds of virtual time. */
export const retentionMs = 120_000;

const convergenceMs = 60_000;
const startupMs = 500;
/** Time in which entry VMs that can read the log notice that it has lost records or that a version was restored. */
const noticeMs = 20_000;
/** Each entry VM retries within this time after a fault. */
const maxRetryMs = 10_000;

/** A platform that passes each record of the config stream to the oracle. */
class ObservedPlatform extends MemoryPlatform {
    readonly #oracle: ConfigOracle;
    readonly configRecords: string[] = [];
    #restoredAt: number | undefined = undefined;
    #forgotten = false;
    readonly #time: VirtualTime;

    constructor(time: VirtualTime, oracle: ConfigOracle) {
        super({ now: () => time.now(), sleep: time.sleep, retentionMs });
        this.#oracle = oracle;
        this.#time = time;
    }

    /** Whether a restoration has ever expired, so that readers of an earlier era couldn't learn of it from the log. */
    get hasForgottenRestoration(): boolean {
        this.#forgotten ||=
            this.#restoredAt !== undefined && this.#time.now() - this.#restoredAt >= retentionMs;
        return this.#forgotten;
    }

    override forceAppend(stream: string, data: string): number {
        const offset = super.forceAppend(stream, data);
        if (stream === configStream) {
            this.#oracle.append(offset, data);
            this.configRecords.push(data);
        } else if (stream === restorationStream && !this.hasForgottenRestoration) {
            this.#restoredAt = this.#time.now();
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
    /** Version number that the log held at this node's start; 0 if the log was down or records are missing. */
    minVersion: number;
    /** Newest version number that this node has served. */
    lastSeenVersion: number;
}

interface PublishRequest {
    readonly id: string;
    readonly text: string;
    readonly base: number;
}

interface PublishOutcome {
    readonly id: string;
    readonly base: number;
    readonly result: PublishResult;
}

/** State just before an entry VM starts. */
interface StateBeforeStart {
    readonly accepted: number;
    /** Newest version number that an available peer serves. */
    readonly newestPeerVersion: number;
    readonly hasPeers: boolean;
}

/** The simulated system, checked against the oracle. */
export class ConfigSimulation {
    readonly time = new VirtualTime();
    readonly oracle = new ConfigOracle();
    readonly platform = new ObservedPlatform(this.time, this.oracle);
    readonly nodes: FuzzNode[] = [];
    /** Snapshots of every version that an entry VM has served. */
    readonly pastSnapshots: Snapshot[] = [];
    readonly delayedAppends: (() => void)[] = [];
    readonly operatorLogs: readonly FaultyLog[];
    readonly #outcomes: PublishOutcome[] = [];
    readonly #requests: PublishRequest[] = [];
    #runningPublications = 0;
    readonly #violations: string[] = [];
    readonly #random: () => number;

    constructor(seed: number) {
        const generator = xoroshiro128plus(seed);
        this.#random = () => uniformFloat64(generator);
        this.operatorLogs = [0, 1].map(() => new FaultyLog(this.platform, this.delayedAppends));
    }

    /** Starts an entry VM and checks the version that it serves after `startupMs`. */
    async startNode(): Promise<void> {
        const available = this.#availablePeers();
        const newestPeerVersion = Math.max(0, ...available.map(node => node.follower.current?.number ?? 0));
        const before = {
            accepted: this.oracle.accepted.length,
            newestPeerVersion,
            hasPeers: available.length > 0,
        };
        const node = this.#newNode(this.platform.down ? 0 : before.accepted);
        await this.advance(startupMs);
        this.#checkStarted(node, before);
    }

    /** Stops an entry VM without a shutdown. */
    crash(node: FuzzNode): void {
        node.log.disconnected = true;
        node.log.setPaused(false);
        node.stop.abort();
        this.nodes.splice(this.nodes.indexOf(node), 1);
    }

    /** Starts a publication by an operator without waiting for its result. */
    publish(operator: number, text: string, base: number): void {
        const request = { id: `p${this.#requests.length}`, text, base };
        this.#requests.push(request);
        this.#send(operator, request, true);
    }

    /** Repeats an earlier publication with the same id. */
    republish(operator: number, index: number): void {
        const request = this.#requests.at(-1 - index);
        if (request) {
            this.#send(operator, request, false);
        }
    }

    /**
     * The log comes back without its last records. If it lost the newest version, a publication over either version must be
     * refused, and the operator restores a text.
     *
     * Does nothing unless an operator could notice: a version that no reachable entry VM serves is gone without a trace.
     */
    async loseRecords(count: number, text: string): Promise<void> {
        const { newest } = this.oracle;
        const known = this.#availablePeers().flatMap(({ follower }) => follower.current ?? []);
        const isKnown = newest === 0 || known.some(it => it.number === newest);
        if (this.platform.down || !isKnown || this.#runningPublications > 0) {
            return;
        }
        const { next } = await this.platform.read(configStream, Number.MAX_SAFE_INTEGER, 1, 0);
        const end = Math.max(0, next - count);
        const isLost = (this.oracle.accepted.at(-1)?.offset ?? -1) >= end;
        if (!isLost && this.nodes.some(it => it.paused || it.log.disconnected)) {
            // Without a restoration, an entry VM that doesn't read the log meanwhile can't notice the loss afterwards.
            return;
        }
        this.platform.restore(configStream, end);
        if (isLost) {
            await this.#restore(text, known);
        }
        await this.advance(noticeMs);
    }

    async #restore(text: string, known: readonly KnownVersion[]): Promise<void> {
        const { newest } = this.oracle;
        for (const base of [newest, newest - 1]) {
            const options = { id: `over ${newest}`, random: this.#random, sleep: this.time.sleep, known };
            const { kind } = await this.#run(publish(this.platform, text, base, options));
            // If records have expired without a checkpoint, the publisher can't tell what the log has lost.
            const isRefused = kind === "version lost" || kind === "unknown";
            assert.ok(isRefused, `a publication over a lost version ended as ${kind}`);
        }
        const number = newest + 1;
        const id = `restored ${number}`;
        const { next } = await this.platform.read(configStream, Number.MAX_SAFE_INTEGER, 1, 0);
        const result = await restore(this.platform, text, { id, number, grammar: 1, known });
        assert.equal(result.kind, "restored");
        if (result.kind === "restored") {
            this.oracle.restore({ id, offset: next - 1, digest: result.digest });
        }
    }

    /** Advances virtual time until a call has ended. */
    async #run<T>(call: Promise<T>): Promise<T> {
        let isRunning = true;
        void call.finally(() => (isRunning = false));
        while (isRunning) {
            await this.advance(100);
        }
        return call;
    }

    #send(operator: number, { id, text, base }: PublishRequest, fresh: boolean): void {
        const log = this.operatorLogs[operator % this.operatorLogs.length]!;
        const options = { id, fresh, random: this.#random, sleep: this.time.sleep };
        this.#runningPublications++;
        void publish(log, text, base, options).then(result => {
            this.#runningPublications--;
            this.#outcomes.push({ id, base, result });
        });
    }

    /** Returns the number of publications by the kind of their result. */
    countResults(): Readonly<Record<string, number>> {
        const counts: Record<string, number> = {};
        for (const { result } of this.#outcomes) {
            counts[result.kind] = (counts[result.kind] ?? 0) + 1;
        }
        return counts;
    }

    /** Advances virtual time, then checks the invariants. */
    async advance(ms: number): Promise<void> {
        await this.time.advance(ms);
        this.check();
    }

    /** Checks every entry VM and every publication result against the oracle. */
    check(): void {
        if (this.platform.hasForgottenRestoration) {
            return;
        }
        assert.deepEqual(this.#violations, []);
        for (const node of this.nodes) {
            this.#checkNode(node);
        }
        for (const outcome of this.#outcomes) {
            this.#checkOutcome(outcome);
        }
    }

    /** Ends all faults and checks that every entry VM converges to the newest version still available. */
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
        const isLogComplete =
            first === 0 &&
            (records[0]?.ageMs ?? 0) < retentionMs - maxRetryMs &&
            !this.platform.hasForgottenRestoration;
        await this.advance(convergenceMs);
        const newest = this.oracle.accepted.length;
        const known = this.nodes.map(node => node.follower.current?.number ?? 0);
        const expected = isLogComplete ? newest : Math.max(0, ...known);
        assert.deepEqual(
            known,
            this.nodes.map(() => expected),
            "the entry VMs didn't converge to the newest version",
        );
        if (this.nodes.length > 0 && this.nodes.every(node => node.follower.status.progress === "applied")) {
            await this.#checkRecoveryFromCheckpoint(expected);
        }
        this.#crashAll();
        await this.time.advance(convergenceMs);
    }

    /** Checks that an entry VM started after all others crashed recovers the version from a checkpoint. */
    async #checkRecoveryFromCheckpoint(expected: number): Promise<void> {
        await this.advance(2 * retentionMs);
        this.#crashAll();
        await this.startNode();
        assert.equal(
            this.nodes[0]?.follower.current?.number ?? 0,
            expected,
            "the version was lost in the crash of all entry VMs",
        );
    }

    #crashAll(): void {
        for (const node of [...this.nodes]) {
            this.crash(node);
        }
    }

    #newNode(minVersion: number): FuzzNode {
        const log = new FaultyLog(this.platform, this.delayedAppends);
        const stop = new AbortController();
        const sleep: Sleep = async (ms, signal) => {
            await this.time.sleep(ms, signal);
            await log.untilResumed();
        };
        const common = { log, events: () => {}, random: this.#random, sleep };
        const peers: Peers = { query: (request, count) => this.#queryPeers(node, request, count) };
        const follower = new Follower({ ...common, peers });
        const checkpointer = new Checkpointer({ ...common, follower, retentionMs });
        const node: FuzzNode = {
            log,
            follower,
            stop,
            reachable: true,
            paused: false,
            minVersion,
            lastSeenVersion: 0,
        };
        follower.changes.subscribe(version => this.#recordVersion(node, version));
        this.nodes.push(node);
        void follower.run(stop.signal);
        void checkpointer.run(stop.signal);
        return node;
    }

    async #queryPeers(
        requester: FuzzNode,
        request: ConfigRequest,
        count: number,
    ): Promise<readonly ConfigResponse[]> {
        const available = requester.reachable
            ? this.#availablePeers().filter(node => node !== requester)
            : [];
        const firstIndex = Math.floor(this.#random() * available.length);
        const chosen = [...available.slice(firstIndex), ...available.slice(0, firstIndex)].slice(0, count);
        const responses = chosen.map(node => node.follower.respond(request));
        await requester.log.untilResumed();
        return responses.filter(response => response !== undefined);
    }

    #availablePeers(): readonly FuzzNode[] {
        return this.nodes.filter(node => node.reachable && !node.paused && node.follower.status.ready);
    }

    #recordVersion(node: FuzzNode, version: AcceptedVersion): void {
        const snapshot = node.follower.snapshot();
        if (snapshot) {
            this.pastSnapshots.push(snapshot);
        }
        if (node.follower.status.progress === "missing" || this.platform.hasForgottenRestoration) {
            node.minVersion = 0;
        }
        if (version.number < node.minVersion) {
            this.#violations.push(
                `an entry VM served version ${version.number}, the log held ${node.minVersion} when it started`,
            );
        }
        if (version.number <= node.lastSeenVersion) {
            this.#violations.push(
                `an entry VM went from version ${node.lastSeenVersion} to ${version.number}`,
            );
        }
        node.lastSeenVersion = version.number;
        const parsed = parseConfig(version.document.toString());
        if (
            !parsed.ok ||
            parsed.document.digest !== version.digest ||
            !isDeepStrictEqual(parsed.spec, version.spec)
        ) {
            this.#violations.push(`version ${version.number} differs from its parsed text`);
        }
    }

    #checkStarted(node: FuzzNode, before: StateBeforeStart): void {
        const { ready, progress } = node.follower.status;
        const number = node.follower.current?.number ?? 0;
        if (this.platform.hasForgottenRestoration) {
            return;
        }
        if (!this.platform.down && progress !== "missing") {
            assert.ok(
                ready && number >= before.accepted,
                `started with version ${number}, the log holds ${before.accepted}`,
            );
        } else {
            assert.equal(
                ready,
                before.hasPeers,
                "a started entry VM must be ready if and only if a peer is available",
            );
            assert.ok(
                number >= before.newestPeerVersion,
                `started with version ${number}, peers serve ${before.newestPeerVersion}`,
            );
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
            "the served version isn't the newest one announced",
        );
    }

    #checkOutcome({ id, base, result }: PublishOutcome): void {
        const accepted = this.oracle.accepted.filter(version => version.id === id);
        assert.ok(accepted.length <= 1, `${id} was accepted ${accepted.length} times`);
        assert.notEqual(result.kind, "rejected", `${id} was rejected although it is valid`);
        if (result.kind === "accepted") {
            assert.equal(accepted[0]?.number, result.number, `${id} was reported as accepted`);
            assert.equal(result.number, base + 1, `${id} replaced a version other than its base`);
        } else if (result.kind === "lost") {
            assert.equal(accepted.length, 0, `${id} was reported as lost`);
            assert.equal(this.oracle.mismatch(result.winner), undefined);
        }
    }
}
