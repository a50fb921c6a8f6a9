import test from "ava";
import { RateLimits } from "../rate-limits.js";
import { groupMember } from "./fleet-fixtures.js";

const replica = groupMember("g", 0);

test("a limit holds until a response to a later request states none", t => {
    const limits = RateLimits.create();
    t.true(limits.record(replica, { requestsPerSecond: 4.5, sentAt: 10 }, 20));
    t.false(limits.record(replica, { requestsPerSecond: 4.5, sentAt: 12 }, 22));
    t.false(limits.record(replica, { requestsPerSecond: undefined, sentAt: 15 }, 25));
    t.is(limits.rateOf(replica), 4.5);
    t.true(limits.record(replica, { requestsPerSecond: undefined, sentAt: 30 }, 40));
    t.is(limits.rateOf(replica), undefined);
});

test("an announced limit applies if it is newer, and its announced end as well", t => {
    const limits = RateLimits.create();
    const announced = { id: replica.id, incarnation: 1 };
    limits.apply([{ ...announced, requestsPerSecond: 3, age: 100 }], 1_000);
    t.is(limits.rateOf(replica), 3);
    limits.apply([{ ...announced, requestsPerSecond: 9, age: 300 }], 1_100);
    t.is(limits.rateOf(replica), 3);
    limits.apply([{ ...announced, requestsPerSecond: undefined, age: 10 }], 1_200);
    t.is(limits.rateOf(replica), undefined);
    t.deepEqual(limits.announcement(1_200), [{ ...announced, requestsPerSecond: undefined, age: 10 }]);
    t.deepEqual(limits.announcement(20_000), []);
});

test("a new start of a replica has no limit", t => {
    const limits = RateLimits.create();
    limits.record(replica, { requestsPerSecond: 2, sentAt: 0 }, 1);
    const restarted = { ...replica, status: { ...replica.status, incarnation: 99 } };
    t.is(limits.rateOf(restarted), undefined);
    limits.retainReplicas(new Set());
    t.is(limits.rateOf(replica), undefined);
});

test("a replica that takes no requests is asked again at times, since nothing else shows the end of its limit", t => {
    const limits = RateLimits.create();
    limits.record(replica, { requestsPerSecond: 0, sentAt: 0 }, 1);
    t.true(limits.rateOf(replica)! > 0);
});
