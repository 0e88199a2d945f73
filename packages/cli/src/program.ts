/** The operators' program: its commands, flags and help. */

import { Command, CommanderError, InvalidArgumentError, Option } from "commander";
import { Context, type World } from "./context.js";
import { CliError, exitCodes, exitTexts, type Exit } from "./exit.js";
import { histograms, type HistogramFlags } from "./histograms.js";
import { raise, type RaiseFlags } from "./raising.js";
import { restoreFile, type RestoreFlags } from "./restoring.js";
import { check, publishFile, type PublishFlags } from "./publishing.js";
import { defaultSettingsFile, type SettingsFlags } from "./settings.js";
import { explain, status } from "./status.js";
import { diff, history, show, type DiffFlags } from "./texts.js";

/** The operators' program in a given world. */
export class Program {
    readonly #world: World;
    readonly #command: Command;

    /**
     * @param world terminal, time and randomness
     */
    constructor(world: World) {
        this.#world = world;
        this.#command = this.#build();
    }

    /** Runs one command line, without the program's name; resolves to the exit code. */
    async run(args: readonly string[]): Promise<number> {
        try {
            await this.#command.parseAsync([...args], { from: "user" });
            return exitCodes.ok;
        } catch (err) {
            return this.#fail(err);
        } finally {
            this.#world.terminal.endProgress();
        }
    }

