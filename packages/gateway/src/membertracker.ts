/** Tracks which entry VMs are alive, logs changes, and derives which of them reads the store. */

import type { EntryVm } from "@bramleymoor/model/vm";
import type { EventLog } from "@bramleymoor/observe/event-log";
import { orderForCaller } from "@bramleymoor/placement/placement";

/** One entry VM's view of the members. */
export class MemberTracker {
    readonly #self: string;
    readonly #hasSeeds: boolean;
    readonly #events: Pick<EventLog, "emit">;
    #members: readonly EntryVm[] = [];
    #maxMembers = 0;

    /**
     * @param self id of this entry VM
     * @param hasSeeds whether there are other entry VMs to join
     */
    constructor(self: string, hasSeeds: boolean, events: Pick<EventLog, "emit">) {
        this.#self = self;
        this.#hasSeeds = hasSeeds;
        this.#events = events;
    }

    /** All members that are not dead, including this one. */
    get members(): readonly EntryVm[] {
        return this.#members;
    }

    /**
     * The number of entry VMs among which a cluster-wide budget is divided: the largest number of members seen so far,
     * so that a network partition doesn't enlarge anyone's share. Infinity while this entry VM has seeds but hasn't met
     * another member.
     */
    get budgetDivisor(): number {
        return this.#hasSeeds && this.#maxMembers < 2 ? Infinity : this.#maxMembers;
    }

    /**
     * Time from now until this entry VM may be expected to know all members, in milliseconds; Infinity while it has other seeds
     * but hasn't met another member.
     *
     * @param isOwnSeed whether it is its only seed, so that the others have to find it
     */
    settleMs(isOwnSeed: boolean): number {
        if (!this.#hasSeeds) {
            return 0;
        }
        const isAlone = this.#maxMembers < 2;
        return isAlone ? (isOwnSeed ? seedSettleMs : Infinity) : settleMs;
    }

    /**
     * The part of the largest number of members seen so far that is running as far as this entry VM knows, at least one member and
     * at most 1. On the smaller side of a network partition it is small.
     */
    get runningShare(): number {
        const running = this.#members.filter(vm => vm.state !== "suspect" && vm.state !== "dead").length;
        return this.#maxMembers === 0 ? 1 : Math.max(1, running) / this.#maxMembers;
    }

    /** All members that are not dead, without this one. */
    get others(): readonly EntryVm[] {
        return this.#members.filter(vm => vm.id !== this.#self && vm.state !== "dead");
    }

    /**
     * This entry VM's rank among the readers of the store: 0 for the primary reader; entry VMs that are leaving come
     * last. While this one has seeds but hasn't met another member, its rank is 1: otherwise, when all entry VMs start
     * at once, every one of them would be the primary reader.
     */
    get readerRank(): number {
        if (this.#hasSeeds && this.others.length === 0) {
            return 1;
        }
        const alive = this.#members.filter(vm => vm.state === "alive");
        const rank = orderForCaller(readerRankKey, alive).findIndex(vm => vm.id === this.#self);
        return rank === -1 ? alive.length : rank;
    }

    /** Applies a newer list of members and logs the changes. */
    update(members: readonly EntryVm[]): void {
        const before = new Map(this.#members.map(vm => [vm.id, vm]));
        for (const vm of members) {
            const known = before.get(vm.id);
            before.delete(vm.id);
            if (!known) {
                const { id, incarnation, place } = vm;
                this.#events.emit("member-joined", { id, incarnation, ...place });
            } else if (known.state !== vm.state) {
                this.#logState(vm);
            }
        }
        for (const { id, incarnation } of before.values()) {
            this.#events.emit("member-dead", { id, incarnation });
        }
        this.#members = members;
        this.#maxMembers = Math.max(this.#maxMembers, members.length);
    }

    #logState({ id, incarnation, state }: EntryVm): void {
        if (state === "suspect") {
            this.#events.emit("member-suspect", { id, incarnation, reason: "no answer to pings" });
        } else if (state === "leaving") {
            this.#events.emit("member-left", { id, incarnation });
        } else {
            this.#events.emit("member-back", { id, incarnation });
        }
    }
}

/** A member that has just started gets the list of all others within a gossip period of 300 ms of its first contact. */
const settleMs = 400;
/** Other members ping a lost address every 1.5 s. */
const seedSettleMs = 3_000;
const readerRankKey = "readers of the store";
