/** Oracle of the at-most-once model: invariants of every request under any faults. */

import assert from "node:assert/strict";

/** A copy of a caller's request in transit. */
export interface RequestCopy {
    /** The caller's part of the ticket and the request id; each identity may run at most once. */
    readonly identity: string;
    readonly attempt: number;
    /** Represents method, path and body. */
    readonly content: string;
}

interface ExecutionReport {
    readonly copy: RequestCopy;
    readonly ran: string;
}

/** Records what backend servers ran and what callers were told; throws an AssertionError on a contradiction. */
export class OnceOracle {
    readonly #runs: RequestCopy[] = [];
    readonly #reports: ExecutionReport[] = [];

    /** Records that a backend server runs a request; returns the response, which only its own caller may get. */
    recordRun(copy: RequestCopy): string {
        const earlier = this.#runs.find(run => run.identity === copy.identity);
        assert.equal(earlier, undefined, `${copy.identity} ran twice`);
        this.#runs.push(copy);
        this.#reports.forEach(report => this.#check(report));
        return expectedResponse(copy);
    }

    /** Records that a caller gets a backend server's response, original or replayed. */
    recordResponse(copy: RequestCopy, text: string): void {
        assert.equal(text, expectedResponse(copy), `${copy.identity} got the response to another request`);
        this.recordReport(copy, "ran");
    }

    /** Records that a caller is told whether its request ran. */
    recordReport(copy: RequestCopy, ran: string): void {
        const report = { copy, ran };
        this.#reports.push(report);
        this.#check(report);
    }

    #check({ copy, ran }: ExecutionReport): void {
        const runs = this.#runs.filter(run => run.identity === copy.identity && run.content === copy.content);
        if (ran === "ran") {
            assert.equal(runs.length, 1, `${copy.identity} was reported as run but did not run`);
        }
        if (ran === "not run") {
            const wrong = runs.some(run => run.attempt <= copy.attempt);
            assert.ok(!wrong, `${copy.identity} ran but attempt ${copy.attempt} was reported as not run`);
        }
    }
}

const expectedResponse = (copy: RequestCopy): string => `${copy.identity} ${copy.content}`;
