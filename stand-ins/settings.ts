/** Settings of the stand-ins: one TOML file, checked before any port is opened. */
import { readFileSync } from "node:fs";
import { parse as parseToml } from "smol-toml";
import * as z from "zod";
import type { Result } from "../src/core/errors.js";
import { fail, succeed } from "../src/core/errors.js";

const address = z.string().regex(/^[^\s:]+:\d{1,5}$/, "expected host:port");
const milliseconds = z.number().nonnegative();

const enginesSchema = z.strictObject({
    /** Requests that one leader runs at once. */
    slots: z.number().int().positive().default(8),
    maximumWaiting: z.number().int().nonnegative().default(64),
    tokenMilliseconds: milliseconds.default(10),
    prefillMillisecondsPerBlock: milliseconds.default(5),
    slowedFactor: z.number().positive().default(10),
    cacheBlocks: z.number().int().positive().default(512),
    cacheEventLagMilliseconds: milliseconds.default(500),
    /** Part of the cache events that is never published. */
    lostCacheEvents: z.number().min(0).max(1).default(0.02),
    /** How long a stream without a reader can be resumed. */
    resumeMilliseconds: milliseconds.default(15_000),
    loadLagMilliseconds: milliseconds.default(500),
    loadMilliseconds: milliseconds.default(500),
    warmLoadMilliseconds: milliseconds.default(50),
    /** Cold loads that the weight store serves at once. */
    loadsAtOnce: z.number().int().positive().default(16),
    warmVersions: z.number().int().positive().default(2),
    /** True if orders with an old fencing number are refused. */
    checksFencing: z.boolean().default(true),
});

/** Schema of the settings file; unknown keys are errors. */
export const standInSettingsSchema = z.strictObject({
    seed: z.number().int().default(1),
    admin: z.strictObject({ listen: address }),
    platform: z.strictObject({
        listen: address,
        /** How late the instance list learns that an instance is leaving, in milliseconds. */
        listLagMilliseconds: milliseconds.default(1000),
    }),
    /** Entry instances, which stand in the platform's instance list too. */
    entries: z
        .array(
            z.strictObject({
                id: z.string().min(1),
                /** The peer port. */
                address,
                failureDomain: z.string().min(1),
                fabricDomain: z.string().min(1),
            }),
        )
        .default([]),
    /** Names under which clients call the platform, besides those of the entry instances. */
    processes: z.array(z.string().min(1)).default([]),
    fabricDomains: z
        .array(
            z.strictObject({
                id: z.string().min(1),
                failureDomain: z.string().min(1),
                engines: z.number().int().positive(),
                /** Port of the first engine instance, the others follow; 0 takes free ones. */
                listen: address.default("127.0.0.1:0"),
            }),
        )
        .default([]),
    services: z
        .array(
            z.strictObject({
                id: z.string().min(1),
                service: z.string().min(1),
                failureDomain: z.string().min(1),
                listen: address.default("127.0.0.1:0"),
                workMilliseconds: milliseconds.default(5),
            }),
        )
        .default([]),
    engines: enginesSchema.default(enginesSchema.parse({})),
});

/** Checked settings. */
export type StandInSettings = Readonly<z.infer<typeof standInSettingsSchema>>;

/** Reads and checks a settings file; the fault names the file and the path of every problem. */
export function readStandInSettings(file: string): Result<StandInSettings> {
    let document: unknown;
    try {
        document = parseToml(readFileSync(file, "utf8"));
    } catch (thrown) {
        return invalid(file, thrown instanceof Error ? thrown.message : String(thrown));
    }
    const parsed = standInSettingsSchema.safeParse(document);
    if (parsed.success) {
        return succeed(parsed.data);
    }
    const problems = parsed.error.issues.map(issue => `${issue.path.join(".") || "(top)"}: ${issue.message}`);
    return invalid(file, problems.join("; "));
}

function invalid(file: string, problem: string): Result<StandInSettings> {
    const message = `settings file "${file}" is invalid: ${problem}`;
    return fail({ code: "invalidSettings", message, step: "settings", notRun: true });
}
