/** Runs the tests and passes over those listed in KNOWN-RED.txt: the last step of `npm test`. */
import { spawn } from "node:child_process";
import { existsSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { judgeTestRun, parseKnownRed, readTestRun, summarize } from "./known-red.js";

const knownRedPath = "KNOWN-RED.txt";

const ava = spawn(process.execPath, [join("node_modules", "ava", "entrypoints", "cli.mjs"), "--no-color"], {
    stdio: ["ignore", "pipe", "inherit"],
});
ava.stdout.setEncoding("utf8");
let output = "";
ava.stdout.on("data", (chunk: string) => {
    output += chunk;
    process.stdout.write(chunk);
});
ava.on("close", exitCode => {
    const list = parseKnownRed(existsSync(knownRedPath) ? readFileSync(knownRedPath, "utf8") : "");
    const run = readTestRun(output);
    const verdict = judgeTestRun(list, run, exitCode ?? undefined);
    console.log(summarize(list, run, verdict).join("\n"));
    process.exitCode = verdict.problems.length === 0 ? 0 : 1;
});
