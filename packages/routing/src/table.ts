/** Finds the route of a request by host and longest path prefix. */

import type { Route } from "@bramleymoor/model/route";

/** The routes of one configuration version. */
export class RouteTable {
    readonly #hosts = new Map<string, Map<string, Route>>();

    /** @throws TypeError if a path prefix doesn't begin and end with a slash */
    constructor(routes: readonly Route[]) {
        for (const route of routes) {
            if (!route.pathPrefix.startsWith("/") || !route.pathPrefix.endsWith("/")) {
                throw new TypeError(`the path prefix "${route.pathPrefix}" must begin and end with a slash`);
            }
            const prefixes = this.#hosts.get(route.host) ?? new Map<string, Route>();
            this.#hosts.set(route.host, prefixes.set(route.pathPrefix, route));
        }
    }

    /**
     * Returns the route of a request; undefined if there is none. Takes one look-up for each slash of the path,
     * regardless of the number of routes.
     *
     * @param hostHeader value of the Host header, with or without a port
     * @param target request target, with or without a query
     */
    find(hostHeader: string, target: string): Route | undefined {
        const prefixes = this.#hosts.get(hostOf(hostHeader));
        if (!prefixes) {
            return undefined;
        }
        const path = pathOf(target);
        for (let end = path.lastIndexOf("/"); end >= 0; end = end > 0 ? path.lastIndexOf("/", end - 1) : -1) {
            const route = prefixes.get(path.slice(0, end + 1));
            if (route) {
                return route;
            }
        }
        return undefined;
    }
}

/** Returns the host name of a Host header in lower case, without the port. */
export const hostOf = (hostHeader: string): string => {
    const colon = hostHeader.lastIndexOf(":");
    const host = colon > 0 && !hostHeader.endsWith("]") ? hostHeader.slice(0, colon) : hostHeader;
    return host.toLowerCase();
};

const pathOf = (target: string): string => {
    const query = target.indexOf("?");
    return query === -1 ? target : target.slice(0, query);
};
