/** Events of configuration, which the catalogue of log events numbers. */

/** Name of an event. */
export type ConfigEventName =
    | "version-accepted"
    | "record-skipped"
    | "log-unavailable"
    | "log-back"
    | "version-from-peer"
    | "records-missing"
    | "release-outdated"
    | "checkpoint-skipped"
    | "checkpoint-appended"
    | "version-conflict"
    | "log-shrunk"
    | "offer-skipped";

/** Something that an operator may have to know. */
export interface ConfigEvent {
    readonly name: ConfigEventName;
    /** One sentence. */
    readonly text: string;
}

/** Takes events. */
export type ConfigEventHandler = (event: ConfigEvent) => void;

/** Builds an event. */
export const configEvent = (name: ConfigEventName, text: string): ConfigEvent => ({ name, text });
