/** Records of the callers' requests and responses during one run over real processes. */

/** One attempt of a keyed action. */
export interface ActionAttempt {
    readonly entry: string;
    readonly status: number;
    readonly body: string;
    /** Code of a typed error. */
    readonly code?: string;
    readonly notRun?: boolean;
    /** Reason for the lack of a complete response. */
    readonly failure?: string;
    /** True if the entry instance broke the connection without a response, although it had not been killed. */
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
    /** The connection ended without a terminal event, and no entry instance resumed the stream. */
    | { readonly kind: "cut"; readonly failure: string };

/** One streamed completion over all its connections. */
export interface StreamRecord {
    readonly prompt: string;
    readonly tokens: number;
    readonly text: string;
    readonly offsets: readonly number[];
    /** Connections that the caller opened. */
    readonly connections: number;
    /** Connections that broke without a terminal event, although the entry instance had not been killed. */
    readonly silentCuts: readonly string[];
    readonly end: StreamEnd;
}

/** All records of one run. */
export interface ProcessHistory {
    readonly actions: readonly ActionRecord[];
    readonly streams: readonly StreamRecord[];
    /** Executions by Idempotency-Key, as the stand-ins counted them. */
    readonly executions: Readonly<Record<string, number>>;
    /** Violations that the scenario and the observers reported during the run. */
    readonly problems: readonly string[];
    /** Counts that show which situations the run reached, for example the daemons' events by kind. */
    readonly counts: Readonly<Record<string, number>>;
}
