/**
 * Idempotency keys: UUIDs of version 7, whose timestamp limits how long their claims must be kept. A key older than the
 * window is refused, so that deleting its claim can never allow a second run.
 */
import { createHash } from "node:crypto";
import type { Fault, Result } from "./errors.js";
import { fail, succeed } from "./errors.js";
import { hashNumber } from "./hashes.js";
import type { ServiceCall } from "./requests.js";

const uuidVersion7 = /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/;
const timeDigits = 12;

/**
 * Settings that must be identical at all entry instances, since they determine where a key's claim is stored and when it
 * may be deleted.
 */
export interface KeyWindowOptions {
    /** Age after which a key is refused, in milliseconds. */
    readonly windowMilliseconds: number;
    /** Maximum difference between the wall clocks of callers and entry instances, in milliseconds. */
    readonly allowedSkewMilliseconds: number;
    /** Length of a bucket in milliseconds; keys created in one bucket share store values. */
    readonly bucketMilliseconds: number;
    /** Number of store values per bucket. */
    readonly shards: number;
    /** Maximum time from a request's arrival to its deadline, in milliseconds. */
    readonly maximumRequestMilliseconds: number;
}

/** Default settings, sized for about ten keyed calls per second. */
export const defaultKeyWindow: KeyWindowOptions = {
    windowMilliseconds: 24 * 60 * 60 * 1000,
    allowedSkewMilliseconds: 60 * 1000,
    bucketMilliseconds: 10 * 1000,
    shards: 4,
    maximumRequestMilliseconds: 10 * 60 * 1000,
};

/** A parsed key. */
export interface IdempotencyKey {
    readonly text: string;
    /** Wall-clock milliseconds at which the caller created the key. */
    readonly mintedAt: number;
}

function invalidKey(message: string): Fault {
    const path = ["headers", "idempotency-key"];
    return { code: "invalidRequest", message, step: "claim", path, notRun: true };
}

/** Parses a key without checking its creation time. */
export function safeParseIdempotencyKey(text: string): Result<IdempotencyKey> {
    if (!uuidVersion7.test(text)) {
        return fail(invalidKey("the Idempotency-Key is not a lower-case UUID of version 7"));
    }
    const digits = text.replaceAll("-", "").slice(0, timeDigits);
    return succeed({ text, mintedAt: Number.parseInt(digits, 16) });
}

/**
 * Checks that the key's timestamp is not in the future and lies within the window in which claims are kept. The call of
 * an expired key may have run, so its fault is never "not run".
 */
export function checkKeyWindow(
    key: IdempotencyKey,
    options: KeyWindowOptions,
    wallNow: number,
): Fault | undefined {
    if (key.mintedAt > wallNow + options.allowedSkewMilliseconds) {
        return invalidKey("the timestamp of the Idempotency-Key lies in the future");
    }
    if (key.mintedAt < wallNow - options.windowMilliseconds) {
        const message = "the Idempotency-Key is older than the window in which outcomes are kept";
        return { code: "keyExpired", message, step: "claim", notRun: false };
    }
    return undefined;
}

/** Returns the number of the bucket that contains a wall time. */
export function bucketOf(wallMilliseconds: number, options: KeyWindowOptions): number {
    return Math.floor(wallMilliseconds / options.bucketMilliseconds);
}

/** Returns the store key of the value that holds a key's claim. */
export function claimStoreKey(key: IdempotencyKey, options: KeyWindowOptions): string {
    const shard = hashNumber(key.text) % options.shards;
    return `claims/${bucketOf(key.mintedAt, options)}/${shard}`;
}

/** Returns true if the key's claim may have been deleted, so that it no longer prevents a second run. */
export function isClaimExpired(key: IdempotencyKey, options: KeyWindowOptions, wallNow: number): boolean {
    return key.mintedAt < wallNow - options.windowMilliseconds - options.maximumRequestMilliseconds;
}

/**
 * Returns the latest bucket that may be deleted. All claims in it have expired at every entry instance, even if clocks
 * differ by the allowed skew in either direction.
 */
export function lastExpiredBucket(options: KeyWindowOptions, wallNow: number): number {
    const {
        windowMilliseconds,
        maximumRequestMilliseconds: requestMilliseconds,
        allowedSkewMilliseconds,
    } = options;
    const retentionMilliseconds = windowMilliseconds + requestMilliseconds + 2 * allowedSkewMilliseconds;
    return bucketOf(wallNow - retentionMilliseconds, options) - 1;
}

// 128 bits of SHA-256, in base64url.
const digestLength = 22;

/** Returns a digest that binds a key to its subscriber and to the whole call. */
export function callDigest(call: ServiceCall): string {
    const { caller, service, method, path, contentType, body } = call;
    const parts = [caller.team, caller.subscriber, service, method, path, contentType ?? "", body];
    return createHash("sha256").update(JSON.stringify(parts)).digest("base64url").slice(0, digestLength);
}
