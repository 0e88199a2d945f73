/** Counts this entry VM's requests by host or service, and exchanges the rates with the other entry VMs. */

import type { Membership } from "@bramleymoor/membership/membership";
import { maxPayloadBytes } from "@bramleymoor/membership/messages";
import type { EntryVm } from "@bramleymoor/model/vm";

/** Values of a member's payload by key. */
type Payload = Readonly<Record<string, string | number>>;

/** Counts requests by name, and encodes the rates for the membership payload. */
export class DemandCounter {
    readonly #keys: readonly string[];
    #counts = new Map<string, number>();
    #since: number;
    #rates: ReadonlyMap<string, number> = new Map();

    /** @param keys keys of the payload that hold the rates */
    constructor(keys: readonly string[], now: number) {
        this.#keys = keys;
        this.#since = now;
    }

    /** Requests per second by name, over the last completed period. */
    get rates(): ReadonlyMap<string, number> {
        return this.#rates;
    }

    count(name: string): void {
        this.#counts.set(name, (this.#counts.get(name) ?? 0) + 1);
    }

    /** Ends a period and returns the payload's values by key; they hold the highest rates. */
    endPeriod(now: number): ReadonlyMap<string, string> {
        const seconds = Math.max(minPeriodMs, now - this.#since) / msPerSecond;
        this.#rates = new Map([...this.#counts].map(([name, count]) => [name, count / seconds]));
        this.#counts = new Map();
        this.#since = now;
        const highest = [...this.#rates]
            .sort((a, b) => b[1] - a[1])
            .slice(0, this.#keys.length * pairsPerKey);
        const pairs = highest.map(([name, rate]) => `${shortHash(name)}=${Math.ceil(rate)}`);
        return new Map(
            this.#keys.map((key, i) => [key, pairs.slice(i * pairsPerKey, (i + 1) * pairsPerKey).join(" ")]),
        );
    }
}

/** Parses the rates by short hash from the keys of a member's payload. */
export const parseRates = (payload: Payload, keys: readonly string[]): ReadonlyMap<string, number> => {
    const pairs = keys.flatMap(key => String(payload[key] ?? "").split(" "));
    return new Map(
        pairs
            .filter(it => it.includes("="))
            .map(it => {
                const [hash = "", rate = "0"] = it.split("=");
                return [hash, Number(rate)];
            }),
    );
};

/** Dependencies of a `DemandExchange`. */
export interface DemandExchangeOptions {
    /** Id of this entry VM. */
    readonly self: string;
    readonly membership: Pick<Membership, "payload" | "setPayload">;
    /** Returns all members that are not dead, including this one. */
    readonly members: () => readonly EntryVm[];
    /** Current monotonic milliseconds. */
    readonly now: number;
}

/** The requests per second by host and by service, at this entry VM and at all of them. */
export class DemandExchange {
    readonly #options: DemandExchangeOptions;
    readonly #hosts: DemandCounter;
    readonly #services: DemandCounter;
    /** Rates of the other entry VMs by short hash. */
    #otherHosts: ReadonlyMap<string, number> = new Map();
    #otherServices: ReadonlyMap<string, number> = new Map();
    #publishedServices: ReadonlySet<string> = new Set();
    #knownEntryVms = 1;
    #lastTickAt: number;

    constructor(options: DemandExchangeOptions) {
        this.#options = options;
        this.#hosts = new DemandCounter(hostKeys, options.now);
        this.#services = new DemandCounter([serviceKey], options.now);
        this.#lastTickAt = options.now;
    }

    /** Number of entry VMs whose rates are included in the totals. */
    get knownEntryVms(): number {
        return this.#knownEntryVms;
    }

    /** Counts a request for a host. */
    countHost(host: string): void {
        this.#hosts.count(host);
    }

    /** Counts a request for a service. */
    countService(service: string): void {
        this.#services.count(service);
    }

    /** Returns this entry VM's requests per second for a host. */
    ownHostRate(host: string): number {
        return this.#hosts.rates.get(host) ?? 0;
    }

    /** Returns this entry VM's requests per second for a service. */
    ownServiceRate(service: string): number {
        return this.#services.rates.get(service) ?? 0;
    }

    /** Returns the requests per second for a host over all entry VMs. */
    hostRate(host: string): number {
        return this.ownHostRate(host) + (this.#otherHosts.get(shortHash(host)) ?? 0);
    }

    /**
     * Returns the requests per second for a service over all entry VMs; undefined if this entry VM's own ones didn't fit
     * into its payload, as the others then don't know of them.
     */
    serviceRate(service: string): number | undefined {
        const own = this.ownServiceRate(service);
        const others = this.#otherServices.get(shortHash(service)) ?? 0;
        return own === 0 || this.#publishedServices.has(shortHash(service)) ? own + others : undefined;
    }

    /**
     * Publishes this entry VM's rates and adds up those of all. To be called often: it does nothing and returns false if
     * less than `periodMs` has passed.
     */
    tick(now: number): boolean {
        if (now - this.#lastTickAt < periodMs) {
            return false;
        }
        this.#lastTickAt = now;
        this.#publish(now);
        const { self, membership, members } = this.#options;
        const others = members().filter(vm => vm.id !== self);
        const payloads = others.map(vm => membership.payload(vm.id));
        this.#otherHosts = sumRates(payloads, hostKeys);
        this.#otherServices = sumRates(payloads, [serviceKey]);
        this.#knownEntryVms = others.length + 1;
        return true;
    }

    #publish(now: number): void {
        const { self, membership } = this.#options;
        const values = new Map([...this.#hosts.endPeriod(now), ...this.#services.endPeriod(now)]);
        const before = membership.payload(self);
        if (payloadSize({ ...before, ...Object.fromEntries(values) }) > maxPayloadBytes) {
            values.set(lastHostKey, "");
        }
        const growth = ([key, value]: readonly [string, string]): number =>
            value.length - String(before[key] ?? "").length;
        // Values that shrink come first, as the payload has to fit after each change.
        for (const [key, value] of [...values].sort((a, b) => growth(a) - growth(b))) {
            if ((before[key] ?? "") !== value) {
                membership.setPayload(key, value);
            }
        }
        this.#publishedServices = new Set(parseRates(Object.fromEntries(values), [serviceKey]).keys());
    }
}

const payloadSize = (payload: Payload): number => JSON.stringify(payload).length;

const sumRates = (payloads: readonly Payload[], keys: readonly string[]): ReadonlyMap<string, number> => {
    const sums = new Map<string, number>();
    for (const payload of payloads) {
        parseRates(payload, keys).forEach((rate, hash) => sums.set(hash, (sums.get(hash) ?? 0) + rate));
    }
    return sums;
};

/** Returns a short FNV-1a hash of a name; a collision within a deployment only adds up the rates of two names. */
export const shortHash = (name: string): string => {
    let hash = 2166136261;
    for (let i = 0; i < name.length; i++) {
        hash = Math.imul(hash ^ name.charCodeAt(i), 16777619) >>> 0;
    }
    return hash.toString(36).slice(-hashLength);
};

/** Length in base 36: with a dozen names, about one in a million deployments has a collision. */
const hashLength = 5;
/** Keys of the payload. */
const lastHostKey = "d2";
const hostKeys: readonly string[] = ["d0", "d1", lastHostKey];
const serviceKey = "s";
/** Pairs of at most 11 characters that fit into a payload value of at most 64. */
const pairsPerKey = 5;
/** Rates over shorter periods would be noise. */
const minPeriodMs = 100;
/** Demand is published as often as gossip can distribute it. */
const periodMs = 500;
const msPerSecond = 1_000;
