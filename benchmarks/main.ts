/** Runs one experiment by name: `npm run bench -- <experiment> --seed N [--json]`. */
import { cac } from "cac";
import { answers } from "./answers.js";
import { atMostOnce } from "./at-most-once.js";
import type { Experiment, ExperimentReport } from "./experiment.js";
import { decisionCost } from "./decision-cost.js";
import { domainCut } from "./domain-cut.js";
import { configuration } from "./configuration.js";
import { entryProcess } from "./entry-process.js";
import { fairness } from "./fairness.js";
import { meshSlopes } from "./mesh-slopes.js";
import { overload } from "./overload.js";
import { prefix } from "./prefix.js";
import { retryStorm } from "./retry-storm.js";
import { stragglerExperiment } from "./straggler.js";
import { domainDark } from "./domain-dark.js";
import { groupLoss } from "./group-loss.js";
import { platformOutage } from "./platform-outage.js";

const experiments: Readonly<Record<string, Experiment>> = {
    answers,
    "at-most-once": atMostOnce,
    configuration,
    "entry-process": entryProcess,
    fairness,
    "mesh-slopes": meshSlopes,
    overload,
    straggler: stragglerExperiment,
    prefix,
    "group-loss": groupLoss,
    "domain-dark": domainDark,
    "platform-outage": platformOutage,
    "domain-cut": domainCut,
    "retry-storm": retryStorm,
    "decision-cost": decisionCost,
};

function printTable(report: ExperimentReport): void {
    process.stdout.write(
        `${report.experiment} (seed ${report.seed}): ${report.holds ? "holds" : "DOES NOT HOLD"}\n`,
    );
    for (const part of ["target", "measured", "baseline"] as const) {
        process.stdout.write(`  ${part}\n`);
        for (const [name, value] of Object.entries(report[part])) {
            process.stdout.write(
                `    ${name}: ${typeof value === "object" ? JSON.stringify(value) : String(value)}\n`,
            );
        }
    }
}

async function run(
    name: string,
    options: { readonly seed?: number; readonly json?: boolean },
): Promise<void> {
    const experiment = experiments[name];
    if (experiment === undefined) {
        process.stderr.write(
            `unknown experiment "${name}"; available: ${Object.keys(experiments).join(", ")}\n`,
        );
        process.exitCode = 2;
        return;
    }
    const report = await experiment(Number(options.seed ?? 1));
    if (options.json === true) {
        process.stdout.write(`${JSON.stringify(report)}\n`);
        return;
    }
    printTable(report);
}

const commands = cac("bench");
commands
    .command("<experiment>", "Run one experiment")
    .option("--seed <seed>", "Seed of the experiment", { default: 1 })
    .option("--json", "Print one JSON line")
    .action(run);
commands.help();
commands.parse(process.argv, { run: false });
await commands.runMatchedCommand();
