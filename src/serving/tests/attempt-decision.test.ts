import test from "ava";
import type { AttemptFacts } from "../attempt-decision.js";
import { decideNextStep, resumeDelayMilliseconds } from "../attempt-decision.js";

const base: AttemptFacts = {
    repeatability: "idempotent",
    isResumable: false,
    possibleRuns: 0,
    attemptCount: 1,
    maximumAttempts: 2,
    mayHaveRun: false,
    hasBegunResponse: false,
    hasSilentAttempt: false,
    remainingMilliseconds: 1_000,
    hasRetryBudget: true,
    mayCrashAnotherReplica: false,
};
const once: AttemptFacts = { ...base, repeatability: "once", maximumAttempts: 1 };
const stream: AttemptFacts = { ...base, repeatability: "stream", isResumable: true };

test("a request that must run at most once is never retried after it may have run", t => {
    for (const maximumAttempts of [1, 2, 5]) {
        for (const outcome of ["lost", "failed", "refused"] as const) {
            const step = decideNextStep(outcome, {
                ...once,
                maximumAttempts,
                mayHaveRun: true,
                possibleRuns: 1,
            });
            t.not(step, "retry");
            t.not(step, "refuse");
        }
    }
});

test("a request that no replica can have run is refused as not run", t => {
    t.is(decideNextStep("refused", once), "refuse");
    t.is(decideNextStep("notSent", { ...once, remainingMilliseconds: 5 }), "refuse");
});

test("an attempt of which no byte was sent is retried even without a retry budget", t => {
    t.is(decideNextStep("notSent", { ...once, hasRetryBudget: false }), "retry");
    t.is(decideNextStep("withheld", once), "retry");
    t.is(decideNextStep("withheld", { ...once, remainingMilliseconds: 5 }), "refuse");
});

test("an idempotent request is retried up to the maximum number of attempts", t => {
    t.is(decideNextStep("lost", { ...base, mayHaveRun: true, possibleRuns: 1 }), "retry");
    t.is(decideNextStep("lost", { ...base, mayHaveRun: true, possibleRuns: 2, attemptCount: 2 }), "unknown");
    t.is(decideNextStep("failed", { ...base, mayHaveRun: true, possibleRuns: 2, attemptCount: 2 }), "pass");
    t.is(
        decideNextStep("lost", { ...base, mayHaveRun: true, possibleRuns: 1, hasRetryBudget: false }),
        "unknown",
    );
});

test("a stream that has begun is resumed at another replica or cut, never restarted", t => {
    const begun = { ...stream, hasBegunResponse: true, mayHaveRun: true };
    t.is(decideNextStep("lost", { ...begun, possibleRuns: 1 }), "retry");
    t.is(decideNextStep("lost", { ...begun, possibleRuns: 0, attemptCount: 3 }), "retry");
    t.is(decideNextStep("lost", { ...begun, possibleRuns: 2 }), "cut");
    t.is(decideNextStep("lost", { ...begun, isResumable: false, possibleRuns: 0 }), "cut");
    t.is(decideNextStep("refused", { ...begun, possibleRuns: 1, attemptCount: 2 }), "retry");
    t.is(decideNextStep("refused", { ...begun, possibleRuns: 2, attemptCount: 3 }), "cut");
    t.is(decideNextStep("refused", { ...begun, possibleRuns: 1, remainingMilliseconds: 5 }), "cut");
    t.is(decideNextStep("refused", { ...begun, isResumable: false, possibleRuns: 1 }), "cut");
});

test("a stream that has begun waits for the retry budget, one that cannot be resumed is cut", t => {
    const begun = { ...stream, hasBegunResponse: true, mayHaveRun: true, hasRetryBudget: false };
    for (const outcome of ["lost", "refused", "notSent"] as const) {
        t.is(decideNextStep(outcome, { ...begun, possibleRuns: 1 }), "postpone");
        t.is(decideNextStep(outcome, { ...begun, possibleRuns: 1, attemptCount: 20 }), "postpone");
        t.is(decideNextStep(outcome, { ...begun, possibleRuns: 2 }), "cut");
        t.is(decideNextStep(outcome, { ...begun, isResumable: false, possibleRuns: 1 }), "cut");
    }
});

test("a response that is no stream and has begun is cut, so that no second response is joined to it", t => {
    const begun = { ...base, hasBegunResponse: true, mayHaveRun: true, possibleRuns: 1 };
    for (const outcome of ["notSent", "refused", "failed", "lost"] as const) {
        t.is(decideNextStep(outcome, begun), "cut");
    }
});

test("attempts that no replica takes are spaced out, the second one follows at once", t => {
    t.deepEqual([0, 1, 2, 3, 4, 5, 9].map(resumeDelayMilliseconds), [0, 0, 40, 120, 280, 320, 320]);
});

test("a request that may crash another replica is not sent again", t => {
    const lost = { ...base, mayHaveRun: true, possibleRuns: 1 };
    t.is(decideNextStep("lost", lost), "retry");
    t.is(decideNextStep("lost", { ...lost, mayCrashAnotherReplica: true }), "unknown");
});
