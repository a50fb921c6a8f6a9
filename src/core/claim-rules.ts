/** Settings, rules, events and commands of the claim machine. */
import type { Swap } from "../contracts/key-value-stores.js";
import { meetRecord } from "./claim-operations.js";
import type { RecordedAnswer } from "./claim-records.js";
import type { ShardRules } from "./claim-shards.js";
import type { Fault } from "./errors.js";
import type { KeyWindowOptions } from "./idempotency-keys.js";
import { defaultKeyWindow } from "./idempotency-keys.js";
import type { RequestId } from "./requests.js";

/** Settings of one entry instance's machine; the key window must be the same at all of them. */
export interface ClaimOptions extends KeyWindowOptions {
    /** Claims and outcomes per write. */
    readonly maximumBatch: number;
    /** Time allowed to one call of the store, in milliseconds. */
    readonly storeMilliseconds: number;
    /** Values kept in memory between calls. */
    readonly maximumCachedValues: number;
    /** Outcomes that may wait in memory for the store; above it new claims are refused. */
    readonly maximumUnwrittenOutcomes: number;
    /** Time between two ticks while something is going on, in milliseconds. */
    readonly tickMilliseconds: number;
    /** Milliseconds to leave the store alone after this many failures in a row. */
    readonly storeDelay: (failures: number) => number;
    /** Returns a text that is unlike any other, over all processes. */
    readonly createNonce: () => string;
}

/** Settings without the nonce, which needs random numbers. */
export const defaultClaimOptions = {
    ...defaultKeyWindow,
    maximumBatch: 256,
    storeMilliseconds: 500,
    maximumCachedValues: 64,
    maximumUnwrittenOutcomes: 10_000,
    tickMilliseconds: 20,
    storeDelay: (failures: number) => Math.min(2_000, 50 * 2 ** failures),
} as const;

/** Rules of the machine, passed in so that the checkers can prove that they notice broken ones. */
export interface ClaimRules extends ShardRules {
    /** Whether a claim is written before anything is sent. */
    readonly requiresClaim: boolean;
    /** Whether a request may still be sent. */
    readonly isInTime: (deadline: number, now: number) => boolean;
    /** What a key becomes whose request was sent and not answered. */
    readonly unansweredBecomes: "unknown" | "released";
    /** Whether a key's call is the one that it was claimed for. */
    readonly isSameCall: (digest: string, claimedDigest: string) => boolean;
}

/** The rules in force. */
export const claimRules: ClaimRules = {
    meet: meetRecord,
    ambiguousCountsAs: "unknown",
    fencesLostWrites: true,
    requiresClaim: true,
    isInTime: (deadline, now) => now < deadline,
    unansweredBecomes: "unknown",
    isSameCall: (digest, claimedDigest) => digest === claimedDigest,
};

/** One keyed request as it arrives. The deadline is local monotonic milliseconds. */
export interface ClaimRequest {
    readonly request: RequestId;
    readonly key: string;
    /** Binds the key to its subscriber and call. */
    readonly digest: string;
    readonly deadline: number;
    /** True if the caller says that it has sent this key before. */
    readonly isRepeat: boolean;
}

/** Present time on both clocks. */
export interface Moment {
    /** Local monotonic milliseconds. */
    readonly now: number;
    readonly wallNow: number;
}

/** How a sent request ended. */
export type SentOutcome =
    | { readonly kind: "answered"; readonly answer: RecordedAnswer }
    | { readonly kind: "unknown"; readonly fault: Fault };

/**
 * What the driver must do. Every request gets exactly one of "replay" and "refused", or is granted and settled with
 * an answer; a granted request whose answer does not come in time is refused as unknown.
 */
export type ClaimCommand =
    | { readonly kind: "read"; readonly storeKey: string; readonly deadline: number }
    | { readonly kind: "swap"; readonly swap: Swap; readonly deadline: number }
    | { readonly kind: "granted"; readonly request: RequestId }
    | { readonly kind: "replay"; readonly request: RequestId; readonly answer: RecordedAnswer }
    | { readonly kind: "refused"; readonly request: RequestId; readonly fault: Fault };
