import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { test } from "node:test";
import { eventNames, eventDefinitions, eventTopics, type EventLevel } from "../src/catalogue.js";
import { EventLog, maxFieldLength, maxEventsPerSecond, type LogFormat } from "../src/event-log.js";

const logTo = (lines: string[], format: LogFormat, level: EventLevel = "debug", clock = () => 0): EventLog =>
    new EventLog({ source: "entry-1", format, level, write: line => lines.push(line), clock });

const page = readFileSync(new URL("../../../../docs/EVENTS.md", import.meta.url), "utf8");

test("docs/EVENTS.md lists exactly the events of the catalogue", () => {
    const rows = [...page.matchAll(/^\| (\d{4}) \| `([^`]+)` \| (\w+) +\| (.+?) \| (.*?) \|$/gm)];
    const documented = rows.map(([, number, name, level, text, fields]) => ({
        number,
        name,
        level,
        text,
        fields,
    }));
    const defined = eventNames.map(name => {
        const { number, level, text, fields } = eventDefinitions[name];
        const list = Object.entries(fields).map(([field, type]) => `${field}: ${type}`);
        return { number: String(number), name, level, text, fields: list.join(", ") || "none" };
    });
    assert.deepEqual(documented, defined);
});

const packages = new URL("../../../", import.meta.url);

/** Returns the contents of all source files below a folder, except for the catalogue. */
const sourcesBelow = (folder: URL): readonly string[] =>
    readdirSync(folder, { recursive: true, encoding: "utf8" })
        .filter(path => /^(?:[a-z]+\/)?src\/[^/]+\.ts$/.test(path) && path !== "observe/src/catalogue.ts")
        .map(path => readFileSync(new URL(path, folder), "utf8"));

const sources = [...sourcesBelow(packages), ...sourcesBelow(new URL("../platform/", packages))].join("\n");

test("every event of the catalogue is emitted somewhere in the sources", () => {
    const emitted = (name: string): boolean => new RegExp(`(?:emit|#write)\\(\\s*"${name}"`).test(sources);
    const configNames = readFileSync(new URL("config/src/events.ts", packages), "utf8");
    const emittedByConfig = (name: string): boolean =>
        name.startsWith("config-") && configNames.includes(`| "${name.slice("config-".length)}"`);
    assert.ok(sources.includes("emit(`config-${event.name}`"));
    assert.ok(!emitted("no-such-event"));
    assert.deepEqual(
        eventNames.filter(name => !emitted(name) && !emittedByConfig(name)),
        [],
    );
});

test("event numbers are unique, ascending and begin with the digit of a documented topic", () => {
    const numbers = eventNames.map(name => eventDefinitions[name].number);
    assert.deepEqual(
        numbers,
        [...new Set(numbers)].sort((a, b) => a - b),
    );
    assert.ok(numbers.every(number => Object.hasOwn(eventTopics, Math.floor(number / 1000))));
    for (const topic of Object.values(eventTopics)) {
        assert.ok(page.includes(`## ${topic}\n`), topic);
    }
});

test("a sentence contains only fields of its event, and no field name suggests a secret", () => {
    for (const name of eventNames) {
        const { text, fields } = eventDefinitions[name];
        for (const [, field] of text.matchAll(/\{(\w+)\}/g)) {
            assert.ok(Object.hasOwn(fields, field!), `${name}: ${field}`);
        }
        assert.ok(!Object.keys(fields).some(field => /key|secret|ticket|password|token/i.test(field)), name);
    }
});

test("an event is written as one JSON line with its number and fields", () => {
    const lines: string[] = [];
    logTo(lines, "json").emit("member-dead", { id: "entry-2", incarnation: "ab" });
    assert.deepEqual(JSON.parse(lines[0]!), {
        time: "1970-01-01T00:00:00.000Z",
        level: "warn",
        event: 2003,
        name: "member-dead",
        source: "entry-1",
        text: "Entry VM entry-2 is considered dead.",
        id: "entry-2",
        incarnation: "ab",
    });
});

test("untrusted text is truncated and can't forge a log line", () => {
    const lines: string[] = [];
    const reason = `x\n1970 ERROR 9001 \u202e${"y".repeat(2 * maxFieldLength)}`;
    logTo(lines, "text").emit("vm-list-down", { reason });
    assert.match(
        lines[0]!,
        /^1970-01-01T00:00:00.000Z WARN {2}1015 entry-1 .*: x\\u000a1970 ERROR 9001 \\u202ey+\.\.\.\.$/,
    );
    assert.ok(lines[0]!.length < maxFieldLength + 120);
});

test("fields that the catalogue doesn't list are not written", () => {
    const lines: string[] = [];
    const fields = { version: 3, ticket: "hidden" };
    logTo(lines, "json").emit("ready", fields);
    assert.ok(!lines[0]!.includes("hidden"));
});

test("events below the minimum level are not written", () => {
    const lines: string[] = [];
    const log = logTo(lines, "text", "warn");
    log.emit("ready", { version: 1 });
    log.emit("vm-list-down", { reason: "refused" });
    assert.equal(lines.length, 1);
});

test("the rate of each event is limited independently, and suppressed events are counted", () => {
    const lines: string[] = [];
    let now = 0;
    const log = logTo(lines, "text", "debug", () => now);
    for (let i = 0; i < maxEventsPerSecond + 7; i++) {
        log.emit("ready", { version: i });
    }
    log.emit("vm-list-down", { reason: "refused" });
    assert.equal(lines.length, maxEventsPerSecond + 1);
    now = 1_000;
    log.emit("ready", { version: 1 });
    assert.match(lines.at(-2)!, /9002 entry-1 Suppressed 7 more ready events/);
    assert.match(lines.at(-1)!, /5003/);
});

test("no field of an event overwrites a common field of JSON lines", () => {
    const commonFields = new Set(["time", "level", "event", "name", "source", "text"]);
    for (const name of eventNames) {
        const overwriting = Object.keys(eventDefinitions[name].fields).filter(field =>
            commonFields.has(field),
        );
        assert.deepEqual(overwriting, [], name);
    }
});
