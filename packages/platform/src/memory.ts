/** The platform inside one process, with retention and outages that tests put in. */

import { Subject, filter, firstValueFrom, from as fromPromise, race } from "rxjs";
import { PlatformError, type LogBatch, type LogRecord, type LogService } from "./log.js";
import { sleep, type Sleep } from "./timers.js";
import type { ListedVm, VmList } from "./vmlist.js";

interface Stored {
    readonly offset: number;
    readonly data: string;
    readonly at: number;
}

interface Stream {
    readonly records: Stored[];
    next: number;
}

/** What a MemoryPlatform is made of. */
export interface MemoryPlatformOptions {
    /** Present time in milliseconds. */
    readonly now: () => number;
    readonly sleep?: Sleep;
    /** How long a record is kept, in milliseconds; for ever if absent. */
    readonly retentionMs?: number;
}

/** Log service and VM list in memory. */
export class MemoryPlatform implements LogService, VmList {
    /** While true, each call fails at once as unavailable, waiting reads included. */
    down = false;
    /** How many of the next appends take effect but have their answers lost. */
    loseAnswers = 0;
    /** Age of the VM list that is answered, in milliseconds. */
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

    /** Appends a record; see LogService. */
    async append(stream: string, data: string): Promise<number> {
        this.#check();
        const offset = this.forceAppend(stream, data);
        if (this.loseAnswers > 0) {
            this.loseAnswers--;
            throw new PlatformError("unavailable", "answer lost");
        }
        return offset;
    }

    /** Reads records; see LogService. */
    async read(
        stream: string,
        from: number,
        limit: number,
        waitMs: number,
        signal?: AbortSignal,
    ): Promise<LogBatch> {
        this.#check();
        const batch = this.#batch(stream, from, limit);
        if (batch.records.length > 0 || waitMs <= 0) {
            return batch;
        }
        await this.#wait(stream, waitMs, signal);
        this.#check();
        return this.#batch(stream, from, limit);
    }

    /** Answers the VM list as it was `listLagMs` ago; see VmList. */
    async list(): Promise<readonly ListedVm[]> {
        this.#check();
        const seen = this.#now() - this.listLagMs;
        return this.#lists.findLast(list => list.at <= seen)?.vms ?? [];
    }

    /** Replaces the VM list. */
    setVms(vms: readonly ListedVm[]): void {
        this.#lists.push({ at: this.#now(), vms });
    }

    /** Appends a record whatever the knobs say, and answers its offset. */
    forceAppend(stream: string, data: string): number {
        const kept = this.#stream(stream);
        const offset = kept.next++;
        kept.records.push({ offset, data, at: this.#now() });
        this.#appended.next(stream);
        return offset;
    }

    /** Takes the records below an offset away, as retention does. */
    expireBefore(stream: string, offset: number): void {
        const { records } = this.#stream(stream);
        const kept = records.findIndex(stored => stored.offset >= offset);
        records.splice(0, kept < 0 ? records.length : kept);
    }

    /** Starts or ends an outage. */
    setDown(down: boolean): void {
        this.down = down;
        for (const stream of this.#streams.keys()) {
            this.#appended.next(stream);
        }
    }

    #check(): void {
        if (this.down) {
            throw new PlatformError("unavailable", "outage");
        }
    }

    #stream(name: string): Stream {
        const known = this.#streams.get(name);
        if (known) {
            return known;
        }
        const fresh: Stream = { records: [], next: 0 };
        this.#streams.set(name, fresh);
        return fresh;
    }

    #batch(name: string, from: number, limit: number): LogBatch {
        const stream = this.#stream(name);
        this.#expire(stream);
        const first = stream.records[0]?.offset ?? stream.next;
        const skip = Math.max(0, from - first);
        const records = stream.records.slice(skip, skip + limit).map(stored => this.#toRecord(stored));
        return { records, first, next: stream.next };
    }

    #expire(stream: Stream): void {
        const oldest = this.#now() - this.retentionMs;
        const kept = stream.records.findIndex(stored => stored.at >= oldest);
        stream.records.splice(0, kept < 0 ? stream.records.length : kept);
    }

    #toRecord(stored: Stored): LogRecord {
        return { offset: stored.offset, data: stored.data, ageMs: this.#now() - stored.at };
    }

    async #wait(stream: string, waitMs: number, signal: AbortSignal | undefined): Promise<void> {
        const done = new AbortController();
        const both = signal ? AbortSignal.any([signal, done.signal]) : done.signal;
        const arrived = this.#appended.pipe(filter(name => name === stream));
        await firstValueFrom(race(arrived, fromPromise(this.#sleep(waitMs, both))), {
            defaultValue: undefined,
        });
        done.abort();
    }
}
