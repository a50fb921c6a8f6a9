import type { ExecutionContext } from "ava";
import test from "ava";
import { BehaviorSubject, Subject } from "rxjs";
import type { KeyValueStore, ReadResponse, WatchEvent } from "../../contracts/key-value-stores.js";
import type { EndpointReport } from "../../core/endpoints.js";
import type { Fault } from "../../core/errors.js";
import { fail, succeed } from "../../core/errors.js";
import type { EventBody } from "../../core/events.js";
import type { Instance } from "../../core/instances.js";
import { createRandomGenerator } from "../../core/random-numbers.js";
import { startConfigurationFollower } from "../configuration-follower.js";
import { startMesh } from "../mesh.js";
import type { Settings } from "../settings.js";

const down: Fault = { code: "storeUnavailable", message: "down", step: "store", notRun: true };
const share = "config/teams/anadolu/share";

class FakeStore {
    public isDown = false;
    public revision = 5;
    public readonly values = new Map([[share, { key: share, value: "2", modRevision: 5 }]]);
    public readonly watches = new Set<Subject<WatchEvent>>();

    public put(value: string): void {
        this.revision += 1;
        const entry = { key: share, value, modRevision: this.revision };
        this.values.set(share, entry);
        const { revision } = this;
        this.watches.forEach(watch => watch.next({ kind: "changes", revision, puts: [entry], deletes: [] }));
    }

    public get store(): KeyValueStore {
        const unused = () => Promise.resolve(fail<never>(down));
        const read = (prefix: string): ReadResponse => ({
            revision: this.revision,
            entries: [...this.values.values()].filter(entry => entry.key.startsWith(prefix)),
        });
        return {
            list: prefix => Promise.resolve(this.isDown ? fail(down) : succeed(read(prefix))),
            get: unused,
            compareAndSwap: () => Promise.resolve({ kind: "notSent", fault: down }),
            grantLease: unused,
            renewLease: unused,
            revokeLease: unused,
            watch: prefix => {
                const watch = new Subject<WatchEvent>();
                if (prefix === "config/") {
                    this.watches.add(watch);
                }
                return watch;
            },
        };
    }
}

function createSettings(instance: string, seeds: string[]): Settings {
    return {
        name: instance,
        instance,
        failureDomain: "fd-1",
        admin: { listen: "127.0.0.1:0" },
        peer: { listen: "127.0.0.1:0", seeds },
        platform: { stores: ["127.0.0.1:1"] },
        log: { level: "info" },
    };
}

function createEngine(): Instance {
    return {
        id: "engine-1",
        address: "127.0.0.1:2",
        failureDomain: "fd-1",
        fabricDomain: "fabric-1",
        role: "engine",
        state: "live",
    };
}

function createReport(sequence: number): EndpointReport {
    const load = { running: 0, waiting: 0, slots: 4 };
    return {
        instance: "engine-1",
        incarnation: 1,
        sequence,
        state: "idle",
        epoch: 0,
        leaving: false,
        load,
        warm: [],
    };
}

interface Fixture {
    readonly fake: FakeStore;
    readonly events: EventBody[];
    readonly instances: BehaviorSubject<readonly Instance[]>;
    now: number;
    isEngineReachable: boolean;
}

function createFixture(): Fixture {
    const instances = new BehaviorSubject<readonly Instance[]>([createEngine()]);
    return { fake: new FakeStore(), events: [], instances, now: 0, isEngineReachable: true };
}

/** Starts a mesh over real gRPC on loopback, with the test's clock and ticks. */
async function startTestMesh(
    t: ExecutionContext,
    simulation: Fixture,
    instance: string,
    seeds: string[],
    isStoreDown = false,
) {
    const ticks = new Subject<void>();
    let sequence = 0;
    const store = new FakeStore();
    store.isDown = true;
    const mesh = await startMesh({
        settings: createSettings(instance, seeds),
        role: "entry",
        store: isStoreDown ? store.store : simulation.fake.store,
        probe: () =>
            Promise.resolve(
                simulation.isEngineReachable
                    ? succeed(createReport((sequence += 1)))
                    : fail<EndpointReport>(down),
            ),
        instances: simulation.instances,
        clock: {
            monotonicMilliseconds: () => simulation.now,
            wallMilliseconds: () => 1_000 + simulation.now,
        },
        random: createRandomGenerator(1),
        recordEvent: body => simulation.events.push(body),
        ticks,
    });
    t.teardown(() => mesh.leave());
    return { mesh, ticks };
}

/** Advances the clock until the condition holds; each step waits for real messages to be delivered. */
async function advanceUntil(
    simulation: Fixture,
    meshes: readonly { readonly ticks: Subject<void> }[],
    condition: () => boolean,
): Promise<boolean> {
    for (let step = 0; step < 200 && !condition(); step += 1) {
        simulation.now += 250;
        meshes.forEach(({ ticks }) => ticks.next());
        await new Promise(resolve => setTimeout(resolve, 5));
    }
    return condition();
}

