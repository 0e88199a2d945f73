/** Linear fits through measured points, and helpers that measure heap and time. */

import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { monotonicMs } from "./clock.js";

/** The value measured at one size. */
export interface Point {
    readonly size: number;
    readonly value: number;
}

/** Least-squares line through the points of one measurement. */
export class Slope {
    /** Unit of the values. */
    readonly unit: string;
    /** Meaning of one unit of size. */
    readonly per: string;
    readonly name: string;
    readonly points: readonly Point[];
    readonly slope: number;
    readonly intercept: number;
    /** Greatest absolute difference of a point from the line, in `unit`. */
    readonly residual: number;

    /** @throws RangeError for fewer than four different sizes */
    constructor(name: string, unit: string, per: string, points: readonly Point[]) {
        if (new Set(points.map(point => point.size)).size < 4) {
            throw new RangeError(`${name}: a slope needs at least four different sizes`);
        }
        this.name = name;
        this.unit = unit;
        this.per = per;
        this.points = points;
        this.slope = slopeOf(points);
        this.intercept = meanOf(points.map(({ size, value }) => value - this.slope * size));
        this.residual = Math.max(...points.map(({ size, value }) => Math.abs(value - this.valueAt(size))));
    }

    /** Returns the line's value at a size. */
    valueAt(size: number): number {
        return this.intercept + this.slope * size;
    }
}

const slopeOf = (points: readonly Point[]): number => {
    const x = meanOf(points.map(point => point.size));
    const y = meanOf(points.map(point => point.value));
    const covariance = points.reduce((sum, { size, value }) => sum + (size - x) * (value - y), 0);
    const variance = points.reduce((sum, { size }) => sum + (size - x) ** 2, 0);
    return covariance / variance;
};

const meanOf = (values: readonly number[]): number =>
    values.reduce((sum, value) => sum + value, 0) / values.length;

/** Measures every size. */
export const measurePoints = (
    sizes: readonly number[],
    measure: (size: number) => number,
): readonly Point[] => sizes.map(size => ({ size, value: measure(size) }));

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

/** Returns the heap bytes in use after forced garbage collections. */
export const heapAfterGc = (): number => {
    collectGarbage();
    collectGarbage();
    return process.memoryUsage().heapUsed;
};

/** Returns the heap bytes that a value retains: in use with it minus without it, both after garbage collection. */
export const retainedHeap = (make: () => unknown): number => {
    const before = heapAfterGc();
    const retained = [make()];
    const bytes = heapAfterGc() - before;
    return retained.length === 1 ? bytes : 0;
};

/** Returns the mean milliseconds of one run in the fastest of `rounds` rounds of `times` runs each. */
export const minTimeMs = (times: number, run: (index: number) => void, rounds = 5): number => {
    const roundTimes = Array.from({ length: rounds }, (_, round) => {
        const start = monotonicMs();
        for (let index = 0; index < times; index++) {
            run(round * times + index);
        }
        return (monotonicMs() - start) / times;
    });
    return Math.min(...roundTimes);
};
