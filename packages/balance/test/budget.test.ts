import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { RetryBudget, type RetryLimits } from "../src/budget.js";

const limits: RetryLimits = { ratio: 0.2, slack: 430, windowMs: 10_000 };
const stepMs = 100;
const msPerSecond = 1_000;

/** A fleet whose entry VMs all retry as often as their budgets allow. */
class Fleet {
    readonly #budgets: readonly RetryBudget[];
    readonly #rates: number[];
    readonly #requestsDue: number[];
    /** Requests and retries of all entry VMs by step. */
    readonly requests: number[] = [];
    readonly retries: number[] = [];

    constructor(entryVms: number) {
        this.#budgets = Array.from({ length: entryVms }, () => new RetryBudget(limits));
        this.#rates = this.#budgets.map(() => 0);
        this.#requestsDue = this.#budgets.map(() => 0);
    }

    /** Sets the requests per second of each entry VM. */
    setRates(rateOf: (index: number) => number): void {
        this.#rates.forEach((_, i) => (this.#rates[i] = rateOf(i)));
    }

    /**
     * Runs until a time.
     *
     * @param retriesPerRequest how many retries each request would need; Infinity for as many as are allowed
     */
    run(untilMs: number, retriesPerRequest: number): void {
        for (let now = this.requests.length * stepMs; now < untilMs; now += stepMs) {
            let requests = 0;
            let retries = 0;
            this.#budgets.forEach((budget, i) => {
                this.#requestsDue[i]! += (this.#rates[i]! * stepMs) / msPerSecond;
                let wanted = retriesPerRequest === Infinity ? Infinity : 0;
                for (; this.#requestsDue[i]! >= 1; this.#requestsDue[i]!--) {
                    budget.recordRequest(now);
                    requests++;
                    wanted += retriesPerRequest;
                }
                for (; wanted > 0 && budget.tryTake(now, this.#budgets.length); wanted--) {
                    retries++;
                }
            });
            this.requests.push(requests);
            this.retries.push(retries);
        }
    }
}

/** Returns the largest excess of the retries of a window over what the limits allow; negative if they are kept. */
const largestExcess = ({ requests, retries }: Fleet): number => {
    const steps = limits.windowMs / stepMs;
    const sum = (counts: readonly number[], end: number): number =>
        counts.slice(Math.max(0, end - steps), end).reduce((total, it) => total + it, 0);
    return Math.max(
        ...requests.map((_, i) => sum(retries, i + 1) - limits.ratio * sum(requests, i + 1) - limits.slack),
    );
};

test("where one entry VM in ten serves a service, rejected requests use the slack of the whole fleet", () => {
    const fleet = new Fleet(311);
    fleet.setRates(i => (i % 10 === 0 ? 20 : 0));
    fleet.run(20_000, 0);
    fleet.run(30_000, 0.55);
    const requests = fleet.requests.slice(-100).reduce((sum, it) => sum + it, 0);
    const retries = fleet.retries.slice(-100).reduce((sum, it) => sum + it, 0);
    const fromSlack = retries - limits.ratio * 0.75 * requests;
    assert.ok(fromSlack >= limits.slack / 4, `${retries} retries of ${requests} requests`);
    assert.ok(largestExcess(fleet) <= 0);
});

test("the limits hold while requests move between entry VMs", () => {
    const rates = fc.array(fc.integer({ min: 0, max: 40 }), { minLength: 1, maxLength: 20 });
    fc.assert(
        fc.property(
            rates,
            rates,
            fc.integer({ min: 40, max: 200 }),
            fc.integer({ min: 5, max: 200 }),
            (before, after, entryVms, movedAtStep) => {
                const fleet = new Fleet(entryVms);
                fleet.setRates(i => before[i] ?? 0);
                fleet.run(movedAtStep * stepMs, Infinity);
                fleet.setRates(i => after[entryVms - 1 - i] ?? 0);
                fleet.run((movedAtStep + 150) * stepMs, Infinity);
                assert.ok(largestExcess(fleet) <= 0, `${largestExcess(fleet)} over the limit`);
            },
        ),
        { seed: 11, numRuns: 40 },
    );
});
