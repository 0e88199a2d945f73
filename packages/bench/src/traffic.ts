/** Mixed open-loop traffic through the caller package, with every outcome checked against the servers' counts. */

import { Caller, CallerError, type CallResponse } from "@bramleymoor/caller/caller";
import type { Random } from "@bramleymoor/dispatch/random";
import { errorKinds, type ExecutionState } from "@bramleymoor/protocol/errors";
import { build, type Histogram } from "hdr-histogram-js";
import { delay, monotonicMs } from "./clock.js";

const msPerSecond = 1_000;
const microsecondsPerMs = 1_000;
const maxAttempts = 6;

/** One kind of call in the mix. */
export interface CallStream {
    readonly service: string;
    readonly path: string;
    readonly method: "GET" | "POST";
    readonly perSecond: number;
    readonly deadlineMs: number;
    readonly tenant: string;
    /** Bytes of each answer if the servers give a fixed size; otherwise it must name the request. */
    readonly answerBytes?: number;
}

/** What has been seen of one service. */
export interface ServiceTally {
    readonly service: string;
    readonly latencies: Histogram;
    calls: number;
    /** Answered by a backend server, whole, whatever the status. */
    answered: number;
    /** Answered after more than one attempt. */
    retried: number;
    /** Told "not run". */
    notRun: number;
    /** Told "outcome unknown", or got no answer after something was sent. */
    unknown: number;
    /** An answer began and did not come whole. */
    cut: number;
    /** An answer that was not the request's own. */
    foreign: number;
}

/** What a run comes to, once the servers' counts are known. */
export interface TrafficResult {
    readonly services: readonly ServiceTally[];
    readonly cut: number;
    /** Requests of non-idempotent streams that ran more than once. */
    readonly doubled: number;
    /** Answered as run without having run, or never decided: unknown outcomes. */
    readonly lost: number;
    /** Told "not run" and ran. */
    readonly falseNotRun: number;
    readonly foreign: number;
    /** Calls told "not run" with leave to come back, which the callers gave up on. */
    readonly refused: number;
}

interface Ended {
    readonly stream: CallStream;
    readonly id: string;
    readonly end: ExecutionState | "answered";
}

/** Sends the streams' calls and keeps what became of each. */
export class TrafficGenerator {
    readonly #streams: readonly CallStream[];
    readonly #random: Random;
    readonly #callers = new Map<string, Caller>();
    readonly #tallies = new Map<string, ServiceTally>();
    readonly #ended: Ended[] = [];
    readonly #pending = new Set<Promise<void>>();
    readonly #failures: string[] = [];
    readonly #startedAt = monotonicMs();
    #lastId = 0;
    #stopped = false;

    /** @param entries "IP:port" of entry VMs to ask for addresses */
    constructor(streams: readonly CallStream[], entries: readonly string[], random: Random) {
        this.#streams = streams;
        this.#random = random;
        for (const { tenant, service } of streams) {
            this.#callers.set(tenant, this.#caller(entries, tenant));
            this.#tallies.set(service, newTally(service));
        }
    }

    /** The first failures, one line each. */
    get failures(): readonly string[] {
        return this.#failures;
    }

