import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import test from "ava";
import { safeParseConfigurationValue } from "../src/core/configuration-values.js";

for (const example of ["anadolu", "kelani"]) {
    test(`every value of examples/${example} is valid`, t => {
        const directory = join("examples", example);
        const files = readdirSync(directory, { recursive: true, encoding: "utf8" }).filter(file =>
            file.endsWith(".json"),
        );
        t.true(files.length > 80);
        for (const file of files) {
            const path = `config/${file.slice(0, -".json".length)}`;
            const parsed = safeParseConfigurationValue(path, readFileSync(join(directory, file), "utf8"));
            t.true(parsed.success, parsed.success ? path : parsed.fault.message);
        }
    });
}
