/** Scenarios: disturbances of the real processes while callers run. */
import type { DaemonLayout } from "../../scripts/demo-layouts.js";
import { placementLeasePrefix } from "../../src/core/placement-values.js";
import { systemClock } from "../../src/links/clocks.js";
import type { Field } from "./fields.js";
import { pause } from "./callers.js";
import { ConfigurationObserver } from "./observers.js";

/** A named disturbance. */
export interface Scenario {
    readonly name: string;
    readonly checksFencing: boolean;
    /** Time for which callers continue after the disturbance. */
    readonly settleMilliseconds: number;
    readonly disturb: (field: Field) => Promise<void>;
}

/** Exceeds the placers' lease and every health deadline. */
const freezeMilliseconds = 12_000;
/** Maximum time that a daemon may take to finish its work after SIGTERM. */
const shutdownMilliseconds = 30_000;
/** Time after which a leaving endpoint must get no new work, which stands for "a few seconds". */
const leavingMilliseconds = 5000;
/** The example configuration's maximum age of a member's health report, plus one second for the report itself. */
const healthMilliseconds = 5000;

interface EngineDescription {
    readonly instance: string;
    readonly group?: string;
    readonly epoch: number;
    readonly state: string;
    readonly members: readonly string[];
    readonly running: number;
    readonly lastAcceptedAfterLeavingMilliseconds: number;
    readonly lastAcceptedAfterLossMilliseconds?: number;
}

function engines(field: Field): Promise<readonly EngineDescription[]> {
    return field.demo.ask<readonly EngineDescription[]>("/engines");
}

/** Picks the leader, or another member, of a random group that is generating. */
async function pickServing(field: Field, leader: boolean): Promise<string> {
    let busy: readonly EngineDescription[] = [];
    await field.demo.waitFor("a group generates", async () => {
        busy = (await engines(field)).filter(engine => engine.state === "serving" && engine.running > 0);
        return busy.length > 0;
    });
    const chosen = field.pickOne(busy);
    return leader ? chosen.instance : field.pickOne(chosen.members.slice(1));
}

async function switchFor(field: Field, target: string, fault: string, milliseconds: number): Promise<void> {
    await field.demo.switchFault(target, fault, milliseconds);
    await pause(milliseconds + 500);
}

async function kill(field: Field): Promise<void> {
    for (const command of ["entry", "placer", "entry", "entry", "placer"] as const) {
        await pause(700);
        await field.killAndRestart(field.pickOne(field.daemons(command)));
    }
}

/** Freezes an entry daemon and the placers that hold leases until after the leases have expired. */
async function freeze(field: Field): Promise<void> {
    await pause(500);
    const holders = await leaseHolders(field);
    await Promise.all([
        field.freeze(field.pickOne(field.daemons("entry")), freezeMilliseconds),
        ...holders.map(holder => field.freeze(holder, freezeMilliseconds)),
    ]);
}

/** Placers that currently hold the lease of a fabric domain. */
async function leaseHolders(field: Field): Promise<readonly DaemonLayout[]> {
    const deadline = systemClock.monotonicMilliseconds() + 2000;
    const read = await field.store.list(placementLeasePrefix, { deadline, priority: "other" });
    const values = read.success ? read.data.entries.map(entry => entry.value) : [];
    return field
        .daemons("placer")
        .filter(daemon => values.some(value => value.startsWith(`${daemon.instance}/`)));
}

/** Disconnects one failure domain's processes from the platform until their leases expire; they still reach engines. */
async function cutDomain(field: Field): Promise<void> {
    const zone = field.pickOne(["zone-a", "zone-b", "zone-c"]);
    const daemons = field.demo.layout.daemons.filter(daemon => daemon.failureDomain === zone);
    await Promise.all(
        daemons.map(daemon => field.demo.switchFault(daemon.name, "cut", freezeMilliseconds + 3000)),
    );
    await pause(3000);
    await switchFor(field, await pickServing(field, false), "killed", 2000);
    await pause(freezeMilliseconds);
}

async function disturbPlatform(field: Field): Promise<void> {
    for (const fault of ["lostAnswers", "down", "watchGap", "lapsedLeases", "slow", "oldReads", "paused"]) {
        await pause(500);
        await switchFor(field, "platform", fault, 2000);
    }
    const one = field.pickOne(field.daemons("entry")).name;
    await switchFor(field, one, "cut", 4000);
}

async function disturbEngines(field: Field): Promise<void> {
    for (const fault of ["cutStreams", "doubledEvents", "reorderedEvents"]) {
        await switchFor(field, "engines", fault, 1500);
    }
    await switchFor(field, await pickServing(field, true), "lostStreams", 500);
    await switchFor(field, await pickServing(field, false), "killed", 1500);
    await switchFor(field, await pickServing(field, true), "killed", 1500);
    await switchFor(field, await pickServing(field, false), "paused", 6000);
    await switchFor(field, await pickServing(field, false), "cut", 6000);
    await switchFor(field, await pickServing(field, true), "paused", 6000);
    await switchFor(field, await pickServing(field, true), "cut", 6000);
    await switchFor(field, await pickServing(field, true), "slowed", 3000);
    await checkLosses(field);
}

