import test from "ava";
import * as fc from "fast-check";
import type { AdmissionOptions, CapacityOf } from "../admission.js";
import { Admission, borrowedPriorityOffset } from "../admission.js";
import { FairQueue } from "../fair-queue.js";
import { createRandomGenerator } from "../random-numbers.js";
import type { Team } from "../teams.js";

const limits = { queuedPerSubscriber: 3, queuedPerTeam: 5, requestMilliseconds: 60_000, maximumTokens: 500 };
const team: Team = { id: "studio", share: 1, rank: 2, models: [], services: [], limits, subscribers: [] };

function createAdmission(options: Partial<AdmissionOptions> = {}): Admission {
    const admission = Admission.create({ random: createRandomGenerator(1), ...options });
    admission.applyTeams([team]);
    return admission;
}

function request(id: string, subscriber = "one", deadline = 10_000) {
    const caller = { team: "studio", subscriber };
    return { id, caller, model: "drafts", promptTokens: 100, expectedTokens: 100, deadline };
}

type Action =
    | { readonly kind: "offer"; readonly subscriber: number; readonly remaining: number }
    | { readonly kind: "start"; readonly room: number }
    | { readonly kind: "finish" | "abandon" | "charge" | "putBack"; readonly pick: number }
    | { readonly kind: "expire" };

const picks = fc.nat({ max: 40 });
const actions: fc.Arbitrary<Action> = fc.oneof(
    fc.record({
        kind: fc.constant("offer" as const),
        subscriber: fc.nat({ max: 3 }),
        remaining: fc.integer({ min: -5, max: 400 }),
    }),
    fc.record({ kind: fc.constant("start" as const), room: fc.nat({ max: 3 }) }),
    fc.record({ kind: fc.constantFrom("finish", "abandon", "charge", "putBack"), pick: picks }),
    fc.record({ kind: fc.constant("expire" as const) }),
);

/** Runs the actions against a simple reference model of the queue and returns every difference. */
function findFaults(admission: Admission, history: readonly Action[]): string[] {
    const faults: string[] = [];
    const states = new Map<string, "queued" | "started" | "ended">();
    const waitingOf = new Map<string, string>();
    const expect = (holds: boolean, fault: string): void => void (holds || faults.push(fault));
    const count = (state: string): number => [...states.values()].filter(other => other === state).length;
    const end = (id: string): void => void states.set(id, "ended");
    history.forEach((action, index) => {
        const now = index * 10;
        const id = "pick" in action ? `${action.pick}` : `${index}`;
        const before = states.get(id);
        switch (action.kind) {
            case "offer": {
                const subscriber = `${action.subscriber}`;
                const offer = admission.offer(request(id, subscriber, now + action.remaining), now);
                if (offer.kind === "refused") {
                    expect(offer.fault.notRun && offer.fault.retryAt! > now, "refusal is not typed");
                    break;
                }
                states.set(id, "queued");
                waitingOf.set(id, subscriber);
                const own = [...waitingOf].filter(
                    ([other, name]) => name === subscriber && states.get(other) === "queued",
                ).length;
                expect(own <= limits.queuedPerSubscriber + 1, "queue of a subscriber is not bounded");
                break;
            }
            case "start": {
                const waiting = count("queued");
                const started = admission.takeStartable(now, () => action.room);
                expect(
                    started.length === Math.min(waiting, action.room),
                    "capacity was left unused or exceeded",
                );
                for (const { id: startedId } of started) {
                    expect(states.get(startedId) === "queued", "started a request that was not waiting");
                    states.set(startedId, "started");
                }
                break;
            }
            case "finish":
            case "abandon":
                expect(
                    admission[action.kind](id, now) === (before === "queued" || before === "started"),
                    "released more or less than once",
                );
                end(id);
                break;
            case "charge":
                admission.charge(id, 7, now);
                break;
            case "putBack":
                admission.requeue(id, now);
                if (before === "started") {
                    states.set(id, "queued");
                }
                break;
            case "expire":
                for (const refusal of admission.expire(now)) {
                    expect(states.get(refusal.id) === "queued", "expired a request that was not waiting");
                    expect(refusal.fault.notRun, "an expired request is not marked as not run");
                    end(refusal.id);
                }
                break;
        }
        expect(admission.queued === count("queued"), "count of waiting requests differs");
        expect(admission.started === count("started"), "count of started requests differs");
    });
    return faults;
}

