/** Scenarios: disturbances of the real processes while callers run. */
import type { DaemonLayout } from "../../scripts/demo-layout.js";
import { placementLeasePrefix } from "../../src/core/fabric-placement.js";
import { systemClock } from "../../src/links/system-clock.js";
import type { TestDeployment } from "./test-deployment.js";
import { sleep } from "./callers.js";
import { ConfigurationObserver } from "./observers.js";

/** A named disturbance. */
export interface Scenario {
    readonly name: string;
    readonly checksFencing: boolean;
    /** Time for which callers continue after the disturbance. */
    readonly settleMilliseconds: number;
    readonly disturb: (deployment: TestDeployment) => Promise<void>;
}

/** Exceeds the placers' lease and every health deadline. */
const freezeDurationMilliseconds = 12_000;
/** Maximum time that a daemon may take to finish its work after SIGTERM. */
const maximumShutdownMilliseconds = 30_000;
/** Time after which a leaving endpoint must get no new work, which stands for "a few seconds". */
const maximumLeavingMilliseconds = 5000;
/** The example configuration's maximum age of a member's health report, plus one second for the report itself. */
const maximumHealthAgeMilliseconds = 5000;

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

function listEngines(deployment: TestDeployment): Promise<readonly EngineDescription[]> {
    return deployment.demo.fetchJson<readonly EngineDescription[]>("/engines");
}

/** Picks the leader, or another member, of a random group that is generating. */
async function pickGenerating(deployment: TestDeployment, leader: boolean): Promise<string> {
    let busy: readonly EngineDescription[] = [];
    await deployment.demo.waitFor("a group generates", async () => {
        busy = (await listEngines(deployment)).filter(
            engine => engine.state === "serving" && engine.running > 0,
        );
        return busy.length > 0;
    });
    const chosen = deployment.pickRandom(busy);
    return leader ? chosen.instance : deployment.pickRandom(chosen.members.slice(1));
}

async function switchFaultFor(
    deployment: TestDeployment,
    target: string,
    fault: string,
    milliseconds: number,
): Promise<void> {
    await deployment.demo.setFault(target, fault, milliseconds);
    await sleep(milliseconds + 500);
}

async function killDaemons(deployment: TestDeployment): Promise<void> {
    for (const command of ["entry", "placer", "entry", "entry", "placer"] as const) {
        await sleep(700);
        await deployment.killAndRestart(deployment.pickRandom(deployment.daemons(command)));
    }
}

/** Freezes an entry daemon and the placers that hold leases until after the leases have expired. */
async function freezeLeaseHolders(deployment: TestDeployment): Promise<void> {
    await sleep(500);
    const holders = await findLeaseHolders(deployment);
    await Promise.all([
        deployment.freeze(deployment.pickRandom(deployment.daemons("entry")), freezeDurationMilliseconds),
        ...holders.map(holder => deployment.freeze(holder, freezeDurationMilliseconds)),
    ]);
}

/** Placers that currently hold the lease of a fabric domain. */
async function findLeaseHolders(deployment: TestDeployment): Promise<readonly DaemonLayout[]> {
    const deadline = systemClock.monotonicMilliseconds() + 2000;
    const read = await deployment.store.list(placementLeasePrefix, { deadline, priority: "other" });
    const values = read.success ? read.data.entries.map(entry => entry.value) : [];
    return deployment
        .daemons("placer")
        .filter(daemon => values.some(value => value.startsWith(`${daemon.instance}/`)));
}

/** Disconnects one failure domain's processes from the platform until their leases expire; they still reach engines. */
async function cutDomain(deployment: TestDeployment): Promise<void> {
    const zone = deployment.pickRandom(["zone-a", "zone-b", "zone-c"]);
    const daemons = deployment.demo.layout.daemons.filter(daemon => daemon.failureDomain === zone);
    await Promise.all(
        daemons.map(daemon =>
            deployment.demo.setFault(daemon.name, "cut", freezeDurationMilliseconds + 3000),
        ),
    );
    await sleep(3000);
    await switchFaultFor(deployment, await pickGenerating(deployment, false), "killed", 2000);
    await sleep(freezeDurationMilliseconds);
}

async function disturbPlatform(deployment: TestDeployment): Promise<void> {
    for (const fault of ["lostAnswers", "down", "watchGap", "lapsedLeases", "slow", "oldReads", "paused"]) {
        await sleep(500);
        await switchFaultFor(deployment, "platform", fault, 2000);
    }
    const one = deployment.pickRandom(deployment.daemons("entry")).name;
    await switchFaultFor(deployment, one, "cut", 4000);
}

async function disturbEngines(deployment: TestDeployment): Promise<void> {
    for (const fault of ["cutStreams", "doubledEvents", "reorderedEvents"]) {
        await switchFaultFor(deployment, "engines", fault, 1500);
    }
    await switchFaultFor(deployment, await pickGenerating(deployment, true), "lostStreams", 500);
    await switchFaultFor(deployment, await pickGenerating(deployment, false), "killed", 1500);
    await switchFaultFor(deployment, await pickGenerating(deployment, true), "killed", 1500);
    await switchFaultFor(deployment, await pickGenerating(deployment, false), "paused", 6000);
    await switchFaultFor(deployment, await pickGenerating(deployment, false), "cut", 6000);
    await switchFaultFor(deployment, await pickGenerating(deployment, true), "paused", 6000);
    await switchFaultFor(deployment, await pickGenerating(deployment, true), "cut", 6000);
    await switchFaultFor(deployment, await pickGenerating(deployment, true), "slowed", 3000);
    await checkMemberLosses(deployment);
}

