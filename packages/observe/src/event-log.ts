/** Writes numbered log events through loglevel, as JSON lines or as text. */

import loglevel from "loglevel";
import {
    eventDefinitions,
    type EventFields,
    type EventLevel,
    type EventName,
    type EventDefinition,
} from "./catalogue.js";

/** Format of log lines. */
export type LogFormat = "json" | "text";

/** Options of an event log. */
export interface EventLogOptions {
    /** Name of the entry VM or program that writes the events. */
    readonly source: string;
    readonly format: LogFormat;
    /** Minimum level; events below it are not written. */
    readonly level: EventLevel;
    /** Writes one line, which is passed without a line feed. */
    readonly write: (line: string) => void;
    /** Returns the wall clock time in milliseconds since 1970. */
    readonly clock: () => number;
}

/** Writes the events of the catalogue and limits the rate of each event. */
export class EventLog {
    readonly #logger: loglevel.Logger;
    readonly #options: EventLogOptions;
    readonly #windows = new Map<EventName, RateWindow>();

    /**
     * @param options output, format and level
     */
    constructor(options: EventLogOptions) {
        this.#options = options;
        this.#logger = loglevel.getLogger(Symbol("events"));
        this.#logger.methodFactory = () => options.write;
        this.#logger.setLevel(options.level, false);
    }

    /** Writes an event, unless `maxEventsPerSecond` events of that name were already written within a second. */
    emit<N extends EventName>(name: N, fields: EventFields<N>): void {
        const now = this.#options.clock();
        const window = this.#windowOf(name, now);
        window.count++;
        if (window.count <= maxEventsPerSecond) {
            this.#write(name, fields, now);
        }
    }

    /**
     * Returns the current rate window of an event. At the start of a new window, logs how many events the previous one
     * suppressed.
     */
    #windowOf(name: EventName, now: number): RateWindow {
        const window = this.#windows.get(name);
        if (window && now - window.startedAt < rateWindowMs && now >= window.startedAt) {
            return window;
        }
        const suppressed = (window?.count ?? 0) - maxEventsPerSecond;
        if (suppressed > 0) {
            this.#write("events-suppressed", { suppressed: name, count: suppressed }, now);
        }
        const next = { startedAt: now, count: 0 };
        this.#windows.set(name, next);
        return next;
    }

    #write(name: EventName, fields: Readonly<Record<string, FieldValue>>, now: number): void {
        const definition = eventDefinitions[name];
        const format = this.#options.format === "json" ? formatJson : formatText;
        this.#logger[definition.level](
            format({ name, definition, fields, now, source: this.#options.source }),
        );
    }
}

/** Maximum number of events of one name that are written per second. */
export const maxEventsPerSecond = 20;

/** Maximum length of a string field, in characters; longer values are truncated. */
export const maxFieldLength = 500;

const rateWindowMs = 1_000;

type FieldValue = string | number | boolean;

interface RateWindow {
    /** Start of the window in milliseconds since 1970. */
    readonly startedAt: number;
    count: number;
}

interface EventRecord {
    readonly name: EventName;
    readonly definition: EventDefinition;
    readonly fields: Readonly<Record<string, FieldValue>>;
    readonly now: number;
    readonly source: string;
}

const unprintable = /[\p{Cc}\p{Cf}\p{Cs}\p{Zl}\p{Zp}]/gu;

/** Returns a field's value truncated, with the characters escaped that could forge a log line. */
const sanitize = (value: FieldValue): FieldValue => {
    if (typeof value !== "string") {
        return value;
    }
    const truncated = value.length > maxFieldLength ? `${value.slice(0, maxFieldLength)}...` : value;
    return truncated.replace(
        unprintable,
        character => `\\u${character.charCodeAt(0).toString(16).padStart(4, "0")}`,
    );
};

/** Returns only the fields that the catalogue lists, so that no other property of the object is written. */
const sanitizedFields = ({ definition, fields }: EventRecord): readonly (readonly [string, FieldValue])[] =>
    Object.keys(definition.fields).map(field => [field, sanitize(fields[field] ?? "")]);

/** Returns the sentence of an event with its placeholders replaced by field values. */
const formatSentence = (record: EventRecord): string => {
    const values = new Map(sanitizedFields(record));
    return record.definition.text.replaceAll(/\{(\w+)\}/g, (_, field: string) => String(values.get(field)));
};

const formatJson = (record: EventRecord): string => {
    const { name, definition, now, source } = record;
    const header = {
        time: new Date(now).toISOString(),
        level: definition.level,
        event: definition.number,
        name,
        source,
    };
    return JSON.stringify({
        ...header,
        text: formatSentence(record),
        ...Object.fromEntries(sanitizedFields(record)),
    });
};

const formatText = (record: EventRecord): string => {
    const { definition, now, source } = record;
    const header = [
        new Date(now).toISOString(),
        definition.level.toUpperCase().padEnd(5),
        definition.number,
        source,
    ];
    return `${header.join(" ")} ${formatSentence(record)}`;
};
