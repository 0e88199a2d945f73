/** Backend servers' entries and configurations for tests, all fields set. */

import type { RouteConfig, ServerEntry } from "@bramleymoor/model/route";

/** An entry of a sound server with two slots. */
export const serverEntry = (id: string, changes: Partial<ServerEntry> = {}): ServerEntry => ({
    id,
    bornAt: 1,
    service: "svc",
    address: `10.0.0.1:${id.length}`,
    domain: "a",
    slots: 2,
    leaving: false,
    warmUpMs: 0,
    ...changes,
});

/** A version of the configuration, without routes unless some are given. */
export const routeConfig = (version: number, changes: Partial<RouteConfig> = {}): RouteConfig => ({
    version,
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    routes: [],
    services: new Map(),
    ...changes,
});
