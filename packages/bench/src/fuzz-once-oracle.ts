/** What must hold of every request whatever happens: the oracle of the at-most-once fuzzing. */

import assert from "node:assert/strict";

/** One copy of a caller's request on its way. */
export interface RequestCopy {
    /** The caller's ticket and request id: what must run at most once. */
    readonly identity: string;
    readonly attempt: number;
    /** Stands for method, path and body. */
    readonly content: string;
}

interface Told {
    readonly copy: RequestCopy;
    readonly ran: string;
}

/** Takes what backend servers ran and callers were told, and fails on a contradiction. */
export class OnceOracle {
    readonly #runs: RequestCopy[] = [];
    readonly #told: Told[] = [];

    /** A backend server starts a request; gives the answer that only its own caller may see. */
    recordRun(copy: RequestCopy): string {
        const earlier = this.#runs.find(run => run.identity === copy.identity);
        assert.equal(earlier, undefined, `${copy.identity} ran twice`);
        this.#runs.push(copy);
        this.#told.forEach(told => this.#judge(told));
        return answerTo(copy);
    }

    /** A caller gets a backend server's answer, first or again. */
    recordAnswer(copy: RequestCopy, text: string): void {
        assert.equal(text, answerTo(copy), `${copy.identity} got another request's answer`);
        this.recordReport(copy, "ran");
    }

    /** A caller is told whether its request ran. */
    recordReport(copy: RequestCopy, ran: string): void {
        const told = { copy, ran };
        this.#told.push(told);
        this.#judge(told);
    }

    #judge({ copy, ran }: Told): void {
        const runs = this.#runs.filter(run => run.identity === copy.identity && run.content === copy.content);
        if (ran === "ran") {
            assert.equal(runs.length, 1, `${copy.identity} was told as run but did not run`);
        }
        if (ran === "not run") {
            const wrong = runs.some(run => run.attempt <= copy.attempt);
            assert.ok(!wrong, `${copy.identity} ran but attempt ${copy.attempt} was told as not run`);
        }
    }
}

const answerTo = (copy: RequestCopy): string => `${copy.identity} ${copy.content}`;
