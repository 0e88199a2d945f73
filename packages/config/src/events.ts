/** Numbered events of configuration; the operators' pages say what to do about each. */

/** Every event's number. */
export const configEvents = {
    "version-accepted": 401,
    "record-skipped": 402,
    "log-unavailable": 403,
    "log-back": 404,
    "version-from-peer": 405,
    "records-missing": 406,
    "release-outdated": 407,
    "checkpoint-skipped": 408,
    "checkpoint-appended": 409,
    "version-conflict": 410,
    "log-shrunk": 411,
    "offer-skipped": 412,
} as const;

/** Name of an event. */
export type ConfigEventName = keyof typeof configEvents;

/** Something that an operator may have to know. */
export interface ConfigEvent {
    readonly name: ConfigEventName;
    readonly number: number;
    /** One sentence. */
    readonly text: string;
}

/** Takes events. */
export type ConfigEvents = (event: ConfigEvent) => void;

/** Builds an event. */
export const configEvent = (name: ConfigEventName, text: string): ConfigEvent => ({
    name,
    number: configEvents[name],
    text,
});
