import test from "ava";
import type { Route } from "../serving-configuration.js";
import { attemptTimeoutMilliseconds, attemptExtensionMilliseconds } from "../attempt-timeouts.js";

const route: Route = {
    name: "r",
    host: "h",
    prefix: "/",
    repeatability: "stream",
    timeoutMilliseconds: 6_000,
    objectiveMilliseconds: 300,
    rank: 1,
    targets: [],
    maximumAttempts: 2,
    allowsAnonymous: true,
    isResumable: true,
};

test("only a retryable request has an attempt time-out", t => {
    t.is(attemptTimeoutMilliseconds({ ...route, repeatability: "once" }, 50), undefined);
    t.is(attemptTimeoutMilliseconds({ ...route, isResumable: false }, 50), undefined);
    t.true(attemptTimeoutMilliseconds({ ...route, repeatability: "idempotent" }, 0)! < 300);
});

test("a stream has a longer time-out where a later first event is expected", t => {
    t.is(attemptTimeoutMilliseconds(route, 10), 450);
    t.is(attemptTimeoutMilliseconds(route, 200), 800);
});

test("a request queued at a group that makes progress gets an extension", t => {
    t.is(attemptExtensionMilliseconds(route, 450, true), 450);
    t.is(attemptExtensionMilliseconds(route, 900, true), 0);
    t.is(attemptExtensionMilliseconds(route, 450, false), 0);
});
