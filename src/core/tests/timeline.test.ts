import test from "ava";
import type { EventBody } from "../events.js";
import { HybridClock, compareHybridTimes } from "../hybrid-clock.js";
import { filterTimeline, mergeTimelines } from "../timeline-filters.js";
import { Timeline } from "../timeline.js";

function createTimeline(process: string, wall: () => number, capacity = 100): Timeline {
    return Timeline.create({ process, failureDomain: "domain-a", clock: HybridClock.create(wall), capacity });
}

function completed(request: string): EventBody {
    return { kind: "requestCompleted", request, tokens: 1 };
}

test("hybrid times increase while the wall clock stops or goes back", t => {
    const walls = [10, 10, 5, 11];
    const clock = HybridClock.create(() => walls.shift()!);
    const times = [clock.next(), clock.next(), clock.next(), clock.next()];
    for (let index = 1; index < times.length; index += 1) {
        t.true(compareHybridTimes(times[index - 1]!, times[index]!) < 0);
    }
});

test("an event after an observed message has a later time", t => {
    const clock = HybridClock.create(() => 10);
    const seen = { wallMilliseconds: 500, counter: 3 };
    clock.observe(seen);
    t.true(compareHybridTimes(seen, clock.next()) < 0);
});

test("a timeline keeps the latest events and returns the position to continue from", t => {
    const timeline = createTimeline("entry-1", () => 1, 2);
    ["a", "b", "c"].forEach(request => timeline.record(completed(request)));
    const page = timeline.page(0);
    t.deepEqual(
        page.events.map(event => event.body),
        [completed("b"), completed("c")],
    );
    t.is(page.next, 3);
    t.deepEqual(timeline.page(3).events, []);
});

test("events of several processes are merged by time and filtered by field", t => {
    let wall = 0;
    const first = createTimeline("entry-1", () => wall);
    const second = createTimeline("entry-2", () => wall);
    for (const request of ["a", "b", "a"]) {
        wall += 1;
        (request === "a" ? first : second).record(completed(request));
    }
    const merged = mergeTimelines([second.page(0).events, first.page(0).events]);
    t.deepEqual(
        merged.map(event => event.process),
        ["entry-1", "entry-2", "entry-1"],
    );
    t.is(filterTimeline(merged, { request: "a" }).length, 2);
    t.is(filterTimeline(merged, { process: "entry-2" }).length, 1);
    t.is(filterTimeline(merged, { group: "a" }).length, 0);
});
