/** The commands that show what entry VMs see: status and explain. */

import type { Context } from "./context.js";
import {
    Entries,
    values,
    type Answer,
    type EntryStatus,
    type Explanation,
    type ServiceView,
} from "./entries.js";
import { CliError } from "./exit.js";
import { shortDigest } from "./publishing.js";
import { counted, table, type Terminal, type Tone } from "./terminal.js";

/** `status`: version, members, services, backend servers and queue of each entry VM. */
export const status = async (context: Context, json: boolean): Promise<void> => {
    const { terminal } = context;
    const entries = new Entries(context.settings);
    terminal.progress(`Asking ${counted(entries.count, "entry VM")}...`);
    const answers = await entries.status();
    if (json) {
        terminal.print(JSON.stringify(answers));
    } else {
        terminal.print(table([entryHead, ...answers.map(entryRow)]));
        const rows = answers.flatMap(({ value }) =>
            value ? value.services.map(view => serviceRow(value, view)) : [],
        );
        terminal.print(rows.length === 0 ? "No service is dispatched." : table([serviceHead, ...rows]));
    }
    failIfUnreachable(answers);
};

/** `explain SERVICE`: why each backend server is or isn't getting work. */
export const explain = async (context: Context, service: string, json: boolean): Promise<void> => {
    const { terminal } = context;
    const entries = new Entries(context.settings);
    terminal.progress(`Asking ${counted(entries.count, "entry VM")}...`);
    const answers = await entries.explain(service);
    if (answers.every(answer => answer.status === httpNotFound)) {
        throw new CliError("not-found", `No entry VM knows a service "${service}".`);
    }
    if (json) {
        terminal.print(JSON.stringify(answers));
    } else {
        values(answers);
        for (const answer of answers) {
            terminal.print(explanation(answer, terminal));
        }
    }
    failIfUnreachable(answers);
};

const httpNotFound = 404;

const bytesPerMb = 1_000_000;

const failIfUnreachable = (answers: readonly Answer<unknown>[]): void => {
    const silent = answers.filter(({ value }) => value === undefined);
    if (silent.length > 0) {
        const lines = silent.map(({ address, failure }) => `${address}: ${failure}`);
        throw new CliError("entry-unreachable", `Without a usable answer:\n${lines.join("\n")}`);
    }
};

const entryHead = ["ENTRY VM", "STATE", "VERSION", "DIGEST", "MEMBERS", "SERVICES", "MEMORY"];

const entryRow = ({ address, value, failure }: Answer<EntryStatus>): readonly string[] => {
    if (!value) {
        return [address, failure];
    }
    const { version, rssBytes } = value;
    return [
        value.id,
        value.state,
        version ? String(version.number) : "none",
        shortDigest(version?.digest ?? ""),
        memberCounts(value),
        String(value.services.length),
        rssBytes === undefined ? "" : `${Math.round(rssBytes / bytesPerMb)} MB`,
    ];
};

const memberCounts = ({ members }: EntryStatus): string => {
    const counts = countBy(members.map(member => member.state));
    return [...counts].map(([state, count]) => `${count} ${state}`).join(", ");
};

const serviceHead = ["SERVICE", "ENTRY VM", "QUEUED", "IN FLIGHT", "BACKEND SERVERS"];

const serviceRow = ({ id }: EntryStatus, view: ServiceView): readonly string[] => {
    const states = countBy(view.servers.map(server => server.state));
    const servers = [...states].map(([state, count]) => `${count} ${state}`).join(", ");
    return [view.service, id, String(view.queued), String(view.inFlight), servers];
};

const countBy = (words: readonly string[]): ReadonlyMap<string, number> => {
    const counts = new Map<string, number>();
    for (const word of words) {
        counts.set(word, (counts.get(word) ?? 0) + 1);
    }
    return counts;
};

const explanation = ({ address, value, failure }: Answer<Explanation>, terminal: Terminal): string => {
    if (!value) {
        return `${address}: ${terminal.tone("bad", failure)}`;
    }
    const dispatchers = `dispatched by ${value.dispatchers.join(", ") || "no entry VM"}`;
    const head = `${address}: ${value.service} is ${dispatchers}`;
    const notes = value.notes.map(note => `  ${note}`);
    const servers = value.view?.servers.map(server => serverLine(server, terminal)) ?? [];
    return [head, ...notes, ...servers].join("\n");
};

const serverLine = (server: ServiceView["servers"][number], terminal: Terminal): string => {
    const state = terminal.tone(tones[server.state] ?? "warn", server.state.padEnd(stateWidth));
    const load = `${server.inFlight}/${server.limit}`.padEnd(loadWidth);
    return `  ${server.address.padEnd(addressWidth)} ${state} ${load} ${server.why}`;
};

const addressWidth = 21;

const stateWidth = 8;

const loadWidth = 7;

const tones: Readonly<Record<string, Tone>> = { serving: "good", ejected: "bad", draining: "faint" };
