/** Renders docs/CONFIGURATION.md from the configuration schemas: `npx tsx scripts/configuration-page.ts`. */
import { writeFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import * as z from "zod";
import { pathSchemas } from "../src/core/configuration-schemas.js";
import { maximumConfigurationValueCharacters } from "../src/core/configuration-values.js";

interface JsonSchema {
    readonly type?: string;
    readonly description?: string;
    readonly default?: unknown;
    readonly minimum?: number;
    readonly exclusiveMinimum?: number;
    readonly maximum?: number;
    readonly enum?: readonly unknown[];
    readonly items?: JsonSchema;
    readonly properties?: Readonly<Record<string, JsonSchema>>;
}

const introduction = `# Configuration

Written by \`npx tsx scripts/configuration-page.ts\` from src/core/configuration-schemas.ts; a test compares the two.

Operators set values under these paths of the platform's key-value service, with \`chervil-control\`. Every value is
JSON of at most ${maximumConfigurationValueCharacters.toLocaleString("en")} characters. Names in \`<...>\` have 1 to 64 letters, digits, \`.\`, \`_\` or \`-\` and begin
with a letter or digit. Unknown paths and unknown fields are errors. A value that is not valid leaves the last valid
one of its path in force. A path that is not set, or is deleted, has its defaults. A team exists as soon as one of its
paths is set; without \`models\` and \`services\` it may use none.

The settings file of a serving process states the memory, the descriptors and the link of its machine (\`Limits.MemoryMb\`,
\`Limits.MaxFds\` and \`Limits.LinkMbps\`); [operations](OPERATIONS.md#memory-and-connections) covers them.
`;

function typeOf(schema: JsonSchema): string {
    if (schema.enum !== undefined) {
        return schema.enum.map(value => JSON.stringify(value)).join(" or ");
    }
    if (schema.type === "array") {
        return `list of ${schema.items === undefined ? "values" : typeOf(schema.items)}`;
    }
    const low = schema.minimum ?? schema.exclusiveMinimum;
    if (schema.type !== "integer" && schema.type !== "number") {
        return schema.type ?? "value";
    }
    const above = schema.exclusiveMinimum === undefined ? "" : "above ";
    return `${schema.type}, ${above}${low ?? 0} to ${schema.maximum ?? "any"}`;
}

function rowsOf(name: string, schema: JsonSchema): readonly string[] {
    const fields = schema.properties ?? schema.items?.properties;
    const defaultText = schema.default === undefined ? "required" : `\`${JSON.stringify(schema.default)}\``;
    const prefix = schema.type === "array" ? `${name}[].` : name === "" ? "" : `${name}.`;
    const own =
        schema.type === "object"
            ? []
            : [
                  `| ${name === "" ? "(value)" : `\`${name}\``} | ${typeOf(schema)} | ${defaultText} | ${schema.description ?? ""} |`,
              ];
    const inner = Object.entries(fields ?? {}).flatMap(([field, each]) => rowsOf(`${prefix}${field}`, each));
    return [...own, ...inner];
}

/** Returns the whole page as Markdown. */
export function renderConfigurationPage(): string {
    const parts = Object.values(pathSchemas).map(({ pattern, schema }) => {
        const described = z.toJSONSchema(schema, { io: "input" }) as JsonSchema;
        const head = `## \`${pattern}\`\n\n| field | type | default | effect |\n| --- | --- | --- | --- |`;
        return `${head}\n${rowsOf("", described).join("\n")}\n`;
    });
    return [introduction, ...parts].join("\n");
}

if (process.argv[1] === fileURLToPath(import.meta.url)) {
    writeFileSync("docs/CONFIGURATION.md", renderConfigurationPage());
}
