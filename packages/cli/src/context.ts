/** What commands share: terminal, settings, time and randomness. */

import type { Grammars } from "@bramleymoor/config/version";
import { HttpPlatform } from "@bramleymoor/platform/http";
import type { LogService } from "@bramleymoor/platform/log";
import type { Random, Sleep } from "@bramleymoor/platform/timers";
import { CliError } from "./exit.js";
import { readSettings, type Settings, type SettingsFlags } from "./settings.js";
import type { Terminal } from "./terminal.js";

/** The world around a command. */
export interface World {
    readonly terminal: Terminal;
    readonly sleep: Sleep;
    readonly random: Random;
    /** Milliseconds of a monotonic clock. */
    readonly now: () => number;
    /** A new identity for a publication. */
    readonly newId: () => string;
    /** The grammars that the program knows. */
    readonly grammars: Grammars;
}

/** One run of one command. */
export class Context {
    readonly world: World;
    readonly settings: Settings;

    /**
     * @throws CliError if the settings can't be used
     */
    constructor(world: World, flags: SettingsFlags) {
        this.world = world;
        this.settings = readSettings(flags);
    }

    /** Where the command writes. */
    get terminal(): Terminal {
        return this.world.terminal;
    }

    /** Runs with the platform's log, and closes its connections. */
    async withLog<T>(use: (log: LogService) => Promise<T>): Promise<T> {
        const platform = this.#platform();
        try {
            return await use(platform);
        } finally {
            platform.close();
        }
    }

    #platform(): HttpPlatform {
        const url = this.settings.platform;
        if (url === undefined) {
            const how = "Give --platform URL, or a line platform = URL in the settings file.";
            throw new CliError("usage", `The platform's address isn't known. ${how}`);
        }
        return new HttpPlatform(url);
    }
}