    #fail(err: unknown): number {
        if (err instanceof CommanderError) {
            return err.exitCode === 0 ? exitCodes.ok : exitCodes.usage;
        }
        if (err instanceof CliError) {
            this.#world.terminal.warn(err.message);
            return exitCodes[err.exit];
        }
        this.#world.terminal.warn(err instanceof Error ? (err.stack ?? err.message) : String(err));
        return exitCodes.internal;
    }

    #build(): Command {
        const { terminal } = this.#world;
        const command = new Command("bramleymoor")
            .description("Checks, publishes and watches the text that tells bramleymoor what to serve.")
            .exitOverride()
            .configureOutput({
                writeOut: text => terminal.print(text.trimEnd()),
                writeErr: text => terminal.warn(text.trimEnd()),
            })
            .showHelpAfterError("Add --help for the arguments.")
            .addHelpText("after", `\n${examples}\n\n${exitHelp()}`);
        this.#addTextCommands(command);
        this.#addRareCommands(command);
        this.#addEntryCommands(command);
        for (const sub of command.commands) {
            addSettingsFlags(sub);
        }
        return command;
    }

    #addTextCommands(command: Command): void {
        command
            .command("check")
            .argument("<file>", 'the text, or "-" for standard input')
            .description("tell whether a text is valid, with every error at its line")
            .action(this.#act((context, file: string) => check(context, file)));
        command
            .command("publish")
            .argument("<file>", 'the text, or "-" for standard input')
            .option(
                "--base <number>",
                "version that the text was made from; needed from the second version on",
                whole,
            )
            .option("--id <id>", "identity of an earlier attempt whose outcome is unknown")
            .addOption(
                new Option("--wait [seconds]", "wait until the version is in force on every entry VM")
                    .argParser(whole)
                    .preset("30"),
            )
            .description("publish a text as the next version")
            .action(
                this.#act((context, file: string, flags: PublishFlags) => publishFile(context, file, flags)),
            );
        command
            .command("show")
            .option("--version <number>", "another version than the accepted one", whole)
            .description("print the accepted text")
            .action(this.#act((context, flags: { version?: number }) => show(context, flags.version)));
        command
            .command("diff")
            .argument("[file]", "a text to compare with the accepted version")
            .option("--from <number>", "version to compare from", whole)
            .option("--to <number>", "version to compare with, if no file is given", whole)
            .description("show what a text or a version changes")
            .action(
                this.#act((context, file: string | undefined, flags: DiffFlags) =>
                    diff(context, file, flags),
                ),
            );
        command
            .command("history")
            .option("--json", "print JSON")
            .description("list the publications that the log still holds, and what became of each")
            .action(this.#act((context, flags: JsonFlag) => history(context, flags.json === true)));
    }

    #addRareCommands(command: Command): void {
        const wait = "wait until the version is in force on every entry VM";
        command
            .command("raise-grammar")
            .requiredOption("--base <number>", "version in force; its text stays as it is", whole)
            .option("--id <id>", "identity of an earlier attempt whose outcome is unknown")
            .addOption(new Option("--wait [seconds]", wait).argParser(whole).preset("30"))
            .description("put the next grammar in force, once every entry VM runs a release that knows it")
            .addHelpText("after", `\n${raiseHelp}`)
            .action(this.#act((context, flags: RaiseFlags) => raise(context, flags)));
        command
            .command("restore")
            .argument("<file>", 'the text that was in force, or "-" for standard input')
            .requiredOption("--number <number>", "above every version that was ever accepted", whole)
            .option("--grammar <number>", "grammar that was in force", whole, 1)
            .description("state the accepted text anew, when the log has lost it")
            .addHelpText("after", `\n${restoreHelp}`)
            .action(
                this.#act((context, file: string, flags: RestoreFlags) => restoreFile(context, file, flags)),
            );
    }

    #addEntryCommands(command: Command): void {
        command
            .command("status")
            .option("--json", "print JSON")
            .description("show version, members, services, backend servers and queue of each entry VM")
            .action(this.#act((context, flags: JsonFlag) => status(context, flags.json === true)));
        command
            .command("explain")
            .argument("<service>")
            .option("--json", "print JSON")
            .description("tell why each backend server of a service is or isn't getting work")
            .action(
                this.#act((context, service: string, flags: JsonFlag) =>
                    explain(context, service, flags.json === true),
                ),
            );
        command
            .command("histograms")
            .option("--service <service>", "only this service")
            .addOption(new Option("--by <what>", "only these").choices(["class", "tenant"]))
            .option("--json", "print JSON")
            .description("draw how long calls took, per service and class or tenant, over all entry VMs")
            .action(this.#act((context, flags: HistogramFlags) => histograms(context, flags)));
    }

    /** Wraps an action so that it gets a context made of the command's flags, which come last but one. */
    #act<A extends readonly unknown[]>(
        action: (context: Context, ...args: A) => void | Promise<void>,
    ): (...args: unknown[]) => Promise<void> {
        return async (...args) => {
            const flags = args.at(-2) as SettingsFlags;
            await action(new Context(this.#world, flags), ...(args.slice(0, -1) as unknown as A));
        };
    }
}

interface JsonFlag {
    readonly json?: boolean;
}

const whole = (text: string): number => {
    if (!/^\d{1,9}$/.test(text)) {
        throw new InvalidArgumentError("Write a whole number, 0 or more.");
    }
    return Number(text);
};

const collect = (value: string, before: readonly string[] | undefined): readonly string[] => [
    ...(before ?? []),
    value,
];

const addSettingsFlags = (command: Command): void => {
    command
        .option("--settings <file>", `settings file (default: ${defaultSettingsFile}, if it exists)`)
        .option("--platform <url>", "address of the platform, such as http://192.0.2.1:7000")
        .option("--entry <address>", "operators' port of an entry VM, IP:PORT; may be repeated", collect)
        .option("--key-file <file>", "file that holds the key of the operators' ports");
};

const raiseHelp = `It can't be undone. An entry VM whose release doesn't know the next grammar keeps the version that it has,
and a newly started one doesn't become ready. Replace every entry VM first, then raise.`;

const restoreHelp = `Only when an entry VM says config-records-missing (event 1012 of docs/EVENTS.md) and no entry VM shows a
later version than the others. It is refused while the log still tells the accepted version. Entry VMs that
know a version not below --number don't follow. Publish over --number afterwards.`;

const examples = `Examples:
  bramleymoor check deployment.ini
  bramleymoor diff deployment.ini
  bramleymoor publish deployment.ini --base 41 --wait
  bramleymoor explain stops-lookup`;

const exitHelp = (): string => {
    const lines = Object.entries(exitCodes).map(([exit, code]) => `  ${code}  ${exitTexts[exit as Exit]}`);
    return ["Exit codes:", ...lines].join("\n");
};
