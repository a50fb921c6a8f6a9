/**
 * Strict schemas of the operators' values, one for each path of the hierarchy under `config/`. Every field carries the
 * description that docs/CONFIGURATION.md shows.
 */
import * as z from "zod";

const namePart = "([A-Za-z0-9][A-Za-z0-9._-]{0,63})";

const milliseconds = z.int().min(1).max(3_600_000);
const count = z.int().min(0).max(1_000_000);
const names = z.array(z.string().min(1).max(64)).max(1_000);

const teamLimits = z.strictObject({
    queuedPerSubscriber: count
        .default(16)
        .describe("Maximum waiting requests of one subscriber at one entry instance."),
    queuedPerTeam: count.default(256).describe("Maximum waiting requests of the team at one entry instance."),
    requestMilliseconds: milliseconds
        .default(120_000)
        .describe("Maximum time from arrival to the last token; after it the request ends with an error."),
    maximumTokens: z.int().min(1).max(1_000_000).default(4_096).describe("Maximum tokens of one answer."),
});

const subscriber = z.strictObject({
    credentialHash: z
        .string()
        .regex(/^[0-9a-f]{64}$/, "expected a lower-case hexadecimal SHA-256")
        .describe("SHA-256 of the bearer credential; the credential itself is never stored."),
});

const model = z.strictObject({
    version: z.string().min(1).max(128).describe("Version that engines load."),
    instancesPerReplica: z
        .int()
        .min(1)
        .max(64)
        .default(8)
        .describe("Instances that hold one copy of the model together."),
    floor: count.default(1).describe("Replicas that placement keeps even without demand."),
    demand: z.number().min(0).max(1_000_000).default(1).describe("Weight of the model's claim on instances."),
});

const service = z.strictObject({
    idempotentMethods: z
        .array(z.enum(["GET", "HEAD", "OPTIONS", "PUT", "DELETE"]))
        .default(["GET", "HEAD", "OPTIONS"])
        .describe("Methods whose calls may be retried."),
    idempotentRoutes: z
        .array(z.string().regex(/^[A-Z]+ \/\S*$/, 'expected "METHOD /path", with * for one part'))
        .max(1_000)
        .default([])
        .describe('Routes whose calls may be retried, as "METHOD /path"; * stands for one part of the path.'),
    timeoutMilliseconds: milliseconds.default(10_000).describe("Maximum time of one call."),
});

const placementPolicy = z.strictObject({
    weights: z
        .strictObject({
            groupDowntime: z
                .number()
                .min(0)
                .max(1_000)
                .default(1)
                .describe("Cost of one second of downtime of one group."),
            strandedAccelerators: z
                .number()
                .min(0)
                .max(1_000)
                .default(0.1)
                .describe("Cost of one second of one accelerator outside a serving group."),
        })
        .prefault({}),
    healthMilliseconds: milliseconds
        .default(8_000)
        .describe("A member whose last probe is older than this counts as missing."),
    orderMilliseconds: milliseconds.default(3_000).describe("An order is dropped after this time."),
    pauseMilliseconds: milliseconds
        .default(5_000)
        .describe("Maximum pause of a placer that a new lease holder waits out."),
    leaseSeconds: z.int().min(2).max(300).default(9).describe("Duration of a placer's lease."),
    enginesCheckFencing: z
        .boolean()
        .default(false)
        .describe("True if every engine refuses an order with an old epoch."),
    weightLoadsAtOnce: z
        .int()
        .min(1)
        .max(10_000)
        .default(8)
        .describe("Instances that may load from the weight store at once."),
});

const requestLimits = z.strictObject({
    bodyBytes: z
        .int()
        .min(1_024)
        .max(67_108_864)
        .default(1_048_576)
        .describe("Maximum size of a request body."),
    headerMilliseconds: milliseconds
        .default(10_000)
        .describe("Time within which the whole request head must arrive."),
    bodyMilliseconds: milliseconds
        .default(30_000)
        .describe("Time within which the whole request body must arrive."),
    connections: z
        .int()
        .min(1)
        .max(1_000_000)
        .default(4_096)
        .describe("Maximum open connections of one process; requests on further ones are refused."),
    jsonDepth: z.int().min(1).max(1_000).default(32).describe("Maximum nesting depth of a JSON body."),
});

