/** Connects the quotas of client accounts with requests, the other entry VMs, timers and the log. */

import type { ClientAccount } from "@bramleymoor/model/route";
import type { EntryVm } from "@bramleymoor/model/vm";
import type { EventLog } from "@bramleymoor/observe/event-log";
import { CallError } from "@bramleymoor/protocol/errors";
import type { Timer, TimerSet } from "@bramleymoor/proxy/timers";
import type { ReserveLimits } from "@bramleymoor/quotas/holder";
import type { Refusal, Token } from "@bramleymoor/quotas/lease";
import type { QuotaAsk, QuotaReply } from "@bramleymoor/quotas/messages";
import { Quotas, type OnToken, type QuotaCounts } from "@bramleymoor/quotas/quotas";
import type { QuotaLimits } from "./settings.js";

/** The permission to send one request of an account. */
export interface QuotaGrant {
    /** Returns whether the grant is too old to send a request with it. */
    isStale(now: number): boolean;
    /** Gives the grant back, as its request hasn't run; later calls do nothing. */
    release(now: number): void;
}

/** Grants requests of accounts that have a quota. */
export interface QuotaGate {
    /**
     * Resolves to a grant for one request, or to undefined if the account has no quota.
     *
     * @throws CallError "over-quota" or "quota-unavailable" if there is none
     */
    acquire(account: ClientAccount, now: number): Promise<QuotaGrant | undefined>;
}

/** Dependencies of a `QuotaExchange`. */
export interface QuotaExchangeOptions {
    /** Stable name of this entry VM. */
    readonly self: string;
    /** Identifies this run of it. */
    readonly incarnation: string;
    readonly limits: QuotaLimits;
    readonly events: Pick<EventLog, "emit">;
    readonly timers: Pick<TimerSet, "schedule">;
    /** Sends a question to another entry VM. */
    readonly send: (peerAddress: string, ask: QuotaAsk) => void;
    /** Returns monotonic milliseconds. */
    readonly clock: () => number;
}

/** An account whose requests are refused. */
interface Refusals {
    refusedAt: number;
    count: number;
}

/** The quotas at one entry VM, kept up to date and logged. */
export class QuotaExchange implements QuotaGate {
    readonly #options: QuotaExchangeOptions;
    readonly #quotas: Quotas;
    readonly #leaseMs: number;
    /** Until when requests wait for holders that are starting. */
    readonly #startsUntil: number;
    #addresses: ReadonlyMap<string, string> = new Map();
    #timer: Timer | undefined = undefined;
    readonly #overQuota = new Map<string, Refusals>();
    readonly #unavailable = new Map<string, Refusals>();

