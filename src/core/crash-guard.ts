/**
 * Keeps requests that crash replicas away from further replicas. Covers a request that crashes each replica or engine that
 * begins to run it, and that its caller repeats, with a new id and perhaps another query, at any entry process.
 */
import { hashIdentity } from "./identity-hashes.js";
import type { InstanceId } from "./instances.js";
import type { CompletionRequest, ServiceCall } from "./requests.js";

/** What the repetitions of a request have in common. */
export interface GuardedRequest {
    /** Hash that only this request and its repetitions have. */
    readonly request: string;
    /** Hash of the request without its query. */
    readonly resource: string;
}

/** Times are local monotonic milliseconds. */
export interface CrashGuard {
    /** Records that an instance broke the connection of a request before its response progressed. */
    readonly recordCrash: (
        request: GuardedRequest,
        instance: InstanceId,
        hasResponseHead: boolean,
        now: number,
    ) => void;
    /** Records that a response to the request is complete. */
    readonly recordComplete: (request: GuardedRequest, now: number) => void;
    /** Time until which the request must not be sent; undefined if it may be sent. */
    readonly quarantinedUntil: (request: GuardedRequest, now: number) => number | undefined;
    /** True if the request and its repetitions have crashed several instances: after a crash, it is not retried. */
    readonly isSuspect: (request: GuardedRequest, now: number) => boolean;
}

/** Guard that sends every request. */
export const noCrashGuard: CrashGuard = {
    recordCrash: () => undefined,
    recordComplete: () => undefined,
    quarantinedUntil: () => undefined,
    isSuspect: () => false,
};

/** Identifies the repetitions of a call, and those that differ in the query only. */
export function toGuardedCall({ caller, service, method, path, body }: ServiceCall): GuardedRequest {
    const [request, resource] = [path, path.split("?")[0] ?? ""].map(target =>
        hashIdentity([caller.team, caller.subscriber, service, method, target, body]),
    );
    return { request: request!, resource: resource! };
}

/** Identifies the repetitions of a completion request. */
export function toGuardedCompletion(completion: CompletionRequest): GuardedRequest {
    const { caller, model, prompt, maximumTokens } = completion;
    const request = hashIdentity([caller.team, caller.subscriber, model, prompt, maximumTokens]);
    return { request, resource: request };
}
