/** Commands, flags and help of the operators' program. */

import { Command, CommanderError, InvalidArgumentError, Option } from "commander";
import { CommandContext, type Dependencies } from "./context.js";
import { CliError, exitCodes, exitDescriptions, type ExitName } from "./exit.js";
import { histograms, type HistogramFlags } from "./histograms.js";
import { raiseToNextGrammar, type RaiseGrammarFlags } from "./raisegrammar.js";
import { restoreFile, type RestoreFlags } from "./restore.js";
import { checkFile, publishFile, type PublishFlags } from "./publishing.js";
import { defaultSettingsFile, type SettingsFlags } from "./settings.js";
import { explain, status } from "./status.js";
import { diff, history, show, type DiffFlags } from "./versioncommands.js";

/** The operators' program with its dependencies. */
export class Program {
    readonly #dependencies: Dependencies;
    readonly #command: Command;

    /**
     * @param dependencies terminal, time, randomness and grammars
     */
    constructor(dependencies: Dependencies) {
        this.#dependencies = dependencies;
        this.#command = this.#buildCommand();
    }

    /** Runs one command line, given without the program's name; resolves to the exit code. */
    async run(args: readonly string[]): Promise<number> {
        try {
            await this.#command.parseAsync([...args], { from: "user" });
            return exitCodes.ok;
        } catch (err) {
            return this.#reportError(err);
        } finally {
            this.#dependencies.terminal.endProgress();
        }
    }

    #reportError(err: unknown): number {
        if (err instanceof CommanderError) {
            return err.exitCode === 0 ? exitCodes.ok : exitCodes.usage;
        }
        if (err instanceof CliError) {
            this.#dependencies.terminal.warn(err.message);
            return exitCodes[err.exitName];
        }
        this.#dependencies.terminal.warn(err instanceof Error ? (err.stack ?? err.message) : String(err));
        return exitCodes.internal;
    }

    #buildCommand(): Command {
        const { terminal } = this.#dependencies;
        const command = new Command("bramleymoor")
            .description("Checks, publishes and inspects the configuration of bramleymoor.")
            .exitOverride()
            .configureOutput({
                writeOut: text => terminal.print(text.trimEnd()),
                writeErr: text => terminal.warn(text.trimEnd()),
            })
            .showHelpAfterError("Run with --help to see the arguments.")
            .addHelpText("after", `\n${examples}\n\n${exitCodeHelp()}`);
        this.#addConfigCommands(command);
        this.#addMaintenanceCommands(command);
        this.#addEntryVmCommands(command);
        for (const subcommand of command.commands) {
            addSettingsFlags(subcommand);
        }
        return command;
    }

    #addConfigCommands(command: Command): void {
        command
            .command("check")
            .argument("<file>", 'configuration file, or "-" for standard input')
            .description("check whether a configuration is valid, and list every error with its line")
            .action(this.#withContext((context, file: string) => checkFile(context, file)));
        command
            .command("publish")
            .argument("<file>", 'configuration file, or "-" for standard input')
            .option(
                "--base <number>",
                "version that the file is based on; required once a version is accepted",
                parseWholeNumber,
            )
            .option("--id <id>", "id of an earlier attempt whose outcome is unknown")
            .addOption(
                new Option("--wait [seconds]", "wait until the version is in force on every entry VM")
                    .argParser(parseWholeNumber)
                    .preset("30"),
            )
            .description("publish a configuration as the next version")
            .action(
                this.#withContext((context, file: string, flags: PublishFlags) =>
                    publishFile(context, file, flags),
                ),
            );
        command
            .command("show")
            .option("--version <number>", "version to print instead of the accepted one", parseWholeNumber)
            .description("print the accepted configuration")
            .action(
                this.#withContext((context, flags: { version?: number }) => show(context, flags.version)),
            );
        command
            .command("diff")
            .argument("[file]", "configuration file to compare with the accepted version")
            .option("--from <number>", "version to compare from", parseWholeNumber)
            .option("--to <number>", "version to compare with, if no file is given", parseWholeNumber)
            .description("show what a file or a version changes")
            .action(
                this.#withContext((context, file: string | undefined, flags: DiffFlags) =>
                    diff(context, file, flags),
                ),
            );
        command
            .command("history")
            .option("--json", "print JSON")
            .description("list the publications that the log still holds, with the outcome of each")
            .action(this.#withContext((context, flags: JsonFlag) => history(context, flags.json === true)));
    }

    #addMaintenanceCommands(command: Command): void {
        const wait = "wait until the version is in force on every entry VM";
        command
            .command("raise-grammar")
            .requiredOption(
                "--base <number>",
                "version in force; its configuration stays unchanged",
                parseWholeNumber,
            )
            .option("--id <id>", "id of an earlier attempt whose outcome is unknown")
            .addOption(new Option("--wait [seconds]", wait).argParser(parseWholeNumber).preset("30"))
            .description("put the next grammar in force, once every entry VM runs a release that supports it")
            .addHelpText("after", `\n${raiseGrammarHelp}`)
            .action(
                this.#withContext((context, flags: RaiseGrammarFlags) => raiseToNextGrammar(context, flags)),
            );
        command
            .command("restore")
            .argument("<file>", 'configuration that was in force, or "-" for standard input')
            .requiredOption(
                "--number <number>",
                "new version number, higher than every version that was ever accepted",
                parseWholeNumber,
            )
            .option("--grammar <number>", "grammar that was in force", parseWholeNumber, 1)
            .description("restore the accepted configuration after the log has lost it")
            .addHelpText("after", `\n${restoreHelp}`)
            .action(
                this.#withContext((context, file: string, flags: RestoreFlags) =>
                    restoreFile(context, file, flags),
                ),
            );
    }

    #addEntryVmCommands(command: Command): void {
        command
            .command("status")
            .option("--json", "print JSON")
            .description("show version, members, services, backend servers and queue of each entry VM")
            .action(this.#withContext((context, flags: JsonFlag) => status(context, flags.json === true)));
        command
            .command("explain")
            .argument("<service>")
            .option("--json", "print JSON")
            .description("show why each backend server of a service does or doesn't receive calls")
            .action(
                this.#withContext((context, service: string, flags: JsonFlag) =>
                    explain(context, service, flags.json === true),
                ),
            );
        command
            .command("histograms")
            .option("--service <service>", "only this service")
            .addOption(new Option("--by <what>", "only histograms of this kind").choices(["class", "tenant"]))
            .option("--json", "print JSON")
            .description("show how long calls took, per service and class or tenant, over all entry VMs")
            .action(this.#withContext((context, flags: HistogramFlags) => histograms(context, flags)));
    }

    /** Wraps an action so that it gets a context built from the command's flags, commander's second to last argument. */
    #withContext<A extends readonly unknown[]>(
        action: (context: CommandContext, ...args: A) => void | Promise<void>,
    ): (...args: unknown[]) => Promise<void> {
        return async (...args) => {
            const flags = args.at(-2) as SettingsFlags;
            await action(
                new CommandContext(this.#dependencies, flags),
                ...(args.slice(0, -1) as unknown as A),
            );
        };
    }
}

