/** Settings of the stand-ins: one TOML file, validated before any port is opened. */
import { readFileSync } from "node:fs";
import { parse as parseToml } from "smol-toml";
import * as z from "zod";
import type { Result } from "../src/core/errors.js";
import { fail, succeed } from "../src/core/errors.js";

const addressSchema = z.string().regex(/^[^\s:]+:\d{1,5}$/, "expected host:port");
const millisecondsSchema = z.number().nonnegative();

const enginesSchema = z.strictObject({
    /** Maximum number of requests that one leader runs concurrently. */
    slots: z.number().int().positive().default(8),
    maximumWaiting: z.number().int().nonnegative().default(64),
    tokenMilliseconds: millisecondsSchema.default(10),
    prefillMillisecondsPerBlock: millisecondsSchema.default(5),
    slowedFactor: z.number().positive().default(10),
    cacheBlocks: z.number().int().positive().default(512),
    cacheEventLagMilliseconds: millisecondsSchema.default(500),
    /** Fraction of the cache events that is never published. */
    lostCacheEvents: z.number().min(0).max(1).default(0.02),
    /** Time for which a stream without a reader can be resumed. */
    resumeMilliseconds: millisecondsSchema.default(15_000),
    loadLagMilliseconds: millisecondsSchema.default(500),
    loadMilliseconds: millisecondsSchema.default(500),
    warmLoadMilliseconds: millisecondsSchema.default(50),
    /** Maximum number of concurrent cold loads from the weight store. */
    loadsAtOnce: z.number().int().positive().default(16),
    warmVersions: z.number().int().positive().default(2),
    /** True if orders with a stale fencing number are refused. */
    checksFencing: z.boolean().default(true),
});

/** Schema of the settings file; unknown keys are errors. */
export const standInSettingsSchema = z.strictObject({
    seed: z.number().int().default(1),
    admin: z.strictObject({ listen: addressSchema }),
    platform: z.strictObject({
        listen: addressSchema,
        /** Delay after which the instance list shows that an instance is leaving, in milliseconds. */
        listLagMilliseconds: millisecondsSchema.default(1000),
    }),
    /** Entry instances, which are part of the platform's instance list too. */
    entries: z
        .array(
            z.strictObject({
                id: z.string().min(1),
                /** The peer port. */
                address: addressSchema,
                failureDomain: z.string().min(1),
                fabricDomain: z.string().min(1),
            }),
        )
        .default([]),
    /** Names of clients of the platform other than the entry instances. */
    processes: z.array(z.string().min(1)).default([]),
    fabricDomains: z
        .array(
            z.strictObject({
                id: z.string().min(1),
                failureDomain: z.string().min(1),
                engines: z.number().int().positive(),
                /** Address of the first engine instance, the others use the following ports; port 0 selects free ports. */
                listen: addressSchema.default("127.0.0.1:0"),
            }),
        )
        .default([]),
    services: z
        .array(
            z.strictObject({
                id: z.string().min(1),
                service: z.string().min(1),
                failureDomain: z.string().min(1),
                listen: addressSchema.default("127.0.0.1:0"),
                workMilliseconds: millisecondsSchema.default(5),
            }),
        )
        .default([]),
    engines: enginesSchema.default(enginesSchema.parse({})),
});

/** Validated settings. */
export type StandInSettings = Readonly<z.infer<typeof standInSettingsSchema>>;

/** Reads and validates a settings file; the fault names the file and the path of every problem. */
export function readStandInSettings(file: string): Result<StandInSettings> {
    let document: unknown;
    try {
        document = parseToml(readFileSync(file, "utf8"));
    } catch (thrown) {
        return invalidSettings(file, thrown instanceof Error ? thrown.message : String(thrown));
    }
    const parsed = standInSettingsSchema.safeParse(document);
    if (parsed.success) {
        return succeed(parsed.data);
    }
    const problems = parsed.error.issues.map(issue => `${issue.path.join(".") || "(top)"}: ${issue.message}`);
    return invalidSettings(file, problems.join("; "));
}

function invalidSettings(file: string, problem: string): Result<StandInSettings> {
    const message = `settings file "${file}" is invalid: ${problem}`;
    return fail({ code: "invalidSettings", message, step: "settings", notRun: true });
}
