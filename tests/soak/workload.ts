/** Requests of the soak's callers, the expected responses of its replicas, and the configurations of the operator. */

/** Number of events of every stream. */
export const streamEvents = 12;

export const host = "soak.example";
export const modelName = "model";

const workspaces = ["atelier", "bureau"] as const;

/** Credentials that are valid in configuration `version`: its own and those of the version before it. */
export function credentialsAt(version: number): readonly string[] {
    return workspaces.flatMap(workspace =>
        [version, version - 1].map(each => `${workspace}-${Math.max(1, each)}`),
    );
}

export function workspaceOf(credential: string): string | undefined {
    return workspaces.find(workspace => credential.startsWith(`${workspace}-`));
}

export function expectedResponse(id: string, replica: string): string {
    return `answer to ${id} by ${replica}`;
}

/** One event of a stream; its text names the request, so that a checker detects mixed-up streams. */
export function formatEvent(id: string, event: number): string {
    return `id: ${event}\ndata: ${event} of ${id}\n\n`;
}

export function expectedStream(id: string): string {
    return Array.from({ length: streamEvents }, (_, index) => formatEvent(id, index + 1)).join("");
}

/** Path that only configuration `version` routes; a response shows on which version a process acts. */
export function markerPath(version: number): string {
    return `/marker-${version}/`;
}

/** Shortest time limit of a route in any configuration, in milliseconds. */
export const shortestTimeoutMilliseconds = 3_000;

/** Values that vary between configuration versions. */
const variants = [
    { timeout: 4_000, idle: 15_000, headerBytes: 8_192, headerTimeout: 3_000, readService: "plain" },
    {
        timeout: shortestTimeoutMilliseconds,
        idle: 1_000,
        headerBytes: 8_192,
        headerTimeout: 1_000,
        readService: "plain",
    },
    { timeout: 4_000, idle: 4_000, headerBytes: 2_048, headerTimeout: 3_000, readService: "other" },
] as const;

/** `unusedRoutes`: number of further routes, which make the configuration large; each version lacks another one. */
export function configurationAt(version: number, unusedRoutes = 0): unknown {
    const variant = variants[(version - 1) % variants.length]!;
    const route = {
        Hostname: host,
        TimeoutMs: variant.timeout,
        TargetLatencyMs: 300,
        Priority: 1,
        AllowAnonymous: false,
    };
    const plain = { ...route, Service: "plain" };
    const stream = {
        Name: "stream",
        Prefix: "/stream/",
        Kind: "streaming",
        StreamResume: true,
        GapAimMs: 200,
    };
    return {
        Version: version,
        Routes: [
            { ...plain, Name: "once", Prefix: "/once/", Kind: "non_idempotent", MaxAttempts: 2 },
            {
                ...plain,
                Name: "read",
                Prefix: "/read/",
                Kind: "idempotent",
                MaxAttempts: 2,
                Service: variant.readService,
            },
            { ...plain, Name: "marker", Prefix: markerPath(version), Kind: "idempotent", MaxAttempts: 2 },
            { ...route, ...stream, Service: "engines", MaxAttempts: 2 },
            ...Array.from({ length: unusedRoutes }, (_, index) => index)
                .filter(index => index !== version % unusedRoutes)
                .map(index => ({
                    ...plain,
                    Name: `unused-${index}`,
                    Prefix: `/unused-${index}/`,
                    Kind: "idempotent",
                    MaxAttempts: 1,
                })),
        ],
        Services: [
            { Name: "plain", HealthPath: "/health", MaxConnections: 60 },
            { Name: "other", HealthPath: "/health", MaxConnections: 60 },
            { Name: "engines", HealthPath: "/health", MaxConnections: 60, Engine: engine },
        ],
        Limits: {
            MaxHeaderBytes: variant.headerBytes,
            MaxBodyBytes: 65_536,
            HeaderTimeoutMs: variant.headerTimeout,
            IdleTimeoutMs: variant.idle,
        },
        Tenants: workspaces.map(workspace => ({
            Name: workspace,
            ApiKeys: credentialsAt(version).filter(credential => workspaceOf(credential) === workspace),
            Priority: 1,
        })),
    };
}

const engine = {
    Slots: 16,
    KvTokens: 100_000,
    Stride: 5,
    Models: [{ Name: modelName, size: 2, Share: 1, pace: 1, LoadS: 1.2, WarmS: 0.4 }],
    step_ms: 2,
    per_seq_ms: 0.1,
    context_per_k: 0.001,
    read_per_s: 46_000,
    pairs_per_m: 0.7,
    chunk: 2_048,
    LoadsPerS: 10,
    loads_at_once: 6,
    usual: { prompt: 100, answer: 60 },
};
