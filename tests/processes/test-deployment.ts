/** A running demo deployment with concurrent callers, which scenarios disturb. */
import { Demo } from "../../scripts/demo-deployment.js";
import type { DaemonLayout } from "../../scripts/demo-layout.js";
import { demoCredentials } from "../../scripts/demo-layout.js";
import type { TimelinePage } from "../../src/core/timeline.js";
import { createRandomGenerator, randomInteger } from "../../src/core/random-numbers.js";
import { systemClock } from "../../src/links/system-clock.js";
import type { KeyValueStoreClient } from "../../src/links/key-value-store.js";
import { createKeyValueStore } from "../../src/links/key-value-store.js";
import { makeCall } from "../../scripts/demo-calls.js";
import type { CallerContext } from "./callers.js";
import { sleep, runAction, StreamCaller } from "./callers.js";
import { observePlacements } from "./observers.js";
import type { ActionRecord, ProcessHistory, StreamRecord } from "./process-history.js";

const streamCallers = 10;
const actionCallers = 6;
const minimumTokens = 30;
const maximumTokens = 300;
const restartDelayMilliseconds = 500;
const callIntervalMilliseconds = 20;
/** Event kinds that are counted, since they show which situations a run reached. */
const countedEvents = new Set([
    "attemptFailed",
    "requestResumed",
    "groupChanged",
    "leaseAcquired",
    "leaseLost",
    "lateTick",
    "configurationApplied",
]);

/** Options of a test deployment. */
export interface TestDeploymentOptions {
    readonly seed: number;
    readonly checksFencing: boolean;
}

/** The demo deployment and its callers. */
export class TestDeployment {
    public readonly demo: Demo;
    public readonly random: () => number;
    /** Violations that the scenario and the observers report during the run. */
    public readonly problems: string[];
    /** Operator's client of the platform's key-value service. */
    public readonly store: KeyValueStoreClient;
    /** Counts that the scenario adds. */
    public readonly counts: Record<string, number> = {};
    private readonly actions: ActionRecord[] = [];
    private readonly streams: StreamRecord[] = [];
    /** Number of kills of each entry daemon, by the address that its callers use. */
    private readonly killCounts = new Map<string, number>();
    private readonly callers: CallerContext;
    private isStopped = false;
    private startedStreams = 0;

    private constructor(demo: Demo, options: TestDeploymentOptions, problems: string[]) {
        this.demo = demo;
        this.random = createRandomGenerator(options.seed);
        this.problems = problems;
        const addresses = [demo.layout.platform];
        this.store = createKeyValueStore({ addresses, process: "prover", clock: systemClock });
        this.callers = {
            pickEntry: () => this.pickRandom(demo.entries()),
            killCountOf: entry => this.killCounts.get(entry) ?? 0,
            random: this.random,
        };
    }

    /** Starts the demo; every unexpected end of a process is recorded as a problem. */
    public static async create(options: TestDeploymentOptions): Promise<TestDeployment> {
        const problems: string[] = [];
        const demo = await Demo.create({
            ...options,
            onUnexpectedEnd: end => {
                const lines = end.lines.slice(-8).join(" | ");
                problems.push(`${end.name} ended unexpectedly (${end.signal ?? end.code}): ${lines}`);
            },
        });
        return new TestDeployment(demo, options, problems);
    }

    /** Runs callers during `disturb` and for `settleMilliseconds` after it; returns the history of the run. */
    public async run(disturb: () => Promise<void>, settleMilliseconds: number): Promise<ProcessHistory> {
        const placements = observePlacements(this.store, problem => this.problems.push(problem));
        const callers = [
            ...[...Array(streamCallers).keys()].map(() => this.runRepeatedly(() => this.runStream())),
            ...[...Array(actionCallers).keys()].map(() => this.runRepeatedly(() => this.runAction())),
        ];
        try {
            await disturb();
            await sleep(settleMilliseconds);
        } finally {
            this.isStopped = true;
            await Promise.all([...callers, placements.stop()]);
        }
        await this.countEvents();
        const executions = await this.demo.fetchJson<Record<string, number>>("/executions");
        const { actions, streams, problems, counts } = this;
        return { actions, streams, executions, problems, counts };
    }

    /** Stops all processes. */
    public async stop(): Promise<void> {
        this.store.close();
        await this.demo.stop();
    }

    public pickRandom<T>(choices: readonly T[]): T {
        return choices[randomInteger(0, choices.length - 1, this.random)]!;
    }

    /** Daemons that run `command`. */
    public daemons(command: DaemonLayout["command"]): readonly DaemonLayout[] {
        return this.demo.layout.daemons.filter(daemon => daemon.command === command);
    }

    /** Kills a daemon and starts it again. */
    public async killAndRestart(daemon: DaemonLayout): Promise<void> {
        const caller = `http://${daemon.caller}`;
        this.killCounts.set(caller, (this.killCounts.get(caller) ?? 0) + 1);
        await this.demo.process(daemon.name).end("SIGKILL");
        await sleep(restartDelayMilliseconds);
        await this.restart(daemon);
    }

    /** Sends SIGTERM to a daemon and starts it again; the daemon must exit with code 0. */
    public async terminateAndRestart(daemon: DaemonLayout, boundMilliseconds: number): Promise<void> {
        const end = await this.demo.process(daemon.name).end("SIGTERM", boundMilliseconds);
        if (end.code !== 0) {
            this.problems.push(`${daemon.name} ended with ${end.signal ?? `code ${end.code}`} after SIGTERM`);
        }
        await this.restart(daemon);
    }

    /** Stops a daemon with SIGSTOP for a time. */
    public async freeze(daemon: DaemonLayout, milliseconds: number): Promise<void> {
        this.demo.process(daemon.name).signal("SIGSTOP");
        await sleep(milliseconds);
        this.demo.process(daemon.name).signal("SIGCONT");
    }

    /** Counts the events that the running daemons still have in memory. */
    private async countEvents(): Promise<void> {
        for (const daemon of this.demo.layout.daemons) {
            const response = await makeCall({ method: "GET", url: `http://${daemon.admin}/events?after=0` });
            const page = response.json as TimelinePage | undefined;
            const kinds = (page?.events ?? []).map(event => event.body.kind);
            for (const kind of kinds.filter(name => countedEvents.has(name))) {
                this.counts[kind] = (this.counts[kind] ?? 0) + 1;
            }
        }
    }

    private async restart(daemon: DaemonLayout): Promise<void> {
        await this.demo.startDaemon(daemon);
        if (daemon.caller !== undefined) {
            await this.demo.waitUntilReady(daemon);
        }
    }

    private async runRepeatedly(step: () => Promise<void>): Promise<void> {
        while (!this.isStopped) {
            await step();
            await sleep(callIntervalMilliseconds);
        }
    }

    private async runAction(): Promise<void> {
        this.actions.push(await runAction(this.callers, this.pickRandom(demoCredentials)));
    }

    private async runStream(): Promise<void> {
        this.startedStreams += 1;
        const prompt = `stream ${this.startedStreams} of the run`;
        const tokens = randomInteger(minimumTokens, maximumTokens, this.random);
        const caller = StreamCaller.create(this.callers, this.pickRandom(demoCredentials), prompt, tokens);
        this.streams.push(await caller.run());
    }
}
