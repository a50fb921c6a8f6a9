#!/usr/bin/env node
/** Runs seeds of the soak from the command line: `npm run soak -- --seeds 50 --from 1 --seconds 15`. */
import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { cac } from "cac";
import { buildProgram, runSoak } from "./soak-run.js";

interface SoakCommandOptions {
    readonly from: number;
    readonly seeds: number;
    readonly seconds: number;
    readonly entries: number;
    readonly engines: number;
    readonly together: number;
    readonly earlier?: string;
    readonly relays: boolean;
}

async function run(options: SoakCommandOptions): Promise<void> {
    const program = buildProgram(mkdtempSync(join(tmpdir(), "chervil-soak-program-")));
    const seeds = Array.from({ length: options.seeds }, (_, index) => options.from + index);
    let failed = 0;
    const runNext = async (): Promise<void> => {
        for (let seed = seeds.shift(); seed !== undefined; seed = seeds.shift()) {
            const { entries, engines } = options;
            const report = await runSoak({
                seed,
                milliseconds: options.seconds * 1_000,
                entries,
                engines,
                program,
                earlierProgram: options.earlier,
                slowsRelays: options.relays,
            });
            failed += report.violations.length > 0 ? 1 : 0;
            const line = { seed, violations: report.violations.slice(0, 10), counts: report.counts };
            process.stdout.write(`${JSON.stringify({ ...line, directory: report.directory })}\n`);
        }
    };
    await Promise.all(Array.from({ length: options.together }, runNext));
    const summary = `${options.seeds - failed} seeds without a violation, ${failed} with\n`;
    // An explicit exit, since Node.js may wait forever for sockets that were reset.
    process.stdout.write(summary, () => process.exit(failed > 0 ? 1 : 0));
}

const commands = cac("soak");
commands
    .command("", "Play seeds of the fault soak")
    .option("--from <seed>", "First seed", { default: 1 })
    .option("--seeds <count>", "Number of seeds", { default: 1 })
    .option("--seconds <seconds>", "Length of each in seconds of traffic", { default: 15 })
    .option("--entries <count>", "Serving processes", { default: 3 })
    .option("--engines <count>", "Engines", { default: 6 })
    .option("--earlier <path>", "Program of an earlier version that runs beside this one")
    .option("--relays", "Slow the relays of the store only; needs more than ten serving processes", {
        default: false,
    })
    .option("--together <count>", "Seeds played at the same time", { default: 1 })
    .action((options: SoakCommandOptions) => run(options));
commands.help();
commands.parse();
