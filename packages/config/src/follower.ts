/** Keeps an entry VM on the newest accepted version, by the log and, when that fails, by its peers. */

import { PlatformError, type LogService } from "@bramleymoor/platform/log";
import { backoffMs, sleep as realSleep, type Random, type Sleep } from "@bramleymoor/platform/timers";
import { Subject, type Observable } from "rxjs";
import { initializeReplay } from "./initialize.js";
import { configEvent, type ConfigEventName, type ConfigEventHandler } from "./events.js";
import type { ConfigRequest, ConfigResponse, Peers } from "./peers.js";
import { configStream } from "./record.js";
import { Replay, type Progress } from "./replay.js";
import { snapshotOf, type Snapshot } from "./snapshot.js";
import { grammars as ownGrammars, type AcceptedVersion, type Grammars } from "./version.js";

const pollMs = 5000;
const batchRecords = 32;
const firstRetryMs = 200;
const maxRetryMs = 2000;
const maxMissingRetryMs = 10_000;
const askEveryMs = 2000;
const askedPeers = 1;
const askedPeersFresh = 5;
const askEveryUnsureMs = 1000;
const askedPeersUnsure = 3;
/** More questions to peers than fit between two answers of a log that is up. */
const unsureAfterAsks = 6;

/** What a follower is made of. */
export interface FollowerOptions {
    readonly log: LogService;
    readonly peers: Peers;
    readonly events: ConfigEventHandler;
    readonly random: Random;
    readonly sleep?: Sleep;
    readonly grammars?: Grammars;
}

/** Where a follower stands. */
export interface FollowerStatus {
    /** It knows a version that may be served, or that nothing has been published. */
    readonly ready: boolean;
    /** The last read of the log was answered. */
    readonly logReachable: boolean;
    /** What the log's records and the peers have led to. */
    readonly progress: Progress | "starting";
    /** One sentence for an operator. */
    readonly detail: string;
}

/** Follows the accepted version from `run` on; the version never gets older. */
export class Follower {
    readonly #log: LogService;
    readonly #peers: Peers;
    readonly #events: ConfigEventHandler;
    readonly #random: Random;
    readonly #sleep: Sleep;
    readonly #replay: Replay;
    readonly #changes = new Subject<AcceptedVersion>();
    #ready = false;
    #logUp = true;
    #asksSinceAnswer = 0;
    #progress: Progress | "starting" = "starting";
    #current: AcceptedVersion | undefined;

    constructor(options: FollowerOptions) {
        this.#log = options.log;
        this.#peers = options.peers;
        this.#events = options.events;
        this.#random = options.random;
        this.#sleep = options.sleep ?? realSleep;
        this.#replay = new Replay(options.grammars ?? ownGrammars, options.events);
    }

    /** The version to serve; undefined until one may be served. */
    get current(): AcceptedVersion | undefined {
        return this.#current;
    }

    /** Each version to serve from now on, newest last. */
    get changes(): Observable<AcceptedVersion> {
        return this.#changes.asObservable();
    }

    /** Where it stands now. */
    get status(): FollowerStatus {
        return {
            ready: this.#ready,
            logReachable: this.#logUp,
            progress: this.#progress,
            detail: this.#why(),
        };
    }

    /** Follows until `signal` is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        await Promise.all([this.#followLog(signal), this.#followPeers(signal)]);
    }

    /** Answers a peer's question; undefined while there is no version to pass on. */
    respond(question: ConfigRequest): ConfigResponse | undefined {
        return this.#ready ? this.#replay.respond(question) : undefined;
    }

    /** Takes what a peer passed on; nothing happens if it isn't newer. */
    applyResponse(offer: ConfigResponse): void {
        this.#replay.applyResponse(offer);
        this.#publish();
    }

    /** The accepted version, number 0 included, and how far the log has been judged for it. */
    snapshot(): Snapshot | undefined {
        // The version served may be one step behind what has been judged.
        const version = this.#ready ? this.#replay.version : undefined;
        return version && snapshotOf(version, this.#replay.upTo);
    }

    async #followLog(signal: AbortSignal): Promise<void> {
        await this.#askPeers(askedPeersFresh);
        for (let failures = 0; !signal.aborted; failures++) {
            const moved = await this.#readLog(signal);
            if (moved) {
                failures = -1;
            } else if (!signal.aborted) {
                await this.#goOnWithPeers();
                const maxMs = this.#logUp ? maxMissingRetryMs : maxRetryMs;
                await this.#sleep(backoffMs(failures, firstRetryMs, maxMs, this.#random), signal);
            }
        }
    }