async function disturbServices(field: Field): Promise<void> {
    await switchFor(field, "tracker-1", "killed", 2000);
    await switchFor(field, "tracker-2", "refusals", 2000);
    await switchFor(field, "tracker", "lostAnswers", 1500);
    await field.demo.switchFault("tracker", "lateAnswers", 2000, 800);
    await pause(2500);
    await field.demo.switchFault("tracker", "delayed", 2000, 3000);
    await switchFor(field, "tracker-3", "paused", 4000);
    await switchFor(field, "tracker-1", "cut", 3000);
    await switchFor(field, "zone-b", "killed", 3000);
}

async function shutDown(field: Field): Promise<void> {
    for (const command of ["entry", "placer", "entry"] as const) {
        await pause(500);
        await field.endAndRestart(field.pickOne(field.daemons(command)), shutdownMilliseconds);
    }
}

/** Checks that leaving endpoints get no new work after a few seconds. The history check finds streams that were cut. */
async function leave(field: Field): Promise<void> {
    const leader = await pickServing(field, true);
    await field.demo.switchFault(leader, "leaving", 20_000);
    await field.demo.switchFault("tracker-2", "leaving", 20_000);
    await pause(leavingMilliseconds + 6000);
    const services = await field.demo.ask<{ replicas: readonly EngineDescription[] }>("/services");
    for (const endpoint of [...(await engines(field)), ...services.replicas]) {
        if (endpoint.lastAcceptedAfterLeavingMilliseconds > leavingMilliseconds) {
            const after = Math.round(endpoint.lastAcceptedAfterLeavingMilliseconds);
            field.problems.push(
                `${endpoint.instance} got new work ${after} ms after it had started to leave`,
            );
        }
    }
}

/** Checks that a group gets no new work once the loss of a member must have been detected. */
async function checkLosses(field: Field): Promise<void> {
    const losses = (await engines(field)).map(engine => ({
        instance: engine.instance,
        after: Math.round(engine.lastAcceptedAfterLossMilliseconds ?? 0),
    }));
    for (const { instance, after } of losses.filter(loss => loss.after > healthMilliseconds)) {
        field.problems.push(`${instance} got new work ${after} ms after its group had lost a member`);
    }
    field.counts.slowestLossMilliseconds = Math.max(...losses.map(loss => loss.after));
}

/** Restarts a daemon while the platform is down, so that it must get the configuration from its peers. */
async function restartInOutage(field: Field): Promise<void> {
    const started = systemClock.monotonicMilliseconds();
    await field.demo.switchFault("platform", "down", 60_000);
    await field.killAndRestart(field.pickOne(field.daemons("entry")));
    const taken = Math.round(systemClock.monotonicMilliseconds() - started);
    field.counts.restartInOutageMilliseconds = taken;
    await field.demo.switchFault("platform", "down", 0);
}

/** Raises a configuration value repeatedly, during platform faults and restarts of daemons. */
async function configure(field: Field): Promise<void> {
    const report = (problem: string): void => void field.problems.push(problem);
    const observer = ConfigurationObserver.create(field.store, field.demo.entries(), report);
    const watching = observer.start();
    const raise = async (times: number): Promise<void> => {
        for (let time = 0; time < times; time += 1) {
            await observer.raise();
            await pause(200);
        }
    };
    await raise(5);
    for (const fault of ["watchGap", "oldReads", "silentWatches", "lostAnswers", "down"]) {
        await field.demo.switchFault("platform", fault, 3000);
        await raise(15);
        await pause(1000);
    }
    await Promise.all([raise(10), field.killAndRestart(field.pickOne(field.daemons("entry")))]);
    await restartInOutage(field);
    await observer.waitForLatest();
    await watching.stop();
    Object.assign(field.counts, observer.counts());
}

/** Applies the disturbances of processes, platform, engines and services at the same time. */
async function disturbAll(field: Field): Promise<void> {
    await Promise.all([kill(field), disturbPlatform(field), disturbEngines(field), disturbServices(field)]);
}

export const scenarios: readonly Scenario[] = [
    { name: "processes-killed", checksFencing: true, settleMilliseconds: 3000, disturb: kill },
    { name: "processes-frozen", checksFencing: false, settleMilliseconds: 3000, disturb: freeze },
    { name: "domain-cut", checksFencing: false, settleMilliseconds: 3000, disturb: cutDomain },
    { name: "platform-disturbed", checksFencing: true, settleMilliseconds: 3000, disturb: disturbPlatform },
    { name: "engines-disturbed", checksFencing: true, settleMilliseconds: 3000, disturb: disturbEngines },
    { name: "services-disturbed", checksFencing: true, settleMilliseconds: 3000, disturb: disturbServices },
    { name: "daemons-shut-down", checksFencing: true, settleMilliseconds: 2000, disturb: shutDown },
    { name: "endpoints-leave", checksFencing: true, settleMilliseconds: 1000, disturb: leave },
    { name: "configuration-raised", checksFencing: true, settleMilliseconds: 500, disturb: configure },
    { name: "all-disturbed", checksFencing: false, settleMilliseconds: 5000, disturb: disturbAll },
];
