/** Text and JSON output of chervil-control; secrets are never shown. */
import type { Fault } from "../../core/errors.js";
import type { ConfigurationChange } from "./configuration-tree.js";
import type { OperatorWrite, WriteOutcome } from "./writes.js";

/** Exit codes of chervil-control. */
export const exitCodes = { done: 0, failed: 1, usage: 2, lostRace: 3, notKnown: 4, different: 5 } as const;

/** How results are printed. */
export type OutputFormat = "text" | "json";

const secretPrefix = "config/keys/";

/** Returns the value as it may be printed: secrets are replaced. */
export function formatValue(key: string, value: string | undefined): string {
    if (value === undefined) {
        return "(absent)";
    }
    return key.startsWith(secretPrefix) ? "(secret)" : value;
}

/** Prints one result: its text, or its JSON form in one line. */
export function printResult(format: OutputFormat, text: string, document: unknown): void {
    process.stdout.write(format === "json" ? `${JSON.stringify(document)}\n` : `${text}\n`);
}

/** Prints a fault on standard error and sets the exit code. */
export function printFault(format: OutputFormat, fault: Fault, exitCode: number = exitCodes.failed): void {
    process.stderr.write(format === "json" ? `${JSON.stringify({ error: fault })}\n` : `${fault.message}\n`);
    process.exitCode = exitCode;
}

/** Formats a change as one line of a diff. */
export function formatChange(change: ConfigurationChange): string {
    const signs = { add: "+", change: "~", remove: "-" } as const;
    const before = formatValue(change.key, change.before);
    const after = formatValue(change.key, change.value);
    return `${signs[change.kind]} ${change.key}: ${before} -> ${after}`;
}

/** Prints the outcome of a write and sets the exit code; returns true if the write was accepted. */
export function printWrite(format: OutputFormat, write: OperatorWrite, outcome: WriteOutcome): boolean {
    const current = "current" in outcome ? outcome.current : undefined;
    const theirs = formatValue(write.key, current?.value);
    const yours = formatValue(write.key, write.value);
    const textByOutcome: Readonly<Record<WriteOutcome["kind"], string>> = {
        accepted: `${write.key}: accepted`,
        superseded: `${write.key}: accepted and superseded; now ${theirs} at revision ${current?.modRevision ?? 0}`,
        lostRace:
            `${write.key}: another operator wrote first; nothing was changed\n` +
            `  theirs: ${theirs} at revision ${current?.modRevision ?? 0}\n` +
            `  yours:  ${yours} on revision ${write.expectedRevision}`,
        notKnown: `${write.key}: unknown whether the write took effect; now ${theirs}; read the path again before you retry`,
        notSent: `${write.key}: not written: ${"fault" in outcome ? outcome.fault.message : ""}`,
    };
    const exitCodeByOutcome: Readonly<Record<WriteOutcome["kind"], number>> = {
        accepted: exitCodes.done,
        superseded: exitCodes.lostRace,
        lostRace: exitCodes.lostRace,
        notKnown: exitCodes.notKnown,
        notSent: exitCodes.failed,
    };
    const document = {
        key: write.key,
        outcome: outcome.kind,
        theirs,
        yours,
        theirRevision: current?.modRevision,
    };
    printResult(format, textByOutcome[outcome.kind], document);
    if (exitCodeByOutcome[outcome.kind] !== exitCodes.done) {
        process.exitCode = exitCodeByOutcome[outcome.kind];
    }
    return outcome.kind === "accepted";
}
