/**
 * Keeps requests that crash replicas away from further replicas. Covers a request that crashes each replica or engine that
 * begins to run it, and that its caller repeats, with a new id and perhaps another query, at any entry process.
 */
import { createHash } from "node:crypto";
import type { InstanceId } from "./instances.js";
import type { CompletionRequest, RequestId, ServiceCall } from "./requests.js";

/** Number of hexadecimal digits of a fingerprint. */
const fingerprintLength = 16;

/** Number of crashes after which one arrival of a request is not retried. */
export const maximumCrashesOfRequest = 3;

/** A request and what its repetitions have in common. */
export interface GuardedRequest {
    readonly id: RequestId;
    readonly fingerprints: readonly string[];
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
    /** True if the request must not be sent; its quarantine then continues. */
    readonly isQuarantined: (request: GuardedRequest, now: number) => boolean;
    /** True if a repetition of the request was lost, too: after a crash, it should not be retried. */
    readonly isSuspect: (request: GuardedRequest, now: number) => boolean;
}

/** Guard that sends every request. */
export const noCrashGuard: CrashGuard = {
    recordCrash: () => undefined,
    recordComplete: () => undefined,
    isQuarantined: () => false,
    isSuspect: () => false,
};

/** Identifies the repetitions of a call, and those that differ in the query only. */
export function toGuardedCall(call: ServiceCall): GuardedRequest {
    const { id, caller, service, method, path, body } = call;
    const resource = path.split("?")[0] ?? "";
    const fingerprints = [path, resource].map(target =>
        fingerprintOf([caller.team, caller.subscriber, service, method, target, body]),
    );
    return { id, fingerprints: [...new Set(fingerprints)] };
}

/** Identifies the repetitions of a completion request. */
export function toGuardedCompletion(request: CompletionRequest): GuardedRequest {
    const { id, caller, model, prompt, maximumTokens } = request;
    const parts = [caller.team, caller.subscriber, model, prompt, maximumTokens];
    return { id, fingerprints: [fingerprintOf(parts)] };
}

function fingerprintOf(parts: readonly (string | number)[]): string {
    return createHash("sha256").update(JSON.stringify(parts)).digest("hex").slice(0, fingerprintLength);
}
