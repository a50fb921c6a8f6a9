import test from "ava";
import { Admission } from "../admissions.js";
import { createRandomNumber } from "../random-numbers.js";

function request(id: string, subscriber: string, deadline = 10_000) {
    const caller = { team: "studio", subscriber };
    return { id, caller, model: "drafts", promptTokens: 100, expectedTokens: 100, deadline };
}

test("a request is queued, started, charged and released exactly once", t => {
    const admission = Admission.create({ random: createRandomNumber(1) });
    t.is(admission.offer(request("a", "one"), 0).kind, "queued");
    t.deepEqual(
        admission.startable(0, () => 0),
        [],
    );
    const started = admission.startable(0, () => 1);
    t.deepEqual(started, [{ id: "a", model: "drafts", priority: 0, borrowed: false }]);
    admission.charge("a", 5, 10);
    t.true(admission.finish("a", 20));
    t.false(admission.finish("a", 20));
    t.false(admission.abandon("a", 20));
    t.is(admission.queued + admission.started, 0);
});

test("a request that cannot start before its deadline is given up on as not run", t => {
    const admission = Admission.create({ random: createRandomNumber(1) });
    admission.offer(request("a", "one", 50), 0);
    t.deepEqual(admission.expire(49), []);
    const [refusal] = admission.expire(50);
    t.is(refusal?.fault.code, "deadlinePassed");
    t.true(refusal?.fault.notRun);
    t.true(refusal!.fault.retryAt! > 50);
});
