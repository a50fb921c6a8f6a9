/** Requests and responses independent of a deployment's HTTP conventions; an adapter translates them. */
import type { IncomingMessage } from "node:http";

/** Work that a request requires from a model engine. */
export interface EngineWork {
    readonly model: string;
    readonly promptTokens: number;
    /** Ids of the leading segments of the prompt, which requests share; without the request's own last segment. */
    readonly promptSegments: readonly string[];
    /** What the caller states of the whole prompt; equal for equal prompts. Empty if it states nothing. */
    readonly promptStatement: string;
    /** Maximum number of output tokens; undefined if the caller states none. */
    readonly maximumOutputTokens?: number;
    /** Number of output tokens that the caller expects; undefined if it states none. */
    readonly outputHintTokens?: number;
}

/** A request of a caller, without its body. */
export interface CallerRequest {
    /** Id of this attempt of the caller; undefined if the caller sent none. */
    readonly id: string | undefined;
    readonly method: string;
    readonly host: string;
    /** Path and query as received. */
    readonly target: string;
    readonly path: string;
    readonly credential: string | undefined;
    /** Time for which the caller waits for the response, in milliseconds; undefined if the caller stated none. */
    readonly timeoutMilliseconds: number | undefined;
    /** Id of the last event of the stream that the caller has received. */
    readonly lastEventId: number | undefined;
    readonly work: EngineWork | undefined;
    /** Alternating names and values, without hop-by-hop headers and those that this system sets. */
    readonly headers: readonly string[];
}

/** What this system adds to the caller's headers in a request to a replica. */
export interface ReplicaRequestOptions {
    readonly instance: string;
    readonly remainingMilliseconds: number;
    readonly workspace: string | undefined;
    readonly lastEventId: number | undefined;
    /** Urgency at the replica, from 0 (first) to 9; undefined leaves the replica's default. */
    readonly rank: number | undefined;
    /** Length of the body in bytes; undefined if the request has no body. */
    readonly bodyBytes: number | undefined;
}

/** Head of a replica's response. */
export interface ResponseHead {
    readonly status: number;
    /** Id of the request that the replica states it responds to. */
    readonly requestId: string | undefined;
    /** True if the response is signed by the replica. */
    readonly isSigned: boolean;
    /** True only if the replica states that it did not run the request. */
    readonly isStatedNotRun: boolean;
    /** True if the replica states that it leaves. */
    readonly isLeaving: boolean;
    /** Time for which the replica wants no further request; undefined unless it refused this one and states a time. */
    readonly pauseMilliseconds: number | undefined;
    /** Requests per second that the replica takes from all entry instances together; undefined without a limit. */
    readonly requestsPerSecond: number | undefined;
    /** Time for which the replica stays cold, in milliseconds; undefined if the response does not state it. */
    readonly coldMilliseconds: number | undefined;
    /** Media type in lower case, without parameters; undefined if the response states none. */
    readonly mediaType: string | undefined;
    /** True if the message states where it ends; otherwise it ends with its connection. */
    readonly isFramed: boolean;
    /** True if the body has a content encoding that no caller requested. */
    readonly hasUnrequestedEncoding: boolean;
    /** Alternating names and values, without hop-by-hop headers. */
    readonly headers: readonly string[];
}

/** Translation between HTTP messages and the types above. */
export interface WireFormat {
    readonly decodeRequest: (message: IncomingMessage) => CallerRequest;
    /** Headers of a request to a replica, as alternating names and values. */
    readonly encodeReplicaRequest: (
        request: CallerRequest,
        options: ReplicaRequestOptions,
    ) => readonly string[];
    readonly decodeResponse: (message: IncomingMessage) => ResponseHead;
    /** Name of the header in this system's own responses that carries the request id. */
    readonly requestIdHeader: string;
}
