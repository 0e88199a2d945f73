/** Heads of responses that are spoilt in one place, for tests of what becomes of them. */

/** What spoils a name, by what it is. */
const bytes: Readonly<Record<string, string>> = {
    "a blank": " ",
    "a tab": "\t",
    "a CR": "\r",
    "an LF": "\n",
    "a NUL": "\0",
    "the byte 0x01": "\x01",
    "a vertical tab": "\v",
    "the byte 0x7f": "\x7f",
};

/** Where it stands in a name. */
const places: Readonly<Record<string, (byte: string) => string>> = {
    "at the start of": byte => `${byte}X-Trace: abc\r\n`,
    in: byte => `X-Tr${byte}ace: abc\r\n`,
    "at the end of": byte => `X-Trace${byte}: abc\r\n`,
};

const afterStatusLine = (text: string, line: string): string => text.replace("\r\n", () => `\r\n${line}`);
const beforeBody = (text: string, line: string): string => text.replace("\r\n\r\n", () => `\r\n${line}\r\n`);

const spoiltNames = Object.entries(bytes).flatMap(([what, byte]) =>
    Object.entries(places).flatMap(([where, lineOf]) => [
        [`${what} ${where} the first field's name`, (text: string) => afterStatusLine(text, lineOf(byte))],
        [`${what} ${where} the last field's name`, (text: string) => beforeBody(text, lineOf(byte))],
    ]),
) as readonly (readonly [string, (text: string) => string])[];

/** Functions that spoil the head of a sound response of status 200, by what they do. */
export const spoiltHeads: Readonly<Record<string, (text: string) => string>> = {
    "the status 000": text => text.replace(" 200 ", " 000 "),
    "a field without a name": text => beforeBody(text, ": abc\r\n"),
    "a status line that ends with a CR": text => text.replace("\r\n", "\rX"),
    "a status line that ends with an LF": text => text.replace("\r\n", "\n"),
    ...Object.fromEntries(spoiltNames),
};