test("a restarted daemon takes the configuration from a peer while the store is down", async t => {
    const simulation = createFixture();
    const first = await startTestMesh(t, simulation, "entry-1", []);
    t.true(await advanceUntil(simulation, [first], () => first.mesh.isReady()));
    const second = await startTestMesh(t, simulation, "entry-2", [first.mesh.address], true);
    t.false(second.mesh.isReady());
    const both = [first, second];
    t.true(await advanceUntil(simulation, both, () => second.mesh.isReady()));
    t.is(second.mesh.currentConfiguration().teams.get("anadolu")?.share, 2);
    simulation.fake.put("7");
    const shareOf = () => second.mesh.currentConfiguration().teams.get("anadolu")?.share;
    t.true(await advanceUntil(simulation, both, () => shareOf() === 7));
    simulation.fake.put("-7");
    t.true(
        await advanceUntil(
            simulation,
            both,
            () => second.mesh.status().configuration.rejections.length === 1,
        ),
    );
    t.is(shareOf(), 7);
    t.true(simulation.events.some(event => event.kind === "configurationRejected"));
});

test("health, usage, placement and leaving instances propagate; a member that leaves is judged left", async t => {
    const simulation = createFixture();
    const first = await startTestMesh(t, simulation, "entry-1", []);
    const second = await startTestMesh(t, simulation, "entry-2", [first.mesh.address]);
    const both = [first, second];
    const healthy = () =>
        both.every(({ mesh }) => (mesh.health("engine-1")?.healthyUntil ?? 0) > simulation.now) &&
        both.every(({ mesh }) => mesh.members().length === 2);
    t.true(await advanceUntil(simulation, both, healthy));
    const usages: string[] = [];
    second.mesh.usages.subscribe(all => usages.push(...all.map(usage => usage.payload)));
    const placements: (string | undefined)[] = [];
    second.mesh.placements.subscribe(all => placements.push(...all.map(entry => entry.text)));
    const evidence: string[] = [];
    second.mesh.crashEvidence.subscribe(all => evidence.push(...all.map(({ payload }) => payload)));
    t.true(first.mesh.publishCrashEvidence("crashes"));
    t.true(first.mesh.publishUsage("tokens=3"));
    t.false(first.mesh.publishUsage("x".repeat(2_000)));
    first.mesh.observePlacement({ key: "placement/fabric-1", modRevision: 9, text: "{}" });
    t.true(
        await advanceUntil(simulation, both, () => usages.includes("tokens=3") && placements.includes("{}")),
    );
    t.true(await advanceUntil(simulation, both, () => evidence.includes("crashes")));
    simulation.instances.next([{ ...createEngine(), state: "leaving" }]);
    t.true(await advanceUntil(simulation, both, () => both.every(({ mesh }) => mesh.isLeaving("engine-1"))));
    simulation.isEngineReachable = false;
    const failed = () =>
        both.every(({ mesh }) => (mesh.health("engine-1")?.healthyUntil ?? 0) <= simulation.now);
    t.true(await advanceUntil(simulation, both, failed));
    t.true(first.mesh.peerBytes().sent > 0);
    await first.mesh.leave();
    const judged = () => second.mesh.members().find(member => member.instance === "entry-1")?.judged;
    t.is(judged(), "left");
});

test("after a pause the first tick makes health stale, although the last report is recent enough", async t => {
    const simulation = createFixture();
    const only = await startTestMesh(t, simulation, "entry-1", []);
    t.true(await advanceUntil(simulation, [only], () => only.mesh.health("engine-1") !== undefined));
    simulation.isEngineReachable = false;
    simulation.now += 5_500;
    t.true(
        (only.mesh.health("engine-1")?.healthyUntil ?? 0) > simulation.now,
        "the report alone is recent enough",
    );
    only.ticks.next();
    t.false((only.mesh.health("engine-1")?.healthyUntil ?? 0) > simulation.now);
    t.true(simulation.events.some(event => event.kind === "lateTick"));
});

test("a tool follows the configuration from the store alone, across a watch gap and a store outage", async t => {
    const simulation = createFixture();
    const ticks = new Subject<void>();
    const running = startConfigurationFollower({
        store: simulation.fake.store,
        clock: { monotonicMilliseconds: () => simulation.now, wallMilliseconds: () => simulation.now },
        random: createRandomGenerator(1),
        ticks,
    });
    t.teardown(running.close);
    const shares: (number | undefined)[] = [];
    running.configuration.subscribe(each => shares.push(each.teams.get("anadolu")?.share));
    t.true(await advanceUntil(simulation, [{ ticks }], () => shares.includes(2)));
    simulation.fake.put("3");
    simulation.fake.isDown = true;
    simulation.fake.watches.forEach(watch => watch.next({ kind: "gap", fault: down }));
    simulation.fake.watches.clear();
    simulation.fake.put("4");
    await advanceUntil(simulation, [{ ticks }], () => simulation.now > 10_000);
    simulation.fake.isDown = false;
    t.true(await advanceUntil(simulation, [{ ticks }], () => shares.includes(4)));
    t.deepEqual(shares, [undefined, 2, 3, 4]);
});
