/** Requests: what callers ask for, after parsing and authentication. Deadlines are local monotonic milliseconds. */
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
    /** Rank of the team; engines take it as the request's priority. */
    readonly priority: number;
    readonly deadline: number;
}

/** A call of a plain service. */
export interface ServiceCall {
    readonly id: RequestId;
    readonly caller: Caller;
    readonly service: string;
    readonly method: string;
    /** Path below the service, with its query. */
    readonly path: string;
    readonly body: string;
    readonly contentType?: string;
    /** True if the method or the route's configuration allows repeating the call. */
    readonly idempotent: boolean;
    /** The caller's Idempotency-Key: a UUIDv7 in lower case. */
    readonly key?: string;
    /** True if the caller says that it has sent this key before; such a call is never "not run" unread. */
    readonly isRepeat?: boolean;
    readonly deadline: number;
}
