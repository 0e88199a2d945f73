import assert from "node:assert/strict";
import { test } from "node:test";
import { checkKeys, maxTextLength, parseIni } from "../src/ini-file.js";
import { formatDiagnostic, closestMatch } from "../src/diagnostic.js";

test("parsing keeps sections, keys, decoded values and line numbers", () => {
    const file = parseIni('\ufefftop = 1\r\n\r\n[a.b]\r\nk = "x # y"\r\nk = C:\\\\z ; said', "settings.ini");
    assert.deepEqual(file.errors, []);
    assert.deepEqual(file.sections, [
        { name: "", line: 1, entries: [{ key: "top", value: "1", line: 1 }] },
        {
            name: "a.b",
            line: 3,
            entries: [
                { key: "k", value: "x # y", line: 4 },
                { key: "k", value: "C:\\z", line: 5 },
            ],
        },
    ]);
});

test("a diagnostic of a settings file begins with file and line and suggests a key", () => {
    const file = parseIni("[entry]\nfailure-domian = a", "settings.ini");
    const [err] = checkKeys(file.sections[0]!, { "failure-domain": "once", region: "once" });
    const expected =
        'settings.ini:2: found "failure-domian"; expected a key of [entry]: failure-domain, region. ';
    assert.equal(formatDiagnostic(file.file, err!), `${expected}Did you mean "failure-domain"?`);
});

test("a value whose quotation mark is not closed at the end of the line is rejected", () => {
    const file = parseIni(`[a]\nk = "x"\nk = 'x'\nk = "x" ; said\nk = "\nk = 'x"\nk = x"`, "settings.ini");
    assert.deepEqual(
        file.errors.map(err => err.line),
        [4, 5, 6],
    );
});

test("a text that is too long is rejected without being parsed", () => {
    const file = parseIni("x".repeat(maxTextLength + 1), "long.ini");
    assert.equal(file.sections.length, 0);
    assert.match(file.errors[0]!.message, /at most 4194304 characters/);
});

test("a word that is close to no candidate gets no suggestion", () => {
    assert.equal(closestMatch("zzzzzz", ["server", "chooser"]), undefined);
    assert.equal(closestMatch("sever", ["chooser", "server"]), "server");
});
