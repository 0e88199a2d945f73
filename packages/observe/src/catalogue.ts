/** The closed catalogue of numbered log events. A test keeps it and docs/EVENTS.md in agreement. */

/** Severity of an event. */
export type EventLevel = "debug" | "info" | "warn" | "error";

/** Type of a field of an event. */
export type FieldType = "string" | "number" | "boolean";

/** Definition of an event. */
export interface EventDefinition {
    /** Unique number; never reused, even after the event is removed. */
    readonly number: number;
    readonly level: EventLevel;
    /** Sentence with placeholders of the form "{field}". */
    readonly text: string;
    readonly fields: Readonly<Record<string, FieldType>>;
}

const defineEvent = <const F extends Readonly<Record<string, FieldType>>>(
    number: number,
    level: EventLevel,
    text: string,
    fields: F,
) => ({ number, level, text, fields });

/** Topics by the first digit of the event number. */
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

/** Definitions of all events by name. */
export const eventDefinitions = {
    "config-accepted": defineEvent(
        1001,
        "info",
        "Accepted configuration version {version} with digest {digest}.",
        {
            version: "number",
            digest: "string",
        },
    ),
    "config-version-accepted": defineEvent(1003, "debug", "{detail}", detail),
    "config-record-skipped": defineEvent(1004, "warn", "{detail}", detail),
    "config-version-from-peer": defineEvent(1005, "info", "{detail}", detail),
    "config-offer-skipped": defineEvent(1006, "warn", "{detail}", detail),
    "config-checkpoint-appended": defineEvent(1007, "info", "{detail}", detail),
    "config-checkpoint-skipped": defineEvent(1008, "warn", "{detail}", detail),
    "config-log-unavailable": defineEvent(1009, "warn", "{detail}", detail),
    "config-log-back": defineEvent(1010, "info", "{detail}", detail),
    "config-log-shrunk": defineEvent(1011, "error", "{detail}", detail),
    "config-records-missing": defineEvent(1012, "error", "{detail}", detail),
    "config-release-outdated": defineEvent(1013, "error", "{detail}", detail),
    "config-version-conflict": defineEvent(1014, "error", "{detail}", detail),
    "vm-list-down": defineEvent(1015, "warn", "The platform's VM list can't be read: {reason}.", {
        reason: "string",
    }),
    "vm-list-up": defineEvent(1016, "info", "The platform's VM list is readable again after {downMs} ms.", {
        downMs: "number",
    }),
    "routes-accepted": defineEvent(
        1020,
        "info",
        "Configuration {version} is in force: {routes} routes, from {origin}, {ageMs} ms old.",
        {
            version: "number",
            routes: "number",
            origin: "string",
            ageMs: "number",
        },
    ),
    "servers-changed": defineEvent(
        1021,
        "info",
        "Backend servers changed: {changes}; from {origin}, {ageMs} ms old.",
        {
            changes: "string",
            origin: "string",
            ageMs: "number",
        },
    ),
    "store-lost": defineEvent(1022, "warn", "The store can't be read ({topic}): {reason}.", {
        topic: "string",
        reason: "string",
    }),
    "store-back": defineEvent(1023, "info", "The store is readable again ({topic}).", { topic: "string" }),
    "record-skipped": defineEvent(1024, "warn", "Skipped unreadable record {record} of {topic}: {reason}.", {
        topic: "string",
        record: "string",
        reason: "string",
    }),
    "request-limit-changed": defineEvent(
        1025,
        "info",
        "Backend server {server} names a request limit per second of {limit}; from {origin}.",
        {
            server: "string",
            limit: "string",
            origin: "string",
        },
    ),
    "request-limit-unreadable": defineEvent(
        1026,
        "warn",
        "Ignored the request limit of backend server {server} of {service}: not a decimal number.",
        {
            server: "string",
            service: "string",
        },
    ),
    "request-limit-usage": defineEvent(
        1027,
        "info",
        "Sent {requests} requests and {probes} probes in {periodMs} ms to backend server {server}, which limits requests to {limit} per second; the share of this entry VM is {share}.",
        {
            server: "string",
            limit: "string",
            share: "number",
            requests: "number",
            probes: "number",
            periodMs: "number",
        },
    ),
    "store-restored": defineEvent(
        1028,
        "warn",
        "The store has come back from an older copy ({topic}): era {era}, end {end}; from {origin}.",
        {
            topic: "string",
            era: "number",
            end: "number",
            origin: "string",
        },
    ),
    "backend-leaving": defineEvent(
        1029,
        "info",
        "Backend server {server} says that it is leaving; from {origin}.",
        {
            server: "string",
            origin: "string",
        },
    ),
    "backend-not-now": defineEvent(
        1030,
        "info",
        "Backend server {server} wants no requests from this entry VM for {ms} ms.",
        {
            server: "string",
            ms: "number",
        },
    ),
    "backend-statement-unreadable": defineEvent(
        1031,
        "warn",
        "Ignored an unreadable statement of backend server {server} of {service}: {statement}.",
        {
            server: "string",
            service: "string",
            statement: "string",
        },
    ),
    "evacuation-began": defineEvent(
        1032,
        "warn",
        "Failure domain {domain} is evacuated: its servers get no requests; from {origin}, {ageMs} ms old.",
        {
            domain: "string",
            origin: "string",
            ageMs: "number",
        },
    ),
    "evacuation-ended": defineEvent(
        1033,
        "info",
        "Failure domain {domain} is no longer evacuated; from {origin}, {ageMs} ms old.",
        {
            domain: "string",
            origin: "string",
            ageMs: "number",
        },
    ),
    "backend-cold": defineEvent(
        1040,
        "info",
        "Backend server {server} is cold for {remainingMs} ms; from {origin}.",
        {
            server: "string",
            remainingMs: "number",
            origin: "string",
        },
    ),
    "backend-warm": defineEvent(1041, "info", "Backend server {server} is no longer cold; from {origin}.", {
        server: "string",
        origin: "string",
    }),
    "member-joined": defineEvent(2001, "info", "Entry VM {id} joined from {region}/{domain}.", {
        id: "string",
        incarnation: "string",
        region: "string",
        domain: "string",
    }),
    "member-suspect": defineEvent(2002, "warn", "Entry VM {id} is suspected to have failed: {reason}.", {
        id: "string",
        incarnation: "string",
        reason: "string",
    }),
    "member-dead": defineEvent(2003, "warn", "Entry VM {id} is considered dead.", {
        id: "string",
        incarnation: "string",
    }),
    "member-left": defineEvent(2004, "info", "Entry VM {id} is leaving.", {
        id: "string",
        incarnation: "string",
    }),
    "member-back": defineEvent(2005, "info", "Entry VM {id} responds again.", {
        id: "string",
        incarnation: "string",
    }),
    "links-lost": defineEvent(
        2006,
        "warn",
        "This entry VM reaches no backend server, while other entry VMs do; requests go to them.",
        {},
    ),
    "links-back": defineEvent(2007, "info", "This entry VM reaches backend servers again, after {ms} ms.", {
        ms: "number",
    }),
    "peer-links-lost": defineEvent(
        2008,
        "info",
        "Entry VM {id} says that it reaches no backend server; callers are sent to others.",
        { id: "string" },
    ),
    "peer-links-back": defineEvent(
        2009,
        "info",
        "Entry VM {id} no longer says that it reaches no backend server.",
        {
            id: "string",
        },
    ),
    started: defineEvent(
        5001,
        "info",
        "Entry VM {id} started; listening for callers on {callers}, peers on {peers}, operators on {operators}.",
        {
            id: "string",
            incarnation: "string",
            callers: "string",
            peers: "string",
            operators: "string",
        },
    ),
    "platform-embedded": defineEvent(
        5002,
        "warn",
        "No platform is configured; using an in-memory platform.",
        {},
    ),
    ready: defineEvent(5003, "info", "Ready to serve with configuration version {version}.", {
        version: "number",
    }),
    "stop-asked": defineEvent(5004, "info", "Stop requested by {signal}; no longer advertised to callers.", {
        signal: "string",
    }),
    stopped: defineEvent(5007, "info", "Stopped; {cut} calls were aborted.", { cut: "number" }),
    "start-failed": defineEvent(5008, "error", "The start failed: {reason}.", { reason: "string" }),
    "settings-read": defineEvent(
        6001,
        "info",
        "Settings reloaded; changed settings that take effect only at the next start: [{waiting}].",
        { waiting: "string" },
    ),
    "settings-wrong": defineEvent(
        6002,
        "error",
        "The changed settings are invalid, the previous ones stay in use: {reason}.",
        {
            reason: "string",
        },
    ),
    "port-unavailable": defineEvent(
        6003,
        "error",
        "Can't listen on {address}, set by {setting}: {reason}. Another socket uses the port.",
        { address: "string", setting: "string", reason: "string" },
    ),
    "address-not-local": defineEvent(
        6004,
        "error",
        "Can't listen on {address}, set by {setting}: {reason}. No interface of this VM has the address.",
        { address: "string", setting: "string", reason: "string" },
    ),
    "port-forbidden": defineEvent(
        6005,
        "error",
        "Can't listen on {address}, set by {setting}: {reason}. The process lacks the permission.",
        { address: "string", setting: "string", reason: "string" },
    ),
    "listen-failed": defineEvent(6006, "error", "Can't listen on {address}, set by {setting}: {reason}.", {
        address: "string",
        setting: "string",
        reason: "string",
    }),
    "peer-refused": defineEvent(7001, "warn", "Peer request from {address} refused: {reason}.", {
        address: "string",
        reason: "string",
    }),
    "request-malformed": defineEvent(8002, "debug", "Malformed request from {address}: {reason}.", {
        address: "string",
        reason: "string",
    }),
    "connection-unread": defineEvent(
        8003,
        "info",
        "Connection closed unread after {waitMs} ms, as the processor is too busy; its requests haven't run.",
        { waitMs: "number" },
    ),
    "request-answered": defineEvent(
        8010,
        "info",
        "Request {requestId} for {route} answered with {status} by {servers} after {totalMs} ms ({queueMs} ms queued); server chosen by load [{load}] reported {loadAgeMs} ms ago; configuration {version}; account [{account}].",
        {
            requestId: "string",
            route: "string",
            status: "number",
            servers: "string",
            hedge: "string",
            totalMs: "number",
            queueMs: "number",
            load: "string",
            loadAgeMs: "number",
            version: "number",
            account: "string",
        },
    ),
    "request-failed": defineEvent(
        8011,
        "info",
        "Request {requestId} for {route} ended as {outcome} with {status} after {totalMs} ms ({queueMs} ms queued, {waiting} waiting); sent to [{servers}], chosen by load [{load}] reported {loadAgeMs} ms ago; read up to {lagMs} ms late, its connection accepted up to {acceptMs} ms late, its head read in {headMs} ms, at a peer for {peerMs} ms, {ahead} ahead of it on the connection; last sent {sinceSendMs} ms before its end; sends [{sends}]; configuration {version}; account [{account}]. {detail}",
        {
            load: "string",
            loadAgeMs: "number",
            requestId: "string",
            route: "string",
            service: "string",
            outcome: "string",
            status: "number",
            servers: "string",
            hedge: "string",
            totalMs: "number",
            queueMs: "number",
            waiting: "number",
            version: "number",
            account: "string",
            serversAgeMs: "number",
            lagMs: "number",
            acceptMs: "number",
            headMs: "number",
            peerMs: "number",
            ahead: "number",
            sinceSendMs: "number",
            sends: "string",
            detail: "string",
        },
    ),
    "probe-usage": defineEvent(
        8012,
        "info",
        "Service {service}: granted {granted} of {reservations} requests that compared {candidates} servers, and queued {requeued} again after {requeuedProbes} probes; sent {sent} probes ({answered} answered, {unanswered} not, {shared} shared) to {probedServers} of {servers} servers in {periodMs} ms; {timedOut} waits timed out, {blocked} attempts found none but servers held by a probe, of which there were up to {maxHeld}.",
        {
            service: "string",
            servers: "number",
            periodMs: "number",
            reservations: "number",
            candidates: "number",
            granted: "number",
            sent: "number",
            shared: "number",
            answered: "number",
            unanswered: "number",
            requeued: "number",
            requeuedProbes: "number",
            timedOut: "number",
            blocked: "number",
            maxHeld: "number",
            probedServers: "number",
        },
    ),
    "send-lost": defineEvent(
        8013,
        "info",
        "No response to relay from backend server {server} of {service} to request {requestId}, {afterMs} ms after it was sent: {reason}; fingerprint {fingerprint}.",
        {
            server: "string",
            service: "string",
            requestId: "string",
            fingerprint: "string",
            afterMs: "number",
            reason: "string",
        },
    ),
    "server-ended-under-request": defineEvent(
        8014,
        "info",
        "A backend server has ended while it ran the request with fingerprint {fingerprint}; {endings} since it was last answered.",
        {
            fingerprint: "string",
            endings: "number",
        },
    ),
    "request-suspected": defineEvent(
        8015,
        "warn",
        "{endings} backend servers have ended while they ran the request with fingerprint {fingerprint}, and none has answered it since; it is quarantined, unless others that were in flight there explain this.",
        {
            fingerprint: "string",
            endings: "number",
        },
    ),
    "request-trial": defineEvent(
        8016,
        "info",
        "The quarantined request with fingerprint {fingerprint} is sent to one backend server.",
        {
            fingerprint: "string",
        },
    ),
    "request-cleared": defineEvent(
        8017,
        "info",
        "The request with fingerprint {fingerprint} is no longer suspected, as a backend server has answered it; {endings} have ended since.",
        {
            fingerprint: "string",
            endings: "number",
        },
    ),
    "exit-reset-failed": defineEvent(
        8018,
        "warn",
        "A connection can't be set to be reset if this process ends under its response: {reason}. Responses that end with their connection then get a length, or chunks above 1 MiB, if it can be shown that they are whole, and count as lost if not.",
        { reason: "string" },
    ),
    "quota-exceeded": defineEvent(
        8030,
        "info",
        "Requests of account {account} are refused, as they exceed its quota of {ratePerSecond} per second.",
        { account: "string", ratePerSecond: "number" },
    ),
    "quota-kept": defineEvent(
        8031,
        "info",
        "Requests of account {account} are no longer refused for its quota; {refused} were.",
        { account: "string", refused: "number" },
    ),
    "quota-unavailable": defineEvent(
        8032,
        "warn",
        "Requests of account {account} are refused, as no entry VM that holds its quota and has tokens of it can be reached.",
        { account: "string" },
    ),
    "quota-available": defineEvent(
        8033,
        "info",
        "Requests of account {account} are no longer refused because holders of its quota can't be reached; {refused} were.",
        { account: "string", refused: "number" },
    ),
    "hedging-changed": defineEvent(
        8040,
        "info",
        "Hedged requests may be {ratio} of each service's requests, {previous} before.",
        { ratio: "number", previous: "number" },
    ),
    "hedge-usage": defineEvent(
        8041,
        "info",
        "Service {service}: sent {sent} hedges in {periodMs} ms, of which {won} were answered first; cancelled {cancelled} sends whose request had been answered; left out {overBudget} hedges as a budget was used up, {overloaded} as requests waited or were refused, {noServer} as no other server was idle, {noGrant} as the account's quota had no grant.",
        {
            service: "string",
            periodMs: "number",
            sent: "number",
            won: "number",
            cancelled: "number",
            overBudget: "number",
            overloaded: "number",
            noServer: "number",
            noGrant: "number",
        },
    ),
    "internal-error": defineEvent(9001, "error", "Internal error while {doing}: {reason}.", {
        doing: "string",
        reason: "string",
    }),
    "events-suppressed": defineEvent(
        9002,
        "warn",
        "Suppressed {count} more {suppressed} events within one second.",
        {
            suppressed: "string",
            count: "number",
        },
    ),
} as const satisfies Readonly<Record<string, EventDefinition>>;

/** Name of an event. */
export type EventName = keyof typeof eventDefinitions;

interface FieldTypes {
    readonly string: string;
    readonly number: number;
    readonly boolean: boolean;
}

/** The fields of an event with the types of their values. */
export type EventFields<N extends EventName> = {
    readonly [
        F in keyof (typeof eventDefinitions)[N]["fields"]
    ]: FieldTypes[(typeof eventDefinitions)[N]["fields"][F] & FieldType];
};

/** Names of all events. */
export const eventNames = Object.keys(eventDefinitions) as readonly EventName[];
