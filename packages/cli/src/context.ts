/** What the commands share: dependencies, settings and access to the platform's log. */

import type { Grammars } from "@bramleymoor/config/version";
import { HttpPlatform } from "@bramleymoor/platform/http";
import type { LogService } from "@bramleymoor/platform/log";
import type { Random, Sleep } from "@bramleymoor/platform/timers";
import { CliError } from "./exit.js";
import { readSettings, type Settings, type SettingsFlags } from "./settings.js";
import type { Terminal } from "./terminal.js";

/** External dependencies of the commands; tests replace them. */
export interface Dependencies {
    readonly terminal: Terminal;
    readonly sleep: Sleep;
    readonly random: Random;
    /** Milliseconds of a monotonic clock. */
    readonly now: () => number;
    /** Returns a new publication id. */
    readonly newId: () => string;
    /** The grammars that the program supports. */
    readonly grammars: Grammars;
}

/** Context of one command run. */
export class CommandContext {
    readonly dependencies: Dependencies;
    readonly settings: Settings;

    /**
     * @throws CliError if the settings can't be used
     */
    constructor(dependencies: Dependencies, flags: SettingsFlags) {
        this.dependencies = dependencies;
        this.settings = readSettings(flags);
    }

    /** Terminal that the command writes to. */
    get terminal(): Terminal {
        return this.dependencies.terminal;
    }

    /** Calls `action` with the platform's log, then closes its connections. */
    async withLog<T>(action: (log: LogService) => Promise<T>): Promise<T> {
        const platform = this.#platform();
        try {
            return await action(platform);
        } finally {
            platform.close();
        }
    }

    #platform(): HttpPlatform {
        const url = this.settings.platform;
        if (url === undefined) {
            const how = "Give --platform URL, or add a line platform = URL to the settings file.";
            throw new CliError("usage", `No platform address is configured. ${how}`);
        }
        return new HttpPlatform(url);
    }
}
