import { readFileSync } from "node:fs";
import test from "ava";
import { pathSchemas } from "../src/core/configuration-schemas.js";
import { renderConfigurationPage } from "../scripts/configuration-page.js";

test("docs/CONFIGURATION.md matches the schemas, and every field has an effect", t => {
    const page = renderConfigurationPage();
    t.is(readFileSync("docs/CONFIGURATION.md", "utf8"), page);
    t.notRegex(page, /\| {2}\|/);
    for (const { pattern } of Object.values(pathSchemas)) {
        t.true(page.includes(`## \`${pattern}\``));
    }
});
