/** Checks what services depend on: unknown services, cycles, depth. */

import type { Service } from "./spec.js";

/** What is wrong with a dependence. */
export type DependencyError =
    | { readonly kind: "unknown"; readonly service: string; readonly on: string }
    /** `path` ends where it begins. */
    | {
          readonly kind: "cycle";
          readonly service: string;
          readonly on: string;
          readonly path: readonly string[];
      }
    | {
          readonly kind: "deep";
          readonly service: string;
          readonly on: string;
          readonly path: readonly string[];
      };

/** Most services on a chain of calls. */
export const maxDependencyDepth = 6;

type Services = ReadonlyMap<string, Service>;

class Walk {
    readonly faults: DependencyError[] = [];
    readonly #services: Services;
    readonly #longest = new Map<string, readonly string[]>();
    readonly #path: string[] = [];

    constructor(services: Services) {
        this.#services = services;
    }

    /** The longest chain that begins with the service. */
    chain(name: string): readonly string[] {
        const known = this.#longest.get(name);
        if (known) {
            return known;
        }
        this.#path.push(name);
        let longest: readonly string[] = [];
        for (const on of this.#services.get(name)?.dependsOn ?? []) {
            const below = this.#below(name, on);
            longest = below.length > longest.length ? below : longest;
        }
        this.#path.pop();
        const chain = [name, ...longest];
        this.#longest.set(name, chain);
        return chain;
    }

    #below(service: string, on: string): readonly string[] {
        if (!this.#services.has(on)) {
            this.faults.push({ kind: "unknown", service, on });
            return [];
        }
        const at = this.#path.indexOf(on);
        if (at >= 0) {
            this.faults.push({ kind: "cycle", service, on, path: [...this.#path.slice(at), on] });
            return [];
        }
        return this.chain(on);
    }
}

/** Finds every fault in the services' dependences. */
export const findDependencyErrors = (services: Services): readonly DependencyError[] => {
    const walk = new Walk(services);
    const called = new Set<string>();
    for (const service of services.values()) {
        walk.chain(service.name);
        service.dependsOn.forEach(on => called.add(on));
    }
    for (const name of services.keys()) {
        const path = walk.chain(name);
        if (path.length > maxDependencyDepth && !called.has(name)) {
            walk.faults.push({ kind: "deep", service: name, on: path[1] ?? name, path });
        }
    }
    return walk.faults;
};
