/** Puts versions of the configuration in force: each as a whole, once its client accounts can be looked up. */

import { AccountTableBuilder, type AccountTable, type KeyHash } from "@bramleymoor/accounts/table";
import type { ClientAccount, RouteConfig } from "@bramleymoor/model/route";
import { RouteTable } from "@bramleymoor/routing/table";

/** A version of the configuration that is in force. */
export interface ActiveConfig {
    readonly config: RouteConfig;
    readonly routes: RouteTable;
    /** undefined if the version has no client accounts. */
    readonly accounts: AccountTable | undefined;
}

/** Dependencies of a `ConfigActivation`. */
export interface ConfigActivationOptions {
    /** Hashes the keys of client accounts. */
    readonly hash: KeyHash;
    /** Resolves in a later turn of the event loop. */
    readonly nextTurn: () => Promise<void>;
}

/** What becomes of a version. */
export interface ActivationListener {
    /** Called when the version is in force. */
    readonly onActive: (config: RouteConfig) => void;
    /** Called if the version is invalid; the one before it stays in force. */
    readonly onInvalid: (reason: string) => void;
}

interface Version {
    readonly config: RouteConfig;
    readonly listener: ActivationListener;
}

/**
 * Keeps the version that is in force. One without accounts replaces it at once. One with accounts does when their table is
 * complete; of the versions that arrive meanwhile, only the newest follows, so that frequent versions can't keep each other from
 * taking effect.
 */
export class ConfigActivation {
    readonly #options: ConfigActivationOptions;
    #active: ActiveConfig | undefined = undefined;
    #isBuilding = false;
    #next: Version | undefined = undefined;

    constructor(options: ConfigActivationOptions) {
        this.#options = options;
    }

    /** The version in force; undefined before the first. */
    get active(): ActiveConfig | undefined {
        return this.#active;
    }

    /** Puts a newer version in force, at once or in later turns of the event loop. */
    activate(config: RouteConfig, listener: ActivationListener): void {
        if (this.#isBuilding) {
            this.#next = { config, listener };
        } else if (config.accounts) {
            void this.#buildAndReplace({ config, listener }, config.accounts);
        } else {
            this.#replace({ config, listener }, undefined);
        }
    }

    async #buildAndReplace(version: Version, accounts: readonly ClientAccount[]): Promise<void> {
        this.#isBuilding = true;
        const result = await this.#build(accounts).catch((err: unknown) => String(err));
        this.#isBuilding = false;
        if (typeof result === "string") {
            version.listener.onInvalid(result);
        } else {
            this.#replace(version, result);
        }
        const next = this.#next;
        this.#next = undefined;
        if (next) {
            this.activate(next.config, next.listener);
        }
    }

    async #build(accounts: readonly ClientAccount[]): Promise<AccountTable> {
        const builder = new AccountTableBuilder(accounts, this.#options.hash);
        for (;;) {
            const table = builder.addNext(keysPerTurn);
            if (table) {
                return table;
            }
            await this.#options.nextTurn();
        }
    }

    #replace({ config, listener }: Version, accounts: AccountTable | undefined): void {
        this.#active = { config, routes: new RouteTable(config.routes), accounts };
        listener.onActive(config);
    }
}

/** Takes about 1 ms of a core; 4,000 keys take 27 turns, which a busy event loop has in 0.3 s. */
const keysPerTurn = 150;
