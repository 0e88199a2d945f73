/** Queue of one service's calls that wait for a slot: by class priority, then round robin between tenants. */

import type { Call } from "./types.js";

/** A queued call. */
export interface QueuedCall {
    readonly call: Call;
    readonly queuedAt: number;
}

/** Serves more urgent classes first, tenants of a class in turn with one call each, and a tenant's calls in order. */
export class CallQueue<W extends QueuedCall> {
    /** Calls by priority, tenant and id; tenants are in the order of their next turn. */
    readonly #tenantQueues = new Map<number, Map<string, Map<number, W>>>();
    #priorities: readonly number[] = [];
    #size = 0;
    #nextDeadline = Infinity;

    get size(): number {
        return this.#size;
    }

    /** Lower bound of the queued calls' deadlines. */
    get nextDeadline(): number {
        return this.#nextDeadline;
    }

    /** Adds a call to the end of its tenant's queue. */
    push(queued: W): void {
        const { call } = queued;
        const tenants = this.#tenantQueue(call.class.priority);
        const calls = tenants.get(call.tenant) ?? new Map<number, W>();
        calls.set(call.id, queued);
        tenants.set(call.tenant, calls);
        this.#size++;
        this.#nextDeadline = Math.min(this.#nextDeadline, call.deadlineAt);
    }

    /** Returns the next call without removing it. */
    peek(): W | undefined {
        for (const priority of this.#priorities) {
            const calls = this.#tenantQueues.get(priority)?.values().next().value;
            if (calls) {
                return calls.values().next().value;
            }
        }
        return undefined;
    }

    /** Removes and returns the next call, and moves its tenant behind the others. */
    pop(): W | undefined {
        const queued = this.peek();
        if (!queued) {
            return undefined;
        }
        const tenants = this.#tenantQueue(queued.call.class.priority);
        const calls = tenants.get(queued.call.tenant);
        this.remove(queued);
        if (calls && calls.size > 0) {
            tenants.delete(queued.call.tenant);
            tenants.set(queued.call.tenant, calls);
        }
        return queued;
    }

    /** Removes a call; false if it wasn't queued. */
    remove(queued: W): boolean {
        const tenants = this.#tenantQueues.get(queued.call.class.priority);
        const calls = tenants?.get(queued.call.tenant);
        if (!tenants || !calls?.delete(queued.call.id)) {
            return false;
        }
        if (calls.size === 0) {
            tenants.delete(queued.call.tenant);
        }
        this.#size--;
        return true;
    }

    /** Removes and returns the newest call of the least urgent class, if that is less urgent than `priority`. */
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

    /** Removes and returns all calls whose deadline has passed. */
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

    /** Returns how many queued calls are at least as urgent as `priority`. */
    countAhead(priority: number): number {
        let count = 0;
        for (const [classPriority, tenants] of this.#tenantQueues) {
            if (classPriority <= priority) {
                tenants.forEach(calls => (count += calls.size));
            }
        }
        return count;
    }

    #all(): readonly W[] {
        return [...this.#tenantQueues.values()].flatMap(tenants =>
            [...tenants.values()].flatMap(calls => [...calls.values()]),
        );
    }

    #newest(priority: number): W | undefined {
        const tenants = this.#tenantQueues.get(priority);
        const queued = [...(tenants?.values() ?? [])].flatMap(calls => [...calls.values()]);
        return queued.reduce<W | undefined>((a, b) => (a && a.queuedAt >= b.queuedAt ? a : b), undefined);
    }

    #tenantQueue(priority: number): Map<string, Map<number, W>> {
        const known = this.#tenantQueues.get(priority);
        if (known) {
            return known;
        }
        const tenants = new Map<string, Map<number, W>>();
        this.#tenantQueues.set(priority, tenants);
        this.#priorities = [...this.#tenantQueues.keys()].sort((a, b) => a - b);
        return tenants;
    }
}
