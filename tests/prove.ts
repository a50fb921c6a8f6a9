/** Runs the proofs: `npm run prove -- [--only name] [--seed N] [--histories N] [--processes]`. */
import { cac } from "cac";
import type { Proof, ProofResult } from "./proofs.js";
import { holds, processProofs, proofs } from "./proofs.js";

const defaultHistories = 20_000;
const defaultProcessHistories = 1;

interface Options {
    readonly only?: string;
    readonly seed: number;
    readonly histories?: number;
    readonly processes?: boolean;
}

function print(line: string): void {
    process.stdout.write(`${line}\n`);
}

function printResult(name: string, result: ProofResult): void {
    const verdict = result.failures.length === 0 ? "holds" : "FAILS";
    print(`proof ${name}: ${verdict} in ${result.histories} histories, ${JSON.stringify(result.counts)}`);
    for (const failure of result.failures) {
        print(`  failure: seed ${failure.seed}: ${failure.message}`);
    }
    for (const mutant of result.mutants) {
        const end = mutant.caught ? `caught after ${mutant.histories} histories` : "NOT CAUGHT";
        print(`  mutant ${name}/${mutant.name}: ${end}${mutant.message ? ` (${mutant.message})` : ""}`);
    }
}

async function run(options: Options): Promise<void> {
    const all: readonly Proof[] = options.processes === true ? processProofs : proofs;
    const defaultCount = options.processes === true ? defaultProcessHistories : defaultHistories;
    const chosen = all.filter(proof => options.only === undefined || proof.name === options.only);
    if (chosen.length === 0) {
        print(`no such proof; there are: ${all.map(proof => proof.name).join(", ")}`);
        process.exitCode = 2;
        return;
    }
    for (const proof of chosen) {
        const histories = Number(options.histories ?? defaultCount);
        const result = await proof.run({ seed: Number(options.seed), histories });
        printResult(proof.name, result);
        process.exitCode = holds(result) ? process.exitCode : 1;
    }
}

const commands = cac("prove");
commands
    .command("", "Run the proofs")
    .option("--only <name>", "Run one proof")
    .option("--seed <seed>", "Seed of the histories", { default: 1 })
    .option("--histories <histories>", "Histories of each proof")
    .option("--processes", "Run the proofs over real processes")
    .action(run);
commands.help();
commands.parse(process.argv, { run: false });
await commands.runMatchedCommand();
