/** The `slopes` measurement: every slope of docs/CAPACITY.md, written into that page. */

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

const page = fileURLToPath(new URL("../../../../docs/CAPACITY.md", import.meta.url));
const startMark = "<!-- slopes: written by `npm run -s measure -- slopes` -->";
const endMark = "<!-- end of slopes -->";
const defaultMostNodes = "128";
const msPerSecond = 1_000;
const bytesPerMegabyte = 1_000_000;
const leastShown = 1e-6;

/** The `slopes` subcommand. */
export const slopesCommand = (): Command =>
    new Command("slopes")
        .description("every slope of docs/CAPACITY.md, written into that page")
        .option("--nodes <count>", "most entry VMs in the membership's measurement", defaultMostNodes)
        .option("--dry", "leave the page as it is")
        .action(async (options: { readonly nodes: string; readonly dry?: boolean }) => {
            const measured = await measure(Number(options.nodes));
            const table = tableOf(measured);
            console.log(table);
            if (!options.dry) {
                writeInto(page, table);
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

const measure = async (mostNodes: number): Promise<Measured> => {
    const start = monotonicMs();
    const load = loadNow();
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
        ...(await membershipSlopes(mostNodes)),
    ];
    return {
        slopes,
        figures: { ...configFigures, ...(await checkpointFigures()) },
        load: `${load} at the start, ${loadNow()} at the end, ${cpus().length} cores`,
        seconds: Math.round((monotonicMs() - start) / msPerSecond),
        megabytes: Math.round((process.resourceUsage().maxRSS * 1_024) / bytesPerMegabyte),
    };
};

const loadNow = (): string => (loadavg()[0] ?? 0).toFixed(1);

const tableOf = ({ slopes, figures, load, seconds, megabytes }: Measured): string => {
    const lines = slopes.map(
        slope =>
            `| \`${slope.name}\` | ${slope.per} | ${pointsText(slope)} | ${short(slope.slope)} ${slope.unit} | ` +
            `${short(slope.intercept)} ${slope.unit} | ${short(slope.residual)} ${slope.unit} |`,
    );
    const others = Object.entries(figures).map(([name, value]) => `| \`${name}\` | ${value} |`);
    return [
        `Taken in ${seconds} s with at most ${megabytes} MB; load average ${load}.`,
        "",
        "| Slope | For one more | Measured, size: value | Slope | At size 0 | Greatest residual |",
        "| --- | --- | --- | --- | --- | --- |",
        ...lines,
        "",
        "| Figure | Value |",
        "| --- | --- |",
        ...others,
        "",
        ...targetLines(slopes, figures),
    ].join("\n");
};

const targetLines = (slopes: readonly Slope[], figures: Figures): readonly string[] => {
    const target = new TargetCapacity(slopes, figures);
    return [
        `At the target: n = ${target.vms} entry VMs, h = ${target.hostedServices} services dispatched by each, s = 24.2 backend servers a service.`,
        "",
        "| Role | What | Formula | Figure | Target | Margin |",
        "| --- | --- | --- | --- | --- | --- |",
        ...target.rows().map(needLine),
    ];
};

const needLine = (need: CapacityRow): string => {
    const { role, what, formula, value, unit, limit } = need;
    const limitText = limit === undefined ? "" : `${limit} ${unit}`;
    return `| ${role} | ${what} | ${formula} | ${short(value)} ${unit} | ${limitText} | ${marginOf(need)} |`;
};

const pointsText = ({ points }: Slope): string =>
    points.map(({ size, value }) => `${size}: ${short(value)}`).join(", ");

const short = (value: number): string =>
    Math.abs(value) < leastShown ? "0" : String(Number(value.toPrecision(4)));

const summaryOf = ({ slopes, figures }: Measured) => ({
    slopes: Object.fromEntries(
        slopes.map(({ name, unit, slope, intercept, residual }) => [
            name,
            { unit, slope, intercept, residual },
        ]),
    ),
    figures,
});

const writeInto = (path: string, table: string): void =>
    writeFileSync(path, withTable(readFileSync(path, "utf8"), table));

/**
 * The page with another table between its markers.
 *
 * @throws Error if the page lacks a marker
 */
export const withTable = (text: string, table: string): string => {
    const start = text.indexOf(startMark);
    const end = text.indexOf(endMark);
    if (start === -1 || end < start) {
        throw new Error(`the page lacks the markers "${startMark}" and "${endMark}"`);
    }
    return `${text.slice(0, start + startMark.length)}\n\n${table}\n\n${text.slice(end)}`;
};
