import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { HeadLines } from "../src/headlines.js";

const problemOf = (text: string, pieces: readonly number[] = []): string | undefined => {
    const lines = new HeadLines();
    let at = 0;
    for (const bytes of pieces) {
        lines.read(Buffer.from(text.slice(at, at + bytes), "latin1"));
        at += bytes;
    }
    lines.read(Buffer.from(text.slice(at), "latin1"));
    return lines.problem;
};

const problem = "a line of it doesn't end with CR LF";
const sound = "HTTP/1.1 200 OK\r\nA: b\r\nC:\r\n\r\nbody \r \n \r\n\n";

for (const [what, text] of Object.entries({
    "a head": sound,
    "a head without fields": "HTTP/1.1 200 OK\r\n\r\n",
    "a head behind empty lines": `\r\n\n\r\r\n${sound}`,
    "interim heads and a head": `HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nA: b\r\n\r\n${sound}`,
})) {
    test(`${what}, in whatever pieces, has no problem`, () => {
        fc.assert(
            fc.property(fc.array(fc.integer({ min: 1, max: 9 }), { maxLength: 40 }), pieces => {
                assert.equal(problemOf(text, pieces), undefined);
            }),
        );
    });
}

// Guards against heads of which Node's parser takes a part for the body.
test("a head in which a line ends otherwise is none, in whatever pieces it arrives", () => {
    const heads = ["\r", "\n", "\r\r\n", "\n\r", "\r\n\r", "\r\n\n"].flatMap(end => [
        `HTTP/1.1 200 OK${end}A: b\r\n\r\nbody`,
        `HTTP/1.1 200 OK\r\nA: b${end}C: d\r\n\r\nbody`,
        `HTTP/1.1 200 OK\r\n${end}A: b\r\n\r\nbody`,
        `HTTP/1.1 103 X\r\nA: b${end}C: d\r\n\r\n${sound}`,
    ]);
    fc.assert(
        fc.property(
            // But for those that begin with a whole head.
            fc.constantFrom(...heads.filter(it => it.indexOf("\r\n\r\n") > it.indexOf("A: b"))),
            fc.array(fc.integer({ min: 1, max: 9 }), { maxLength: 40 }),
            (text, pieces) => assert.equal(problemOf(text, pieces), problem, JSON.stringify(text)),
        ),
        { numRuns: 500, seed: 1 },
    );
});

test("a head that hasn't ended isn't one yet", () => {
    assert.equal(problemOf("HTTP/1.1 200 OK\r\nA: b\r\n"), problem);
    assert.equal(problemOf("HTTP/1.1 103 X\r\n\r\n"), problem);
});
