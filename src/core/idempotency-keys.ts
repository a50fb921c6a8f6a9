/**
 * Idempotency keys: UUIDs of version 7, whose time bounds how long their claims must be kept. A key older than the
 * window is refused, so that forgetting its claim can never allow a second run.
 */
import { createHash } from "node:crypto";
import type { Fault, Result } from "./errors.js";
import { fail, succeed } from "./errors.js";
import { hashNumber } from "./hashes.js";
import type { ServiceCall } from "./requests.js";

const uuidVersion7 = /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/;
const timeDigits = 12;

/** Settings that all entry instances must share, since they say where a key's claim is kept. */
export interface KeyWindowOptions {
    /** Age after which a key is refused, in milliseconds. */
    readonly windowMilliseconds: number;
    /** Largest difference between the wall clocks of callers and entry instances, in milliseconds. */
    readonly allowedSkewMilliseconds: number;
    /** Keys minted in the same bucket of this many milliseconds share store values. */
    readonly bucketMilliseconds: number;
    /** Store values per bucket. */
    readonly shards: number;
    /** Longest time from a request's arrival to its deadline, in milliseconds. */
    readonly longestRequestMilliseconds: number;
}

/** Defaults for some ten actions a second. */
export const defaultKeyWindow: KeyWindowOptions = {
    windowMilliseconds: 24 * 60 * 60 * 1000,
    allowedSkewMilliseconds: 60 * 1000,
    bucketMilliseconds: 10 * 1000,
    shards: 4,
    longestRequestMilliseconds: 10 * 60 * 1000,
};

/** A checked key. */
export interface IdempotencyKey {
    readonly text: string;
    /** Wall milliseconds at which the caller minted the key. */
    readonly mintedAt: number;
}

function invalidKey(message: string): Fault {
    const path = ["headers", "idempotency-key"];
    return { code: "invalidRequest", message, step: "claim", path, notRun: true };
}

/** Parses a key; its minting time is not checked. */
export function safeParseIdempotencyKey(text: string): Result<IdempotencyKey> {
    if (!uuidVersion7.test(text)) {
        return fail(invalidKey("the Idempotency-Key is not a UUID of version 7 in lower case"));
    }
    const digits = text.replaceAll("-", "").slice(0, timeDigits);
    return succeed({ text, mintedAt: Number.parseInt(digits, 16) });
}

/** Checks that the key's claim would still be kept. An expired key may have run: its fault never says "not run". */
export function checkKeyWindow(
    key: IdempotencyKey,
    options: KeyWindowOptions,
    wallNow: number,
): Fault | undefined {
    if (key.mintedAt > wallNow + options.allowedSkewMilliseconds) {
        return invalidKey("the Idempotency-Key's time lies in the future");
    }
    if (key.mintedAt < wallNow - options.windowMilliseconds) {
        const message = "the Idempotency-Key is older than the window in which its outcome is kept";
        return { code: "keyExpired", message, step: "claim", notRun: false };
    }
    return undefined;
}

/** Number of the bucket that a wall time falls into. */
export function bucketOf(wallMilliseconds: number, options: KeyWindowOptions): number {
    return Math.floor(wallMilliseconds / options.bucketMilliseconds);
}

/** Store key of the value that holds a key's claim. */
export function claimStoreKey(key: IdempotencyKey, options: KeyWindowOptions): string {
    const shard = hashNumber(key.text) % options.shards;
    return `claims/${bucketOf(key.mintedAt, options)}/${shard}`;
}

/** True if the key's claim may have been deleted, so that it protects nothing any more. */
export function isKeyForgotten(key: IdempotencyKey, options: KeyWindowOptions, wallNow: number): boolean {
    return key.mintedAt < wallNow - options.windowMilliseconds - options.longestRequestMilliseconds;
}

/**
 * Latest bucket that may be deleted: every entry instance calls its keys forgotten, although clocks may differ by the
 * skew either way.
 */
export function lastExpiredBucket(options: KeyWindowOptions, wallNow: number): number {
    const { windowMilliseconds, longestRequestMilliseconds, allowedSkewMilliseconds } = options;
    const kept = windowMilliseconds + longestRequestMilliseconds + 2 * allowedSkewMilliseconds;
    return bucketOf(wallNow - kept, options) - 1;
}

// 128 bits of SHA-256, in base64url.
const digestLength = 22;

/** Digest that binds a key to its subscriber and to the whole call. */
export function callDigest(call: ServiceCall): string {
    const { caller, service, method, path, contentType, body } = call;
    const parts = [caller.team, caller.subscriber, service, method, path, contentType ?? "", body];
    return createHash("sha256").update(JSON.stringify(parts)).digest("base64url").slice(0, digestLength);
}
