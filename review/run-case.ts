/** Runs one case: starts the deployment and its replicas, plays the case and ends all processes. */
import { Callers } from "./caller.js";
import { Deployment, pause } from "./deployment.js";
import { ReplicaHost, isHostProcess } from "./host.js";
import { Record } from "./record.js";

/** Exit codes of a case. */
export const ruleHeld = 0;
export const ruleBroken = 1;
export const couldNotRun = 2;

/** False if the case is to be played without its disruption. */
export const isTroubled = process.env["TROUBLE"] !== "0";

/** Time for which the deployment settles after all groups are open, in milliseconds. */
const settleMilliseconds = 1_500;

export interface CaseContext {
    readonly record: Record;
    readonly deployment: Deployment;
    /** Replicas by the name of their host. */
    readonly hosts: ReadonlyMap<string, ReplicaHost>;
    readonly callers: Callers;
}

export interface CaseOptions {
    /** Zone of each entry instance. */
    readonly zones: readonly string[];
    readonly configuration: unknown;
    /** Names of the processes that host replicas. */
    readonly hosts: readonly string[];
    /** Number of groups that are open before the case begins. */
    readonly openGroups: number;
    /** Memory over which the platform kills a serving process; by default that of a small deployment. */
    readonly memoryMegabytes?: number;
    /** Runs in each process that hosts replicas. */
    readonly host: () => Promise<unknown>;
    /** Plays the case and returns the exit code. */
    readonly play: (context: CaseContext) => Promise<number>;
}

export async function runCase(options: CaseOptions): Promise<void> {
    if (isHostProcess) {
        await options.host();
        return;
    }
    const record = Record.create(process.env["CASE_FOLDER"] ?? ".");
    const { zones, configuration, memoryMegabytes } = options;
    const deployment = await Deployment.create({ zones, configuration, record, memoryMegabytes });
    const hosts = new Map(
        options.hosts.map(name => [name, ReplicaHost.start(deployment.store, record, name)]),
    );
    const callers = new Callers(record);
    process.once("exit", () => {
        hosts.forEach(host => host.close());
        deployment.close();
    });
    process.once("SIGTERM", () => process.exit(couldNotRun));
    process.once("uncaughtException", error => {
        process.stdout.write(`the case failed: ${error.stack}\n`);
        process.exit(couldNotRun);
    });
    let code = couldNotRun;
    try {
        const countOpenGroups = (): number =>
            [...hosts.values()].reduce((sum, host) => sum + host.openGroups, 0);
        await deployment.whenReady(() => countOpenGroups() >= options.openGroups);
        await pause(settleMilliseconds);
        code = await options.play({ record, deployment, hosts, callers });
    } catch (thrown) {
        record.say(thrown instanceof Error ? (thrown.stack ?? thrown.message) : String(thrown));
    }
    callers.close();
    await record.close();
    process.exit(code);
}
