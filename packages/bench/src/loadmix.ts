/** The brief's two workloads as mixes of calls, with the services that serve them. */

import type { CallKind } from "./loadplan.js";

/** A workload and its services. */
export interface Mix {
    readonly name: string;
    readonly kinds: readonly CallKind[];
    readonly services: readonly MixService[];
}

/** A service's backend servers. */
export interface MixService {
    readonly name: string;
    readonly servers: number;
    readonly slots: number;
    readonly connections: number;
    /** Additional lines of the service's section. */
    readonly lines: readonly string[];
    /** Config sections of the service's classes. */
    readonly classes: readonly string[];
}

const kibibyte = 1_024;

const mebibyte = 1_048_576;

const read = (service: string, className: string, path: string, share: number): CallKind => ({
    service,
    class: className,
    method: "GET",
    path,
    share,
    workMs: 10,
    bytes: 2 * kibibyte,
    sentBytes: 0,
    slowShare: 0,
});

const write = (service: string, className: string, path: string, share: number): CallKind => ({
    ...read(service, className, path, share),
    method: "POST",
    bytes: 200,
    sentBytes: 4 * kibibyte,
});

const download = (service: string, className: string, path: string, share: number): CallKind => ({
    ...read(service, className, path, share),
    bytes: 4 * mebibyte,
    slowShare: 0.2,
});

const writeClass = (service: string, name: string, path: string): string =>
    `[class ${service}/${name}]\nmethods = POST\npath = ${path}\nidempotent = no\ndeadline = 30s`;

const readClass = (service: string, name: string, path: string): string =>
    `[class ${service}/${name}]\nmethods = GET\npath = ${path}\nidempotent = yes\ndeadline = 10s`;

const ratibaService = (name: string, servers: number, classes: string): MixService => ({
    name,
    servers,
    slots: 2,
    connections: 200,
    lines: ["probe-budget = 0.2%"],
    classes: [classes],
});

const aqrlService = (name: string, servers: number, classes: string): MixService => ({
    name,
    servers,
    slots: 6,
    connections: 250,
    lines: ["probe-budget = 0.05%"],
    classes: [classes],
});

/** Every mix by its name. */
export const mixes: Readonly<Record<"ratiba" | "aqrl", Mix>> = {
    ratiba: {
        name: "ratiba",
        kinds: [
            read("stops-lookup", "departures", "/departures", 0.7),
            write("publish-desk", "publications", "/publications", 0.14),
            write("notice-desk", "notices", "/notices", 0.14),
            download("bulk-export", "archives", "/archives", 0.02),
        ],
        services: [
            ratibaService("stops-lookup", 14, readClass("stops-lookup", "departures", "/departures")),
            ratibaService("publish-desk", 8, writeClass("publish-desk", "publications", "/publications")),
            ratibaService("bulk-export", 6, readClass("bulk-export", "archives", "/archives")),
            ratibaService("notice-desk", 6, writeClass("notice-desk", "notices", "/notices")),
        ],
    },
    aqrl: {
        name: "aqrl",
        kinds: [
            read("catalogue", "listings", "/tiles", 0.8),
            write("orders", "place", "/orders", 0.09),
            write("quotas", "reserve", "/reservations", 0.09),
            download("downloads", "clouds", "/clouds", 0.02),
        ],
        services: [
            aqrlService("catalogue", 25, readClass("catalogue", "listings", "/tiles")),
            aqrlService("orders", 8, writeClass("orders", "place", "/orders")),
            aqrlService("downloads", 6, readClass("downloads", "clouds", "/clouds")),
            aqrlService("quotas", 6, writeClass("quotas", "reserve", "/reservations")),
        ],
    },
};

/** Returns the config text of a mix; `addresses` gives the backend servers of each service. */
export const configTextOf = (mix: Mix, addresses: ReadonlyMap<string, readonly string[]>): string =>
    mix.services.map(service => sectionOf(service, addresses.get(service.name) ?? [])).join("\n");

const domains = ["a", "b", "c"] as const;

const sectionOf = (service: MixService, addresses: readonly string[]): string => {
    const { slots, connections } = service;
    const servers = addresses.map((address, index) => {
        const domain = domains[index % domains.length];
        return `server = ${address} domain=${domain} slots=${slots} connections=${connections}`;
    });
    return [`[service ${service.name}]`, ...service.lines, ...servers, ...service.classes].join("\n");
};
