import test from "ava";
import { fleetTimingOf } from "../fleet-timing.js";

const bounds = {
    configurationMilliseconds: 3_000,
    leavingMilliseconds: 3_000,
    toleranceMilliseconds: 4_000,
};

test("changes are batched within the configuration and leaving bounds for any number of entry instances", t => {
    for (const entries of [1, 8, 60, 300, 1_000]) {
        t.true(fleetTimingOf(entries, bounds).watchPauseMilliseconds <= 1_200, `${entries}`);
        const shortLeaving = { ...bounds, leavingMilliseconds: 1_000 };
        t.true(fleetTimingOf(entries, shortLeaving).watchPauseMilliseconds <= 500, `${entries}`);
    }
});

test("a dead watch call is noticed within the tolerance for old state", t => {
    t.true(fleetTimingOf(300, bounds).watchTimeoutMilliseconds < bounds.toleranceMilliseconds);
});

test("each entry instance calls the store and its peers less often when there are more of them", t => {
    const [few, many] = [fleetTimingOf(8, bounds), fleetTimingOf(300, bounds)];
    t.true(many.watchPauseMilliseconds > few.watchPauseMilliseconds);
    t.true(many.peerIntervalMilliseconds > few.peerIntervalMilliseconds);
    t.true(many.peerReadIntervalMilliseconds > few.peerReadIntervalMilliseconds);
});
