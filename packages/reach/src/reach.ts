/** Whether an entry VM has lost its links to the servers, judged with its peers, and which of them can help it. */

import { LinkMonitor, suspectedAt, type ReachFailure, type UnreachedServer } from "./links.js";
import { maxServersPerQuestion, type ReachMessage } from "./messages.js";

/** What a `Reach` learns from its owner. */
export interface ReachOptions {
    /** Stable name of this entry VM. */
    readonly self: string;
    /** Returns a random number of at least 0 and below 1. */
    readonly random: () => number;
}

/** What is to be done after `tick`. */
export interface ReachActions {
    /** To be sent to all other entry VMs. */
    readonly broadcasts: readonly ReachMessage[];
    /** To be sent to some of them. */
    readonly questions: readonly { readonly to: readonly string[]; readonly message: ReachMessage }[];
    /** Incarnation keys of servers to probe on new connections, to learn whether the links work. */
    readonly probes: readonly string[];
}

/** The reach of one entry VM, and what it knows of that of others. */
export class Reach {
    readonly #options: ReachOptions;
    readonly #links = new LinkMonitor();
    /** Whether this entry VM has lost its links to the servers, while peers have not. */
    #isCutOff = false;
    #askedAt = -Infinity;
    #announcedAt = -Infinity;
    #probedAt = -Infinity;
    /** Announcements still to be made that the links are back, as one may be lost. */
    #recoveryAnnouncements = 0;
    /** Probes on new connections that were answered in a row. */
    #successes = 0;
    /** Servers that this entry VM doesn't reach, while peers do. */
    readonly #reachedByPeers = new Map<string, ReachedByPeers>();
    /** Until when peers count as able to help, by name. */
    readonly #helpers = new Map<string, number>();
    /** Until when peers count as cut off, by name. */
    readonly #cutOffPeers = new Map<string, number>();

    constructor(options: ReachOptions) {
        this.#options = options;
    }

    /** Whether this entry VM can't reach the servers, while others can. */
    get isCutOff(): boolean {
        return this.#isCutOff;
    }

    /** Whether nothing is to be done or found out, so that `tick` needn't be called. */
    get isIdle(): boolean {
        return (
            this.#links.isClear &&
            !this.#isCutOff &&
            this.#recoveryAnnouncements === 0 &&
            this.#cutOffPeers.size === 0
        );
    }

    /** Whether an entry VM can't reach the servers, this one included. */
    isCutOffVm(vm: string, now: number): boolean {
        return vm === this.#options.self ? this.#isCutOff : (this.#cutOffPeers.get(vm) ?? -Infinity) > now;
    }