const streamLimits = z.strictObject({
    resumeWindowMilliseconds: milliseconds
        .default(30_000)
        .describe("Time for which a stream continues after its caller has disconnected."),
    stallMilliseconds: milliseconds
        .default(5_000)
        .describe(
            "Silence after which any stream counts as stalled; a fast stream counts as stalled sooner.",
        ),
    bufferedTokens: z
        .int()
        .min(1)
        .max(1_000_000)
        .default(1_024)
        .describe("Maximum tokens buffered for a slow caller."),
});

const retryLimits = z.strictObject({
    fraction: z.number().min(0).max(1).default(0.1).describe("Retries as a fraction of first attempts."),
});

const sealingKeys = z
    .strictObject({
        current: z.string().min(1).max(64).describe("Id of the key that seals new tokens."),
        keys: z
            .array(
                z.strictObject({
                    id: z.string().min(1).max(64).describe("Name of the key inside tokens."),
                    secret: z
                        .string()
                        .regex(/^[A-Za-z0-9+/]{43}=$/, "expected 32 bytes in base64")
                        .describe("The key; never shown or logged."),
                }),
            )
            .min(1)
            .max(16)
            .describe("Keys that open tokens; keep an old key until its tokens have expired."),
    })
    .refine(value => value.keys.some(key => key.id === value.current), {
        path: ["current"],
        message: "does not match the id of any key in the list",
    })
    .refine(value => new Set(value.keys.map(key => key.id)).size === value.keys.length, {
        path: ["keys"],
        message: "contains a duplicate id",
    });

/** One kind of path with the schema of its value; `<...>` in the pattern stands for a name. */
export const pathSchemas = {
    teamShare: {
        pattern: "config/teams/<team>/share",
        schema: z
            .number()
            .positive()
            .max(1_000_000)
            .default(1)
            .describe("Weight of the team's claim on shared capacity."),
    },
    teamRank: {
        pattern: "config/teams/<team>/rank",
        schema: z.int().min(0).max(100).default(1).describe("Requests of a lower rank go first."),
    },
    teamModels: {
        pattern: "config/teams/<team>/models",
        schema: names.default([]).describe("Models that the team may use."),
    },
    teamServices: {
        pattern: "config/teams/<team>/services",
        schema: names.default([]).describe("Plain services that the team may use."),
    },
    teamLimits: { pattern: "config/teams/<team>/limits", schema: teamLimits },
    subscriber: { pattern: "config/teams/<team>/subscribers/<subscriber>", schema: subscriber },
    model: { pattern: "config/models/<model>", schema: model },
    service: { pattern: "config/services/<service>", schema: service },
    placementPolicy: { pattern: "config/placement/policy", schema: placementPolicy },
    requestLimits: { pattern: "config/limits/requests", schema: requestLimits },
    streamLimits: { pattern: "config/limits/streams", schema: streamLimits },
    retryLimits: { pattern: "config/limits/retries", schema: retryLimits },
    sealingKeys: { pattern: "config/keys/resume", schema: sealingKeys },
} as const;

/** Name of a kind of path. */
export type PathKind = keyof typeof pathSchemas;

/** The checked value of one kind of path, defaults filled in. */
export type PathValue<Kind extends PathKind> = Readonly<z.output<(typeof pathSchemas)[Kind]["schema"]>>;

/** Checked values of the operators' models, services, policies and limits. */
export type ModelSettings = PathValue<"model">;
export type ServiceSettings = PathValue<"service">;
export type PlacementPolicy = PathValue<"placementPolicy">;
export type RequestLimits = PathValue<"requestLimits">;
export type StreamLimits = PathValue<"streamLimits">;
export type RetryLimits = PathValue<"retryLimits">;
export type SealingKeys = PathValue<"sealingKeys">;

/** A parsed path: its kind and the names in it, in order. */
export interface ParsedPath {
    readonly kind: PathKind;
    readonly names: readonly string[];
}

const pathExpressions = (Object.keys(pathSchemas) as PathKind[]).map(kind => ({
    kind,
    expression: new RegExp(`^${pathSchemas[kind].pattern.replace(/<\w+>/g, namePart)}$`),
}));

/** Parses a path; returns undefined if it matches no schema. */
export function parsePath(path: string): ParsedPath | undefined {
    for (const { kind, expression } of pathExpressions) {
        const match = expression.exec(path);
        if (match !== null) {
            return { kind, names: match.slice(1) };
        }
    }
    return undefined;
}
