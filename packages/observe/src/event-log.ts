/** Writes numbered events as JSON lines or text, through loglevel. */

import loglevel from "loglevel";
import {
    eventDefinitions,
    type EventFields,
    type EventLevel,
    type EventName,
    type EventDefinition,
} from "./catalogue.js";

/** How lines are written. */
export type LogFormat = "json" | "text";

/** What an event log needs. */
export interface EventLogOptions {
    /** Entry VM or program that writes. */
    readonly source: string;
    readonly format: LogFormat;
    /** Events below it are not written. */
    readonly level: EventLevel;
    /** Takes one line without its line feed. */
    readonly write: (line: string) => void;
    /** Wall clock in milliseconds since 1970. */
    readonly clock: () => number;
}

/** Writes events of the catalogue and nothing else. */
export class EventLog {
    readonly #logger: loglevel.Logger;
    readonly #options: EventLogOptions;
    readonly #rates = new Map<EventName, Rate>();

    /**
     * @param options where to and how to write
     */
    constructor(options: EventLogOptions) {
        this.#options = options;
        this.#logger = loglevel.getLogger(Symbol("events"));
        this.#logger.methodFactory = () => options.write;
        this.#logger.setLevel(options.level, false);
    }

    /** Writes an event, unless too many of its kind were written within the second. */
    emit<N extends EventName>(name: N, fields: EventFields<N>): void {
        const now = this.#options.clock();
        const rate = this.#rate(name, now);
        rate.count++;
        if (rate.count <= maxEventsPerSecond) {
            this.#write(name, fields, now);
        }
    }

    /** The rate of an event in the running second; tells what a second gone by has suppressed. */
    #rate(name: EventName, now: number): Rate {
        const rate = this.#rates.get(name);
        if (rate && now - rate.since < secondMs && now >= rate.since) {
            return rate;
        }
        const more = (rate?.count ?? 0) - maxEventsPerSecond;
        if (more > 0) {
            this.#write("events-suppressed", { suppressed: name, count: more }, now);
        }
        const fresh = { since: now, count: 0 };
        this.#rates.set(name, fresh);
        return fresh;
    }

    #write(name: EventName, fields: Readonly<Record<string, FieldValue>>, now: number): void {
        const row = eventDefinitions[name];
        const format = this.#options.format === "json" ? jsonLine : textLine;
        this.#logger[row.level](format({ name, row, fields, now, source: this.#options.source }));
    }
}

/** Most events of one name in a second. */
export const maxEventsPerSecond = 20;

/** Longest text of one field, in characters. */
export const maxFieldLength = 500;

const secondMs = 1_000;

type FieldValue = string | number | boolean;

interface Rate {
    readonly since: number;
    count: number;
}

interface Line {
    readonly name: EventName;
    readonly row: EventDefinition;
    readonly fields: Readonly<Record<string, FieldValue>>;
    readonly now: number;
    readonly source: string;
}

const unprintable = /[\p{Cc}\p{Cf}\p{Cs}\p{Zl}\p{Zp}]/gu;

/** A field's value in bounds, without characters that could forge a line. */
const safe = (value: FieldValue): FieldValue => {
    if (typeof value !== "string") {
        return value;
    }
    const cut = value.length > maxFieldLength ? `${value.slice(0, maxFieldLength)}...` : value;
    return cut.replace(
        unprintable,
        character => `\\u${character.charCodeAt(0).toString(16).padStart(4, "0")}`,
    );
};

/** Only the fields of the catalogue, so that nothing else of an object gets written. */
const known = ({ row, fields }: Line): readonly (readonly [string, FieldValue])[] =>
    Object.keys(row.fields).map(field => [field, safe(fields[field] ?? "")]);

/** The event's sentence with its fields' values. */
const sentence = (line: Line): string => {
    const values = new Map(known(line));
    return line.row.text.replaceAll(/\{(\w+)\}/g, (_, field: string) => String(values.get(field)));
};

const jsonLine = (line: Line): string => {
    const { name, row, now, source } = line;
    const head = { time: new Date(now).toISOString(), level: row.level, event: row.number, name, source };
    return JSON.stringify({ ...head, text: sentence(line), ...Object.fromEntries(known(line)) });
};

const textLine = (line: Line): string => {
    const { row, now, source } = line;
    const head = [new Date(now).toISOString(), row.level.toUpperCase().padEnd(5), row.number, source];
    return `${head.join(" ")} ${sentence(line)}`;
};
