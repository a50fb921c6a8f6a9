import test from "ava";
import {
    bucketOf,
    callDigest,
    checkKeyWindow,
    claimStoreKey,
    defaultKeyWindow,
    isClaimExpired,
    lastExpiredBucket,
    safeParseIdempotencyKey,
} from "../idempotency-keys.js";
import { unwrap } from "../errors.js";

const mintedAt = 0x0190_0000_0000;
const text = "01900000-0000-7abc-8def-0123456789ab";
const key = unwrap(safeParseIdempotencyKey(text));

test("only lower-case UUIDs of version 7 are accepted as keys, and their timestamp is parsed", t => {
    t.deepEqual(key, { text, mintedAt });
    for (const wrong of [text.toUpperCase(), text.replace("-7", "-4"), `${text}0`, "", "booking 1"]) {
        const result = safeParseIdempotencyKey(wrong);
        t.like(result, { success: false, fault: { code: "invalidRequest", notRun: true } });
    }
});

test("a key is refused outside its window, and an expired key is never reported as not run", t => {
    const { windowMilliseconds, allowedSkewMilliseconds } = defaultKeyWindow;
    const check = (wallNow: number) => checkKeyWindow(key, defaultKeyWindow, wallNow);
    t.is(check(mintedAt - allowedSkewMilliseconds), undefined);
    t.like(check(mintedAt - allowedSkewMilliseconds - 1), { code: "invalidRequest" });
    t.is(check(mintedAt + windowMilliseconds), undefined);
    t.like(check(mintedAt + windowMilliseconds + 1), { code: "keyExpired", notRun: false });
});

test("a bucket is deleted only after its keys have expired at every entry instance, with any allowed clock skew", t => {
    const { bucketMilliseconds, allowedSkewMilliseconds } = defaultKeyWindow;
    const bucket = bucketOf(mintedAt, defaultKeyWindow);
    const newest = { text, mintedAt: (bucket + 1) * bucketMilliseconds - 1 };
    let sweeperNow = mintedAt;
    while (lastExpiredBucket(defaultKeyWindow, sweeperNow) < bucket) {
        sweeperNow += 1_000;
    }
    t.true(isClaimExpired(newest, defaultKeyWindow, sweeperNow - 2 * allowedSkewMilliseconds));
    t.regex(claimStoreKey(key, defaultKeyWindow), new RegExp(`^claims/${bucket}/[0-3]$`));
});

test("the digest binds a key to its subscriber and to every part of the call", t => {
    const call = {
        id: "r",
        caller: { team: "kelani", subscriber: "driver-1" },
        service: "depot",
        method: "POST",
        path: "/bookings",
        body: "{}",
        idempotent: false,
        deadline: 1,
    };
    const digest = callDigest(call);
    t.is(callDigest({ ...call, id: "other", deadline: 2 }), digest);
    const others = [
        { ...call, body: "{ }" },
        { ...call, path: "/bookings2" },
        { ...call, method: "PUT" },
        { ...call, service: "tracker" },
        { ...call, contentType: "text/plain" },
        { ...call, caller: { team: "kelani", subscriber: "driver-2" } },
        { ...call, caller: { team: "anadolu", subscriber: "driver-1" } },
    ].map(callDigest);
    t.is(new Set([digest, ...others]).size, others.length + 1);
});