    constructor(options: QuotaExchangeOptions) {
        const { self, incarnation, limits, send, clock } = options;
        this.#options = options;
        this.#leaseMs = leaseMsOf(limits);
        this.#startsUntil = clock() + startMs;
        this.#quotas = new Quotas({
            self,
            run: incarnation,
            reserve: reserveOf(limits),
            leaseMs: this.#leaseMs,
            send: (to, ask) => {
                const address = this.#addresses.get(to);
                if (address !== undefined) {
                    send(address, ask);
                }
            },
            now: clock(),
        });
    }

    /** Totals since the start. */
    get counts(): Readonly<QuotaCounts> {
        return this.#quotas.counts;
    }

    /** Applies the accounts of a newer configuration. */
    updateAccounts(accounts: readonly ClientAccount[]): void {
        this.#quotas.updateAccounts(accounts, this.#options.clock());
    }

    /**
     * Applies a newer list of members.
     *
     * @param settleMs time until this entry VM may be expected to know all of them; Infinity while it hasn't met any other
     */
    updateMembers(members: readonly EntryVm[], settleMs: number): void {
        this.#addresses = new Map(members.map(vm => [vm.id, vm.peerAddress]));
        const idsOf = (state: EntryVm["state"]) => members.filter(vm => vm.state === state).map(vm => vm.id);
        const ids = { alive: idsOf("alive"), leaving: idsOf("leaving"), settleMs };
        this.#quotas.updateMembers(ids, this.#options.clock());
    }

    /** Applies changed limits; the time in which a grant may be used changes at the next start. */
    setLimits(limits: QuotaLimits): void {
        this.#quotas.setReserve(reserveOf(limits));
    }

    acquire(account: ClientAccount, now: number): Promise<QuotaGrant | undefined> {
        if (account.ratePerSecond <= 0) {
            return Promise.resolve(undefined);
        }
        return new Promise((resolve, reject) => {
            const { clock, timers } = this.#options;
            const request = (at: number): void => {
                this.#quotas.request(account.name, settle, at);
                this.#scheduleTimeout();
            };
            const settle: OnToken = result => {
                if (result.kind === "token") {
                    resolve(this.#grant(account.name, result.token));
                } else if (this.#mayWait(result, now)) {
                    timers.schedule(clock() + startRetryMs, () => request(clock()));
                } else {
                    const kind = result.kind === "unavailable" ? "quota-unavailable" : "over-quota";
                    this.#logRefusal(account, kind, clock());
                    reject(new CallError(kind, "", result.retryAfterMs));
                }
            };
            request(now);
        });
    }

    /**
     * Whether a request that came at `requestedAt` waits although no holder can be reached: when all entry VMs start together,
     * the holders begin to grant a moment after the first requests have come.
     */
    #mayWait({ kind }: Refusal, requestedAt: number): boolean {
        const now = this.#options.clock();
        return kind === "unavailable" && now < this.#startsUntil && now - requestedAt < maxStartWaitMs;
    }

    /** Answers another entry VM's question; undefined to say nothing. */
    receiveAsk(ask: QuotaAsk): QuotaReply | undefined {
        return this.#quotas.receiveAsk(ask, this.#options.clock());
    }

    /** Processes the answer to a question. */
    receiveReply(reply: QuotaReply): void {
        this.#quotas.receiveReply(reply, this.#options.clock());
        this.#scheduleTimeout();
    }

    /** Returns unused tokens, and logs accounts that are no longer refused. To be called at least every 100 ms. */
    tick(): void {
        const now = this.#options.clock();
        this.#quotas.tick(now);
        this.#scheduleTimeout();
        this.#forget(this.#overQuota, now, (account, refused) =>
            this.#options.events.emit("quota-kept", { account, refused }),
        );
        this.#forget(this.#unavailable, now, (account, refused) =>
            this.#options.events.emit("quota-available", { account, refused }),
        );
    }

    #grant(account: string, token: Token): QuotaGrant {
        const grantedAt = this.#options.clock();
        let isHeld = true;
        return {
            isStale: now => now - grantedAt >= this.#leaseMs,
            release: now => {
                if (isHeld) {
                    isHeld = false;
                    this.#quotas.putBack(account, token, now);
                }
            },
        };
    }

    /** Has questions that aren't answered in time be given up. */
    #scheduleTimeout(): void {
        const dueAt = this.#quotas.nextTimeoutAt;
        if (!this.#timer && dueAt !== Infinity) {
            this.#timer = this.#options.timers.schedule(dueAt, () => {
                this.#timer = undefined;
                this.#quotas.tick(this.#options.clock());
                this.#scheduleTimeout();
            });
        }
    }

    #logRefusal(
        { name, ratePerSecond }: ClientAccount,
        kind: "over-quota" | "quota-unavailable",
        now: number,
    ): void {
        const accounts = kind === "over-quota" ? this.#overQuota : this.#unavailable;
        const refusals = accounts.get(name);
        if (refusals) {
            refusals.refusedAt = now;
            refusals.count++;
            return;
        }
        accounts.set(name, { refusedAt: now, count: 1 });
        if (kind === "over-quota") {
            this.#options.events.emit("quota-exceeded", { account: name, ratePerSecond });
        } else {
            this.#options.events.emit("quota-unavailable", { account: name });
        }
    }

    #forget(
        accounts: Map<string, Refusals>,
        now: number,
        log: (account: string, refused: number) => void,
    ): void {
        for (const [account, { refusedAt, count }] of accounts) {
            if (now - refusedAt >= quietMs) {
                accounts.delete(account);
                log(account, count);
            }
        }
    }
}

/** The reserve is half of the slack; the rest is for requests that arrive late at their servers. */
const reserveOf = ({ windowMs, overRatio, slack }: QuotaLimits): ReserveLimits => ({
    windowMs,
    tokens: slack / 2,
    overRatio,
});

/**
 * A token may wait in the lease, and then as long with its request. What arrives in a window was therefore granted in the window or
 * shortly before, in a time that the permitted excess covers.
 */
const leaseMsOf = ({ windowMs, overRatio }: QuotaLimits): number =>
    Math.max(minLeaseMs, Math.min(maxLeaseMs, (windowMs * overRatio) / 2));

/** Time in which the entry VMs that start with this one become ready and know each other. */
const startMs = 4_000;
/** Longest wait for holders that are starting; less than the target latencies of most requests. */
const maxStartWaitMs = 600;
const startRetryMs = 50;
/** Several round trips between failure domains. */
const minLeaseMs = 20;
const maxLeaseMs = 250;
/** Bounds the log volume to two lines per account in this time. */
const quietMs = 10_000;
