/** Version of this package, as every command shows it. */
import { readFileSync } from "node:fs";
import { z } from "zod";

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