    /** Sends calls until `stop`. */
    async run(): Promise<void> {
        await Promise.all(this.#streams.map(stream => this.#arrivals(stream)));
    }

    /** Ends the arrivals and waits for the calls in flight. */
    async stop(): Promise<void> {
        this.#stopped = true;
        await Promise.all(this.#pending);
        for (const caller of this.#callers.values()) {
            caller.close();
        }
    }

    /** Holds the outcomes against how often each request id ran. */
    result(runs: ReadonlyMap<string, number>): TrafficResult {
        const orders = this.#ended.filter(({ stream }) => stream.method === "POST");
        const ran = ({ id }: Ended): number => runs.get(id) ?? 0;
        const services = [...this.#tallies.values()];
        const sum = (part: (tally: ServiceTally) => number): number =>
            services.reduce((all, tally) => all + part(tally), 0);
        const phantom = orders.filter(order => order.end === "answered" && ran(order) === 0).length;
        return {
            services,
            cut: sum(tally => tally.cut),
            doubled: orders.filter(order => ran(order) > 1).length,
            lost: phantom + sum(tally => tally.unknown),
            falseNotRun: orders.filter(order => order.end === "not run" && ran(order) > 0).length,
            foreign: sum(tally => tally.foreign),
            refused: sum(tally => tally.notRun),
        };
    }

    #caller(entries: readonly string[], tenant: string): Caller {
        return new Caller({
            entryAddresses: entries,
            clock: monotonicMs,
            random: () => this.#random.next(),
            newRequestId: () => `${tenant}-${++this.#lastId}`,
            tenant,
            maxAttempts,
        });
    }

    async #arrivals(stream: CallStream): Promise<void> {
        let due = monotonicMs();
        while (!this.#stopped) {
            due += (-Math.log(1 - this.#random.next()) * msPerSecond) / stream.perSecond;
            const ahead = due - monotonicMs();
            if (ahead > 0) {
                await delay(ahead);
            }
            if (this.#stopped) {
                return;
            }
            const call = this.#call(stream, due);
            this.#pending.add(call);
            void call.finally(() => this.#pending.delete(call));
        }
    }

    async #call(stream: CallStream, due: number): Promise<void> {
        const id = `${stream.tenant}-${stream.method}-${++this.#lastId}`;
        const tally = this.#tallies.get(stream.service) ?? newTally(stream.service);
        tally.calls++;
        const end = await this.#ask(stream, id, tally);
        this.#ended.push({ stream, id, end });
        if (end === "answered") {
            tally.answered++;
            const microseconds = Math.round((monotonicMs() - due) * microsecondsPerMs);
            tally.latencies.recordValue(Math.max(1, microseconds));
        } else if (end === "not run") {
            tally.notRun++;
        } else {
            tally.unknown++;
        }
    }

    async #ask(stream: CallStream, id: string, tally: ServiceTally): Promise<ExecutionState | "answered"> {
        const { service, path, method, deadlineMs, tenant } = stream;
        const body = method === "POST" ? `order ${id}` : "";
        const request = { service, path, method, deadlineMs, requestId: id };
        try {
            const caller = this.#callers.get(tenant);
            const answer = await caller?.call(body === "" ? request : { ...request, body });
            return answer ? await this.#take(answer, stream, id, tally) : "not run";
        } catch (err) {
            this.#failed(stream, id, String(err));
            return err instanceof CallerError ? err.ran : "outcome unknown";
        }
    }

    async #take(
        answer: CallResponse,
        stream: CallStream,
        id: string,
        tally: ServiceTally,
    ): Promise<ExecutionState | "answered"> {
        if (answer.error) {
            answer.body.resume();
            this.#failed(stream, id, answer.error);
            return errorKinds[answer.error].ran;
        }
        tally.retried += answer.attempts > 1 ? 1 : 0;
        const text = await readBody(answer).catch((err: unknown) => new Error(String(err)));
        if (text instanceof Error) {
            tally.cut++;
            this.#failed(stream, id, `the answer was cut: ${text.message}`);
        } else if (answer.status === 200 && !isOwn(text, stream, id)) {
            tally.foreign++;
            this.#failed(stream, id, `another answer: ${text.slice(0, 40)}`);
        }
        return "answered";
    }

    #failed(stream: CallStream, id: string, why: string): void {
        if (this.#failures.length < failuresKept) {
            const seconds = ((monotonicMs() - this.#startedAt) / msPerSecond).toFixed(1);
            this.#failures.push(`at ${seconds} s ${stream.service} ${id}: ${why}`);
        }
    }
}

const failuresKept = 30;

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

const isOwn = (text: string, stream: CallStream, id: string): boolean =>
    stream.answerBytes === undefined ? text === `ran ${id}` : text.length === stream.answerBytes;

/** The whole body; rejects if it broke off. */
const readBody = async (answer: CallResponse): Promise<string> => {
    const chunks: Buffer[] = [];
    for await (const chunk of answer.body as AsyncIterable<Buffer>) {
        chunks.push(chunk);
    }
    if (!answer.body.complete) {
        throw new Error("it ended short");
    }
    return Buffer.concat(chunks).toString("latin1");
};
