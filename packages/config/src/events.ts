/** Events of the configuration; the catalogue of log events assigns their numbers. */

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

/** An event that is logged for operators. */
export interface ConfigEvent {
    readonly name: ConfigEventName;
    /** The event's details, as one sentence. */
    readonly text: string;
}

/** Handles events. */
export type ConfigEventHandler = (event: ConfigEvent) => void;

/** Creates an event. */
export const configEvent = (name: ConfigEventName, text: string): ConfigEvent => ({ name, text });
