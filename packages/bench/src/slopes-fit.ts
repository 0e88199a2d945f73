/** Straight lines through measured points, and the heap that a value keeps. */

import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { monotonicMs } from "./clock.js";

/** One measured size. */
export interface Point {
    readonly size: number;
    readonly value: number;
}

/** A straight line by least squares through the points of one measurement. */
export class Slope {
    /** Unit of the values. */
    readonly unit: string;
    /** What a size counts. */
    readonly per: string;
    readonly name: string;
    readonly points: readonly Point[];
    readonly slope: number;
    readonly intercept: number;
    /** Greatest distance of a point from the line, in `unit`. */
    readonly residual: number;

    /** @throws RangeError for fewer than four sizes */
    constructor(name: string, unit: string, per: string, points: readonly Point[]) {
        if (new Set(points.map(point => point.size)).size < 4) {
            throw new RangeError(`${name}: a slope takes at least four sizes`);
        }
        this.name = name;
        this.unit = unit;
        this.per = per;
        this.points = points;
        this.slope = slopeOf(points);
        this.intercept = meanOf(points.map(({ size, value }) => value - this.slope * size));
        this.residual = Math.max(...points.map(({ size, value }) => Math.abs(value - this.valueAt(size))));
    }

    /** The line's value at a size. */
    valueAt(size: number): number {
        return this.intercept + this.slope * size;
    }
}

const slopeOf = (points: readonly Point[]): number => {
    const x = meanOf(points.map(point => point.size));
    const y = meanOf(points.map(point => point.value));
    const both = points.reduce((sum, { size, value }) => sum + (size - x) * (value - y), 0);
    const square = points.reduce((sum, { size }) => sum + (size - x) ** 2, 0);
    return both / square;
};

const meanOf = (values: readonly number[]): number =>
    values.reduce((sum, value) => sum + value, 0) / values.length;

/** Measures each size. */
export const measurePoints = (
    sizes: readonly number[],
    measure: (size: number) => number,
): readonly Point[] => sizes.map(size => ({ size, value: measure(size) }));

setFlagsFromString("--expose-gc");
const collect = runInNewContext("gc") as () => void;

/** Heap bytes after a forced collection. */
export const heapAfterGc = (): number => {
    collect();
    collect();
    return process.memoryUsage().heapUsed;
};

/** Heap bytes that a value keeps: with it less without it, each after a forced collection. */
export const retainedHeap = (make: () => unknown): number => {
    const before = heapAfterGc();
    const kept = [make()];
    const bytes = heapAfterGc() - before;
    return kept.length === 1 ? bytes : 0;
};

/** Milliseconds that one of `times` runs takes, the least of `rounds` rounds. */
export const minTimeMs = (times: number, run: (index: number) => void, rounds = 5): number => {
    const spent = Array.from({ length: rounds }, (_, round) => {
        const start = monotonicMs();
        for (let index = 0; index < times; index++) {
            run(round * times + index);
        }
        return (monotonicMs() - start) / times;
    });
    return Math.min(...spent);
};
