import test from "ava";
import { paceOf } from "../fleet-paces.js";

const bounds = {
    configurationMilliseconds: 3_000,
    leavingMilliseconds: 3_000,
    toleranceMilliseconds: 4_000,
};

test("changes gather within the bounds of configuration and of leaving, however many entry instances there are", t => {
    for (const entries of [1, 8, 60, 300, 1_000]) {
        t.true(paceOf(entries, bounds).gatherMilliseconds <= 1_200, `${entries}`);
        const shortLeaving = { ...bounds, leavingMilliseconds: 1_000 };
        t.true(paceOf(entries, shortLeaving).gatherMilliseconds <= 500, `${entries}`);
    }
});

test("a dead watch is noticed within the time for which old state is tolerated", t => {
    t.true(paceOf(300, bounds).watchMilliseconds < bounds.toleranceMilliseconds);
});

test("more entry instances call and tell less often, each", t => {
    const [few, many] = [paceOf(8, bounds), paceOf(300, bounds)];
    t.true(many.gatherMilliseconds > few.gatherMilliseconds);
    t.true(many.peerMilliseconds > few.peerMilliseconds);
    t.true(many.peerReadMilliseconds > few.peerReadMilliseconds);
});
