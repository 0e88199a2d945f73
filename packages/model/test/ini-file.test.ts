import assert from "node:assert/strict";
import { test } from "node:test";
import { checkKeys, maxTextLength, readIni } from "../src/ini-file.js";
import { formatError, nearest } from "../src/text-error.js";

test("sections, keys, decoded values and lines are kept", () => {
    const file = readIni('\ufefftop = 1\r\n\r\n[a.b]\r\nk = "x # y"\r\nk = C:\\\\z ; said', "settings.ini");
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

test("an error of a settings file begins with file and line and suggests a key", () => {
    const file = readIni("[entry]\nfailure-domian = a", "settings.ini");
    const [err] = checkKeys(file.sections[0]!, { "failure-domain": "once", region: "once" });
    const wanted = 'settings.ini:2: read "failure-domian"; wanted a key of [entry]: failure-domain, region. ';
    assert.equal(formatError(file.file, err!), `${wanted}Did you mean "failure-domain"?`);
});

test("a quotation mark that is not closed at the end of the line is refused", () => {
    const file = readIni(`[a]\nk = "x"\nk = 'x'\nk = "x" ; said\nk = "\nk = 'x"\nk = x"`, "settings.ini");
    assert.deepEqual(
        file.errors.map(err => err.line),
        [4, 5, 6],
    );
});

test("a text that is too long is refused before it is read", () => {
    const file = readIni("x".repeat(maxTextLength + 1), "long.ini");
    assert.equal(file.sections.length, 0);
    assert.match(file.errors[0]!.message, /at most 4194304 characters/);
});

test("what is not near any candidate gets no suggestion", () => {
    assert.equal(nearest("zzzzzz", ["server", "chooser"]), undefined);
    assert.equal(nearest("sever", ["chooser", "server"]), "server");
});
