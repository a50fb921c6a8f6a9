/** Records of callers, replicas and the operator in one run of the soak. Times are milliseconds of one monotonic clock. */

export type RequestKind = "once" | "read" | "stream";

/** One request of a caller and its outcome for the caller. */
export interface CallerRecord {
    readonly id: string;
    readonly kind: RequestKind;
    readonly entry: string;
    readonly credential: string;
    readonly sentAt: number;
    /** When the last byte of the request was written; the same as `sentAt` if it never was. */
    readonly writtenAt: number;
    readonly endedAt: number;
    /** 0 if no response headers arrived. */
    readonly status: number;
    readonly answeredId: string | undefined;
    readonly body: string;
    /** True if the response is complete by its HTTP framing. */
    readonly isWhole: boolean;
    /** True if the request was sent over a connection that had carried another one before. */
    readonly isOnKeptConnection: boolean;
    /** True if the lack of a response is no violation: the process was disturbed or ended, or could not be reached. */
    readonly isExcused: boolean;
}

/** One execution of a request at a replica. */
export interface RunRecord {
    readonly id: string;
    readonly replica: string;
    readonly at: number;
    readonly workspace: string | undefined;
    readonly hasCredential: boolean;
    /** Engines of the group that ran the request, the replica itself included; empty for a plain replica. */
    readonly members: readonly string[];
    readonly target: string;
}

/** Configuration version that an entry instance acted on when it was polled. */
export interface VersionRecord {
    readonly entry: string;
    /** Number of the process start of the entry instance, from 1. */
    readonly start: number;
    /** When the request that showed the version was sent. */
    readonly at: number;
    readonly version: number;
    /** Status of the response that showed the version. */
    readonly status?: number;
}

/** One configuration version that the store accepted from the operator. */
export interface PublishedRecord {
    readonly version: number;
    readonly at: number;
}

/** A time span in which an entry instance, its connection to the store or the store itself was disturbed. */
export interface DisturbedSpan {
    /** Undefined if the disturbance concerns all entry instances. */
    readonly entry: string | undefined;
    readonly from: number;
    readonly to: number;
}

/** A response that a replica itself did not complete. */
export interface BreakRecord {
    readonly id: string;
    readonly replica: string;
}

/** A time span in which the connections to a replica were disturbed. */
export interface LinkFaultSpan {
    readonly replica: string;
    readonly from: number;
    readonly to: number;
}

/** A replica's announcement that it leaves. */
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
    readonly breaks: readonly BreakRecord[];
    readonly linkFaults: readonly LinkFaultSpan[];
    /** Violations of the group rules that the simulated engines detected. */
    readonly groupViolations: readonly string[];
    readonly endedAt: number;
}

/** An empty history as the base for tests. */
export const emptyHistory: SoakHistory = {
    callers: [],
    runs: [],
    versions: [],
    published: [],
    disturbed: [],
    leaving: [],
    breaks: [],
    linkFaults: [],
    groupViolations: [],
    endedAt: 0,
};
