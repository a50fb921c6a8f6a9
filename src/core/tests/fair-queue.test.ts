import test from "ava";
import * as fc from "fast-check";
import type { RequestQueue } from "../fair-queue.js";
import { ArrivalQueue, FairQueue, rankHeadStartTokens } from "../fair-queue.js";

const maximumTokens = 1_000;
const teams = { small: 1, middle: 2, large: 5 } as const;
type TeamName = keyof typeof teams;
const names = Object.keys(teams) as TeamName[];

/** Serves backlogged callers and returns every violation of the bounds of start-time fair queueing. */
function findUnfairness(queue: RequestQueue, costs: readonly number[], rankOfLarge: number): string[] {
    const served = new Map<string, number>();
    let next = 0;
    const enqueue = (team: TeamName, subscriber: string): void => {
        queue.enqueue({ id: `${next++}`, caller: { team, subscriber } });
    };
    for (const team of names) {
        queue.applyTeamWeight(team, { share: teams[team], rank: team === "large" ? rankOfLarge : 0 });
        for (const subscriber of ["a", "b", "b", "b"]) {
            enqueue(team, subscriber);
        }
    }
    for (const cost of costs) {
        const { caller } = queue.take()!;
        queue.charge(caller, cost);
        enqueue(caller.team as TeamName, caller.subscriber);
        const key = `${caller.team}/${caller.subscriber}`;
        served.set(key, (served.get(key) ?? 0) + cost);
    }
    const of = (team: TeamName, subscriber: string): number => served.get(`${team}/${subscriber}`) ?? 0;
    const faults = names
        .filter(team => Math.abs(of(team, "a") - of(team, "b")) > 2 * maximumTokens)
        .map(team => `subscribers of ${team} are unequal`);
    const levels = names.map(team => (of(team, "a") + of(team, "b")) / teams[team]);
    const bound = 2 * maximumTokens + rankOfLarge * rankHeadStartTokens;
    if (Math.max(...levels) - Math.min(...levels) > bound) {
        faults.push("teams are not served by their shares");
    }
    return faults;
}

const costLists = fc.array(fc.integer({ min: 1, max: maximumTokens }), { minLength: 200, maxLength: 400 });
const runs = { seed: 6, numRuns: 100 };

test("backlogged teams are served by share and subscribers equally, within two requests and the head start", t => {
    fc.assert(
        fc.property(costLists, fc.integer({ min: 0, max: 3 }), (costs, rank) => {
            t.deepEqual(findUnfairness(FairQueue.create(), costs, rank), []);
        }),
        runs,
    );
});

test("the checker detects arrival order and a queue that ignores charges as unfair", t => {
    const costs = Array<number>(400).fill(500);
    const forgetful = FairQueue.create();
    forgetful.charge = () => {};
    t.not(findUnfairness(ArrivalQueue.create(), costs, 0).length, 0);
    t.not(findUnfairness(forgetful, costs, 0).length, 0);
});

test("an idle team's share is lent to others, and is neither saved up nor owed", t => {
    const queue = FairQueue.create();
    const enqueue = (id: string, team: string): void =>
        queue.enqueue({ id, caller: { team, subscriber: "a" } });
    for (let index = 0; index < 20; index += 1) {
        enqueue(`busy-${index}`, "busy");
    }
    for (let index = 0; index < 10; index += 1) {
        queue.charge(queue.take()!.caller, 100);
    }
    for (let index = 0; index < 5; index += 1) {
        enqueue(`back-${index}`, "back");
    }
    const order = Array.from({ length: 8 }, () => {
        const item = queue.take()!;
        queue.charge(item.caller, 100);
        return item.caller.team;
    });
    t.is(order[0], "back");
    t.is(order.filter(team => team === "back").length, 4);
});

test("a requeued request goes before its subscriber's others, and a removed request never starts", t => {
    const queue = FairQueue.create();
    const caller = { team: "team", subscriber: "a" };
    const items = ["1", "2", "3"].map(id => ({ id, caller }));
    items.forEach(item => queue.enqueue(item));
    const first = queue.take()!;
    queue.requeue(first);
    t.is(queue.peek()?.id, "1");
    t.true(queue.remove(items[1]!));
    t.false(queue.remove(items[1]!));
    t.deepEqual([queue.take()?.id, queue.take()?.id, queue.take()], ["1", "3", undefined]);
});
