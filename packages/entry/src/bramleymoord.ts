#!/usr/bin/env node
/**
 * The entry process: bramleymoord SETTINGS.INI. SIGTERM or SIGINT starts a graceful shutdown; a second signal ends the
 * process at once.
 */

import { PacedAgent } from "@bramleymoor/input/pacedagent";
import { ReadPacer } from "@bramleymoor/input/pacer";
import { EventLog } from "@bramleymoor/observe/event-log";
import { reportFailedStart, startExitCodes } from "@bramleymoor/observe/start-failure";
import { HttpPlatform } from "@bramleymoor/platform/http";
import { MemoryPlatform } from "@bramleymoor/platform/memory";
import { monotonicMs, wallClockMs } from "./clock.js";
import { EntryNode, type Platform } from "./node.js";
import { findPortSetting, readSettings, SettingsError, type Settings } from "./settings.js";

const write = (line: string): void => {
    process.stdout.write(`${line}\n`);
};

const readSettingsOrExit = (): Settings => {
    const [file, ...rest] = process.argv.slice(2);
    if (file === undefined || rest.length > 0) {
        process.stderr.write("usage: bramleymoord SETTINGS.INI\n");
        process.exit(startExitCodes.settingsInvalid);
    }
    try {
        return readSettings(file);
    } catch (err) {
        process.stderr.write(`${err instanceof SettingsError ? err.message : String(err)}\n`);
        process.exit(startExitCodes.settingsInvalid);
    }
};

const createPlatform = (settings: Settings, events: EventLog): Platform => {
    const { url } = settings.platform;
    if (url !== undefined) {
        return new HttpPlatform(url, new PacedAgent({ keepAlive: true }, new ReadPacer(monotonicMs)));
    }
    events.emit("platform-embedded", {});
    return new MemoryPlatform({ now: monotonicMs });
};

const run = async (): Promise<void> => {
    const settings = readSettingsOrExit();
    const { level, format } = settings.log;
    const events = new EventLog({ source: settings.entry.id, format, level, write, clock: wallClockMs });
    const node = new EntryNode(settings, createPlatform(settings, events), events);
    let signalCount = 0;
    const stop = (signal: NodeJS.Signals): void => {
        signalCount++;
        if (signalCount > 1) {
            process.exit(startExitCodes.forcedStop);
        }
        void node.stop(signal).then(() => process.exit(0));
    };
    process.on("SIGTERM", stop);
    process.on("SIGINT", stop);
    try {
        await node.start();
    } catch (err) {
        process.exit(reportFailedStart(events, err, address => findPortSetting(settings, address)));
    }
};

await run();
