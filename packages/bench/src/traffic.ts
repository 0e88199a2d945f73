/** Generates mixed open-loop traffic with the caller package and checks all outcomes against the servers' counts. */

import { Caller, CallerError, type CallResponse } from "@bramleymoor/caller/caller";
import type { Random } from "@bramleymoor/dispatch/random";
import type { ExecutionState } from "@bramleymoor/protocol/errors";
import { build, type Histogram } from "hdr-histogram-js";
import { delay, monotonicMs } from "./clock.js";

const msPerSecond = 1_000;
const microsecondsPerMs = 1_000;
const maxAttempts = 6;

/** Calls of one kind, sent at a mean rate. */
export interface CallStream {
    readonly service: string;
    readonly path: string;
    readonly method: "GET" | "POST";
    readonly perSecond: number;
    readonly deadlineMs: number;
    readonly tenant: string;
    /** Size of each response body if it is fixed; otherwise the body must be the text "ran REQUEST-ID". */
    readonly answerBytes?: number;
}

/** Counts and latencies of one service's calls. */
export interface ServiceTally {
    readonly service: string;
    readonly latencies: Histogram;
    calls: number;
    /** Answered by a backend server, whatever the status; includes cut responses. */
    answered: number;
    /** Answered after more than one attempt. */
    retried: number;
    /** Failed with "not run". */
    notRun: number;
    /** Failed with "outcome unknown", or without a response after something was sent. */
    unknown: number;
    /** Responses that began but were incomplete. */
    cut: number;
    /** Responses that don't belong to their request. */
    foreign: number;
}

/** Result of a run, checked against the servers' counts. */
export interface TrafficResult {
    readonly services: readonly ServiceTally[];
    readonly cut: number;
    /** Non-idempotent requests that ran more than once. */
    readonly doubled: number;
    /** Non-idempotent requests answered without having run, plus all calls with an unknown outcome. */
    readonly lost: number;
    /** Non-idempotent requests that failed with "not run" but did run. */
    readonly falseNotRun: number;
    readonly foreign: number;
    /** Calls that failed with "not run", which allows a retry, and whose callers gave up. */
    readonly refused: number;
}

interface CallOutcome {
    readonly stream: CallStream;
    readonly id: string;
    readonly end: ExecutionState | "answered";
}

/** Sends the calls of all streams and records their outcomes. */
export class TrafficGenerator {
    readonly #streams: readonly CallStream[];
    readonly #random: Random;
    readonly #callers = new Map<string, Caller>();
    readonly #tallies = new Map<string, ServiceTally>();
    readonly #outcomes: CallOutcome[] = [];
    readonly #pending = new Set<Promise<void>>();
    readonly #failures: string[] = [];
    readonly #startedAt = monotonicMs();
    #lastId = 0;
    #stopped = false;

    /** @param entries "IP:port" of the entry VMs to query for addresses */
    constructor(streams: readonly CallStream[], entries: readonly string[], random: Random) {
        this.#streams = streams;
        this.#random = random;
        for (const { tenant, service } of streams) {
            this.#callers.set(tenant, this.#createCaller(entries, tenant));
            this.#tallies.set(service, newTally(service));
        }
    }

    /** The first failures, one line of text each. */
    get failures(): readonly string[] {
        return this.#failures;
    }

