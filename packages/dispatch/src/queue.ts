/** The calls of one service that wait for a slot: by class priority, then round robin between tenants. */

import type { Call } from "./types.js";

/** Something that waits on behalf of a call. */
export interface Waiting {
    readonly call: Call;
    readonly queuedAt: number;
}

/** First come first served within a tenant, one call a turn between tenants, urgent classes first. */
export class CallQueue<W extends Waiting> {
    /** Lines by priority; within a line, tenants in the order of their next turn. */
    readonly #lines = new Map<number, Map<string, Map<number, W>>>();
    #priorities: readonly number[] = [];
    #size = 0;
    #nextDeadline = Infinity;

    get size(): number {
        return this.#size;
    }

    /** Earliest moment at which a queued call may expire. */
    get nextDeadline(): number {
        return this.#nextDeadline;
    }

    push(waiting: W): void {
        const { call } = waiting;
        const line = this.#line(call.class.priority);
        const turns = line.get(call.tenant) ?? new Map<number, W>();
        turns.set(call.id, waiting);
        line.set(call.tenant, turns);
        this.#size++;
        this.#nextDeadline = Math.min(this.#nextDeadline, call.deadlineAt);
    }

    /** The call whose turn it is, left in the queue. */
    peek(): W | undefined {
        for (const priority of this.#priorities) {
            const tenants = this.#lines.get(priority)?.values().next().value;
            if (tenants) {
                return tenants.values().next().value;
            }
        }
        return undefined;
    }

    /** Takes out the call whose turn it is and moves its tenant behind the others. */
    pop(): W | undefined {
        const waiting = this.peek();
        if (!waiting) {
            return undefined;
        }
        const line = this.#line(waiting.call.class.priority);
        const turns = line.get(waiting.call.tenant);
        this.remove(waiting);
        if (turns && turns.size > 0) {
            line.delete(waiting.call.tenant);
            line.set(waiting.call.tenant, turns);
        }
        return waiting;
    }

    /** Takes a call out; false if it wasn't queued. */
    remove(waiting: W): boolean {
        const line = this.#lines.get(waiting.call.class.priority);
        const turns = line?.get(waiting.call.tenant);
        if (!line || !turns?.delete(waiting.call.id)) {
            return false;
        }
        if (turns.size === 0) {
            line.delete(waiting.call.tenant);
        }
        this.#size--;
        return true;
    }

    /** Takes out the newest call of the least urgent class that is less urgent than `priority`. */
    shed(priority: number): W | undefined {
        for (const lower of this.#priorities.filter(it => it > priority).reverse()) {
            const newest = this.#newest(lower);
            if (newest) {
                this.remove(newest);
                return newest;
            }
        }
        return undefined;
    }

    /** Takes out every call whose deadline has passed. */
    expire(now: number): readonly W[] {
        if (now < this.#nextDeadline) {
            return [];
        }
        const all = this.#all();
        const expired = all.filter(it => it.call.deadlineAt <= now);
        expired.forEach(it => this.remove(it));
        const left = all.filter(it => it.call.deadlineAt > now).map(it => it.call.deadlineAt);
        this.#nextDeadline = left.reduce((a, b) => Math.min(a, b), Infinity);
        return expired;
    }

    /** Calls that go before a new one of `priority`. */
    ahead(priority: number): number {
        let count = 0;
        for (const [of, line] of this.#lines) {
            if (of <= priority) {
                line.forEach(turns => (count += turns.size));
            }
        }
        return count;
    }

    #all(): readonly W[] {
        return [...this.#lines.values()].flatMap(line =>
            [...line.values()].flatMap(turns => [...turns.values()]),
        );
    }

    #newest(priority: number): W | undefined {
        const line = this.#lines.get(priority);
        const queued = [...(line?.values() ?? [])].flatMap(turns => [...turns.values()]);
        return queued.reduce<W | undefined>((a, b) => (a && a.queuedAt >= b.queuedAt ? a : b), undefined);
    }

    #line(priority: number): Map<string, Map<number, W>> {
        const known = this.#lines.get(priority);
        if (known) {
            return known;
        }
        const line = new Map<string, Map<number, W>>();
        this.#lines.set(priority, line);
        this.#priorities = [...this.#lines.keys()].sort((a, b) => a - b);
        return line;
    }
}
