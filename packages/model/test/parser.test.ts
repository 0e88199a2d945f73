import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { ConfigDocument } from "../src/document.js";
import { maxErrors, maxLineLength } from "../src/ini-file.js";
import { serviceDefaults, builtInClasses } from "../src/service-parser.js";
import { parseConfig, parseDocument } from "../src/parser.js";
import { largeText, refused, smallest, valid } from "./builders.js";

const only = (text: string) => {
    const errors = refused(text);
    assert.equal(errors.length, 1, errors.map(err => err.message).join("\n"));
    return errors[0]!;
};

test("a service name and one server are enough", () => {
    const service = valid(smallest).spec.services.get("stops-lookup");
    const { domain, slots, connections, queueLimit } = serviceDefaults;
    const host = "192.0.2.10";
    const server = { address: `${host}:8080`, host, port: 8080, domain, slots, connections, leaving: false };
    assert.deepEqual(service, {
        name: "stops-lookup",
        dependsOn: [],
        servers: [server],
        classes: builtInClasses,
        chooser: "late-binding",
        queueLimit,
        probeBudget: 0.002,
        retryBudget: 0.1,
        hedgeBudget: 0.02,
        ejectShare: 0.3,
    });
});

test("every key is read", () => {
    const text = `
        [service orders]   ; the desk
        depends-on = quotas, catalogue
        server = [2001:0db8::0001]:9001 domain=a slots=6 connections=250 leaving # until Monday
        chooser = two-choices
        queue-limit = 50
        probe-budget = 0.1%
        retry-budget = 0
        hedge-budget = 1%
        eject-share = 0.5
        [class orders/place]
        methods = POST, PUT
        path = /orders
        idempotent = no
        priority = 0
        deadline = 2min
        [service quotas]
        server = 192.0.2.1:1
        [service catalogue]
        server = 192.0.2.2:65535`;
    const service = valid(text).spec.services.get("orders")!;
    assert.deepEqual(service.dependsOn, ["quotas", "catalogue"]);
    assert.deepEqual(service.servers, [
        {
            address: "[2001:db8::1]:9001",
            host: "2001:db8::1",
            port: 9001,
            domain: "a",
            slots: 6,
            connections: 250,
            leaving: true,
        },
    ]);
    const { chooser, queueLimit, probeBudget, retryBudget, hedgeBudget, ejectShare } = service;
    assert.deepEqual(
        [chooser, queueLimit, probeBudget, retryBudget, hedgeBudget, ejectShare],
        ["two-choices", 50, 0.001, 0, 0.01, 0.5],
    );
    assert.deepEqual(service.classes[0], {
        name: "place",
        methods: ["POST", "PUT"],
        path: "/orders",
        idempotent: false,
        priority: 0,
        deadlineMs: 120_000,
    });
});

test("the most specific class is tried first, whatever the order of the sections", () => {
    const classes = [
        "[class a/any]\npath = /",
        "[class a/long]\npath = /orders/new",
        "[class a/some]\npath = /orders\nmethods = PUT",
        "[class a/all]\npath = /orders",
    ];
    const names = (sections: readonly string[]): readonly string[] | undefined =>
        valid(`[service a]\nserver = 192.0.2.1:1\n${sections.join("\n")}`)
            .spec.services.get("a")
            ?.classes.map(found => found.name);
    const wanted = ["long", "some", "all", "any", "default", "default-write"];
    assert.deepEqual(names(classes), wanted);
    assert.deepEqual(names(classes.toReversed()), wanted);
});

test("a standard class may change its deadline but not what it takes", () => {
    const text = `${smallest}[class stops-lookup/default]\ndeadline = 250 ms\n`;
    const classes = valid(text).spec.services.get("stops-lookup")?.classes;
    assert.deepEqual(classes, [{ ...builtInClasses[0]!, deadlineMs: 250 }, builtInClasses[1]]);
    assert.match(only(`${text}path = /x`).expected, /standard class "default"/);
});