interface JsonFlag {
    readonly json?: boolean;
}

const parseWholeNumber = (text: string): number => {
    if (!/^\d{1,9}$/.test(text)) {
        throw new InvalidArgumentError("Expected a whole number of 0 or more, with at most 9 digits.");
    }
    return Number(text);
};

const appendValue = (value: string, previous: readonly string[] | undefined): readonly string[] => [
    ...(previous ?? []),
    value,
];

const addSettingsFlags = (command: Command): void => {
    command
        .option("--settings <file>", `settings file (default: ${defaultSettingsFile}, if it exists)`)
        .option("--platform <url>", "address of the platform, such as http://192.0.2.1:7000")
        .option("--entry <address>", "operators' port of an entry VM, IP:PORT; may be repeated", appendValue)
        .option("--key-file <file>", "file that holds the key of the operators' ports");
};

const raiseGrammarHelp = `This can't be undone. An entry VM whose release doesn't support the next grammar stays at its version,
and a newly started one doesn't become ready. Upgrade every entry VM first, then run this command.`;

const restoreHelp = `Use this only when an entry VM logs config-records-missing (event 1012 of docs/EVENTS.md) and no entry VM
shows a later version than the others. It is refused while the accepted version can still be read from the
log. Entry VMs whose version is not below --number ignore the restored one. Publish the next version with
--base set to --number.`;

const examples = `Examples:
  bramleymoor check deployment.ini
  bramleymoor diff deployment.ini
  bramleymoor publish deployment.ini --base 41 --wait
  bramleymoor explain stops-lookup`;

const exitCodeHelp = (): string => {
    const lines = Object.entries(exitCodes).map(
        ([exit, code]) => `  ${code}  ${exitDescriptions[exit as ExitName]}`,
    );
    return ["Exit codes:", ...lines].join("\n");
};
