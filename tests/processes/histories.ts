/** What callers did and were told during one run over real processes. */

/** One attempt of a keyed action. */
export interface ActionAttempt {
    readonly entry: string;
    readonly status: number;
    readonly body: string;
    /** Code of a typed error. */
    readonly code?: string;
    readonly notRun?: boolean;
    /** Why there was no whole answer. */
    readonly failure?: string;
    /** True if an entry instance that nobody had killed broke the connection without an answer. */
    readonly wasCut?: boolean;
}

/** One keyed action with all its attempts, in order. */
export interface ActionRecord {
    readonly key: string;
    readonly attempts: readonly ActionAttempt[];
}

/** How a streamed completion ended for its caller. */
export type StreamEnd =
    | { readonly kind: "whole" }
    /** An explicit error or refusal. */
    | { readonly kind: "error"; readonly code: string }
    /** The connection ended without a terminal event, and no entry instance took the stream on. */
    | { readonly kind: "cut"; readonly failure: string };

/** One streamed completion over all its connections. */
export interface StreamRecord {
    readonly prompt: string;
    readonly tokens: number;
    readonly text: string;
    readonly offsets: readonly number[];
    /** Connections that the caller opened. */
    readonly connections: number;
    /** Connections to entry instances that nobody had killed and that broke without a terminal event. */
    readonly silentCuts: readonly string[];
    readonly end: StreamEnd;
}

/** A whole run. */
export interface ProcessHistory {
    readonly actions: readonly ActionRecord[];
    readonly streams: readonly StreamRecord[];
    /** The stand-ins' own counts by Idempotency-Key. */
    readonly executions: Readonly<Record<string, number>>;
    /** Problems that the scenario found by itself. */
    readonly problems: readonly string[];
    /** Counts that show what was provoked, for example the daemons' events by kind. */
    readonly counts: Readonly<Record<string, number>>;
}