const faults: readonly (readonly [what: string, text: string, line: number, message: RegExp])[] = [
    ["an empty text", "", 1, /at least one service/],
    ["a service without servers", "[service a]", 1, /Add a line such as server =/],
    ["a misspelt key", `${smallest}quue-limit = 3`, 3, /Did you mean "queue-limit"\?/],
    ["a misspelt section", `${smallest}[servce b]`, 3, /Did you mean "service"\?/],
    ["a misspelt option", "[service a]\nserver = 192.0.2.1:1 slot=2", 2, /Did you mean "slots"\?/],
    ["an option without value", "[service a]\nserver = 192.0.2.1:1 slots", 2, /Write slots=\.\.\./],
    ["a flag with a value", "[service a]\nserver = 192.0.2.1:1 leaving=no", 2, /Write leaving\./],
    ["an option twice", "[service a]\nserver = 192.0.2.1:1 slots=1 slots=2", 2, /slots once/],
    ["a host name", "[service a]\nserver = db.example.org:1", 2, /Replace "db.example.org" by its IP number/],
    ["a wrong IP number", "[service a]\nserver = 192.0.2.256:1", 2, /IP number of one machine/],
    ["a leading zero", "[service a]\nserver = 192.0.2.01:1", 2, /IP number of one machine/],
    ["no single machine", "[service a]\nserver = 0.0.0.0:1", 2, /IP number of one machine/],
    ["a missing port", "[service a]\nserver = 192.0.2.1", 2, /an IP number and a port/],
    ["a port out of range", "[service a]\nserver = 192.0.2.1:65536", 2, /from 1 to 65535/],
    ["slots out of range", "[service a]\nserver = 192.0.2.1:1 slots=0", 2, /slots as a whole number from 1/],
    ["fewer connections than slots", "[service a]\nserver = 192.0.2.1:1 slots=9 connections=8", 2, /Raise/],
    ["a server twice", `${smallest}server = 192.0.2.10:8080 slots=2`, 3, /each backend server once/],
    [
        "an IPv6 server twice",
        "[service a]\nserver = [::1]:1\nserver = [0:0::1]:1",
        3,
        /each backend server once/,
    ],
    ["a service twice", `${smallest}[service stops-lookup]\nserver = 192.0.2.1:1`, 3, /each section once/],
    ["a key twice", `${smallest}chooser = random\nchooser = random`, 4, /chooser once/],
    ["an unknown chooser", `${smallest}chooser = radnom`, 3, /Did you mean "random"\?/],
    ["a share out of range", `${smallest}retry-budget = 101%`, 3, /share from 0 to 1/],
    ["a share in words", `${smallest}retry-budget = 1e-3`, 3, /share from 0 to 1/],
    ["a deadline without unit", `${smallest}[class stops-lookup/a]\ndeadline = 10`, 4, /with a unit/],
    ["a deadline of nothing", `${smallest}[class stops-lookup/a]\ndeadline = 0 s`, 4, /with a unit/],
    ["an unknown method", `${smallest}[class stops-lookup/a]\nmethods = post`, 4, /Did you mean "POST"\?/],
    ["a relative path", `${smallest}[class stops-lookup/a]\npath = x`, 4, /Begin it with/],
    ["neither yes nor no", `${smallest}[class stops-lookup/a]\nidempotent = true`, 4, /yes or no/],
    ["a class of no service", `${smallest}[class stop-lookup/a]`, 3, /Did you mean "stops-lookup"\?/],
    ["an unknown dependence", `${smallest}depends-on = notices`, 3, /Add a section \[service notices\]/],
    [
        "a dependence twice",
        `${smallest}depends-on = b b\n[service b]\nserver = 192.0.2.1:1`,
        3,
        /each service once/,
    ],
    ["a dependence on itself", `${smallest}depends-on = stops-lookup`, 3, /stops-lookup > stops-lookup/],
    ["a line above all sections", `server = 192.0.2.1:1\n${smallest}`, 1, /above the first section/],
    ["a bare word", `${smallest}leaving`, 3, /key = value/],
    ["an open header", `${smallest}[service b\nserver = nonsense`, 3, /one "\[" and one "\]"/],
    ["a control character", `${smallest}chooser = \u0007`, 3, /read "chooser = \\u0007"/],
    ["an escaped control character", `${smallest}chooser = "a\\u0007"`, 3, /without control characters/],
    ["a hidden character", `${smallest}chooser = \u202erandom`, 3, /read "chooser = \\u202erandom"/],
    ["a prototype key", `${smallest}__proto__ = 1`, 3, /Remove the line/],
    ["a prototype name", "[service constructor]\nserver = 192.0.2.1:1", 1, /a service's name/],
    ["a name in capitals", "[service Stops Lookup]\nserver = 192.0.2.1:1", 1, /such as "stops-lookup"/],
    ["a name that is too long", `[service ${"a".repeat(64)}]\nserver = 192.0.2.1:1`, 1, /at most 63 long/],
    ["a line that is too long", `${smallest}depends-on = ${"a".repeat(maxLineLength)}`, 3, /at most 2000/],
];

for (const [what, text, line, message] of faults) {
    test(`${what} is refused at its line`, () => {
        const err = only(text);
        assert.match(err.message, message);
        assert.equal(err.line, line);
    });
}

const chain = (length: number): string =>
    Array.from(
        { length },
        (_, i) =>
            `[service s${i}]\nserver = 192.0.2.1:1\n${i + 1 < length ? `depends-on = s${i + 1}\n` : ""}`,
    ).join("");

test("six services on a chain are accepted, seven are refused", () => {
    assert.ok(parseConfig(chain(6)).ok);
    assert.match(only(chain(7)).message, /Shorten s0 > s1 > s2 > s3 > s4 > s5 > s6/);
});

test("a cycle is shown with its services", () => {
    const text = chain(3).replace("s2]\nserver", "s2]\ndepends-on = s0\nserver");
    assert.match(only(text).message, /s0 > s1 > s2 > s0/);
});

test("all errors come at once, by line, and their number is bounded", () => {
    const errors = refused("[service a]\nserver = x\nslots = 1\n[service B]\n");
    assert.deepEqual(
        errors.map(err => err.line),
        [2, 3, 4, 4],
    );
    const many = refused(`[service a]\n${"x = 1\n".repeat(2 * maxErrors)}`);
    assert.equal(many.length, maxErrors + 1);
});

test("any text at all is either read or refused with a line of the text", () => {
    const piece = fc.oneof(
        fc.constantFrom(
            "[service a]",
            "[class a/b]",
            "server = 192.0.2.1:1",
            "depends-on = a",
            "path = /x;y",
        ),
        fc.string({ unit: "binary", maxLength: 20 }),
    );
    fc.assert(
        fc.property(fc.array(piece, { maxLength: 12 }), lines => {
            const parsed = parseConfig(lines.join("\n"));
            const count = lines.join("\n").split("\n").length;
            if (!parsed.ok) {
                return parsed.errors.every(err => err.line >= 1 && err.line <= count);
            }
            const again = valid(parsed.document.toString());
            assert.deepEqual(again.spec, parsed.spec);
            return again.document.digest === parsed.document.digest;
        }),
        { seed: 1, numRuns: 3_000 },
    );
});

test("reading only what changed gives the same as reading everything", () => {
    const before = valid(largeText(20, 3));
    const text = largeText(20, 3)
        .replace("10.0.7.2:8080", "10.0.7.200:8080")
        .replace("[service service-19]", "");
    const edit = valid(largeText(20, 3).replace("10.0.7.2:8080", "10.0.7.200:8080"));
    const after = parseDocument(before.document.apply(before.document.diff(edit.document)), before);
    assert.ok(after.ok);
    assert.deepEqual(after.spec, edit.spec);
    assert.equal(after.spec.services.get("service-3"), before.spec.services.get("service-3"));
    assert.notEqual(after.spec.services.get("service-7"), before.spec.services.get("service-7"));
    assert.ok(!parseDocument(ConfigDocument.parse(text.replaceAll("service-18", "service-99")), before).ok);
});

test("a change that breaks a service elsewhere is refused", () => {
    const before = valid(largeText(8, 1));
    const without = before.document.apply({
        set: [],
        remove: ["service service-1", "class service-1/orders"],
    });
    const parsed = parseDocument(without, before);
    assert.ok(!parsed.ok);
    assert.match(parsed.errors[0]!.message, /read "service-1"; wanted a service of this text/);
});
