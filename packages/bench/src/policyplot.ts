/** The `plot` measurement: p99 by load for every chooser, as an SVG file. */

import { writeFileSync } from "node:fs";
import { chooserNames } from "@bramleymoor/model/spec";
import { Command } from "commander";
import { parse, type Spec, View } from "vega";
import { measureChoosers, type PolicyRow } from "./policy.js";
import { deploymentOf } from "./simulationdeployment.js";

/** The `plot` subcommand. */
export const plotCommand = (): Command =>
    new Command("plot")
        .description("plot p99 by load for every chooser, with faults, as SVG")
        .option("--deployment <name>", "ratiba (stops lookup) or aqrl (catalogue)", "ratiba")
        .option("--seed <number>", "seed", Number, 1)
        .argument("<file>", "file to write")
        .action(async (file: string, options: { readonly deployment: string; readonly seed: number }) => {
            const rows = loads.flatMap(load => measureLoad(options.deployment, load, options.seed));
            writeFileSync(file, await new View(parse(specOf(rows)), { renderer: "none" }).toSVG());
        });

const measureLoad = (deployment: string, load: number, seed: number): readonly PolicyRow[] => {
    const { dispatchers, firstDispatcherShare } = deploymentOf(deployment);
    const settings = { deployment, load, faults: true, seeds: [seed], dispatchers, firstDispatcherShare };
    return measureChoosers(settings, chooserNames);
};

const specOf = (rows: readonly PolicyRow[]): Spec => ({
    width: 560,
    height: 340,
    padding: 10,
    background: "white",
    title: "99th percentile against load, faults on",
    data: [
        { name: "rows", values: rows.map(({ chooser, load, p99 }) => ({ chooser, load: 100 * load, p99 })) },
    ],
    scales: [
        { name: "x", type: "linear", range: "width", domain: [45, 100], zero: false },
        { name: "y", type: "log", range: "height", domain: { data: "rows", field: "p99" }, nice: true },
        { name: "color", type: "ordinal", range: "category", domain: { data: "rows", field: "chooser" } },
    ],
    axes: [
        { orient: "bottom", scale: "x", title: "load, % of slot capacity" },
        { orient: "left", scale: "y", title: "p99, ms (a failed call counts as its deadline)", grid: true },
    ],
    legends: [{ stroke: "color", title: "chooser", symbolType: "stroke" }],
    marks: [
        {
            type: "group",
            from: { facet: { name: "series", data: "rows", groupby: "chooser" } },
            marks: [
                {
                    type: "line",
                    from: { data: "series" },
                    encode: {
                        enter: {
                            x: { scale: "x", field: "load" },
                            y: { scale: "y", field: "p99" },
                            stroke: { scale: "color", field: "chooser" },
                            strokeWidth: { value: 2 },
                        },
                    },
                },
            ],
        },
    ],
});

const loads: readonly number[] = [0.5, 0.7, 0.85, 0.95];
