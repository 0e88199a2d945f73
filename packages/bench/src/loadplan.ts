/** Which calls a load consists of: drawn from a seed, or recorded. */

import { readFileSync, writeFileSync } from "node:fs";
import type { Random } from "@bramleymoor/dispatch/random";
import * as z from "zod";

/** A kind of call in a mix. */
export interface CallKind {
    readonly service: string;
    readonly class: string;
    readonly method: "GET" | "POST";
    readonly path: string;
    /** Share of all calls; the mix's shares add up to 1. */
    readonly share: number;
    /** Mean time of the work at the backend server, in milliseconds; lognormal. */
    readonly workMs: number;
    /** Body bytes of an answer. */
    readonly bytes: number;
    /** Body bytes of a request. */
    readonly sentBytes: number;
    /** Share of the callers that read slowly. */
    readonly slowShare: number;
}

const callSchema = z.strictObject({
    /** Due this long after the start, in milliseconds. */
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
    /** Bytes that the caller reads in a second; undefined for as fast as they come. */
    readPerSecond: z.number().positive().optional(),
});

/** One call of a load. */
export type PlannedCall = Readonly<z.infer<typeof callSchema>>;

/** How a load is drawn. */
export interface PlanOptions {
    readonly kinds: readonly CallKind[];
    /** Calls a second. */
    readonly rate: number;
    readonly seconds: number;
    /** How many tenants there are; the first ones call more often. */
    readonly tenants: number;
    /** Part of every request's id, so that no two loads share one. */
    readonly name: string;
}

/** Bytes that a slow reader takes in a second. */
export const slowReadBytesPerSecond = 200_000;

/** Draws a load: exponential gaps between calls, kinds by their shares, lognormal work. */
export const generatePlan = (options: PlanOptions, random: Random): readonly PlannedCall[] => {
    const calls: PlannedCall[] = [];
    for (
        let atMs = gap(options.rate, random);
        atMs < options.seconds * msPerSecond;
        atMs += gap(options.rate, random)
    ) {
        calls.push(drawCall(options, atMs, calls.length, random));
    }
    return calls;
};

/** Writes a load as one JSON line for each call. */
export const writeTrace = (file: string, calls: readonly PlannedCall[]): void => {
    writeFileSync(file, calls.map(call => `${JSON.stringify(call)}\n`).join(""));
};

/**
 * Reads a recorded load, whose calls have to stand in the order of their times.
 *
 * @throws Error that names the first wrong line
 */
export const readTrace = (file: string): readonly PlannedCall[] => {
    const lines = readFileSync(file, "utf8").trimEnd().split("\n");
    let before = 0;
    return lines.map((line, index) => {
        const call = readCall(line, `${file}:${index + 1}`);
        if (call.atMs < before) {
            throw new Error(
                `${file}:${index + 1}: atMs ${call.atMs} lies before the line above; sort the lines by atMs`,
            );
        }
        before = call.atMs;
        return call;
    });
};

const msPerSecond = 1_000;

/** Spread of the lognormal work times. */
const workSigma = 0.5;

const readCall = (line: string, place: string): PlannedCall => {
    try {
        return callSchema.parse(JSON.parse(line));
    } catch (err) {
        const reason = err instanceof z.ZodError ? z.prettifyError(err) : String(err);
        throw new Error(`${place}: not a call: ${reason}`, { cause: err });
    }
};

const gap = (rate: number, random: Random): number => (-Math.log(1 - random.next()) * msPerSecond) / rate;

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
        throw new RangeError("a mix needs a kind of call");
    }
    return last;
};

/** Squaring makes the first tenants call most. */
const drawTenant = (tenants: number, random: Random): number => 1 + Math.floor(random.next() ** 2 * tenants);

const drawWork = (meanMs: number, random: Random): number => {
    const normal = Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
    return meanMs * Math.exp(workSigma * normal - workSigma ** 2 / 2);
};

const round = (ms: number): number => Math.round(ms * msPerSecond) / msPerSecond;
