/** Entry VMs in virtual time that send to one server and exchange messages over a lossy network. */

import type { LimitMessage } from "../src/messages.js";
import { RequestLimits } from "../src/limits.js";
import { incarnationKey } from "@bramleymoor/model/route";
import { serverEntry } from "@bramleymoor/testkit/builders";

/** Length of the windows in which requests are counted, in milliseconds. */
export const windowMs = 4_000;
/** Time after the first naming from which the limit has to be kept, in milliseconds. */
export const contactMs = 3_000;

const stepMs = 10;
const tickMs = 50;
const networkMs = 2;
const responseMs = 100;
const server = serverEntry("s1");
const key = incarnationKey(server);

interface Vm {
    readonly id: string;
    readonly limits: RequestLimits;
    pausedUntil: number;
    /** No messages from or to other entry VMs arrive before this. */
    cutUntil: number;
    hasDemand: boolean;
}

interface Delivery {
    readonly at: number;
    readonly run: () => void;
}

/** Arrival of a request at the server. */
export interface Arrival {
    readonly at: number;
    readonly vm: string;
}

/** The simulated fleet. Each entry VM sends whenever its share allows. */
export class Fleet {
    readonly arrivals: Arrival[] = [];
    /** The limit that the server names; undefined for none. */
    perSecond: number | undefined = undefined;
    now = 0;
    readonly #vms = new Map<string, Vm>();
    readonly #random: () => number;
    readonly #lossShare: number;
    #deliveries: Delivery[] = [];

    /** @param lossShare share of the messages between entry VMs that are lost */
    constructor(size: number, lossShare: number, random: () => number) {
        this.#random = random;
        this.#lossShare = lossShare;
        for (let i = 0; i < size; i++) {
            this.start(`vm-${i}`);
        }
    }

    get ids(): readonly string[] {
        return [...this.#vms.keys()];
    }

    start(id: string): void {
        const limits = new RequestLimits(id, this.now);
        this.#vms.set(id, { id, limits, pausedUntil: 0, cutUntil: 0, hasDemand: true });
    }

    kill(id: string): void {
        this.#vms.delete(id);
    }

    stop(id: string): void {
        const vm = this.#vm(id);
        this.#broadcast(vm, vm.limits.release(this.now));
    }

    pause(id: string, ms: number): void {
        this.#vm(id).pausedUntil = this.now + ms;
    }

    cut(id: string, ms: number): void {
        this.#vm(id).cutUntil = this.now + ms;
    }

    setDemand(id: string, hasDemand: boolean): void {
        this.#vm(id).hasDemand = hasDemand;
    }

    limits(id: string): RequestLimits {
        return this.#vm(id).limits;
    }

    /** Requests per second that an entry VM may send now. */
    share(id: string): number {
        return this.limits(id).shareOf(key, this.now);
    }

    run(ms: number): void {
        for (const end = this.now + ms; this.now < end; this.now += stepMs) {
            const due = this.#deliveries.filter(it => it.at <= this.now);
            this.#deliveries = this.#deliveries.filter(it => it.at > this.now);
            due.forEach(it => it.run());
            this.#vms.forEach(it => this.#step(it));
        }
    }

    /** Largest number of arrivals in a window that begins at or after `from`. */
    mostInWindow(from: number): number {
        const times = this.arrivals.map(it => it.at);
        return Math.max(
            0,
            ...times
                .filter(it => it >= from)
                .map(start => times.filter(it => it >= start && it < start + windowMs).length),
        );
    }

    countSince(from: number): number {
        return this.arrivals.filter(it => it.at >= from).length;
    }

    #vm(id: string): Vm {
        const vm = this.#vms.get(id);
        if (!vm) {
            throw new Error(`there is no entry VM ${id}`);
        }
        return vm;
    }

    #step(vm: Vm): void {
        if (this.now < vm.pausedUntil) {
            return;
        }
        if (this.now % tickMs === 0) {
            this.#broadcast(vm, vm.limits.tick(true, this.now));
        }
        if (vm.hasDemand) {
            vm.limits.recordDemand(key, this.now);
            const isUnlimited = vm.limits.limitOf(key) === Infinity;
            if (
                isUnlimited
                    ? this.#random() < unlimitedSendShare
                    : vm.limits.nextSendAt(key, this.now) <= this.now
            ) {
                this.#send(vm);
            }
        }
    }

    #send(vm: Vm): void {
        vm.limits.recordSend(key, this.now);
        this.arrivals.push({ at: this.now, vm: vm.id });
        this.#deliver(vm.id, responseMs, it =>
            it.limits.record(server, this.perSecond ?? Infinity, this.now),
        );
    }

    #broadcast(from: Vm, messages: readonly LimitMessage[]): void {
        if (this.now >= from.cutUntil) {
            messages.forEach(it => this.#broadcastOne(from, it));
        }
    }

    #broadcastOne(from: Vm, message: LimitMessage): void {
        for (const vm of this.#vms.values()) {
            if (vm !== from && this.now >= vm.cutUntil && this.#random() >= this.#lossShare) {
                this.#deliver(vm.id, networkMs, it => it.limits.receive(message, 0, this.now));
            }
        }
    }

    /** Runs an action at an entry VM after a delay, once it isn't paused; never if it has been killed. */
    #deliver(id: string, delayMs: number, run: (vm: Vm) => void): void {
        const at = this.now + delayMs;
        this.#deliveries.push({
            at,
            run: () => {
                const vm = this.#vms.get(id);
                if (vm && this.now < vm.pausedUntil) {
                    this.#deliver(id, vm.pausedUntil - this.now, run);
                } else if (vm) {
                    run(vm);
                }
            },
        });
    }
}

/** Share of the steps in which an entry VM sends while it knows of no limit: ten requests a second. */
const unlimitedSendShare = 0.1;