    /** Returns the names of the peers that reach servers and have room for others' requests. */
    helpers(now: number): readonly string[] {
        return [...this.#helpers]
            .filter(([vm, until]) => until > now && !this.isCutOffVm(vm, now))
            .map(([vm]) => vm);
    }

    /** Records that a connection to a server was opened. */
    recordConnected(): void {
        this.#links.recordConnected();
    }

    /** Records a response of a server. */
    recordResponse(key: string, now: number): void {
        this.#links.recordResponse(key, now);
    }

    /** Records that a server couldn't be reached by something sent at `sentAt`. */
    recordFailure(key: string, failure: ReachFailure, sentAt: number, now: number): void {
        this.#links.recordFailure(key, failure, sentAt, now);
    }

    /** Forgets what is known of servers that are no longer sent to, so that they say nothing of the links. */
    forgetServers(keys: ReadonlySet<string>): void {
        this.#links.forgetServers(keys);
        keys.forEach(it => this.#reachedByPeers.delete(it));
    }

    /** Records the result of a probe that `tick` has asked for, which was sent on a new connection. */
    recordLinkProbe(key: string, isAnswered: boolean, sentAt: number, now: number): void {
        if (isAnswered) {
            this.#links.recordConnected();
            this.#links.recordResponse(key, now);
            this.#successes++;
        } else {
            this.#links.recordFailure(key, "no-connection", sentAt, now);
            this.#links.recordFailure(key, "silent", sentAt, now);
            this.#successes = 0;
        }
    }

    /**
     * Processes a peer's message; returns the message to send back, if it asks for one, and the servers that it asks for of
     * which nothing is known here.
     *
     * @param hasRoom whether this entry VM has room for requests of others
     * @param unreadMs how long the message may have waited unread, in milliseconds
     */
    receive(
        message: ReachMessage,
        hasRoom: boolean,
        unreadMs: number,
        now: number,
    ): { readonly answer: ReachMessage | undefined; readonly unknown: readonly string[] } {
        const { from } = message;
        switch (message.type) {
            case "state":
                if (message.cutOff) {
                    this.#cutOffPeers.set(from, now + stateTtlMs);
                } else {
                    this.#cutOffPeers.delete(from);
                }
                return nothingToDo;
            case "answer":
                this.#receiveAnswer(message, unreadMs, now);
                return nothingToDo;
            case "question": {
                const { self } = this.#options;
                const asked = message.servers.map(({ key, sinceMs }) => {
                    const agoMs = this.#isCutOff ? Infinity : now - this.#links.reachedAt(key);
                    return { key, agoMs, isReached: agoMs < sinceMs };
                });
                const reached = asked
                    .filter(it => it.isReached)
                    .map(({ key, agoMs }) => ({ key, agoMs: Math.max(0, agoMs) }));
                const unknown = asked.filter(it => !it.isReached).map(it => it.key);
                return { answer: { type: "answer", from: self, reached, hasRoom }, unknown };
            }
        }
    }

    /**
     * Judges what is known, and returns what is to be done. To be called often.
     *
     * @param servers incarnation keys of the servers that this entry VM may send to
     * @param peers names of the other entry VMs that are alive
     */
    tick(servers: readonly string[], peers: readonly string[], now: number): ReachActions {
        this.#forget(now);
        const suspects = this.#links.suspects(servers.length, now);
        this.#judge(suspects, peers, now);
        const hasProbed = now - suspectedAt(suspects) >= ownProbeMs;
        const isAsking = peers.length > 0 && (this.#isCutOff || hasProbed);
        const isProbing = this.#isCutOff || suspects.length > 0 || this.#links.isUnclear(now);
        return {
            broadcasts: this.#dueAnnouncements(now),
            questions: isAsking ? this.#dueQuestions(suspects, servers, peers, now) : [],
            probes: isProbing ? this.#dueProbes(suspects, servers, now) : [],
        };
    }

    #receiveAnswer(answer: Extract<ReachMessage, { type: "answer" }>, unreadMs: number, now: number): void {
        for (const { key, agoMs } of answer.reached) {
            const known = this.#reachedByPeers.get(key);
            const isFirst = known === undefined || known.firstAt <= this.#links.failedAt(key) + onTheWayMs;
            this.#reachedByPeers.set(key, {
                firstAt: isFirst ? now - unreadMs - agoMs : known.firstAt,
                until: now + answerTtlMs,
            });
        }
        if (answer.reached.length > 0 && answer.hasRoom) {
            this.#helpers.set(answer.from, now + answerTtlMs);
        } else {
            this.#helpers.delete(answer.from);
        }
    }

    #judge(suspects: readonly UnreachedServer[], peers: readonly string[], now: number): void {
        if (this.#isCutOff) {
            const canBeHelped = this.#reachedByPeers.size > 0 && !peers.every(it => this.isCutOffVm(it, now));
            if (this.#successes >= successesToRecover || !canBeHelped) {
                this.#isCutOff = false;
                this.#links.clear();
                this.#helpers.clear();
                this.#recoveryAnnouncements = recoveryAnnouncements;
                this.#announcedAt = -Infinity;
            }
            return;
        }
        const proofs = suspects.filter(it => this.#isProof(it)).length;
        if (suspects.length > 0 && proofs >= Math.min(proofsDue, suspects.length)) {
            this.#isCutOff = true;
            this.#successes = 0;
            this.#announcedAt = -Infinity;
        }
    }

