/** Follows who is alive, tells changes, and derives who reads the store. */

import type { EntryVm } from "@bramleymoor/model/vm";
import type { EventLog } from "@bramleymoor/observe/event-log";
import { orderForCaller } from "@bramleymoor/placement/placement";

/** The members as one entry VM believes in them. */
export class MemberTracker {
    readonly #self: string;
    readonly #hasSeeds: boolean;
    readonly #events: EventLog;
    #members: readonly EntryVm[] = [];
    #mostMembers = 0;

    /**
     * @param self id of this entry VM
     * @param hasSeeds whether there should be others
     */
    constructor(self: string, hasSeeds: boolean, events: EventLog) {
        this.#self = self;
        this.#hasSeeds = hasSeeds;
        this.#events = events;
    }

    /** Every member that is not dead, this one included. */
    get members(): readonly EntryVm[] {
        return this.#members;
    }

    /**
     * Among how many entry VMs what all may do together is divided: the most that this one ever saw, so that a
     * partition doesn't double anyone's part; without end before it has met any, though there are others.
     */
    get budgetDivisor(): number {
        return this.#hasSeeds && this.#mostMembers < 2 ? Infinity : this.#mostMembers;
    }

    /** The members without this entry VM. */
    get others(): readonly EntryVm[] {
        return this.#members.filter(vm => vm.id !== this.#self && vm.state !== "dead");
    }

    /**
     * This entry VM's place among those that read the store, 0 for the first; those that leave come last. One that
     * knows nobody yet though there are others is no first reader: at a start of all, everyone would be.
     */
    get readerRank(): number {
        if (this.#hasSeeds && this.others.length === 0) {
            return 1;
        }
        const alive = this.#members.filter(vm => vm.state === "alive");
        const rank = orderForCaller(readersKey, alive).findIndex(vm => vm.id === this.#self);
        return rank === -1 ? alive.length : rank;
    }

    /** Takes a newer list. */
    update(list: readonly EntryVm[]): void {
        const before = new Map(this.#members.map(vm => [vm.id, vm]));
        for (const vm of list) {
            const known = before.get(vm.id);
            before.delete(vm.id);
            if (!known) {
                const { id, incarnation, place } = vm;
                this.#events.emit("member-joined", { id, incarnation, ...place });
            } else if (known.state !== vm.state) {
                this.#tellState(vm);
            }
        }
        for (const { id, incarnation } of before.values()) {
            this.#events.emit("member-dead", { id, incarnation });
        }
        this.#members = list;
        this.#mostMembers = Math.max(this.#mostMembers, list.length);
    }

    #tellState({ id, incarnation, state }: EntryVm): void {
        if (state === "suspect") {
            this.#events.emit("member-suspect", { id, incarnation, reason: "no answer to pings" });
        } else if (state === "leaving") {
            this.#events.emit("member-left", { id, incarnation });
        } else {
            this.#events.emit("member-back", { id, incarnation });
        }
    }
}

const readersKey = "readers of the store";
