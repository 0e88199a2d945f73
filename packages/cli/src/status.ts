/** The commands that show the state of entry VMs: status and explain. */

import type { CommandContext } from "./context.js";
import {
    EntryVmClient,
    successfulValues,
    type EntryVmResponse,
    type EntryStatus,
    type Explanation,
    type ServiceView,
} from "./entryvms.js";
import { CliError } from "./exit.js";
import { shortDigest } from "./publishing.js";
import { formatCount, formatTable, type Terminal, type Style } from "./terminal.js";

/** `status`: shows version, members, services, backend servers and queue of each entry VM. */
export const status = async (context: CommandContext, json: boolean): Promise<void> => {
    const { terminal } = context;
    const entryVms = new EntryVmClient(context.settings);
    terminal.progress(`Asking ${formatCount(entryVms.count, "entry VM")}...`);
    const responses = await entryVms.status();
    if (json) {
        terminal.print(JSON.stringify(responses));
    } else {
        terminal.print(formatTable([entryVmHeader, ...responses.map(entryVmRow)]));
        const rows = responses.flatMap(({ value }) =>
            value ? value.services.map(view => serviceRow(value, view)) : [],
        );
        terminal.print(
            rows.length === 0 ? "No service is dispatched." : formatTable([serviceHeader, ...rows]),
        );
    }
    failIfUnreachable(responses);
};

/** `explain SERVICE`: shows why each backend server does or doesn't receive calls. */
export const explain = async (context: CommandContext, service: string, json: boolean): Promise<void> => {
    const { terminal } = context;
    const entryVms = new EntryVmClient(context.settings);
    terminal.progress(`Asking ${formatCount(entryVms.count, "entry VM")}...`);
    const responses = await entryVms.explain(service);
    if (responses.every(response => response.status === httpNotFound)) {
        throw new CliError("not-found", `No entry VM has a service "${service}".`);
    }
    if (json) {
        terminal.print(JSON.stringify(responses));
    } else {
        successfulValues(responses);
        for (const response of responses) {
            terminal.print(formatExplanation(response, terminal));
        }
    }
    failIfUnreachable(responses);
};

const httpNotFound = 404;

const bytesPerMb = 1_000_000;

const failIfUnreachable = (responses: readonly EntryVmResponse<unknown>[]): void => {
    const failed = responses.filter(({ value }) => value === undefined);
    if (failed.length > 0) {
        const lines = failed.map(({ address, failure }) => `${address}: ${failure}`);
        throw new CliError("entry-unreachable", `No usable response from:\n${lines.join("\n")}`);
    }
};

const entryVmHeader = ["ENTRY VM", "STATE", "VERSION", "DIGEST", "MEMBERS", "SERVICES", "MEMORY"];

const entryVmRow = ({ address, value, failure }: EntryVmResponse<EntryStatus>): readonly string[] => {
    if (!value) {
        return [address, failure];
    }
    const { version, rssBytes } = value;
    return [
        value.id,
        value.state,
        version ? String(version.number) : "none",
        shortDigest(version?.digest ?? ""),
        formatMemberCounts(value),
        String(value.services.length),
        rssBytes === undefined ? "" : `${Math.round(rssBytes / bytesPerMb)} MB`,
    ];
};

const formatMemberCounts = ({ members }: EntryStatus): string => {
    const counts = countOccurrences(members.map(member => member.state));
    return [...counts].map(([state, count]) => `${count} ${state}`).join(", ");
};

const serviceHeader = ["SERVICE", "ENTRY VM", "QUEUED", "IN FLIGHT", "BACKEND SERVERS"];

const serviceRow = ({ id }: EntryStatus, view: ServiceView): readonly string[] => {
    const states = countOccurrences(view.servers.map(server => server.state));
    const servers = [...states].map(([state, count]) => `${count} ${state}`).join(", ");
    return [view.service, id, String(view.queued), String(view.inFlight), servers];
};

const countOccurrences = (values: readonly string[]): ReadonlyMap<string, number> => {
    const counts = new Map<string, number>();
    for (const value of values) {
        counts.set(value, (counts.get(value) ?? 0) + 1);
    }
    return counts;
};

const formatExplanation = (
    { address, value, failure }: EntryVmResponse<Explanation>,
    terminal: Terminal,
): string => {
    if (!value) {
        return `${address}: ${terminal.style("bad", failure)}`;
    }
    const dispatchers = `dispatched by ${value.dispatchers.join(", ") || "no entry VM"}`;
    const title = `${address}: ${value.service} is ${dispatchers}`;
    const notes = value.notes.map(note => `  ${note}`);
    const servers = value.view?.servers.map(server => formatServer(server, terminal)) ?? [];
    return [title, ...notes, ...servers].join("\n");
};

const formatServer = (server: ServiceView["servers"][number], terminal: Terminal): string => {
    const state = terminal.style(stateStyles[server.state] ?? "warn", server.state.padEnd(stateWidth));
    const load = `${server.inFlight}/${server.limit}`.padEnd(loadWidth);
    return `  ${server.address.padEnd(addressWidth)} ${state} ${load} ${server.why}`;
};

const addressWidth = 21;

const stateWidth = 8;

const loadWidth = 7;

const stateStyles: Readonly<Record<string, Style>> = { serving: "good", ejected: "bad", draining: "faint" };
