/** Entry VMs in virtual time that send to servers which leave, restart and turn requests away, and that lose messages. */

import type { ServerStatement } from "@bramleymoor/balance/statement";
import { incarnationKey, type ServerEntry } from "@bramleymoor/model/route";
import { serverEntry } from "@bramleymoor/testkit/builders";
import { ServerAvailability } from "../src/availability.js";
import type { LimitMessage } from "../src/messages.js";

/** Time after a response that turns a request away in which requests on their way may still arrive. */
export const onTheWayMs = 500;

const stepMs = 10;
const tickMs = 50;
const maxNetworkMs = 300;
const responseMs = 100;
const slowResponseShare = 0.1;
const maxResponseMs = 4_000;
const timeoutMs = 1_000;
const sendShare = 0.2;
const lostResponseShare = 0.05;

/** A backend server; each restart is a new incarnation. */
export interface SimulatedServer {
    entry: ServerEntry;
    leaving: boolean;
    /** Time for which it turns requests away; 0 to serve them. */
    notNowMs: number;
}

interface Vm {
    readonly id: string;
    readonly availability: ServerAvailability;
    pausedUntil: number;
    /** Incarnations that have said to this entry VM that they are leaving. */
    readonly heardLeaving: Set<string>;
}

/** A request that reached a server. */
export interface Arrival {
    readonly at: number;
    readonly vm: Vm;
    readonly key: string;
    /** Whether the server had said before to this entry VM that it is leaving. */
    readonly afterLeaving: boolean;
}

/** A response that turned a request away. */
export interface TurnedAway {
    readonly at: number;
    readonly vm: Vm;
    readonly key: string;
    readonly notNowMs: number;
}

interface Delivery {
    readonly at: number;
    readonly run: () => void;
}

/** The simulated fleet. Each entry VM sends to all servers that it may use. */
export class AvailabilityFleet {
    readonly servers: readonly SimulatedServer[];
    readonly arrivals: Arrival[] = [];
    readonly turnedAway: TurnedAway[] = [];
    now = 0;
    readonly #vms = new Map<string, Vm>();
    readonly #random: () => number;
    readonly #lossShare: number;
    #deliveries: Delivery[] = [];

    /** @param lossShare share of the messages between entry VMs that are lost */
    constructor(size: number, servers: number, lossShare: number, random: () => number) {
        this.#random = random;
        this.#lossShare = lossShare;
        this.servers = Array.from({ length: servers }, (_, i) => ({
            entry: serverEntry(`s${i}`),
            leaving: false,
            notNowMs: 0,
        }));
        for (let i = 0; i < size; i++) {
            this.start(`vm-${i}`);
        }
    }

    get ids(): readonly string[] {
        return [...this.#vms.keys()];
    }

    start(id: string): void {
        const availability = new ServerAvailability(id);
        this.#vms.set(id, { id, availability, pausedUntil: 0, heardLeaving: new Set() });
    }

    kill(id: string): void {
        this.#vms.delete(id);
    }

    pause(id: string, ms: number): void {
        this.#vm(id).pausedUntil = this.now + ms;
    }

    availability(id: string): ServerAvailability {
        return this.#vm(id).availability;
    }

    restart(server: SimulatedServer): void {
        server.entry = { ...server.entry, bornAt: server.entry.bornAt + 1 };
        server.leaving = false;
        server.notNowMs = 0;
    }

    run(ms: number): void {
        for (const end = this.now + ms; this.now < end; this.now += stepMs) {
            const due = this.#deliveries.filter(it => it.at <= this.now);
            this.#deliveries = this.#deliveries.filter(it => it.at > this.now);
            due.forEach(it => it.run());
            this.#vms.forEach(it => this.#step(it));
        }
    }

    /** Returns the responses after which more than two requests arrived before the time that they named was over. */
    ignoredTimes(): readonly TurnedAway[] {
        return this.turnedAway.filter(({ at, vm, key, notNowMs }) => {
            const early = this.arrivals.filter(
                it => it.vm === vm && it.key === key && it.at > at + onTheWayMs && it.at < at + notNowMs,
            );
            return early.length > 2;
        });
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
            vm.availability.tick(this.now).forEach(it => this.#broadcast(vm, it));
        }
        for (const server of this.servers) {
            const key = incarnationKey(server.entry);
            const mayUse =
                !vm.availability.isLeaving(key) && vm.availability.nextSendAt(key, this.now) <= this.now;
            if (mayUse && this.#random() < sendShare) {
                this.#send(vm, server, key);
            }
        }
    }

    #send(vm: Vm, { entry, leaving, notNowMs }: SimulatedServer, key: string): void {
        const sentAt = this.now;
        vm.availability.recordSend(key, sentAt);
        this.arrivals.push({ at: sentAt, vm, key, afterLeaving: vm.heardLeaving.has(key) });
        if (this.#random() < lostResponseShare) {
            this.#deliver(vm.id, timeoutMs, it => it.availability.recordEnd(key, sentAt));
            return;
        }
        if (notNowMs > 0) {
            this.turnedAway.push({ at: sentAt, vm, key, notNowMs });
        }
        const statement: Pick<ServerStatement, "leaving" | "notNowMs"> = { leaving, notNowMs };
        const isSlow = this.#random() < slowResponseShare;
        const servedMs = isSlow ? this.#random() * maxResponseMs : responseMs;
        this.#deliver(vm.id, notNowMs > 0 ? stepMs : servedMs, it => {
            if (leaving) {
                it.heardLeaving.add(key);
            }
            it.availability.record(entry, statement, this.now);
            it.availability.recordEnd(key, sentAt);
        });
    }

    /** Delivers a message to all others; as delays differ, messages overtake one another. */
    #broadcast(from: Vm, message: LimitMessage): void {
        for (const vm of this.#vms.values()) {
            if (vm !== from && this.#random() >= this.#lossShare) {
                this.#deliver(vm.id, this.#random() * maxNetworkMs, it =>
                    it.availability.receive(message, 0, this.now),
                );
            }
        }
    }

    /** Runs an action at an entry VM after a delay, once it isn't paused; never if it has been killed. */
    #deliver(id: string, delayMs: number, run: (vm: Vm) => void): void {
        const target = this.#vms.get(id);
        this.#deliveries.push({
            at: this.now + delayMs,
            run: () => {
                const vm = this.#vms.get(id);
                if (vm && vm === target && this.now < vm.pausedUntil) {
                    this.#deliver(id, vm.pausedUntil - this.now, run);
                } else if (vm && vm === target) {
                    run(vm);
                }
            },
        });
    }
}
