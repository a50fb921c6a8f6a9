/** Functions that all commands share: the version, and the exit when the reader of the output closes it. */
import { readFileSync } from "node:fs";
import * as z from "zod";

const packageSchema = z.object({ version: z.string() });

/** Reads the version from the package's own package.json, above the sources or above `dist`. */
export function readVersion(): string {
    for (const relative of ["../../package.json", "../../../package.json"]) {
        try {
            const text = readFileSync(new URL(relative, import.meta.url), "utf8");
            return packageSchema.parse(JSON.parse(text)).version;
        } catch {
            continue;
        }
    }
    return "unknown";
}

/** Exits without an error once the reader of standard output has closed it, as when output is piped into `head`. */
export function exitWhenOutputCloses(): void {
    process.stdout.on("error", () => process.exit());
}
