import test from "ava";
import { paceOf } from "../fleet-paces.js";

const bounds = {
    configurationMilliseconds: 3_000,
    leavingMilliseconds: 3_000,
    toleranceMilliseconds: 4_000,
};

test("changes are batched within the configuration and leaving bounds for any number of entry instances", t => {
    for (const entries of [1, 8, 60, 300, 1_000]) {
        t.true(paceOf(entries, bounds).gatherMilliseconds <= 1_200, `${entries}`);
        const shortLeaving = { ...bounds, leavingMilliseconds: 1_000 };
        t.true(paceOf(entries, shortLeaving).gatherMilliseconds <= 500, `${entries}`);
    }
});

test("a dead watch call is noticed within the tolerance for old state", t => {
    t.true(paceOf(300, bounds).watchMilliseconds < bounds.toleranceMilliseconds);
});

test("each entry instance calls the store and its peers less often when there are more of them", t => {
    const [few, many] = [paceOf(8, bounds), paceOf(300, bounds)];
    t.true(many.gatherMilliseconds > few.gatherMilliseconds);
    t.true(many.peerMilliseconds > few.peerMilliseconds);
    t.true(many.peerReadMilliseconds > few.peerReadMilliseconds);
});
