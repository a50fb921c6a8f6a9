/**
 * Time until an accepted configuration change is in force at all processes, for the present fleet and the planned
 * one. Baselines: every process watches the store, or every process polls it. Faults: watches that go silent, lost
 * messages, a failure domain that is cut off from the store, and restarts.
 */
import type { Experiment } from "./experiment.js";
import type { FollowMode } from "./virtual-node.js";
import { MeshSimulation } from "./mesh-simulation.js";

const targetMilliseconds = 13_000;
const warmUpMilliseconds = 15_000;
const changeCount = 8;
const changeIntervalMilliseconds = 4_000;
const path = "config/teams/anadolu/share";

interface Size {
    readonly daemons: number;
    readonly failureDomains: number;
}

interface Measured {
    /** "never" if the change was not in force everywhere by the end of the experiment. */
    readonly everywhereMilliseconds: { readonly median: number | "never"; readonly worst: number | "never" };
    readonly late: number;
    readonly reversions: number;
    readonly storeReadsPerSecond: number;
    readonly waitingWatches: number;
}

interface PendingChange {
    readonly revision: number;
    readonly acceptedAt: number;
    doneAt: number | undefined;
}

function percentile(sorted: readonly number[], fraction: number): number | "never" {
    const value = sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))];
    return value === undefined || !Number.isFinite(value) ? "never" : Math.round(value);
}

/** Marks the changes that are in force at every live node, and returns how often a node reverted to an older one. */
function observe(
    simulation: MeshSimulation,
    pending: readonly PendingChange[],
    lastRevisions: Map<unknown, number>,
): number {
    let reversions = 0;
    let lowest = Number.POSITIVE_INFINITY;
    for (const node of simulation.liveNodes) {
        const { revisionInForce } = node.state.configuration;
        reversions += revisionInForce < (lastRevisions.get(node) ?? 0) ? 1 : 0;
        lastRevisions.set(node, revisionInForce);
        lowest = Math.min(lowest, revisionInForce);
    }
    for (const change of pending) {
        change.doneAt ??= lowest >= change.revision ? simulation.loop.now() : undefined;
    }
    return reversions;
}

function scheduleFaults(simulation: MeshSimulation, end: number): void {
    const { loop, store } = simulation;
    simulation.lossRate = 0.02;
    loop.every(10_000, () => store.silenceWatches());
    loop.every(9_000, () => {
        const ids = simulation.nodeIds;
        simulation.start(ids[Math.floor(simulation.random() * ids.length)]!);
    });
    const cut = simulation.nodeIds.filter(id => id.startsWith("fd-1/"));
    loop.at(warmUpMilliseconds, () => cut.forEach(id => simulation.cutStore(id)));
    loop.at(end - 5_000, () => cut.forEach(id => simulation.cutFromStore.delete(id)));
}

function measure(seed: number, size: Size, follow: FollowMode): Measured {
    const daemonsPerDomain = Math.ceil(size.daemons / size.failureDomains);
    const simulation = MeshSimulation.create({
        ...size,
        seed,
        daemonsPerDomain,
        endpointsPerDomain: 0,
        follow,
    });
    const { loop, store } = simulation;
    const pending: PendingChange[] = [];
    const lastRevisions = new Map<unknown, number>();
    let reversions = 0;
    const end = warmUpMilliseconds + changeCount * changeIntervalMilliseconds + 20_000;
    scheduleFaults(simulation, end);
    store.swap(path, "1", 0);
    for (let index = 0; index < changeCount; index += 1) {
        loop.at(warmUpMilliseconds + (index + 0.5) * changeIntervalMilliseconds, () => {
            const revision = store.swap(path, String(index + 2), store.revisionOf(path))!;
            pending.push({ revision, acceptedAt: loop.now(), doneAt: undefined });
        });
    }
    loop.every(200, () => {
        reversions += observe(simulation, pending, lastRevisions);
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

const presentFleet: Size = { daemons: 6, failureDomains: 3 };
const plannedFleet: Size = { daemons: 390, failureDomains: 8 };

/** `npm run bench -- configuration` */
export const configuration: Experiment = seed => {
    const measured = {
        daemons6: measure(seed, presentFleet, "mesh"),
        daemons390: measure(seed, plannedFleet, "mesh"),
    };
    const all = Object.values(measured);
    return {
        experiment: "configuration",
        seed,
        target: { worstMilliseconds: targetMilliseconds, late: 0, reversions: 0 },
        measured,
        baseline: {
            allWatch390: measure(seed, plannedFleet, "watch"),
            allPoll390: measure(seed, plannedFleet, "poll"),
        },
        holds: all.every(each => each.late === 0 && each.reversions === 0),
    };
};