    /** Sends calls until `stop` is called. */
    async run(): Promise<void> {
        await Promise.all(this.#streams.map(stream => this.#generateCalls(stream)));
    }

    /** Stops sending and waits for the calls in flight. */
    async stop(): Promise<void> {
        this.#stopped = true;
        await Promise.all(this.#pending);
        for (const caller of this.#callers.values()) {
            caller.close();
        }
    }

    /** Compares the outcomes with `runs`, how often each request id ran. */
    result(runs: ReadonlyMap<string, number>): TrafficResult {
        const writes = this.#outcomes.filter(({ stream }) => stream.method === "POST");
        const ran = ({ id }: CallOutcome): number => runs.get(id) ?? 0;
        const services = [...this.#tallies.values()];
        const sum = (part: (tally: ServiceTally) => number): number =>
            services.reduce((all, tally) => all + part(tally), 0);
        const neverRan = writes.filter(write => write.end === "answered" && ran(write) === 0).length;
        return {
            services,
            cut: sum(tally => tally.cut),
            doubled: writes.filter(write => ran(write) > 1).length,
            lost: neverRan + sum(tally => tally.unknown),
            falseNotRun: writes.filter(write => write.end === "not run" && ran(write) > 0).length,
            foreign: sum(tally => tally.foreign),
            refused: sum(tally => tally.notRun),
        };
    }

    #createCaller(entries: readonly string[], tenant: string): Caller {
        return new Caller({
            entryAddresses: entries,
            clock: monotonicMs,
            random: () => this.#random.next(),
            newRequestId: () => `${tenant}-${++this.#lastId}`,
            tenant,
            maxAttempts,
        });
    }

    async #generateCalls(stream: CallStream): Promise<void> {
        let dueAt = monotonicMs();
        while (!this.#stopped) {
            dueAt += (-Math.log(1 - this.#random.next()) * msPerSecond) / stream.perSecond;
            const waitMs = dueAt - monotonicMs();
            if (waitMs > 0) {
                await delay(waitMs);
            }
            if (this.#stopped) {
                return;
            }
            const call = this.#call(stream, dueAt);
            this.#pending.add(call);
            void call.finally(() => this.#pending.delete(call));
        }
    }

    async #call(stream: CallStream, dueAt: number): Promise<void> {
        const id = `${stream.tenant}-${stream.method}-${++this.#lastId}`;
        const tally = this.#tallies.get(stream.service) ?? newTally(stream.service);
        tally.calls++;
        const end = await this.#send(stream, id, tally);
        this.#outcomes.push({ stream, id, end });
        if (end === "answered") {
            tally.answered++;
            const microseconds = Math.round((monotonicMs() - dueAt) * microsecondsPerMs);
            tally.latencies.recordValue(Math.max(1, microseconds));
        } else if (end === "not run") {
            tally.notRun++;
        } else {
            tally.unknown++;
        }
    }

    async #send(stream: CallStream, id: string, tally: ServiceTally): Promise<ExecutionState | "answered"> {
        const { service, path, method, deadlineMs, tenant } = stream;
        const body = method === "POST" ? `order ${id}` : "";
        const request = { service, path, method, deadlineMs, requestId: id };
        try {
            const caller = this.#callers.get(tenant);
            const response = await caller?.call(body === "" ? request : { ...request, body });
            return response ? await this.#checkResponse(response, stream, id, tally) : "not run";
        } catch (err) {
            this.#recordFailure(stream, id, String(err));
            return err instanceof CallerError ? err.ran : "outcome unknown";
        }
    }

    async #checkResponse(
        response: CallResponse,
        stream: CallStream,
        id: string,
        tally: ServiceTally,
    ): Promise<ExecutionState | "answered"> {
        if (response.error) {
            response.body.resume();
            this.#recordFailure(stream, id, response.error);
            return response.ran;
        }
        tally.retried += response.attempts > 1 ? 1 : 0;
        const text = await readBody(response).catch((err: unknown) => new Error(String(err)));
        if (text instanceof Error) {
            tally.cut++;
            this.#recordFailure(stream, id, `incomplete response: ${text.message}`);
        } else if (response.status === 200 && !isExpectedResponse(text, stream, id)) {
            tally.foreign++;
            this.#recordFailure(stream, id, `unexpected response: ${text.slice(0, 40)}`);
        }
        return "answered";
    }

    #recordFailure(stream: CallStream, id: string, why: string): void {
        if (this.#failures.length < maxFailures) {
            const seconds = ((monotonicMs() - this.#startedAt) / msPerSecond).toFixed(1);
            this.#failures.push(`at ${seconds} s ${stream.service} ${id}: ${why}`);
        }
    }
}

const maxFailures = 30;

const newTally = (service: string): ServiceTally => ({
    service,
    latencies: build({ lowestDiscernibleValue: 1, highestTrackableValue: 600_000_000 }),
    calls: 0,
    answered: 0,
    retried: 0,
    notRun: 0,
    unknown: 0,
    cut: 0,
    foreign: 0,
});

const isExpectedResponse = (text: string, stream: CallStream, id: string): boolean =>
    stream.answerBytes === undefined ? text === `ran ${id}` : text.length === stream.answerBytes;

/** Reads the whole body; rejects if it is incomplete. */
const readBody = async (response: CallResponse): Promise<string> => {
    const chunks: Buffer[] = [];
    for await (const chunk of response.body as AsyncIterable<Buffer>) {
        chunks.push(chunk);
    }
    if (!response.body.complete) {
        throw new Error("the body ended early");
    }
    return Buffer.concat(chunks).toString("latin1");
};