async function disturbServices(deployment: TestDeployment): Promise<void> {
    await switchFaultFor(deployment, "tracker-1", "killed", 2000);
    await switchFaultFor(deployment, "tracker-2", "refusals", 2000);
    await switchFaultFor(deployment, "tracker", "lostAnswers", 1500);
    await deployment.demo.setFault("tracker", "lateAnswers", 2000, 800);
    await sleep(2500);
    await deployment.demo.setFault("tracker", "delayed", 2000, 3000);
    await switchFaultFor(deployment, "tracker-3", "paused", 4000);
    await switchFaultFor(deployment, "tracker-1", "cut", 3000);
    await switchFaultFor(deployment, "zone-b", "killed", 3000);
}

async function shutDown(deployment: TestDeployment): Promise<void> {
    for (const command of ["entry", "placer", "entry"] as const) {
        await sleep(500);
        await deployment.terminateAndRestart(
            deployment.pickRandom(deployment.daemons(command)),
            maximumShutdownMilliseconds,
        );
    }
}

/** Checks that leaving endpoints get no new work after a few seconds. The history check finds streams that were cut. */
async function announceLeaving(deployment: TestDeployment): Promise<void> {
    const leader = await pickGenerating(deployment, true);
    await deployment.demo.setFault(leader, "leaving", 20_000);
    await deployment.demo.setFault("tracker-2", "leaving", 20_000);
    await sleep(maximumLeavingMilliseconds + 6000);
    const services = await deployment.demo.fetchJson<{ replicas: readonly EngineDescription[] }>("/services");
    for (const endpoint of [...(await listEngines(deployment)), ...services.replicas]) {
        if (endpoint.lastAcceptedAfterLeavingMilliseconds > maximumLeavingMilliseconds) {
            const after = Math.round(endpoint.lastAcceptedAfterLeavingMilliseconds);
            deployment.problems.push(
                `${endpoint.instance} got new work ${after} ms after it had started to leave`,
            );
        }
    }
}

/** Checks that a group gets no new work once the loss of a member must have been detected. */
async function checkMemberLosses(deployment: TestDeployment): Promise<void> {
    const losses = (await listEngines(deployment)).map(engine => ({
        instance: engine.instance,
        after: Math.round(engine.lastAcceptedAfterLossMilliseconds ?? 0),
    }));
    for (const { instance, after } of losses.filter(loss => loss.after > maximumHealthAgeMilliseconds)) {
        deployment.problems.push(`${instance} got new work ${after} ms after its group had lost a member`);
    }
    deployment.counts.slowestLossMilliseconds = Math.max(...losses.map(loss => loss.after));
}

/** Restarts a daemon while the platform is down, so that it must get the configuration from its peers. */
async function restartDuringOutage(deployment: TestDeployment): Promise<void> {
    const started = systemClock.monotonicMilliseconds();
    await deployment.demo.setFault("platform", "down", 60_000);
    await deployment.killAndRestart(deployment.pickRandom(deployment.daemons("entry")));
    const taken = Math.round(systemClock.monotonicMilliseconds() - started);
    deployment.counts.restartInOutageMilliseconds = taken;
    await deployment.demo.setFault("platform", "down", 0);
}

/** Raises a configuration value repeatedly, during platform faults and restarts of daemons. */
async function raiseConfiguration(deployment: TestDeployment): Promise<void> {
    const report = (problem: string): void => void deployment.problems.push(problem);
    const observer = ConfigurationObserver.create(deployment.store, deployment.demo.entries(), report);
    const watching = observer.start();
    const raise = async (times: number): Promise<void> => {
        for (let time = 0; time < times; time += 1) {
            await observer.raise();
            await sleep(200);
        }
    };
    await raise(5);
    for (const fault of ["watchGap", "oldReads", "silentWatches", "lostAnswers", "down"]) {
        await deployment.demo.setFault("platform", fault, 3000);
        await raise(15);
        await sleep(1000);
    }
    await Promise.all([
        raise(10),
        deployment.killAndRestart(deployment.pickRandom(deployment.daemons("entry"))),
    ]);
    await restartDuringOutage(deployment);
    await observer.waitForLatest();
    await watching.stop();
    Object.assign(deployment.counts, observer.counts());
}

/** Applies the disturbances of processes, platform, engines and services at the same time. */
async function disturbAll(deployment: TestDeployment): Promise<void> {
    await Promise.all([
        killDaemons(deployment),
        disturbPlatform(deployment),
        disturbEngines(deployment),
        disturbServices(deployment),
    ]);
}

export const scenarios: readonly Scenario[] = [
    { name: "processes-killed", checksFencing: true, settleMilliseconds: 3000, disturb: killDaemons },
    { name: "processes-frozen", checksFencing: false, settleMilliseconds: 3000, disturb: freezeLeaseHolders },
    { name: "domain-cut", checksFencing: false, settleMilliseconds: 3000, disturb: cutDomain },
    { name: "platform-disturbed", checksFencing: true, settleMilliseconds: 3000, disturb: disturbPlatform },
    { name: "engines-disturbed", checksFencing: true, settleMilliseconds: 3000, disturb: disturbEngines },
    { name: "services-disturbed", checksFencing: true, settleMilliseconds: 3000, disturb: disturbServices },
    { name: "daemons-shut-down", checksFencing: true, settleMilliseconds: 2000, disturb: shutDown },
    { name: "endpoints-leave", checksFencing: true, settleMilliseconds: 1000, disturb: announceLeaving },
    {
        name: "configuration-raised",
        checksFencing: true,
        settleMilliseconds: 500,
        disturb: raiseConfiguration,
    },
    { name: "all-disturbed", checksFencing: false, settleMilliseconds: 5000, disturb: disturbAll },
];