const histories = fc.array(actions, { maxLength: 60 });
const runs = { seed: 6, numRuns: 300 };

test("every request is queued, started and released exactly once, in any order of events", t => {
    fc.assert(
        fc.property(histories, history => {
            t.deepEqual(findFaults(createAdmission({ refusesLateStarts: false }), history), []);
        }),
        runs,
    );
});

test("the checker detects admissions that keep released requests or start too many", t => {
    const keeping = (): FairQueue => Object.assign(FairQueue.create(), { remove: () => true });
    const broken = [
        () => createAdmission({ createQueue: keeping }),
        () => {
            const admission = createAdmission();
            const { takeStartable: startable } = admission;
            admission.takeStartable = now => startable.call(admission, now, () => 100);
            return admission;
        },
        () => Object.assign(createAdmission(), { finish: () => true }),
    ];
    for (const create of broken) {
        const result = fc.check(
            fc.property(histories, history => {
                try {
                    return findFaults(create(), history).length === 0;
                } catch {
                    return false;
                }
            }),
            { ...runs, numRuns: 1_000 },
        );
        t.true(result.failed);
    }
});

test("a request that has not started by its deadline is refused and marked as not run", t => {
    const admission = createAdmission();
    admission.offer(request("a", "one", 50), 0);
    t.deepEqual(admission.expire(49), []);
    const [refusal] = admission.expire(50);
    t.is(refusal?.fault.code, "deadlinePassed");
    t.true(refusal?.fault.notRun);
    t.true(refusal!.fault.retryAt! > 50);
});

test("limits hold per subscriber and per team, and one subscriber's full queue does not block another", t => {
    const admission = createAdmission();
    const kinds = ["a", "a", "a", "a", "b", "b", "c"].map(
        (subscriber, index) => admission.offer(request(`${index}`, subscriber), 0).kind,
    );
    t.deepEqual(kinds, ["queued", "queued", "queued", "refused", "queued", "queued", "refused"]);
});

test("a request whose estimated start is too late is refused at once, with jittered retry times", t => {
    const admission = createAdmission();
    for (let index = 0; index < 12; index += 1) {
        admission.offer(request(`start-${index}`, "one", 1e9), index * 1_000);
        admission.offer(request(`more-${index}`, "one", 1e9), index * 1_000);
        admission.takeStartable(index * 1_000, () => 1);
        admission.abandon(`more-${index}`, index * 1_000);
    }
    const now = 12_000;
    admission.offer(request("wait-1", "one", 1e9), now);
    const offers = ["x", "y"].map(id => admission.offer(request(id, "one", now + 300), now));
    const retryAts = offers.map(offer => (offer.kind === "refused" ? offer.fault.retryAt! : 0));
    t.true(offers.every(offer => offer.kind === "refused" && offer.fault.code === "deadlineUnreachable"));
    t.true(retryAts.every(retryAt => retryAt > now));
    t.not(retryAts[0], retryAts[1]);
});

test("a caller far above its fair share gets spare capacity only, and a later engine priority", t => {
    const admission = createAdmission();
    for (let index = 0; index < 6; index += 1) {
        admission.offer(request(`heavy-${index}`, "heavy"), index);
        admission.takeStartable(index, () => 1);
    }
    admission.offer(request("light-0", "light"), 10);
    t.deepEqual(admission.takeStartable(10, () => 1)[0]?.priority, team.rank);
    admission.offer(request("heavy-x", "heavy"), 20);
    const spareOnly: CapacityOf = (...[, borrowed]) => (borrowed ? 0 : 5);
    t.deepEqual(admission.takeStartable(20, spareOnly), []);
    const [started] = admission.takeStartable(20, () => 1);
    t.deepEqual([started?.borrowed, started?.priority], [true, team.rank + borrowedPriorityOffset]);
});
