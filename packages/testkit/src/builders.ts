/** Test builders of server entries and routing configurations, with all fields set. */

import type { RouteConfig, ServerEntry } from "@bramleymoor/model/route";

/** Returns the entry of a server with two slots that accepts requests; `overrides` replace fields. */
export const serverEntry = (id: string, overrides: Partial<ServerEntry> = {}): ServerEntry => ({
    id,
    bornAt: 1,
    service: "svc",
    address: `10.0.0.1:${id.length}`,
    domain: "a",
    slots: 2,
    leaving: false,
    warmUpMs: 0,
    ...overrides,
});

/** Returns a version of the routing configuration without routes and services; `overrides` replace fields. */
export const routeConfig = (version: number, overrides: Partial<RouteConfig> = {}): RouteConfig => ({
    version,
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    routes: [],
    services: new Map(),
    ...overrides,
});
