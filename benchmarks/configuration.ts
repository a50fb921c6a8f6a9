/**
 * How long an accepted change of configuration takes to be in force everywhere, at today's size and at the size to
 * come, against processes that all watch and processes that all poll. Faults: watches that go silent, messages that
 * are lost, a failure domain that is cut off from the store, and restarts.
 */
import type { Experiment } from "./experiments.js";
import type { FollowMode } from "./mesh-nodes.js";
import { MeshWorld } from "./mesh-worlds.js";

const targetMilliseconds = 13_000;
const warmUpMilliseconds = 15_000;
const changesAtAll = 8;
const changeEveryMilliseconds = 4_000;
const path = "config/teams/anadolu/share";

interface Size {
    readonly daemons: number;
    readonly failureDomains: number;
}

interface Measured {
    /** "never": not within the experiment. */
    readonly everywhereMilliseconds: { readonly median: number | "never"; readonly worst: number | "never" };
    readonly late: number;
    readonly reversions: number;
    readonly storeReadsPerSecond: number;
    readonly waitingWatches: number;
}

interface Pending {
    readonly revision: number;
    readonly acceptedAt: number;
    doneAt: number | undefined;
}

function percentile(sorted: readonly number[], fraction: number): number | "never" {
    const value = sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))];
    return value === undefined || !Number.isFinite(value) ? "never" : Math.round(value);
}

/** Marks the changes that are in force at every live node, and counts nodes that went back. */
function observe(world: MeshWorld, pending: readonly Pending[], last: Map<unknown, number>): number {
    let reversions = 0;
    let lowest = Number.POSITIVE_INFINITY;
    for (const node of world.liveNodes) {
        const { revisionInForce } = node.state.configuration;
        reversions += revisionInForce < (last.get(node) ?? 0) ? 1 : 0;
        last.set(node, revisionInForce);
        lowest = Math.min(lowest, revisionInForce);
    }
    for (const change of pending) {
        change.doneAt ??= lowest >= change.revision ? world.loop.now() : undefined;
    }
    return reversions;
}

function scheduleFaults(world: MeshWorld, end: number): void {
    const { loop, store } = world;
    world.lossRate = 0.02;
    loop.every(10_000, () => store.silenceWatches());
    loop.every(9_000, () => {
        const ids = world.nodeIds;
        world.start(ids[Math.floor(world.random() * ids.length)]!);
    });
    const cut = world.nodeIds.filter(id => id.startsWith("fd-1/"));
    loop.at(warmUpMilliseconds, () => cut.forEach(id => world.cutStore(id)));
    loop.at(end - 5_000, () => cut.forEach(id => world.cutFromStore.delete(id)));
}

function measure(seed: number, size: Size, follow: FollowMode): Measured {
    const daemonsPerDomain = Math.ceil(size.daemons / size.failureDomains);
    const world = MeshWorld.create({ ...size, seed, daemonsPerDomain, endpointsPerDomain: 0, follow });
    const { loop, store } = world;
    const pending: Pending[] = [];
    const last = new Map<unknown, number>();
    let reversions = 0;
    const end = warmUpMilliseconds + changesAtAll * changeEveryMilliseconds + 20_000;
    scheduleFaults(world, end);
    store.swap(path, "1", 0);
    for (let index = 0; index < changesAtAll; index += 1) {
        loop.at(warmUpMilliseconds + (index + 0.5) * changeEveryMilliseconds, () => {
            const revision = store.swap(path, String(index + 2), store.revisionOf(path))!;
            pending.push({ revision, acceptedAt: loop.now(), doneAt: undefined });
        });
    }
    loop.every(200, () => {
        reversions += observe(world, pending, last);
    });
    loop.runUntil(warmUpMilliseconds);
    const [reads, watchSeconds] = [store.reads, store.watchSeconds];
    loop.runUntil(end);
    const seconds = (end - warmUpMilliseconds) / 1_000;
    const times = pending.map(change => (change.doneAt ?? Number.POSITIVE_INFINITY) - change.acceptedAt);
    times.sort((left, right) => left - right);
    return {
        everywhereMilliseconds: {
            median: percentile(times, 0.5),
            worst: percentile(times, 1),
        },
        late: times.filter(time => time > targetMilliseconds).length,
        reversions,
        storeReadsPerSecond: Math.round(((store.reads - reads) / seconds) * 10) / 10,
        waitingWatches: Math.round(((store.watchSeconds - watchSeconds) / seconds) * 10) / 10,
    };
}

const today: Size = { daemons: 6, failureDomains: 3 };
const toCome: Size = { daemons: 390, failureDomains: 8 };

/** `npm run bench -- configuration` */
export const configuration: Experiment = seed => {
    const measured = { daemons6: measure(seed, today, "mesh"), daemons390: measure(seed, toCome, "mesh") };
    const all = Object.values(measured);
    return {
        experiment: "configuration",
        seed,
        target: { worstMilliseconds: targetMilliseconds, late: 0, reversions: 0 },
        measured,
        baseline: {
            allWatch390: measure(seed, toCome, "watch"),
            allPoll390: measure(seed, toCome, "poll"),
        },
        holds: all.every(each => each.late === 0 && each.reversions === 0),
    };
};
