/** What an entry VM's own sends and probes say of its links to the servers. */

/** A server that an entry VM fails to reach. */
export interface UnreachedServer {
    /** Incarnation key. */
    readonly key: string;
    /** When the first send or probe in a row had failed. */
    readonly failedAt: number;
    /** Start of the last one in a row. */
    readonly lastSentAt: number;
}

/** How an attempt to reach a server failed. */
export type ReachFailure =
    /** No connection could be opened. */
    | "no-connection"
    /** There was no response, on whatever connection. */
    | "silent";

/** The links of one entry VM to all servers. */
export class LinkMonitor {
    /** When servers last responded, by incarnation key; the one longest ago first. */
    readonly #reachedAt = new Map<string, number>();
    /** Failures since any server responded, and since any connection was opened. */
    readonly #failures: Readonly<Record<ReachFailure, Map<string, Failure>>> = {
        "no-connection": new Map(),
        silent: new Map(),
    };

    /** When a server last responded; -Infinity if it hasn't. */
    reachedAt(key: string): number {
        return this.#reachedAt.get(key) ?? -Infinity;
    }

    /** Records that a connection to a server was opened. */
    recordConnected(): void {
        this.#failures["no-connection"].clear();
    }

    /** Records a response of a server. */
    recordResponse(key: string, now: number): void {
        this.#reachedAt.delete(key);
        this.#reachedAt.set(key, now);
        const [oldest] = this.#reachedAt.keys();
        if (this.#reachedAt.size > maxServers && oldest !== undefined) {
            this.#reachedAt.delete(oldest);
        }
        this.#failures.silent.clear();
    }

    /** Records that a server couldn't be reached from `sentAt` on. */
    recordFailure(key: string, failure: ReachFailure, sentAt: number, now: number): void {
        const failures = this.#failures[failure];
        const known = failures.get(key);
        failures.set(key, {
            failedAt: known?.failedAt ?? now,
            lastSentAt: Math.max(sentAt, known?.lastSentAt ?? -Infinity),
            lastFailedAt: now,
        });
    }

    /**
     * Returns the servers that this entry VM fails to reach, if it looks as if it reached none at all: several, and none has
     * been reached in the same way since; all of them, if there are few.
     *
     * @param serverCount number of servers that it may send to
     */
    suspects(serverCount: number, now: number): readonly UnreachedServer[] {
        const due = Math.min(serversToSuspect, Math.max(1, serverCount));
        const suspects = new Map<string, UnreachedServer>();
        for (const failures of Object.values(this.#failures)) {
            forgetOld(failures, now);
            if (failures.size < due) {
                continue;
            }
            for (const [key, { failedAt, lastSentAt }] of failures) {
                const known = suspects.get(key);
                suspects.set(key, {
                    key,
                    failedAt: Math.min(failedAt, known?.failedAt ?? Infinity),
                    lastSentAt: Math.max(lastSentAt, known?.lastSentAt ?? -Infinity),
                });
            }
        }
        return [...suspects.values()];
    }

    /** When a server is known to have failed first, since it or another was reached; -Infinity if it hasn't. */
    failedAt(key: string): number {
        const times = Object.values(this.#failures).flatMap(it => it.get(key)?.failedAt ?? []);
        return times.length > 0 ? Math.min(...times) : -Infinity;
    }

    /** Whether servers have failed for some time, and none that was reached since shows whether the links work. */
    isUnclear(now: number): boolean {
        return Object.values(this.#failures).some(it =>
            [...it.values()].some(({ failedAt }) => now - failedAt > unclearMs),
        );
    }

    /** Whether no server has failed since one was reached. */
    get isClear(): boolean {
        return Object.values(this.#failures).every(it => it.size === 0);
    }

    /** Forgets the failures of some servers. */
    forgetServers(keys: ReadonlySet<string>): void {
        Object.values(this.#failures).forEach(failures => keys.forEach(it => failures.delete(it)));
    }

    /** Forgets all failures. */
    clear(): void {
        Object.values(this.#failures).forEach(it => it.clear());
    }
}

/** Returns when it began to look as if no server could be reached; Infinity if there are no suspects. */
export const suspectedAt = (suspects: readonly UnreachedServer[]): number => {
    const times = suspects.map(it => it.failedAt).sort((a, b) => a - b);
    return times[Math.min(serversToSuspect, times.length) - 1] ?? Infinity;
};

interface Failure {
    readonly failedAt: number;
    readonly lastSentAt: number;
    readonly lastFailedAt: number;
}

const forgetOld = (failures: Map<string, Failure>, now: number): void => {
    for (const [key, { lastFailedAt }] of failures) {
        if (now - lastFailedAt > failureTtlMs) {
            failures.delete(key);
        }
    }
};

/** Fewer may well be down together. */
const serversToSuspect = 3;
/** Time after a failure in which other sends usually show whether the links work. */
const unclearMs = 300;
/** Time after which a failure says nothing any more of the links. */
const failureTtlMs = 3_000;
/** Bounds the memory. */
const maxServers = 2_000;
