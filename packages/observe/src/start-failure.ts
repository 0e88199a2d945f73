/** Reports why an entry process could not start. */

import type { EventLog } from "./event-log.js";

/** Exit codes of an entry process, one for each cause of a failed start. */
export const startExitCodes = {
    settingsInvalid: 2,
    portUnavailable: 3,
    /** A second signal ended the process during its shutdown. */
    forcedStop: 4,
    addressNotLocal: 5,
    portForbidden: 6,
    listenFailed: 7,
    other: 8,
} as const;

/** Returns the settings that name the address "IP:port", with their place in the settings file. */
export type FindSetting = (address: string) => string;

/** Logs the cause of a failed start, and returns the exit code of the process. */
export const reportFailedStart = (events: EventLog, err: unknown, findSetting: FindSetting): number => {
    const reason = err instanceof Error ? err.message : String(err);
    const { code, address: host, port } = err as Partial<ListenError>;
    if (code === undefined || host === undefined || port === undefined) {
        events.emit("start-failed", { reason });
        return startExitCodes.other;
    }
    const address = `${host}:${port}`;
    const fields = { address, setting: findSetting(address), reason };
    switch (code) {
        case "EADDRINUSE":
            events.emit("port-unavailable", fields);
            return startExitCodes.portUnavailable;
        case "EADDRNOTAVAIL":
            events.emit("address-not-local", fields);
            return startExitCodes.addressNotLocal;
        case "EACCES":
            events.emit("port-forbidden", fields);
            return startExitCodes.portForbidden;
        default:
            events.emit("listen-failed", fields);
            return startExitCodes.listenFailed;
    }
};

/** Error of Node's servers and sockets that can't listen. */
interface ListenError {
    readonly code: string;
    readonly address: string;
    readonly port: number;
}
