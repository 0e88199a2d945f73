/** The `slopes` measurement: measures every slope and writes the tables of docs/CAPACITY.md. */

import { readFileSync, writeFileSync } from "node:fs";
import { cpus, loadavg } from "node:os";
import { fileURLToPath } from "node:url";
import { Command } from "commander";
import { monotonicMs } from "./clock.js";
import { dispatchSlopes, hintSlope, metricsSlopes, placementSlope, textSlopes } from "./slopes-dispatch.js";
import type { Slope } from "./slopes-fit.js";
import {
    checkpointFigures,
    configSlopes,
    membershipSlopes,
    onceSlopes,
    vmListSlopes,
} from "./slopes-traffic.js";
import { marginOf, type Figures, type CapacityRow } from "./slopes-capacity.js";
import { TargetCapacity } from "./slopes-target.js";

const capacityPage = fileURLToPath(new URL("../../../../docs/CAPACITY.md", import.meta.url));
const startMarker = "<!-- slopes: written by `npm run -s measure -- slopes` -->";
const endMarker = "<!-- end of slopes -->";
const defaultMaxNodes = "128";
const msPerSecond = 1_000;
const bytesPerMegabyte = 1_000_000;
const smallestShown = 1e-6;

/** The `slopes` subcommand. */
export const slopesCommand = (): Command =>
    new Command("slopes")
        .description("measure every slope and write the tables of docs/CAPACITY.md")
        .option(
            "--nodes <count>",
            "greatest number of entry VMs in the membership measurement",
            defaultMaxNodes,
        )
        .option("--dry", "print the tables without writing the page")
        .action(async (options: { readonly nodes: string; readonly dry?: boolean }) => {
            const measured = await measure(Number(options.nodes));
            const table = tableOf(measured);
            console.log(table);
            if (!options.dry) {
                replaceTable(capacityPage, table);
            }
            console.log(JSON.stringify(summaryOf(measured)));
        });

interface Measured {
    readonly slopes: readonly Slope[];
    readonly figures: Figures;
    readonly load: string;
    readonly seconds: number;
    readonly megabytes: number;
}

const measure = async (maxNodes: number): Promise<Measured> => {
    const start = monotonicMs();
    const load = loadAverage();
    const text = textSlopes();
    const dispatch = dispatchSlopes();
    const metrics = await metricsSlopes();
    const [config, configFigures] = await configSlopes();
    const slopes = [
        ...text,
        ...config,
        ...dispatch,
        hintSlope(),
        placementSlope(),
        ...metrics,
        ...(await onceSlopes()),
        ...(await vmListSlopes()),
        ...(await membershipSlopes(maxNodes)),
    ];
    return {
        slopes,
        figures: { ...configFigures, ...(await checkpointFigures()) },
        load: `${load} at the start, ${loadAverage()} at the end, ${cpus().length} cores`,
        seconds: Math.round((monotonicMs() - start) / msPerSecond),
        megabytes: Math.round((process.resourceUsage().maxRSS * 1_024) / bytesPerMegabyte),
    };
};

const loadAverage = (): string => (loadavg()[0] ?? 0).toFixed(1);

const tableOf = ({ slopes, figures, load, seconds, megabytes }: Measured): string => {
    const lines = slopes.map(
        slope =>
            `| \`${slope.name}\` | ${slope.per} | ${formatPoints(slope)} | ${formatNumber(slope.slope)} ${slope.unit} | ` +
            `${formatNumber(slope.intercept)} ${slope.unit} | ${formatNumber(slope.residual)} ${slope.unit} |`,
    );
    const figureLines = Object.entries(figures).map(([name, value]) => `| \`${name}\` | ${value} |`);
    return [
        `Taken in ${seconds} s with at most ${megabytes} MB; load average ${load}.`,
        "",
        "| Slope | For one more | Measured, size: value | Slope | At size 0 | Greatest residual |",
        "| --- | --- | --- | --- | --- | --- |",
        ...lines,
        "",
        "| Figure | Value |",
        "| --- | --- |",
        ...figureLines,
        "",
        ...targetLines(slopes, figures),
    ].join("\n");
};

const targetLines = (slopes: readonly Slope[], figures: Figures): readonly string[] => {
    const target = new TargetCapacity(slopes, figures);
    return [
        `At the target: n = ${target.vms} entry VMs, h = ${target.hosted} services dispatched by each, s = 24.2 backend servers a service.`,
        "",
        "| Role | What | Formula | Figure | Target | Margin |",
        "| --- | --- | --- | --- | --- | --- |",
        ...target.rows().map(capacityLine),
    ];
};

const capacityLine = (row: CapacityRow): string => {
    const { role, what, formula, value, unit, limit } = row;
    const limitText = limit === undefined ? "" : `${limit} ${unit}`;
    return `| ${role} | ${what} | ${formula} | ${formatNumber(value)} ${unit} | ${limitText} | ${marginOf(row)} |`;
};

const formatPoints = ({ points }: Slope): string =>
    points.map(({ size, value }) => `${size}: ${formatNumber(value)}`).join(", ");

const formatNumber = (value: number): string =>
    Math.abs(value) < smallestShown ? "0" : String(Number(value.toPrecision(4)));

const summaryOf = ({ slopes, figures }: Measured) => ({
    slopes: Object.fromEntries(
        slopes.map(({ name, unit, slope, intercept, residual }) => [
            name,
            { unit, slope, intercept, residual },
        ]),
    ),
    figures,
});

const replaceTable = (path: string, table: string): void =>
    writeFileSync(path, withTable(readFileSync(path, "utf8"), table));

/**
 * Returns the page with the table between its markers replaced.
 *
 * @throws Error if the page lacks a marker
 */
export const withTable = (text: string, table: string): string => {
    const start = text.indexOf(startMarker);
    const end = text.indexOf(endMarker);
    if (start === -1 || end < start) {
        throw new Error(`the page lacks the markers "${startMarker}" and "${endMarker}"`);
    }
    return `${text.slice(0, start + startMarker.length)}\n\n${table}\n\n${text.slice(end)}`;
};