    /**
     * Whether a server responded to a peer between two attempts of this entry VM that failed: it was down neither at the
     * first, as it would be after a failure of all servers, nor is it back since the last.
     */
    #isProof({ key, failedAt, lastSentAt }: UnreachedServer): boolean {
        const reachedAt = this.#reachedByPeers.get(key)?.firstAt ?? -Infinity;
        return reachedAt > failedAt + onTheWayMs && lastSentAt > reachedAt;
    }

    #dueAnnouncements(now: number): readonly ReachMessage[] {
        const isDue = this.#isCutOff || this.#recoveryAnnouncements > 0;
        if (!isDue || now - this.#announcedAt < announceMs) {
            return [];
        }
        this.#announcedAt = now;
        this.#recoveryAnnouncements = this.#isCutOff ? 0 : this.#recoveryAnnouncements - 1;
        return [{ type: "state", from: this.#options.self, cutOff: this.#isCutOff }];
    }

    #dueQuestions(
        suspects: readonly UnreachedServer[],
        servers: readonly string[],
        peers: readonly string[],
        now: number,
    ): ReachActions["questions"] {
        if (now - this.#askedAt < (this.#isCutOff ? repeatQuestionMs : firstQuestionsMs)) {
            return [];
        }
        this.#askedAt = now;
        const sinceOf = new Map(suspects.map(it => [it.key, it.failedAt + onTheWayMs]));
        const asked = suspects.length > 0 ? [...sinceOf.keys()] : this.#sample(servers, serversToAsk);
        const message: ReachMessage = {
            type: "question",
            from: this.#options.self,
            servers: asked.slice(-maxServersPerQuestion).map(key => ({
                key,
                sinceMs: Math.min(maxSinceMs, Math.max(0, Math.round(now - (sinceOf.get(key) ?? -Infinity)))),
            })),
        };
        const askable = peers.filter(it => !this.isCutOffVm(it, now));
        return [{ to: this.#sample(askable, peersToAsk), message }];
    }

    /** Returns the servers to probe: those of which a peer has said that it reaches them, or others at random. */
    #dueProbes(
        suspects: readonly UnreachedServer[],
        servers: readonly string[],
        now: number,
    ): readonly string[] {
        if (now - this.#probedAt < (this.#isCutOff ? probeMs : firstProbesMs)) {
            return [];
        }
        this.#probedAt = now;
        const unproven = suspects
            .filter(it => it.lastSentAt <= (this.#reachedByPeers.get(it.key)?.firstAt ?? -Infinity))
            .map(it => it.key);
        return this.#sample(unproven.length > 0 ? unproven : servers, probesAtOnce);
    }

    /** Returns up to `count` of the items, at random. */
    #sample(items: readonly string[], count: number): readonly string[] {
        const rest = [...items];
        return Array.from({ length: Math.min(count, rest.length) }, () => {
            const i = Math.floor(this.#options.random() * rest.length);
            return rest.splice(i, 1)[0] ?? "";
        });
    }

    #forget(now: number): void {
        for (const [key, { until }] of this.#reachedByPeers) {
            if (until <= now) {
                this.#reachedByPeers.delete(key);
            }
        }
        for (const map of [this.#helpers, this.#cutOffPeers]) {
            for (const [key, until] of map) {
                if (until <= now) {
                    map.delete(key);
                }
            }
        }
    }
}

/** A server that peers reach. */
interface ReachedByPeers {
    /** When it first responded to one after this entry VM had failed to reach it. */
    readonly firstAt: number;
    /** When what peers have said counts no more. */
    readonly until: number;
}

const nothingToDo = { answer: undefined, unknown: [] } as const;

/** Servers that peers have to reach for this entry VM to be cut off rather than these to be down. */
const proofsDue = 2;
/** Answered probes in a row after which the links are back. */
const successesToRecover = 2;
/** Time in which a probe of another server shows that the links work, and peers needn't be asked. */
const ownProbeMs = 100;
/** Interval of questions while it isn't known whether this entry VM is cut off. */
const firstQuestionsMs = 100;
/** Interval of questions while it is cut off, which also find helpers. */
const repeatQuestionMs = 1_000;
/** What a peer has reached longer ago says nothing of the present. */
const maxSinceMs = 2_000;
/** Time in which a response that was sent before a failure may still arrive. */
const onTheWayMs = 50;
/** Servers to ask for while cut off, if none has been probed lately. */
const serversToAsk = 3;
/** Bounds the questions in a large fleet; as many have room for the requests of one entry VM. */
const peersToAsk = 16;
/** Time for which an answer counts; several are due in it. */
const answerTtlMs = 3_500;
const announceMs = 1_000;
/** Time for which an announcement counts, should the next ones be lost. */
const stateTtlMs = 3_500;
const recoveryAnnouncements = 3;
/** Interval of probes while it isn't known whether this entry VM is cut off. */
const firstProbesMs = 100;
/** Interval of probes while it is. */
const probeMs = 250;
const probesAtOnce = 2;
