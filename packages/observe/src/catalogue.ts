/** The closed catalogue of numbered log events. docs/EVENTS.md shows the same, held to it by a test. */

/** How much an event matters. */
export type EventLevel = "debug" | "info" | "warn" | "error";

/** Type of an event's field. */
export type FieldType = "string" | "number" | "boolean";

/** One event of the catalogue. */
export interface EventDefinition {
    /** Never given to another event, also when this one is dropped. */
    readonly number: number;
    readonly level: EventLevel;
    /** Sentence with "{field}" for each field. */
    readonly text: string;
    readonly fields: Readonly<Record<string, FieldType>>;
}

const row = <const F extends Readonly<Record<string, FieldType>>>(
    number: number,
    level: EventLevel,
    text: string,
    fields: F,
) => ({ number, level, text, fields });

/** First digit of an event's number, and what it stands for. */
export const eventTopics = {
    1: "Configuration",
    2: "Membership",
    5: "Start and stop",
    6: "Settings",
    7: "Peers and operators",
    8: "Calls",
    9: "Faults",
} as const;

const detail = { detail: "string" } as const;

/** Every event. */
export const eventDefinitions = {
    "config-accepted": row(1001, "info", "Version {version} accepted, digest {digest}.", {
        version: "number",
        digest: "string",
    }),
    "config-version-accepted": row(1003, "debug", "{detail}", detail),
    "config-record-skipped": row(1004, "warn", "{detail}", detail),
    "config-version-from-peer": row(1005, "info", "{detail}", detail),
    "config-offer-skipped": row(1006, "warn", "{detail}", detail),
    "config-checkpoint-appended": row(1007, "info", "{detail}", detail),
    "config-checkpoint-skipped": row(1008, "warn", "{detail}", detail),
    "config-log-unavailable": row(1009, "warn", "{detail}", detail),
    "config-log-back": row(1010, "info", "{detail}", detail),
    "config-log-shrunk": row(1011, "error", "{detail}", detail),
    "config-records-missing": row(1012, "error", "{detail}", detail),
    "config-release-outdated": row(1013, "error", "{detail}", detail),
    "config-version-conflict": row(1014, "error", "{detail}", detail),
    "vm-list-down": row(1015, "warn", "The platform's VM list can't be read: {reason}.", {
        reason: "string",
    }),
    "vm-list-up": row(1016, "info", "The platform's VM list can be read again, after {downMs} ms.", {
        downMs: "number",
    }),
    "routes-accepted": row(
        1020,
        "info",
        "Configuration {version} in force: {routes} routes, from {origin}, {ageMs} ms old.",
        {
            version: "number",
            routes: "number",
            origin: "string",
            ageMs: "number",
        },
    ),
    "servers-changed": row(
        1021,
        "info",
        "Backend servers changed: {changes}; from {origin}, {ageMs} ms old.",
        {
            changes: "string",
            origin: "string",
            ageMs: "number",
        },
    ),
    "store-lost": row(1022, "warn", "The store can't be read ({topic}): {reason}.", {
        topic: "string",
        reason: "string",
    }),
    "store-back": row(1023, "info", "The store can be read again ({topic}).", { topic: "string" }),
    "record-skipped": row(
        1024,
        "warn",
        "Record {record} of {topic} can't be read and is passed over: {reason}.",
        {
            topic: "string",
            record: "string",
            reason: "string",
        },
    ),
    "member-joined": row(2001, "info", "Entry VM {id} joined from {region}/{domain}.", {
        id: "string",
        incarnation: "string",
        region: "string",
        domain: "string",
    }),
    "member-suspect": row(2002, "warn", "Entry VM {id} is suspected: {reason}.", {
        id: "string",
        incarnation: "string",
        reason: "string",
    }),
    "member-dead": row(2003, "warn", "Entry VM {id} is taken for dead.", {
        id: "string",
        incarnation: "string",
    }),
    "member-left": row(2004, "info", "Entry VM {id} is leaving.", { id: "string", incarnation: "string" }),
    "member-back": row(2005, "info", "Entry VM {id} answers again.", { id: "string", incarnation: "string" }),
    started: row(
        5001,
        "info",
        "Entry VM {id} started; callers {callers}, peers {peers}, operators {operators}.",
        {
            id: "string",
            incarnation: "string",
            callers: "string",
            peers: "string",
            operators: "string",
        },
    ),
    "platform-embedded": row(5002, "warn", "No platform configured; running on one in memory.", {}),
    ready: row(5003, "info", "Ready to serve at version {version}.", { version: "number" }),
    "stop-asked": row(5004, "info", "Stop asked for by {signal}; leaving the answers to callers.", {
        signal: "string",
    }),
    stopped: row(5007, "info", "Stopped, {cut} calls cut.", { cut: "number" }),
    "settings-read": row(
        6001,
        "info",
        "Settings read again; those that changed and are used from the next start only: [{waiting}].",
        { waiting: "string" },
    ),
    "settings-wrong": row(6002, "error", "The changed settings can't be used, the old ones stay: {reason}.", {
        reason: "string",
    }),
    "port-unavailable": row(6003, "error", "Can't listen on {address}: {reason}.", {
        address: "string",
        reason: "string",
    }),
    "peer-refused": row(7001, "warn", "Peer request from {address} refused: {reason}.", {
        address: "string",
        reason: "string",
    }),
    "request-malformed": row(8002, "debug", "Request from {address} can't be read: {reason}.", {
        address: "string",
        reason: "string",
    }),
    "request-answered": row(
        8010,
        "info",
        "Request {requestId} for {route} answered with {status} by {servers} after {totalMs} ms ({queueMs} ms queued); chosen by load [{load}] of {loadAgeMs} ms ago; configuration {version}.",
        {
            requestId: "string",
            route: "string",
            status: "number",
            servers: "string",
            totalMs: "number",
            queueMs: "number",
            load: "string",
            loadAgeMs: "number",
            version: "number",
        },
    ),
    "request-failed": row(
        8011,
        "info",
        "Request {requestId} for {route} ended as {outcome} with {status} after {totalMs} ms ({queueMs} ms queued, {waiting} waiting); sent to [{servers}], chosen by load [{load}] of {loadAgeMs} ms ago; configuration {version}. {detail}",
        {
            load: "string",
            loadAgeMs: "number",
            requestId: "string",
            route: "string",
            service: "string",
            outcome: "string",
            status: "number",
            servers: "string",
            totalMs: "number",
            queueMs: "number",
            waiting: "number",
            version: "number",
            serversAgeMs: "number",
            detail: "string",
        },
    ),
    "internal-error": row(9001, "error", "Internal error while {doing}: {reason}.", {
        doing: "string",
        reason: "string",
    }),
    "events-suppressed": row(9002, "warn", "{count} more events {suppressed} in a second were not written.", {
        suppressed: "string",
        count: "number",
    }),
} as const satisfies Readonly<Record<string, EventDefinition>>;

/** Name of an event. */
export type EventName = keyof typeof eventDefinitions;

interface FieldTypes {
    readonly string: string;
    readonly number: number;
    readonly boolean: boolean;
}

/** The fields of an event, with their types. */
export type EventFields<N extends EventName> = {
    readonly [
        F in keyof (typeof eventDefinitions)[N]["fields"]
    ]: FieldTypes[(typeof eventDefinitions)[N]["fields"][F] & FieldType];
};

/** Every event's name. */
export const eventNames = Object.keys(eventDefinitions) as readonly EventName[];
