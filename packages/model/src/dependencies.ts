/** Checks the dependencies between services: unknown services, cycles and depth. */

import type { Service } from "./spec.js";

/** An invalid dependency of `service` on `dependency`. */
export type DependencyError =
    | { readonly kind: "unknown"; readonly service: string; readonly dependency: string }
    /** The first and the last service of `path` are the same. */
    | {
          readonly kind: "cycle";
          readonly service: string;
          readonly dependency: string;
          readonly path: readonly string[];
      }
    | {
          readonly kind: "too-deep";
          readonly service: string;
          readonly dependency: string;
          readonly path: readonly string[];
      };

/** Maximum number of services in a chain of calls. */
export const maxDependencyDepth = 6;

type Services = ReadonlyMap<string, Service>;

/** Depth-first traversal of the dependency graph. */
class GraphTraversal {
    readonly errors: DependencyError[] = [];
    readonly #services: Services;
    readonly #longestPaths = new Map<string, readonly string[]>();
    readonly #currentPath: string[] = [];

    constructor(services: Services) {
        this.#services = services;
    }

    /** Returns the longest path of dependencies that starts at a service. */
    longestPath(name: string): readonly string[] {
        const known = this.#longestPaths.get(name);
        if (known) {
            return known;
        }
        this.#currentPath.push(name);
        let longest: readonly string[] = [];
        for (const dependency of this.#services.get(name)?.dependsOn ?? []) {
            const rest = this.#follow(name, dependency);
            longest = rest.length > longest.length ? rest : longest;
        }
        this.#currentPath.pop();
        const path = [name, ...longest];
        this.#longestPaths.set(name, path);
        return path;
    }

    #follow(service: string, dependency: string): readonly string[] {
        if (!this.#services.has(dependency)) {
            this.errors.push({ kind: "unknown", service, dependency });
            return [];
        }
        const start = this.#currentPath.indexOf(dependency);
        if (start >= 0) {
            this.errors.push({
                kind: "cycle",
                service,
                dependency,
                path: [...this.#currentPath.slice(start), dependency],
            });
            return [];
        }
        return this.longestPath(dependency);
    }
}

/** Returns every error in the dependencies of the given services. */
export const findDependencyErrors = (services: Services): readonly DependencyError[] => {
    const traversal = new GraphTraversal(services);
    const called = new Set<string>();
    for (const service of services.values()) {
        traversal.longestPath(service.name);
        service.dependsOn.forEach(dependency => called.add(dependency));
    }
    for (const name of services.keys()) {
        const path = traversal.longestPath(name);
        if (path.length > maxDependencyDepth && !called.has(name)) {
            traversal.errors.push({ kind: "too-deep", service: name, dependency: path[1] ?? name, path });
        }
    }
    return traversal.errors;
};
