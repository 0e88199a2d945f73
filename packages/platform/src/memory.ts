/** In-memory platform with retention and simulated faults, for tests and entry processes without another platform. */

import { Subject, filter, firstValueFrom, from as fromPromise, race } from "rxjs";
import { PlatformError, type LogBatch, type LogRecord, type LogService } from "./log.js";
import { sleep, type Sleep } from "./timers.js";
import type { ListedVm, VmList } from "./vmlist.js";

interface StoredRecord {
    readonly offset: number;
    readonly data: string;
    readonly appendedAt: number;
}

interface Stream {
    readonly records: StoredRecord[];
    next: number;
}

/** Options of a MemoryPlatform. */
export interface MemoryPlatformOptions {
    /** Returns the present time in milliseconds. */
    readonly now: () => number;
    readonly sleep?: Sleep;
    /** How long a record is kept, in milliseconds; unlimited if absent. */
    readonly retentionMs?: number;
}

/** Log service and VM list in memory. */
export class MemoryPlatform implements LogService, VmList {
    /** Whether every call fails as unavailable; `setDown` also ends waiting reads. */
    down = false;
    /** How many of the next appends take effect but fail as unavailable. */
    loseResponses = 0;
    /** Age of the VM list that `list` returns, in milliseconds. */
    listLagMs = 0;
    /** How long records are kept, in milliseconds. */
    retentionMs: number;

    readonly #now: () => number;
    readonly #sleep: Sleep;
    readonly #streams = new Map<string, Stream>();
    readonly #appended = new Subject<string>();
    #lists: { readonly at: number; readonly vms: readonly ListedVm[] }[] = [];

    constructor(options: MemoryPlatformOptions) {
        this.#now = options.now;
        this.#sleep = options.sleep ?? sleep;
        this.retentionMs = options.retentionMs ?? Infinity;
    }

    /** Appends a record; see `LogService`. */
    async append(stream: string, data: string): Promise<number> {
        this.#checkAvailable();
        const offset = this.forceAppend(stream, data);
        if (this.loseResponses > 0) {
            this.loseResponses--;
            throw new PlatformError("unavailable", "response lost");
        }
        return offset;
    }

    /** Reads records; see `LogService`. */
    async read(
        stream: string,
        from: number,
        limit: number,
        waitMs: number,
        signal?: AbortSignal,
    ): Promise<LogBatch> {
        this.#checkAvailable();
        const batch = this.#readBatch(stream, from, limit);
        if (batch.records.length > 0 || waitMs <= 0) {
            return batch;
        }
        await this.#waitForAppend(stream, waitMs, signal);
        this.#checkAvailable();
        return this.#readBatch(stream, from, limit);
    }

    /** Returns the VM list as it was `listLagMs` ago; see `VmList`. */
    async list(): Promise<readonly ListedVm[]> {
        this.#checkAvailable();
        const asOf = this.#now() - this.listLagMs;
        return this.#lists.findLast(list => list.at <= asOf)?.vms ?? [];
    }

    /** Replaces the VM list. */
    setVms(vms: readonly ListedVm[]): void {
        this.#lists.push({ at: this.#now(), vms });
    }

    /** Appends a record regardless of simulated faults and returns its offset. */
    forceAppend(stream: string, data: string): number {
        const target = this.#stream(stream);
        const offset = target.next++;
        target.records.push({ offset, data, appendedAt: this.#now() });
        this.#appended.next(stream);
        return offset;
    }

    /** Removes the records below an offset, as retention does. */
    expireBefore(stream: string, offset: number): void {
        const { records } = this.#stream(stream);
        const firstKept = records.findIndex(stored => stored.offset >= offset);
        records.splice(0, firstKept < 0 ? records.length : firstKept);
    }

    /** Comes back from an older copy, in which a stream ends at an offset; that offset is given out again. */
    restore(stream: string, end: number): void {
        const target = this.#stream(stream);
        const kept = target.records.filter(stored => stored.offset < end);
        target.records.splice(0, target.records.length, ...kept);
        target.next = Math.min(target.next, end);
        this.#appended.next(stream);
    }

    /** Starts or ends an outage and wakes waiting reads. */
    setDown(down: boolean): void {
        this.down = down;
        for (const stream of this.#streams.keys()) {
            this.#appended.next(stream);
        }
    }

    #checkAvailable(): void {
        if (this.down) {
            throw new PlatformError("unavailable", "outage");
        }
    }

    #stream(name: string): Stream {
        const existing = this.#streams.get(name);
        if (existing) {
            return existing;
        }
        const created: Stream = { records: [], next: 0 };
        this.#streams.set(name, created);
        return created;
    }

    #readBatch(name: string, from: number, limit: number): LogBatch {
        const stream = this.#stream(name);
        this.#expire(stream);
        const first = stream.records[0]?.offset ?? stream.next;
        const skip = Math.max(0, from - first);
        const records = stream.records.slice(skip, skip + limit).map(stored => this.#toRecord(stored));
        return { records, first, next: stream.next };
    }

    #expire(stream: Stream): void {
        const expiredBefore = this.#now() - this.retentionMs;
        const firstKept = stream.records.findIndex(stored => stored.appendedAt >= expiredBefore);
        stream.records.splice(0, firstKept < 0 ? stream.records.length : firstKept);
    }

    #toRecord(stored: StoredRecord): LogRecord {
        return { offset: stored.offset, data: stored.data, ageMs: this.#now() - stored.appendedAt };
    }

    async #waitForAppend(stream: string, waitMs: number, signal: AbortSignal | undefined): Promise<void> {
        const done = new AbortController();
        const either = signal ? AbortSignal.any([signal, done.signal]) : done.signal;
        const appended = this.#appended.pipe(filter(name => name === stream));
        await firstValueFrom(race(appended, fromPromise(this.#sleep(waitMs, either))), {
            defaultValue: undefined,
        });
        done.abort();
    }
}
