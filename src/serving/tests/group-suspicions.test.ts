import test from "ava";
import type { Result } from "../../core/errors.js";
import { fail, succeed } from "../../core/errors.js";
import type { EngineStatus, FleetInstance } from "../fleets.js";
import { GroupFlights } from "../group-flights.js";
import { GroupSuspicions } from "../group-suspicions.js";
import { groupMember, viewOf } from "./fake-fleets.js";

const group = "g1@1";
const silentFault = { code: "endpointFailed", message: "silent", step: "probe", notRun: true } as const;

interface World {
    readonly suspicions: GroupSuspicions;
    readonly flights: GroupFlights;
    readonly suspected: string[];
    /** Instances in the order in which they were asked. */
    readonly asked: string[];
    readonly moveTo: (milliseconds: number) => void;
    readonly settle: () => Promise<void>;
}

/** A group of two whose members answer as told; answers take no time unless `lateness` says so. */
function createWorld(answers: (id: string) => boolean, lateness = 0, spread = 0): World {
    const asked: string[] = [];
    let now = 1_000;
    const suspected: string[] = [];
    const flights = GroupFlights.create();
    const view = viewOf([0, 1].map(rank => ({ ...groupMember("g1", rank), id: `i-${rank}` })));
    const report = (instance: FleetInstance): Promise<Result<EngineStatus>> => {
        now += lateness;
        asked.push(instance.id);
        return Promise.resolve(answers(instance.id) ? succeed(instance.status) : fail(silentFault));
    };
    const suspicions = GroupSuspicions.create({
        clock: { monotonicMilliseconds: () => now, wallMilliseconds: () => now },
        view: () => view,
        flights,
        report,
        spreadMilliseconds: () => spread,
        random: () => 0.9,
        onSuspect: suspicion => suspected.push(...suspicion.instances),
        onCleared: () => undefined,
    });
    return {
        suspicions,
        flights,
        suspected,
        asked,
        moveTo: milliseconds => (now = milliseconds),
        settle: () => new Promise(resolve => setTimeout(resolve, 60)),
    };
}

test("a silent group whose member does not answer is suspect", async t => {
    const world = createWorld(id => id !== "i-1");
    world.flights.start(group, 100, 1_000);
    world.moveTo(1_100);
    world.suspicions.tick();
    await world.settle();
    t.false(world.suspicions.isSuspect(group));
    world.moveTo(1_400);
    world.suspicions.tick();
    await world.settle();
    t.true(world.suspicions.isSuspect(group));
    t.deepEqual(world.suspected, ["i-1"]);
});

test("a silent group whose members all answer is only busy", async t => {
    const world = createWorld(() => true);
    world.flights.start(group, 100, 1_000);
    world.moveTo(2_000);
    world.suspicions.tick();
    await world.settle();
    t.false(world.suspicions.isSuspect(group));
});

test("nobody answers: only progress elsewhere shows that the own links work", async t => {
    const world = createWorld(() => false);
    world.flights.start(group, 100, 1_000);
    world.moveTo(1_400);
    world.suspicions.tick();
    await world.settle();
    t.false(world.suspicions.isSuspect(group));
    const flight = world.flights.start("g2@2", 100, 1_600);
    world.flights.progress("g2@2", flight, 1_690);
    world.moveTo(1_700);
    world.suspicions.tick();
    await world.settle();
    t.true(world.suspicions.isSuspect(group));
});

test("a process that is late itself does not take unread answers for silence", async t => {
    const world = createWorld(id => id !== "i-1", 100);
    world.flights.start(group, 100, 1_000);
    world.moveTo(1_400);
    world.suspicions.tick();
    await world.settle();
    t.false(world.suspicions.isSuspect(group));
});

test("a member that another entry instance found silent is asked alone", async t => {
    const world = createWorld(id => id !== "i-1");
    world.suspicions.checkNow({ group, instances: ["i-1"] });
    await world.settle();
    t.true(world.suspicions.isSuspect(group));
    t.deepEqual([...new Set(world.asked)], ["i-1"]);
    const sound = createWorld(() => true);
    sound.suspicions.checkNow({ group, instances: ["i-1"] });
    await sound.settle();
    t.false(sound.suspicions.isSuspect(group));
});

test("a group that stays silent but sound is asked ever more rarely until it moves on", async t => {
    const world = createWorld(() => true);
    const flight = world.flights.start(group, 100, 1_000);
    const countRounds = async (from: number, until: number): Promise<number> => {
        const before = world.asked.length;
        for (let now = from; now < until; now += 25) {
            world.moveTo(now);
            world.suspicions.tick();
            await Promise.resolve();
        }
        return (world.asked.length - before) / 2;
    };
    t.is(await countRounds(1_000, 4_000), 4);
    world.flights.progress(group, flight, 4_000);
    t.true((await countRounds(4_000, 4_700)) >= 2);
});

test("where many share a group, first questions are spread", async t => {
    const world = createWorld(id => id !== "i-1", 0, 200);
    world.flights.start(group, 100, 1_000);
    world.moveTo(1_300);
    world.suspicions.tick();
    await world.settle();
    t.deepEqual(world.asked, []);
    world.moveTo(1_400);
    world.suspicions.tick();
    await world.settle();
    t.true(world.suspicions.isSuspect(group));
});
