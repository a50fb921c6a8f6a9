/** What callers, replicas and the operator saw in one run of the soak. Times are milliseconds of one monotonic clock. */

export type RequestKind = "once" | "read" | "stream";

/** One request of a caller, as the caller saw it end. */
export interface CallerRecord {
    readonly id: string;
    readonly kind: RequestKind;
    readonly entry: string;
    readonly credential: string;
    readonly sentAt: number;
    readonly endedAt: number;
    /** 0 if no head of an answer came. */
    readonly status: number;
    readonly answeredId: string | undefined;
    readonly body: string;
    /** True if the answer's framing shows that it is whole. */
    readonly isWhole: boolean;
    /** True if the entry instance had been told to end, or was disturbed, while the request was open. */
    readonly isExcused: boolean;
}

/** One run of a request at a replica. */
export interface RunRecord {
    readonly id: string;
    readonly replica: string;
    readonly at: number;
    readonly workspace: string | undefined;
    readonly hasCredential: boolean;
    readonly target: string;
}

/** One look at the configuration that an entry instance acts on. */
export interface VersionRecord {
    readonly entry: string;
    /** Start of the entry instance's process, counted from 1. */
    readonly start: number;
    readonly at: number;
    readonly version: number;
}

/** One write of the operator that the store has taken. */
export interface PublishedRecord {
    readonly version: number;
    readonly at: number;
}

/** A span in which an entry instance, its way to the store or the store itself was disturbed. */
export interface DisturbedSpan {
    /** Undefined concerns all entry instances. */
    readonly entry: string | undefined;
    readonly from: number;
    readonly to: number;
}

/** A replica that said it leaves. */
export interface LeavingRecord {
    readonly replica: string;
    readonly at: number;
}

export interface SoakHistory {
    readonly callers: readonly CallerRecord[];
    readonly runs: readonly RunRecord[];
    readonly versions: readonly VersionRecord[];
    readonly published: readonly PublishedRecord[];
    readonly disturbed: readonly DisturbedSpan[];
    readonly leaving: readonly LeavingRecord[];
    /** What the engines found by themselves about their groups. */
    readonly groupViolations: readonly string[];
    readonly endedAt: number;
}

/** An empty history, to be changed by tests. */
export const emptyHistory: SoakHistory = {
    callers: [],
    runs: [],
    versions: [],
    published: [],
    disturbed: [],
    leaving: [],
    groupViolations: [],
    endedAt: 0,
};
