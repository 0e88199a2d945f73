/** Keeps an entry VM on the newest accepted version, by reading the log and, if that fails, by querying its peers. */

import { PlatformError, type LogService } from "@bramleymoor/platform/log";
import { backoffMs, sleep as realSleep, type Random, type Sleep } from "@bramleymoor/platform/timers";
import { Subject, type Observable } from "rxjs";
import { initializeReplay } from "./initialize.js";
import type { RecordOutcome } from "./evaluate.js";
import { configEvent, type ConfigEventName, type ConfigEventHandler } from "./events.js";
import type { ConfigRequest, ConfigResponse, Peers } from "./peers.js";
import { configStream, parseEnvelope, parsePublication } from "./record.js";
import { Replay, type Progress } from "./replay.js";
import { readEra } from "./restorations.js";
import { snapshotOf, type Snapshot, type SnapshotHead } from "./snapshot.js";
import { emptyVersion, grammars as ownGrammars, type AcceptedVersion, type Grammars } from "./version.js";

/** Longest time that a read of the log waits for new records. */
const longPollMs = 5000;
const batchRecords = 32;
const firstRetryMs = 200;
const maxRetryMs = 2000;
const maxMissingRetryMs = 10_000;
/** Number of reads of the log between two checks whether a version has been restored. */
const readsPerPositionCheck = 6;
const queryIntervalMs = 2000;
const queriedPeers = 1;
const queriedPeersAtStart = 5;
const queryIntervalIfUnresponsiveMs = 1000;
const queriedPeersIfUnresponsive = 3;
/** Greater than the number of queries to peers between two replies of a working log. */
const unresponsiveAfterQueries = 6;

/** Dependencies of a follower. */
export interface FollowerOptions {
    readonly log: LogService;
    readonly peers: Peers;
    readonly events: ConfigEventHandler;
    readonly random: Random;
    readonly sleep?: Sleep;
    readonly grammars?: Grammars;
}

/** State of a follower. */
export interface FollowerStatus {
    /** Whether it knows a version that may be served, or knows that nothing has been published. */
    readonly ready: boolean;
    /** Whether the last read of the log succeeded. */
    readonly logReachable: boolean;
    /** Result of the last batch that was read from the log. */
    readonly progress: Progress | "starting";
    /** The state as one sentence for operators. */
    readonly detail: string;
}

/** Follows the accepted version while `run` is active; the version never goes back. */
export class Follower {
    readonly #log: LogService;
    readonly #peers: Peers;
    readonly #events: ConfigEventHandler;
    readonly #random: Random;
    readonly #sleep: Sleep;
    readonly #replay: Replay;
    readonly #changes = new Subject<AcceptedVersion>();
    #ready = false;
    #logReachable = true;
    #queriesSinceLogReply = 0;
    #hasReachedEnd = false;
    /** The first read is followed by a check, as a peer's version may be one that the log has lost. */
    #readsUntilPositionCheck = 1;
    /** Whether a peer or a record named a later version that couldn't be reached from here. */
    #isSuspicious = false;
    #rewoundTo: AcceptedVersion | undefined;
    #progress: Progress | "starting" = "starting";
    #current: AcceptedVersion | undefined;

