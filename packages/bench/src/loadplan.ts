/** The calls of a load, generated from a seed or read from a recording. */

import { readFileSync, writeFileSync } from "node:fs";
import type { Random } from "@bramleymoor/dispatch/random";
import * as z from "zod";

/** A kind of call in a mix. */
export interface CallKind {
    readonly service: string;
    readonly class: string;
    readonly method: "GET" | "POST";
    readonly path: string;
    /** Share of all calls; the shares of a mix add up to 1. */
    readonly share: number;
    /** Mean processing time at the backend server, in milliseconds; lognormally distributed. */
    readonly workMs: number;
    /** Body size of a response, in bytes. */
    readonly bytes: number;
    /** Body size of a request, in bytes. */
    readonly sentBytes: number;
    /** Share of the calls whose response is read slowly. */
    readonly slowShare: number;
}

const callSchema = z.strictObject({
    /** Due time after the start, in milliseconds. */
    atMs: z.number().nonnegative(),
    id: z.string().min(1).max(100),
    service: z.string(),
    class: z.string(),
    tenant: z.string(),
    method: z.enum(["GET", "POST"]),
    path: z.string(),
    workMs: z.number().nonnegative(),
    bytes: z.number().int().nonnegative(),
    sentBytes: z.number().int().nonnegative(),
    /** Bytes per second that the caller reads; unlimited if undefined. */
    readPerSecond: z.number().positive().optional(),
});

/** One call of a load. */
export type PlannedCall = Readonly<z.infer<typeof callSchema>>;

/** Parameters of a generated load. */
export interface PlanOptions {
    readonly kinds: readonly CallKind[];
    /** Calls per second. */
    readonly rate: number;
    readonly seconds: number;
    /** Number of tenants; the first ones call more often. */
    readonly tenants: number;
    /** Prefix of every request id, so that different loads don't share ids. */
    readonly name: string;
}

/** Bytes per second of a slow reader. */
export const slowReadBytesPerSecond = 200_000;

/** Generates a load with exponential gaps between calls, kinds by their shares, and lognormal processing times. */
export const generatePlan = (options: PlanOptions, random: Random): readonly PlannedCall[] => {
    const calls: PlannedCall[] = [];
    for (
        let atMs = drawGapMs(options.rate, random);
        atMs < options.seconds * msPerSecond;
        atMs += drawGapMs(options.rate, random)
    ) {
        calls.push(drawCall(options, atMs, calls.length, random));
    }
    return calls;
};

/** Writes a load as one line of JSON per call. */
export const writeTrace = (file: string, calls: readonly PlannedCall[]): void => {
    writeFileSync(file, calls.map(call => `${JSON.stringify(call)}\n`).join(""));
};

/**
 * Reads a recorded load, whose calls must be sorted by due time.
 *
 * @throws Error with file and line of the first invalid line
 */
export const readTrace = (file: string): readonly PlannedCall[] => {
    const lines = readFileSync(file, "utf8").trimEnd().split("\n");
    let previousAtMs = 0;
    return lines.map((line, index) => {
        const call = parseCall(line, `${file}:${index + 1}`);
        if (call.atMs < previousAtMs) {
            throw new Error(
                `${file}:${index + 1}: atMs ${call.atMs} is less than in the line above; sort the lines by atMs`,
            );
        }
        previousAtMs = call.atMs;
        return call;
    });
};

const msPerSecond = 1_000;

/** Standard deviation of the logarithm of processing times. */
const workSigma = 0.5;

const parseCall = (line: string, location: string): PlannedCall => {
    try {
        return callSchema.parse(JSON.parse(line));
    } catch (err) {
        const reason = err instanceof z.ZodError ? z.prettifyError(err) : String(err);
        throw new Error(`${location}: invalid call: ${reason}`, { cause: err });
    }
};

const drawGapMs = (rate: number, random: Random): number =>
    (-Math.log(1 - random.next()) * msPerSecond) / rate;

const drawCall = (options: PlanOptions, atMs: number, index: number, random: Random): PlannedCall => {
    const kind = drawKind(options.kinds, random);
    const slow = random.next() < kind.slowShare;
    const { service, class: className, method, path, bytes, sentBytes } = kind;
    return {
        atMs: round(atMs),
        id: `${options.name}-${index}`,
        service,
        class: className,
        tenant: `tenant-${drawTenant(options.tenants, random)}`,
        method,
        path,
        workMs: round(drawWork(kind.workMs, random)),
        bytes,
        sentBytes,
        ...(slow ? { readPerSecond: slowReadBytesPerSecond } : {}),
    };
};

const drawKind = (kinds: readonly CallKind[], random: Random): CallKind => {
    let left = random.next();
    for (const kind of kinds) {
        left -= kind.share;
        if (left < 0) {
            return kind;
        }
    }
    const last = kinds.at(-1);
    if (!last) {
        throw new RangeError("the mix has no kinds of calls");
    }
    return last;
};

/** Squaring a uniform number makes the first tenants the most frequent. */
const drawTenant = (tenants: number, random: Random): number => 1 + Math.floor(random.next() ** 2 * tenants);

const drawWork = (meanMs: number, random: Random): number => {
    const normal = Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
    return meanMs * Math.exp(workSigma * normal - workSigma ** 2 / 2);
};

const round = (ms: number): number => Math.round(ms * msPerSecond) / msPerSecond;
