/** Keeps requests under which servers end from further servers, at all entry VMs together. */

import { hashRank } from "@bramleymoor/placement/placement";
import { EndingDetector } from "./endings.js";
import { accountOf } from "./fingerprint.js";
import { maxReportsPerMessage, type CrashMessage } from "./messages.js";
import { CrashRecord } from "./record.js";

/** Whether a request may be sent to a server. */
export type Admission =
    | { readonly kind: "free" }
    /** It is quarantined, and this entry VM may send it once, if it still holds the trial after `waitMs`. */
    | { readonly kind: "trial"; readonly waitMs: number }
    | { readonly kind: "quarantined"; readonly retryAfterMs: number };

/** How a send ended. */
export type SendEnd =
    /** The server's whole response has arrived. */
    | "answered"
    /** The server refused the request. */
    | "refused"
    /** The connection broke. */
    | "lost"
    /** This entry VM ended the send before the response. */
    | "abandoned"
    /** No connection could be opened, or another server has the address; the request wasn't sent. */
    | "unreachable";

/** A send that has ended. */
export interface EndedSend {
    /** Fingerprint of the request. */
    readonly key: string;
    /** Incarnation key of the server. */
    readonly server: string;
    readonly sentAt: number;
    readonly end: SendEnd;
}

/** A change of what is known of a request. */
export interface QuarantineChange {
    readonly key: string;
    /** "suspect" if it is now quarantined unless other requests explain the endings. */
    readonly kind: "ending" | "suspect" | "cleared";
    /** Number of servers that have ended under it. */
    readonly endings: number;
}

/** What one entry VM knows of all requests under which servers have ended. */
export class Quarantine {
    readonly #self: string;
    readonly #detector = new EndingDetector();
    /** By fingerprint. */
    readonly #records = new Map<string, CrashRecord>();
    /** When what is new about a request is to be sent, by fingerprint. */
    readonly #dueAt = new Map<string, number>();
    /** When peers were last told of a request, or told of it, by fingerprint. */
    readonly #sharedAt = new Map<string, number>();
    #changes: QuarantineChange[] = [];

    /** @param self stable name of this entry VM */
    constructor(self: string) {
        this.#self = self;
    }