    constructor(options: FollowerOptions) {
        this.#log = options.log;
        this.#peers = options.peers;
        this.#events = options.events;
        this.#random = options.random;
        this.#sleep = options.sleep ?? realSleep;
        this.#replay = new Replay(options.grammars ?? ownGrammars, options.events, (_record, outcome) =>
            this.#checkBase(outcome),
        );
    }

    /** The version to serve; undefined until one may be served. */
    get current(): AcceptedVersion | undefined {
        return this.#current;
    }

    /** Emits each version to serve from now on, in ascending order. */
    get changes(): Observable<AcceptedVersion> {
        return this.#changes.asObservable();
    }

    /** The current state. */
    get status(): FollowerStatus {
        return {
            ready: this.#ready,
            logReachable: this.#logReachable,
            progress: this.#progress,
            detail: this.#detail(),
        };
    }

    /** Runs until the signal aborts. */
    async run(signal: AbortSignal): Promise<void> {
        await Promise.all([this.#followLog(signal), this.#followPeers(signal)]);
    }

    /** Returns the response to a peer's request; undefined while there is no version to serve. */
    respond(request: ConfigRequest): ConfigResponse | undefined {
        return this.#ready ? this.#replay.respond(request) : undefined;
    }

    /** Applies a peer's response if it is newer. */
    applyResponse(response: ConfigResponse): void {
        this.#replay.applyResponse(response);
        this.#emitCurrent();
    }

    /** Returns a snapshot of the accepted version, also of number 0; undefined while there is no version to serve. */
    snapshot(): Snapshot | undefined {
        // `current` may be one version behind what has been evaluated.
        const version = this.#ready ? this.#replay.version : undefined;
        return version && snapshotOf(version, this.#replay.upTo);
    }

    async #followLog(signal: AbortSignal): Promise<void> {
        await this.#queryPeers(queriedPeersAtStart);
        for (let failures = 0; !signal.aborted; failures++) {
            const followed = await this.#readLog(signal);
            if (followed) {
                failures = -1;
            } else if (!signal.aborted) {
                await this.#continueFromPeers();
                const maxMs = this.#logReachable ? maxMissingRetryMs : maxRetryMs;
                await this.#sleep(backoffMs(failures, firstRetryMs, maxMs, this.#random), signal);
            }
        }
    }

    async #followPeers(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const everyMs = this.#isLogUnresponsive() ? queryIntervalIfUnresponsiveMs : queryIntervalMs;
            await this.#sleep(everyMs * (0.5 + this.#random()), signal);
            if (this.#ready && !signal.aborted) {
                await this.#queryPeers(this.#isLogUnresponsive() ? queriedPeersIfUnresponsive : queriedPeers);
                this.#queriesSinceLogReply++;
            }
        }
    }

    /** Returns whether the log is unreachable, or has not replied for so long that calls to it may hang. */
    #isLogUnresponsive(): boolean {
        return !this.#logReachable || this.#queriesSinceLogReply >= unresponsiveAfterQueries;
    }

    /** Reads the log once; returns whether its records could be applied. */
    async #readLog(signal: AbortSignal): Promise<boolean> {
        try {
            await this.#readBatch(signal);
            this.#queriesSinceLogReply = 0;
            this.#setLogReachable(true);
            return this.#progress === "applied";
        } catch (err) {
            if (!(err instanceof PlatformError)) {
                throw err;
            }
            if (!signal.aborted) {
                this.#setLogReachable(false, err.message);
            }
            return false;
        }
    }

    async #readBatch(signal: AbortSignal): Promise<void> {
        let progress = await this.#applyNextBatch(signal);
        this.#emitCurrent();
        if (progress === "missing" || (await this.#mustStartAnew(progress))) {
            await initializeReplay(this.#log, this.#replay);
            progress = await this.#applyNextBatch(signal);
        }
        if (progress === "shrunk" || this.#hasReachedEnd) {
            this.#ready = true;
        }
        this.#setProgress(progress);
        this.#emitCurrent();
    }

    #noticeLaterVersion(head: SnapshotHead): void {
        const version = this.#replay.version;
        if (version && head.era === version.era && head.number > version.number) {
            this.#suspectPosition();
        }
    }

    /** A publication over a version that isn't known yet suggests that one was restored, or replaced a lost one. */
    #checkBase(outcome: RecordOutcome): void {
        const known = this.#replay.version?.number ?? 0;
        if (outcome.kind === "accepted") {
            this.#isSuspicious = false;
        } else if (outcome.kind === "skipped" && (outcome.baseNumber ?? 0) > known) {
            this.#suspectPosition();
        }
    }

    #suspectPosition(): void {
        this.#isSuspicious = true;
        this.#readsUntilPositionCheck = 0;
    }

    /**
     * Checks the position after a loss of records, and otherwise now and then: the log may have grown beyond the position
     * since. Returns whether an operator has restored a version that isn't known yet.
     */
    async #mustStartAnew(progress: Progress): Promise<boolean> {
        this.#readsUntilPositionCheck--;
        if (progress !== "shrunk" && this.#readsUntilPositionCheck > 0) {
            return false;
        }
        const isSuspicious = progress === "shrunk" || this.#isSuspicious;
        this.#isSuspicious = false;
        this.#readsUntilPositionCheck = readsPerPositionCheck;
        if ((await readEra(this.#log)) > (this.#replay.version?.era ?? 0)) {
            return true;
        }
        return isSuspicious && (await this.#rewind(progress));
    }

    /** Goes back to just after the accepted version if the log still has it; once for each version while it isn't shrunk. */
    async #rewind(progress: Progress): Promise<boolean> {
        const version = this.#replay.version;
        if (
            !version ||
            (progress !== "shrunk" && version === this.#rewoundTo) ||
            !(await this.#isInLog(version))
        ) {
            return false;
        }
        this.#rewoundTo = version;
        this.#replay.rewind();
        return true;
    }

    async #isInLog({ number, era, offset, publicationId }: AcceptedVersion): Promise<boolean> {
        const { records, next } = await this.#log.read(configStream, Math.max(0, offset), 1, 0);
        const record = records[0];
        if (offset >= next) {
            return false;
        }
        const isWithoutRecord = number === era || record?.offset !== offset;
        return isWithoutRecord || publicationIdOf(record.data) === publicationId;
    }

    async #applyNextBatch(signal: AbortSignal): Promise<Progress> {
        if (!this.#replay.version) {
            return "missing";
        }
        const waitMs = this.#ready ? longPollMs : 0;
        const { upTo } = this.#replay;
        const batch = await this.#log.read(configStream, upTo, batchRecords, waitMs, signal);
        const progress = this.#replay.applyBatch(batch, upTo);
        this.#hasReachedEnd = progress === "applied" && this.#replay.upTo >= batch.next;
        return progress;
    }

    /** Continues with the versions of peers while the log yields none. */
    async #continueFromPeers(): Promise<void> {
        const responses = await this.#queryPeers(this.#ready ? queriedPeers : queriedPeersAtStart);
        if (responses > 0 && this.#replay.version && this.#progress !== "outdated") {
            this.#ready = true;
        }
        this.#emitCurrent();
    }

    /** Queries peers and applies their responses; returns how many responded. */
    async #queryPeers(count: number): Promise<number> {
        const version = this.#replay.version;
        const { era, offset } = version ?? emptyVersion;
        const request = { era, offset, fresh: version === undefined };
        const responses = await this.#peers.query(request, count);
        for (const response of responses) {
            this.applyResponse(response);
            this.#noticeLaterVersion(response.head);
        }
        return responses.length;
    }

    #emitCurrent(): void {
        const version = this.#replay.version;
        if (this.#ready && version && version.number > 0 && version !== this.#current) {
            this.#current = version;
            this.#changes.next(version);
        }
    }

    #setLogReachable(reachable: boolean, detail = ""): void {
        if (reachable !== this.#logReachable) {
            this.#logReachable = reachable;
            this.#emitEvent(
                reachable ? "log-back" : "log-unavailable",
                reachable ? "The log is reachable again." : detail,
            );
        }
    }

    #setProgress(progress: Progress): void {
        const name = progressEvents[progress];
        if (progress !== this.#progress && name) {
            this.#emitEvent(name, progressTexts[progress]);
        }
        this.#progress = progress;
    }

    #detail(): string {
        if (!this.#logReachable) {
            const served = this.#ready ? "serving the newest known version" : "no version can be served yet";
            return `The log can't be read; ${served}.`;
        }
        return progressTexts[this.#progress];
    }

    #emitEvent(name: ConfigEventName, text: string): void {
        this.#events(configEvent(name, text));
    }
}

const publicationIdOf = (data: string): string | undefined => {
    const envelope = parseEnvelope(data);
    return envelope && parsePublication(envelope.body)?.id;
};

const progressTexts: Readonly<Record<Progress | "starting", string>> = {
    starting: "The end of the log hasn't been reached yet.",
    applied: "Following the log.",
    missing:
        "Records that this entry VM never read have expired, and neither a checkpoint nor a peer fills the gap.",
    shrunk: "The log has lost records that were already read; continuing with the newest known version until one is restored.",
    outdated: "The grammar in force is newer than this release; later versions can't be followed.",
};

const progressEvents: Readonly<Partial<Record<Progress, ConfigEventName>>> = {
    missing: "records-missing",
    shrunk: "log-shrunk",
    outdated: "release-outdated",
};
