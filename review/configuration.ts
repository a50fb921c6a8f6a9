/** A configuration of the operator with the routes and services of the sheet of aosb-tracker, in small. */
import { host, key } from "./caller.js";

export const trackerService = "tracker-api";
export const poolService = "llm-pool";
export const modelName = "daka510000";
/** Time-outs of the routes of the tracker and of the pool. */
export const trackerTimeoutMilliseconds = 800;
export const poolTimeoutMilliseconds = 6_000;

export interface ConfigurationChanges {
    readonly version?: number;
    /** MaxAttempts of the route for assignments. */
    readonly assignAttempts?: number;
    readonly modelSize?: number;
    readonly trackerConnections?: number;
    readonly isResumable?: boolean;
}

export function configuration(changes: ConfigurationChanges = {}): unknown {
    const tracker = {
        Hostname: host,
        TimeoutMs: trackerTimeoutMilliseconds,
        TargetLatencyMs: 193,
        Priority: 2,
        Service: trackerService,
        SessionAffinity: false,
    };
    return {
        Version: changes.version ?? 3,
        Routes: [
            {
                ...tracker,
                Name: "board-read",
                Prefix: "/board/",
                Kind: "idempotent",
                MaxAttempts: 2,
            },
            {
                ...tracker,
                Name: "ticket-assign",
                Prefix: "/assign/",
                Kind: "non_idempotent",
                MaxAttempts: changes.assignAttempts ?? 1,
            },
            {
                Name: "triage-summary",
                Hostname: host,
                Prefix: "/triage/",
                Kind: "streaming",
                Service: poolService,
                TimeoutMs: poolTimeoutMilliseconds,
                TargetLatencyMs: 500,
                GapAimMs: 300,
                Priority: 1,
                MaxAttempts: 2,
                StreamResume: changes.isResumable ?? true,
                SessionAffinity: true,
            },
        ],
        Services: [
            {
                Name: trackerService,
                HealthPath: "/health",
                MaxConnections: changes.trackerConnections ?? 96,
            },
            {
                Name: poolService,
                HealthPath: "/health",
                MaxConnections: 394,
                Engine: {
                    Slots: 18,
                    KvTokens: 969_230,
                    Stride: 5,
                    Models: [
                        {
                            Name: modelName,
                            size: changes.modelSize ?? 2,
                            Share: 1,
                            pace: 1,
                            LoadS: 12,
                            WarmS: 1.1,
                            Keeps: 1,
                        },
                    ],
                    step_ms: 6.07,
                    per_seq_ms: 0.05,
                    context_per_k: 0.001,
                    read_per_s: 46_000,
                    pairs_per_m: 0.7,
                    chunk: 2_048,
                    LoadsPerS: 4,
                    loads_at_once: 6,
                    report_lag_ms: 300,
                    usual: { prompt: 100, answer: 30 },
                },
            },
        ],
        Limits: {
            MaxHeaderBytes: 16_384,
            MaxBodyBytes: 4_194_304,
            HeaderTimeoutMs: 5_000,
            IdleTimeoutMs: 15_000,
        },
        Tenants: [{ Name: "hule930", ApiKeys: [key], Priority: 1 }],
    };
}