    /** Number of quarantined requests. */
    get quarantined(): number {
        return [...this.#records.keys()].filter(it => this.isQuarantined(it)).length;
    }

    /** Number of requests of which anything is kept. */
    get size(): number {
        return this.#records.size;
    }

    /** Whether a request is quarantined: servers end under it, and not under others that would explain their ends. */
    isQuarantined(key: string): boolean {
        const record = this.#records.get(key);
        if (!record?.isSuspect) {
            return false;
        }
        const rivals = [...this.#records.values()].filter(
            it =>
                it !== record &&
                it.endings >= record.endings &&
                it.countShared(record) > record.endings * sharedByRivals,
        );
        return rivals.length < rivalsToExcuse && rivals.every(it => it.endings === record.endings);
    }

    /** Whether servers have ended under a request, so that the next loss should be understood before it is sent again. */
    isSuspect(key: string): boolean {
        return (this.#records.get(key)?.endings ?? 0) > 0;
    }

    /** Whether a server may have ended that gave no response to a request sent at `sentAt`, so that it should be probed. */
    isUnclear(server: string, sentAt: number): boolean {
        return this.#detector.isUnclear(server, sentAt);
    }

    /**
     * Returns whether a request may be sent now, and claims the trial if one is due.
     *
     * @param hasPeers whether other entry VMs may claim the same trial
     */
    admit(key: string, hasPeers: boolean, now: number): Admission {
        const record = this.#records.get(key);
        if (!record || !this.isQuarantined(key)) {
            return { kind: "free" };
        }
        if (now < record.nextTrialAt) {
            const retryAfterMs = Math.max(minRetryMs, record.nextTrialAt - now);
            return { kind: "quarantined", retryAfterMs };
        }
        record.claimTrial(this.#self, now);
        this.#dueAt.set(key, now);
        return { kind: "trial", waitMs: hasPeers ? claimMs : 0 };
    }

    /** Whether this entry VM holds the trial that it has claimed. */
    holdsTrial(key: string): boolean {
        return this.#records.get(key)?.holdsTrial(this.#self) ?? false;
    }

    /** Ends a trial that this entry VM holds, whatever became of it. */
    endTrial(key: string): void {
        this.#records.get(key)?.endTrial(this.#self);
    }

    /** Records how a send ended. */
    recordEnd({ key, server, sentAt, end }: EndedSend, now: number): void {
        switch (end) {
            case "answered":
                this.#detector.recordAlive(server, sentAt);
                this.#recordAnswer(key, now);
                break;
            case "refused":
                this.#detector.recordAlive(server, sentAt);
                break;
            case "lost":
            case "abandoned":
                this.#detector.recordUnanswered({ key, server, at: now });
                break;
            case "unreachable":
                this.#detector.recordUnreachable(server, sentAt);
                break;
        }
        this.#takeEndings(now);
    }

    /** Records whether a server has responded to a probe sent at `sentAt`. */
    recordProbe(server: string, isAlive: boolean, sentAt: number, now: number): void {
        if (isAlive) {
            this.#detector.recordAlive(server, sentAt);
        } else {
            this.#detector.recordUnreachable(server, sentAt);
        }
        this.#takeEndings(now);
    }

    /** Forgets the sends of which it isn't known yet whether their server has ended, as this entry VM can't tell. */
    forgetUnclear(): void {
        this.#detector.clear();
    }

    /**
     * Processes a peer's message.
     *
     * @param unreadMs how long the message may have waited unread, in milliseconds
     */
    receive({ from, reports }: CrashMessage, unreadMs: number, now: number): void {
        const writtenAt = now - unreadMs;
        for (const { key, endings, answeredAgoMs, trialAgoMs, failedTrials = 0 } of reports) {
            const known = this.#records.get(key);
            const record = known ?? new CrashRecord();
            this.#update(key, record, () => {
                if (answeredAgoMs !== undefined) {
                    record.recordAnswer(writtenAt - answeredAgoMs);
                }
                endings.forEach(it => record.addEnding(it.server, writtenAt - it.agoMs));
            });
            if (trialAgoMs !== undefined) {
                record.claimTrial(from, writtenAt - trialAgoMs);
            }
            if (record.endings > 0) {
                record.recordFailedTrials(failedTrials);
            }
            if (record.endings > 0 && !known) {
                this.#add(key, record);
            }
            if (this.#records.has(key)) {
                this.#sharedAt.set(key, now);
            }
        }
    }

    /** Returns what has changed since the last call. */
    takeChanges(): readonly QuarantineChange[] {
        const changes = this.#changes;
        this.#changes = [];
        return changes;
    }

    /**
     * Forgets what is over, and returns the messages to send to all peers, if any are due. To be called often.
     *
     * @param members names of all entry VMs that aren't dead; one of them, by a hash, repeats what is known of a quarantined
     *     request, for those that missed a message or have just started
     */
    tick(members: readonly string[], now: number): readonly CrashMessage[] {
        this.#takeEndings(now);
        for (const [key, record] of this.#records) {
            if (now - record.changedAt > (record.endings > 0 ? keepMs : keepAnsweredMs)) {
                this.#remove(key);
            } else if (this.#isRepeatDue(key, members, now) && this.isQuarantined(key)) {
                this.#dueAt.set(key, now);
            }
        }
        const due = [...this.#dueAt].filter(([, at]) => at <= now).map(([key]) => key);
        const reports = due.flatMap(key => {
            this.#dueAt.delete(key);
            this.#sharedAt.set(key, now);
            return this.#records.get(key)?.report(key, this.#self, now) ?? [];
        });
        return Array.from({ length: Math.ceil(reports.length / maxReportsPerMessage) }, (_, i) => ({
            from: this.#self,
            reports: reports.slice(i * maxReportsPerMessage, (i + 1) * maxReportsPerMessage),
        }));
    }

    /** Whether no other entry VM has repeated what is known of a request, and those that come first have had the time to. */
    #isRepeatDue(key: string, members: readonly string[], now: number): boolean {
        const sinceMs = now - (this.#sharedAt.get(key) ?? -Infinity);
        if (sinceMs < repeatMs) {
            return false;
        }
        const own = hashRank(key, this.#self);
        const before = members.filter(it => hashRank(key, it) > own).length;
        return sinceMs >= repeatMs * (1 + before);
    }

    #takeEndings(now: number): void {
        if (this.#detector.size === 0) {
            return;
        }
        for (const { key, server, at } of this.#detector.takeEndings(now)) {
            const known = this.#records.get(key);
            const record = known ?? new CrashRecord();
            this.#update(key, record, () => record.addEnding(server, at));
            if (!known) {
                this.#add(key, record);
            }
            const delayMs = record.endings > 1 ? 0 : firstReportDelayMs;
            this.#dueAt.set(key, Math.min(now + delayMs, this.#dueAt.get(key) ?? Infinity));
        }
    }

    #recordAnswer(key: string, now: number): void {
        const record = this.#records.get(key);
        if (!record) {
            return;
        }
        this.#update(key, record, () => {
            if (record.recordAnswer(now)) {
                this.#dueAt.set(key, now);
            }
        });
        if (!this.#sharedAt.has(key)) {
            this.#remove(key);
        }
    }

    /** Applies a change of a record, and notes what it means. */
    #update(key: string, record: CrashRecord, change: () => void): void {
        const before = { endings: record.endings, isSuspect: record.isSuspect };
        change();
        const { endings, isSuspect } = record;
        if (isSuspect && !before.isSuspect) {
            this.#changes.push({ key, kind: "suspect", endings });
        } else if (endings > before.endings) {
            this.#changes.push({ key, kind: "ending", endings });
        } else if (before.isSuspect && !isSuspect) {
            this.#changes.push({ key, kind: "cleared", endings });
        }
        this.#changes.splice(0, this.#changes.length - maxChanges);
    }

    /** Adds a record; if there are too many, the account with most of them loses one: the oldest that isn't quarantined. */
    #add(key: string, record: CrashRecord): void {
        this.#records.set(key, record);
        if (this.#records.size <= maxRecords) {
            return;
        }
        const byAccount = new Map<string, string[]>();
        for (const it of this.#records.keys()) {
            const keys = byAccount.get(accountOf(it)) ?? [];
            keys.push(it);
            byAccount.set(accountOf(it), keys);
        }
        const [largest = []] = [...byAccount.values()].sort((a, b) => b.length - a.length);
        const [first] = largest.sort((a, b) => this.#keepingValue(a) - this.#keepingValue(b));
        if (first !== undefined) {
            this.#remove(first);
        }
    }

    /** Orders requests by how much would be lost if they were forgotten. */
    #keepingValue(key: string): number {
        const record = this.#records.get(key);
        return (record?.isSuspect ? keepMs : 0) + (record?.changedAt ?? -Infinity);
    }

    #remove(key: string): void {
        this.#records.delete(key);
        this.#dueAt.delete(key);
        this.#sharedAt.delete(key);
    }
}

/** Share of a request's endings above which another request that was in flight at them may explain them as well. */
const sharedByRivals = 0.5;
/** Number of requests under which the same servers end from which on none of them is to blame. */
const rivalsToExcuse = 3;
/** Time from a claim to the trial, in which the claims of others arrive: several round trips between failure domains. */
const claimMs = 60;
/** Shortest time after which a caller may return with a quarantined request: about the duration of a trial. */
const minRetryMs = 500;
/** Most requests that were in flight when a server ended are answered by another one within this time. */
const firstReportDelayMs = 250;
/** Interval at which peers are told again of a quarantined request. */
const repeatMs = 1_000;
/** Time after the last ending after which a request is forgotten: longer than any wait for a trial. */
const keepMs = 600_000;
/** Time for which it is kept that a request was answered: longer than reports of earlier endings may be on their way. */
const keepAnsweredMs = 10_000;
/** Bounds the memory, to a few megabytes. */
const maxRecords = 1_000;
/** Changes that are kept until they are taken. */
const maxChanges = 1_000;
