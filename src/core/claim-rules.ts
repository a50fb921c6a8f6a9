/** Settings, rules, inputs and commands of the claim state machine. */
import type { Swap } from "../contracts/key-value-stores.js";
import { applyOperationToRecord } from "./claim-operations.js";
import type { RecordedResponse } from "./claim-records.js";
import type { ShardRules } from "./claim-shard.js";
import type { Fault } from "./errors.js";
import type { KeyWindowOptions } from "./idempotency-keys.js";
import { defaultKeyWindow } from "./idempotency-keys.js";
import type { RequestId } from "./requests.js";

/** Settings of one entry instance's claim state machine; the key window must be identical at all entry instances. */
export interface ClaimOptions extends KeyWindowOptions {
    /** Maximum number of claims and outcomes per write. */
    readonly maximumBatch: number;
    /** Time-out of one store call, in milliseconds. */
    readonly storeTimeoutMilliseconds: number;
    /** Maximum number of stored values cached in memory between calls. */
    readonly maximumCachedValues: number;
    /** Maximum number of outcomes waiting in memory to be written; new claims are refused above it. */
    readonly maximumUnwrittenOutcomes: number;
    /** Time between two ticks while any request or operation is in progress, in milliseconds. */
    readonly tickIntervalMilliseconds: number;
    /** Backoff in milliseconds before the next store call, by the number of consecutive failures. */
    readonly storeBackoffMilliseconds: (failures: number) => number;
    /** Returns a string that is unique across all processes. */
    readonly createNonce: () => string;
}

/** Default settings, except for `createNonce`, which needs random numbers. */
export const defaultClaimOptions = {
    ...defaultKeyWindow,
    maximumBatch: 256,
    storeTimeoutMilliseconds: 500,
    maximumCachedValues: 64,
    maximumUnwrittenOutcomes: 10_000,
    tickIntervalMilliseconds: 20,
    storeBackoffMilliseconds: (failures: number) => Math.min(2_000, 50 * 2 ** failures),
} as const;

/** Rules of the claim state machine; passed in so that checkers can prove that they notice broken rules. */
export interface ClaimRules extends ShardRules {
    /** Whether a claim is written before anything is sent. */
    readonly requiresClaim: boolean;
    /** Whether a request may still be sent. */
    readonly isInTime: (deadline: number, now: number) => boolean;
    /** What happens to a key whose request was sent and got no response. */
    readonly stateAfterNoResponse: "unknown" | "released";
    /** Whether a call is the one that its key was claimed for. */
    readonly isSameCall: (digest: string, claimedDigest: string) => boolean;
}

/** The production rules. */
export const claimRules: ClaimRules = {
    applyOperation: applyOperationToRecord,
    ambiguousCountsAs: "unknown",
    fencesLostWrites: true,
    requiresClaim: true,
    isInTime: (deadline, now) => now < deadline,
    stateAfterNoResponse: "unknown",
    isSameCall: (digest, claimedDigest) => digest === claimedDigest,
};

/** One incoming keyed request. The deadline is in local monotonic milliseconds. */
export interface ClaimRequest {
    readonly request: RequestId;
    readonly key: string;
    /** Binds the key to its subscriber and call. */
    readonly digest: string;
    readonly deadline: number;
    /** True if the caller states that it has sent this key before. */
    readonly isRepeat: boolean;
}

/** The current time on both clocks. */
export interface CurrentTime {
    /** Local monotonic milliseconds. */
    readonly now: number;
    /** Wall-clock milliseconds. */
    readonly wallNow: number;
}

/** How a sent request ended. */
export type SentRequestOutcome =
    | { readonly kind: "answered"; readonly answer: RecordedResponse }
    | { readonly kind: "unknown"; readonly fault: Fault };

/**
 * What the driver must do. Every request gets exactly one of "replay" and "refused", or is granted and settled with
 * a response; a granted request whose response does not arrive in time is refused with an unknown outcome.
 */
export type ClaimCommand =
    | { readonly kind: "read"; readonly storeKey: string; readonly deadline: number }
    | { readonly kind: "swap"; readonly swap: Swap; readonly deadline: number }
    | { readonly kind: "granted"; readonly request: RequestId }
    | { readonly kind: "replay"; readonly request: RequestId; readonly answer: RecordedResponse }
    | { readonly kind: "refused"; readonly request: RequestId; readonly fault: Fault };
