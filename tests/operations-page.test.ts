import { readFileSync, readdirSync } from "node:fs";
import { join } from "node:path";
import test from "ava";
import { metricNames } from "../src/links/metrics.js";

const sources = readdirSync("src", { recursive: true, encoding: "utf8" })
    .filter(file => file.endsWith(".ts") && !file.endsWith(join("links", "metrics.ts")))
    .map(file => readFileSync(join("src", file), "utf8"))
    .join("\n");

test("docs/OPERATIONS.md lists every metric with its unit, and every metric is sent", t => {
    const page = readFileSync("docs/OPERATIONS.md", "utf8");
    for (const [name, unit] of Object.entries(metricNames)) {
        t.true(page.includes(`| \`${name}\` | ${unit} |`), `${name} is not on the page`);
        t.true(sources.includes(`"${name}"`), `${name} is never sent`);
    }
});