    async #followPeers(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const everyMs = this.#isUnsure() ? askEveryUnsureMs : askEveryMs;
            await this.#sleep(everyMs * (0.5 + this.#random()), signal);
            if (this.#ready && !signal.aborted) {
                await this.#askPeers(this.#isUnsure() ? askedPeersUnsure : askedPeers);
                this.#asksSinceAnswer++;
            }
        }
    }

    /** Tells whether the log is down, or hasn't answered for so long that the path to it may hang. */
    #isUnsure(): boolean {
        return !this.#logUp || this.#asksSinceAnswer >= unsureAfterAsks;
    }

    /** Reads once, and tells whether the log is being followed. */
    async #readLog(signal: AbortSignal): Promise<boolean> {
        try {
            await this.#readBatch(signal);
            this.#asksSinceAnswer = 0;
            this.#setLogUp(true);
            return this.#progress === "applied";
        } catch (err) {
            if (!(err instanceof PlatformError)) {
                throw err;
            }
            if (!signal.aborted) {
                this.#setLogUp(false, err.message);
            }
            return false;
        }
    }

    async #readBatch(signal: AbortSignal): Promise<void> {
        let progress = await this.#takeNext(signal);
        if (progress === "missing") {
            await initializeReplay(this.#log, this.#replay);
            progress = await this.#takeNext(signal);
        }
        this.#setProgress(progress);
        this.#publish();
    }

    async #takeNext(signal: AbortSignal): Promise<Progress> {
        if (!this.#replay.version) {
            return "missing";
        }
        const waitMs = this.#ready ? pollMs : 0;
        const batch = await this.#log.read(configStream, this.#replay.upTo, batchRecords, waitMs, signal);
        const progress = this.#replay.applyBatch(batch);
        if (progress === "applied" && this.#replay.upTo >= batch.next) {
            this.#ready = true;
        }
        return progress;
    }

    /** Serves what peers know while the log gives nothing. */
    async #goOnWithPeers(): Promise<void> {
        const answers = await this.#askPeers(this.#ready ? askedPeers : askedPeersFresh);
        if (answers > 0 && this.#replay.version && this.#progress !== "outdated") {
            this.#ready = true;
        }
        this.#publish();
    }

    /** Answers how many peers answered. */
    async #askPeers(count: number): Promise<number> {
        const version = this.#replay.version;
        const question = { offset: version?.offset ?? -1, fresh: version === undefined };
        const offers = await this.#peers.query(question, count);
        for (const offer of offers) {
            this.applyResponse(offer);
        }
        return offers.length;
    }

    #publish(): void {
        const version = this.#replay.version;
        if (this.#ready && version && version.number > 0 && version !== this.#current) {
            this.#current = version;
            this.#changes.next(version);
        }
    }

    #setLogUp(up: boolean, detail = ""): void {
        if (up !== this.#logUp) {
            this.#logUp = up;
            this.#tell(up ? "log-back" : "log-unavailable", up ? "The log answers again." : detail);
        }
    }

    #setProgress(progress: Progress): void {
        const name = progressEvents[progress];
        if (progress !== this.#progress && name) {
            this.#tell(name, progressTexts[progress]);
        }
        this.#progress = progress;
    }

    #why(): string {
        if (!this.#logUp) {
            const served = this.#ready
                ? "serving the newest version known here"
                : "no version may be served yet";
            return `The log can't be read; ${served}.`;
        }
        return progressTexts[this.#progress];
    }

    #tell(name: ConfigEventName, text: string): void {
        this.#events(configEvent(name, text));
    }
}

const progressTexts: Readonly<Record<Progress | "starting", string>> = {
    starting: "The log's end hasn't been reached yet.",
    applied: "Following the log.",
    missing:
        "Records that were never read here have expired, and neither a checkpoint nor a peer fills the gap.",
    shrunk: "The log's end lies before records read earlier; going on with the newest version known.",
    outdated: "The grammar in force is newer than this release; the version can't be followed further.",
};

const progressEvents: Readonly<Partial<Record<Progress, ConfigEventName>>> = {
    missing: "records-missing",
    shrunk: "log-shrunk",
    outdated: "release-outdated",
};
