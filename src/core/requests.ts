/** Requests of callers after parsing and authentication. Deadlines are in local monotonic milliseconds. */
import type { SubscriberId, TeamId } from "./teams.js";

export type RequestId = string;

/** The caller on whose behalf a request runs. */
export interface Caller {
    readonly team: TeamId;
    readonly subscriber: SubscriberId;
}

/** A request for generated text. */
export interface CompletionRequest {
    readonly id: RequestId;
    readonly caller: Caller;
    readonly model: string;
    readonly prompt: string;
    readonly promptTokens: number;
    readonly maximumTokens: number;
    /** Rank of the team, which engines use as the priority of the request. */
    readonly priority: number;
    readonly deadline: number;
}

/** A call of a plain service. */
export interface ServiceCall {
    readonly id: RequestId;
    readonly caller: Caller;
    readonly service: string;
    readonly method: string;
    /** Path within the service, including the query. */
    readonly path: string;
    readonly body: string;
    readonly contentType?: string;
    /** True if the method or the route's configuration allows the call to be retried. */
    readonly idempotent: boolean;
    /** The caller's Idempotency-Key: a lower-case UUID of version 7. */
    readonly key?: string;
    /**
     * True if the caller states that it has sent this key before. Such a call is never reported as "not run" unless its
     * claim was read.
     */
    readonly isRepeat?: boolean;
    readonly deadline: number;
}
