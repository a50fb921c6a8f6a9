/**
 * Process settings: addresses, the failure domain and the addresses of the platform's key-value service. Source: one
 * TOML file. All other configuration is set by operators in the key-value service.
 */
import { readFileSync } from "node:fs";
import { parse as parseToml } from "smol-toml";
import * as z from "zod";
import type { Fault, Result } from "../core/errors.js";
import { fail, succeed, unwrap } from "../core/errors.js";

const addressSchema = z.string().regex(/^[^\s:]+:\d{1,5}$/, "expected host:port");
const keyFilesSchema = z.strictObject({ certificate: z.string(), key: z.string() });

/** Schema of a daemon's settings file; unknown keys are errors. */
export const settingsSchema = z.strictObject({
    /** Name of the process in logs and on the timeline. */
    name: z.string().min(1),
    /** The entry instance that the process runs on. */
    instance: z.string().min(1),
    failureDomain: z.string().min(1),
    /** Port for callers; required for an entry daemon. */
    caller: z.strictObject({ listen: addressSchema, tls: keyFilesSchema.optional() }).optional(),
    admin: z.strictObject({ listen: addressSchema }),
    /** Port for peers; uses mutual TLS if `tls` is set. */
    peer: z.strictObject({
        listen: addressSchema,
        tls: keyFilesSchema.extend({ authority: z.string() }).optional(),
        /** Peers to contact until the instance list has been read. */
        seeds: z.array(addressSchema).default([]),
    }),
    /** The key-value service's addresses, tried in order. */
    platform: z.strictObject({ stores: z.array(addressSchema).min(1) }),
    metrics: z.strictObject({ statsd: addressSchema }).optional(),
    log: z
        .strictObject({ level: z.enum(["debug", "info", "warn", "error"]).default("info") })
        .default({ level: "info" }),
});

/** Validated settings of a daemon. */
export type Settings = Readonly<z.infer<typeof settingsSchema>>;

function createSettingsFault(message: string, path: readonly (string | number)[]): Fault {
    return { code: "invalidSettings", message, step: "settings", path, notRun: true };
}

/** Validates the text of a settings file; the fault's message names the path of every problem. */
export function safeParseSettings(text: string, file: string): Result<Settings> {
    let document: unknown;
    try {
        document = parseToml(text);
    } catch (thrown) {
        const message = thrown instanceof Error ? thrown.message : String(thrown);
        return fail(createSettingsFault(`settings file "${file}" is not valid TOML: ${message}`, []));
    }
    const parsed = settingsSchema.safeParse(document);
    if (parsed.success) {
        return succeed(parsed.data);
    }
    const problems = parsed.error.issues.map(issue => `${issue.path.join(".") || "(top)"}: ${issue.message}`);
    const path = (parsed.error.issues[0]?.path ?? []).map(part =>
        typeof part === "number" ? part : String(part),
    );
    return fail(createSettingsFault(`settings file "${file}" is invalid: ${problems.join("; ")}`, path));
}

/** Reads and validates a settings file; throws a ChervilError if that fails. */
export function readSettings(file: string): Settings {
    let text: string;
    try {
        text = readFileSync(file, "utf8");
    } catch {
        return unwrap(fail(createSettingsFault(`settings file "${file}" cannot be read`, [])));
    }
    return unwrap(safeParseSettings(text, file));
}
