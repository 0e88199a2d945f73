import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { ConfigDocument } from "../src/document.js";
import { maxErrors, maxLineLength } from "../src/ini-file.js";
import { serviceDefaults, builtInClasses } from "../src/service-parser.js";
import { parseConfig, parseDocument } from "../src/parser.js";
import { largeText, errorsOf, smallest, parseValid } from "./builders.js";

const onlyError = (text: string) => {
    const errors = errorsOf(text);
    assert.equal(errors.length, 1, errors.map(err => err.message).join("\n"));
    return errors[0]!;
};

test("a service needs only a name and one server; everything else has defaults", () => {
    const service = parseValid(smallest).spec.services.get("stops-lookup");
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

test("every key is parsed", () => {
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
    const service = parseValid(text).spec.services.get("orders")!;
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

test("classes are ordered by specificity, independent of the order of the sections", () => {
    const classes = [
        "[class a/any]\npath = /",
        "[class a/long]\npath = /orders/new",
        "[class a/some]\npath = /orders\nmethods = PUT",
        "[class a/all]\npath = /orders",
    ];
    const names = (sections: readonly string[]): readonly string[] | undefined =>
        parseValid(`[service a]\nserver = 192.0.2.1:1\n${sections.join("\n")}`)
            .spec.services.get("a")
            ?.classes.map(found => found.name);
    const expected = ["long", "some", "all", "any", "default", "default-write"];
    assert.deepEqual(names(classes), expected);
    assert.deepEqual(names(classes.toReversed()), expected);
});

test("a built-in class accepts another deadline but no other path", () => {
    const text = `${smallest}[class stops-lookup/default]\ndeadline = 250 ms\n`;
    const classes = parseValid(text).spec.services.get("stops-lookup")?.classes;
    assert.deepEqual(classes, [{ ...builtInClasses[0]!, deadlineMs: 250 }, builtInClasses[1]]);
    assert.match(onlyError(`${text}path = /x`).expected, /built-in class "default"/);
});

const invalidTexts: readonly (readonly [what: string, text: string, line: number, message: RegExp])[] = [
    ["an empty text", "", 1, /at least one service/],
    [
        "a service without backend servers",
        "[service a]",
        1,
        /expected at least one backend server\. Add a line such as server =/,
    ],
    ["a misspelt key", `${smallest}quue-limit = 3`, 3, /Did you mean "queue-limit"\?/],
    ["a misspelt section", `${smallest}[servce b]`, 3, /Did you mean "service"\?/],
    ["a misspelt option", "[service a]\nserver = 192.0.2.1:1 slot=2", 2, /Did you mean "slots"\?/],
    ["an option without a value", "[service a]\nserver = 192.0.2.1:1 slots", 2, /Write slots=\.\.\./],
    ["a flag with a value", "[service a]\nserver = 192.0.2.1:1 leaving=no", 2, /Write leaving\./],
    ["a duplicate option", "[service a]\nserver = 192.0.2.1:1 slots=1 slots=2", 2, /slots to appear once/],
    [
        "a host name",
        "[service a]\nserver = db.example.org:1",
        2,
        /Replace "db.example.org" with its IP address/,
    ],
    ["an invalid IP address", "[service a]\nserver = 192.0.2.256:1", 2, /IP address of one machine/],
    ["a leading zero in an IP address", "[service a]\nserver = 192.0.2.01:1", 2, /IP address of one machine/],
    ["the unspecified address", "[service a]\nserver = 0.0.0.0:1", 2, /IP address of one machine/],
    ["a missing port", "[service a]\nserver = 192.0.2.1", 2, /an IP address and a port/],
    ["a port out of range", "[service a]\nserver = 192.0.2.1:65536", 2, /from 1 to 65535/],
    ["slots out of range", "[service a]\nserver = 192.0.2.1:1 slots=0", 2, /slots as a whole number from 1/],
    [
        "fewer connections than slots",
        "[service a]\nserver = 192.0.2.1:1 slots=9 connections=8",
        2,
        /expected at least as many connections as slots\. Raise/,
    ],
    [
        "a duplicate backend server",
        `${smallest}server = 192.0.2.10:8080 slots=2`,
        3,
        /each backend server to appear once/,
    ],
    [
        "a duplicate backend server with an IPv6 address in another form",
        "[service a]\nserver = [::1]:1\nserver = [0:0::1]:1",
        3,
        /each backend server to appear once/,
    ],
    [
        "a duplicate service",
        `${smallest}[service stops-lookup]\nserver = 192.0.2.1:1`,
        3,
        /each section to appear once/,
    ],
    ["a duplicate key", `${smallest}chooser = random\nchooser = random`, 4, /chooser to appear once/],
    ["an unknown chooser", `${smallest}chooser = radnom`, 3, /Did you mean "random"\?/],
    ["a share out of range", `${smallest}retry-budget = 101%`, 3, /share from 0 to 1/],
    ["a share in exponential notation", `${smallest}retry-budget = 1e-3`, 3, /share from 0 to 1/],
    ["a deadline without a unit", `${smallest}[class stops-lookup/a]\ndeadline = 10`, 4, /with a unit/],
    ["a deadline of zero", `${smallest}[class stops-lookup/a]\ndeadline = 0 s`, 4, /with a unit/],
    ["an unknown method", `${smallest}[class stops-lookup/a]\nmethods = post`, 4, /Did you mean "POST"\?/],
    ["a relative path", `${smallest}[class stops-lookup/a]\npath = x`, 4, /Begin it with/],
    [
        "a boolean other than yes and no",
        `${smallest}[class stops-lookup/a]\nidempotent = true`,
        4,
        /yes or no/,
    ],
    ["a class of an unknown service", `${smallest}[class stop-lookup/a]`, 3, /Did you mean "stops-lookup"\?/],
    ["an unknown dependency", `${smallest}depends-on = notices`, 3, /Add a section \[service notices\]/],
    [
        "a duplicate dependency",
        `${smallest}depends-on = b b\n[service b]\nserver = 192.0.2.1:1`,
        3,
        /each service to appear once/,
    ],
    [
        "a dependency of a service on itself",
        `${smallest}depends-on = stops-lookup`,
        3,
        /stops-lookup > stops-lookup/,
    ],
    ["a line above all sections", `server = 192.0.2.1:1\n${smallest}`, 1, /above the first section/],
    ["a line without an equals sign", `${smallest}leaving`, 3, /key = value/],
    [
        "a section header without closing bracket",
        `${smallest}[service b\nserver = nonsense`,
        3,
        /one "\[" and one "\]"/,
    ],
    ["a control character", `${smallest}chooser = \u0007`, 3, /found "chooser = \\u0007"/],
    ["an escaped control character", `${smallest}chooser = "a\\u0007"`, 3, /without control characters/],
    ["an invisible character", `${smallest}chooser = \u202erandom`, 3, /found "chooser = \\u202erandom"/],
    ["a key that names a property of every object", `${smallest}__proto__ = 1`, 3, /Remove the line/],
    [
        "a name that names a property of every object",
        "[service constructor]\nserver = 192.0.2.1:1",
        1,
        /a service's name/,
    ],
    [
        "a name with upper-case letters and a space",
        "[service Stops Lookup]\nserver = 192.0.2.1:1",
        1,
        /for example to "stops-lookup"/,
    ],
    [
        "a name that is too long",
        `[service ${"a".repeat(64)}]\nserver = 192.0.2.1:1`,
        1,
        /at most 63 characters/,
    ],
    ["a line that is too long", `${smallest}depends-on = ${"a".repeat(maxLineLength)}`, 3, /at most 2000/],
];

for (const [what, text, line, message] of invalidTexts) {
    test(`${what} is rejected with its line number`, () => {
        const err = onlyError(text);
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

test("a chain of six services is accepted, one of seven is rejected", () => {
    assert.ok(parseConfig(chain(6)).ok);
    assert.match(onlyError(chain(7)).message, /Shorten s0 > s1 > s2 > s3 > s4 > s5 > s6/);
});

test("the error for a dependency cycle lists the services of the cycle", () => {
    const text = chain(3).replace("s2]\nserver", "s2]\ndepends-on = s0\nserver");
    assert.match(onlyError(text).message, /s0 > s1 > s2 > s0/);
});

test("all errors are reported at once, ordered by line and limited in number", () => {
    const errors = errorsOf("[service a]\nserver = x\nslots = 1\n[service B]\n");
    assert.deepEqual(
        errors.map(err => err.line),
        [2, 3, 4, 4],
    );
    const many = errorsOf(`[service a]\n${"x = 1\n".repeat(2 * maxErrors)}`);
    assert.equal(many.length, maxErrors + 1);
});

test("every text is either parsed or rejected with line numbers inside the text", () => {
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
            const reparsed = parseValid(parsed.document.toString());
            assert.deepEqual(reparsed.spec, parsed.spec);
            return reparsed.document.digest === parsed.document.digest;
        }),
        { seed: 1, numRuns: 3_000 },
    );
});

test("parsing only the changed services gives the same result as parsing everything", () => {
    const before = parseValid(largeText(20, 3));
    const text = largeText(20, 3)
        .replace("10.0.7.2:8080", "10.0.7.200:8080")
        .replace("[service service-19]", "");
    const edited = parseValid(largeText(20, 3).replace("10.0.7.2:8080", "10.0.7.200:8080"));
    const after = parseDocument(before.document.apply(before.document.diff(edited.document)), before);
    assert.ok(after.ok);
    assert.deepEqual(after.spec, edited.spec);
    assert.equal(after.spec.services.get("service-3"), before.spec.services.get("service-3"));
    assert.notEqual(after.spec.services.get("service-7"), before.spec.services.get("service-7"));
    assert.ok(!parseDocument(ConfigDocument.parse(text.replaceAll("service-18", "service-99")), before).ok);
});

test("a change that breaks the dependency of an unchanged service is rejected", () => {
    const before = parseValid(largeText(8, 1));
    const without = before.document.apply({
        set: [],
        remove: ["service service-1", "class service-1/orders"],
    });
    const parsed = parseDocument(without, before);
    assert.ok(!parsed.ok);
    assert.match(parsed.errors[0]!.message, /found "service-1"; expected a service defined in this text/);
});
