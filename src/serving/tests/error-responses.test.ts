import test from "ava";
import * as fc from "fast-check";
import {
    expiredResponse,
    quarantinedResponse,
    refusalAfterAttempt,
    refusalWithoutTarget,
    refusedResponse,
    retryAfterMilliseconds,
    unknownResponse,
} from "../error-responses.js";

const paused = refusalWithoutTarget({ kind: "paused", retryAfterMilliseconds: 2_000 });
/** Time until a caller's deadline that limits no Retry-After of these tests, in milliseconds. */
const longRemaining = 60_000;

test("a Retry-After varies by a quarter in both directions, and only upwards if an earlier retry cannot succeed", t => {
    t.is(retryAfterMilliseconds({ milliseconds: 400 }, 0, longRemaining), 300);
    t.is(retryAfterMilliseconds({ milliseconds: 400 }, 0.5, longRemaining), 400);
    t.is(retryAfterMilliseconds({ milliseconds: 400 }, 1, longRemaining), 500);
    t.is(retryAfterMilliseconds({ milliseconds: 400, isEarliest: true }, 0, longRemaining), 400);
    t.is(retryAfterMilliseconds({ milliseconds: 400, isEarliest: true }, 1, longRemaining), 500);
});

test("a Retry-After leaves a caller two thirds of its time, also past its deadline", t => {
    fc.assert(
        fc.property(
            fc.double({ min: 0, max: 1e6, noNaN: true }),
            fc.boolean(),
            fc.double({ min: 0, max: 1, maxExcluded: true, noNaN: true }),
            fc.double({ min: -1e4, max: 1e5, noNaN: true }),
            (milliseconds, isEarliest, random, remaining) => {
                const result = retryAfterMilliseconds({ milliseconds, isEarliest }, random, remaining);
                return result >= 0 && result <= Math.max(0, remaining) / 3;
            },
        ),
    );
    t.is(retryAfterMilliseconds({ milliseconds: 400 }, 0.5, 600), 200);
    t.is(retryAfterMilliseconds({ milliseconds: 400 }, 0.5, -1), 0);
});

test("each refusal states its reason and its own Retry-After in seconds", t => {
    const overloaded = refusalWithoutTarget({
        kind: "overloaded",
        expectedMilliseconds: 812.4,
        retryAfterMilliseconds: 700,
    });
    t.deepEqual(refusedResponse(overloaded, 0.5, longRemaining), {
        status: 503,
        outcome: "refused",
        reason: "the first event is expected after 812 ms",
        headers: ["Retry-After", "0.70"],
    });
    t.deepEqual(refusedResponse(paused, 0, longRemaining).headers, ["Retry-After", "2.00"]);
    const noReplica = refusalWithoutTarget({ kind: "none" });
    t.deepEqual(refusedResponse(noReplica, 0.5, longRemaining).headers, ["Retry-After", "1.50"]);
    const afterAttempt = refusedResponse(refusalAfterAttempt("full"), 0.5, longRemaining);
    t.is(afterAttempt.reason, "full");
    t.deepEqual(afterAttempt.headers, ["Retry-After", "0.40"]);
});

test("a request that may have run is never answered with 503", t => {
    t.is(unknownResponse("lost").status, 502);
    t.is(expiredResponse("late", true).status, 504);
    t.is(expiredResponse("late", false).status, 503);
});

test("a quarantined request is told the whole time of its quarantine, unless it may have run", t => {
    const refused = quarantinedResponse(false, 0.5, 60_000);
    t.is(refused.status, 503);
    t.deepEqual(refused.headers, ["Retry-After", "68"]);
    const unknown = quarantinedResponse(true, 0.5, 60_000);
    t.is(unknown.status, 502);
    t.deepEqual(unknown.headers, []);
});
