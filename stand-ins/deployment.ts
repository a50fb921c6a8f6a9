/** Runs all stand-ins of one process: the platform with its instance list, engine instances and plain services. */
import type { TimelineEvent } from "../src/core/events.js";
import { HybridClock } from "../src/core/hybrid-clock.js";
import { mergeTimelines } from "../src/core/timeline-filters.js";
import { Timeline } from "../src/core/timeline.js";
import { systemClock } from "../src/links/system-clock.js";
import type { Instance, InstanceState } from "../src/core/instances.js";
import { createRandomGenerator } from "../src/core/random-numbers.js";
import { EngineMember, WeightStore } from "./engine-member.js";
import { Engine } from "./engine.js";
import type { ActiveFault } from "./fault-switches.js";
import { FaultSwitches } from "./fault-switches.js";
import { Platform, platformTarget } from "./platform.js";
import { ExecutionCounts, ServiceReplica } from "./service-replica.js";
import type { StandInSettings } from "./settings.js";

const eventsPerEngine = 1_000;

/** The running stand-ins that the settings describe. */
export class Deployment {
    public readonly faults: FaultSwitches;
    public readonly executions = ExecutionCounts.create();
    public readonly engines: Engine[] = [];
    public readonly services: ServiceReplica[] = [];
    private readonly settings: StandInSettings;
    private readonly now: () => number;
    private readonly weights: WeightStore;
    private readonly enginesById = new Map<string, Engine>();
    private readonly timelines: Timeline[] = [];
    private readonly timers = new Set<NodeJS.Timeout>();
    private platformStandIn: Platform | undefined;

    private constructor(settings: StandInSettings, now: () => number) {
        this.settings = settings;
        this.now = now;
        this.faults = FaultSwitches.create(now);
        this.weights = WeightStore.create(settings.engines.loadsAtOnce);
    }

    /** Returns the events of all engines, for the timeline. */
    public events(): readonly TimelineEvent[] {
        return mergeTimelines(this.timelines.map(timeline => timeline.page(0).events));
    }

    private createAcceptanceRecorder(
        instance: string,
        failureDomain: string,
    ): (request: string, epoch: number) => void {
        const clock = HybridClock.create(systemClock.wallMilliseconds);
        const timeline = Timeline.create({
            process: instance,
            failureDomain,
            clock,
            capacity: eventsPerEngine,
        });
        this.timelines.push(timeline);
        return (request, epoch) => timeline.record({ kind: "engineAccepted", request, instance, epoch });
    }

    /** Opens all ports; `now` gives local monotonic milliseconds. */
    public static async create(settings: StandInSettings, now: () => number): Promise<Deployment> {
        const deployment = new Deployment(settings, now);
        deployment.platformStandIn = await Platform.create(settings.platform.listen, deployment.faults, now);
        await deployment.openEngines();
        await deployment.openServices();
        deployment.listEntries();
        deployment.faults.onChange((fault, on) => void deployment.applyFault(fault, on));
        return deployment;
    }

    public platform(): Platform {
        if (this.platformStandIn === undefined) {
            throw new Error("the platform stand-in has not been started");
        }
        return this.platformStandIn;
    }

    /** Returns every name for which a fault can be switched on. */
    public targets(): ReadonlySet<string> {
        const { entries, processes } = this.settings;
        return new Set([
            platformTarget,
            ...entries.map(entry => entry.id),
            ...processes,
            ...this.platform().counts.clients(),
            ...this.engines.flatMap(engine => engine.faultTargets()),
            ...this.services.flatMap(service => service.faultTargets()),
        ]);
    }

    public close(): void {
        this.timers.forEach(timer => clearTimeout(timer));
        this.faults.close();
        this.engines.forEach(engine => engine.close());
        this.services.forEach(service => service.close());
        this.platform().close();
    }

    private async openEngines(): Promise<void> {
        for (const domain of this.settings.fabricDomains) {
            const [host, firstPort] = domain.listen.split(":");
            for (let index = 0; index < domain.engines; index += 1) {
                const port = Number(firstPort) === 0 ? 0 : Number(firstPort) + index;
                const id = `${domain.id}-engine-${index + 1}`;
                await this.openEngine(`${host}:${port}`, id, domain.failureDomain, domain.id);
            }
        }
    }

    private async openEngine(
        listen: string,
        id: string,
        failureDomain: string,
        fabricDomain: string,
    ): Promise<void> {
        const settings = this.settings.engines;
        const engine = await Engine.create(listen, {
            id,
            failureDomain,
            fabricDomain,
            settings,
            faults: this.faults,
            now: this.now,
            random: createRandomGenerator(this.settings.seed + this.engines.length),
            findEngine: other => this.enginesById.get(other),
            onAccepted: this.createAcceptanceRecorder(id, failureDomain),
            createMember: owner =>
                EngineMember.create({
                    ...settings,
                    weights: this.weights,
                    checksFencing: () => settings.checksFencing && !owner.isFaultOn("ignoredFencing"),
                }),
        });
        this.engines.push(engine);
        this.enginesById.set(id, engine);
        this.listInstance({
            id,
            address: engine.address(),
            failureDomain,
            fabricDomain,
            role: "engine",
            state: "live",
        });
    }

    private async openServices(): Promise<void> {
        for (const { id, service, failureDomain, listen, workMilliseconds } of this.settings.services) {
            const replica = await ServiceReplica.create(listen, {
                id,
                service,
                failureDomain,
                workMilliseconds,
                faults: this.faults,
                executions: this.executions,
                now: this.now,
            });
            this.services.push(replica);
            const address = replica.address();
            this.listInstance({
                id,
                address,
                failureDomain,
                fabricDomain: failureDomain,
                role: "service",
                service,
                state: "live",
            });
        }
    }

    private listEntries(): void {
        this.settings.entries.forEach(entry => this.listInstance({ ...entry, role: "entry", state: "live" }));
    }

    private listInstance(instance: Instance): void {
        this.platform().data.put(`platform/instances/${instance.id}`, JSON.stringify(instance));
    }

    private async applyFault(fault: ActiveFault, on: boolean): Promise<void> {
        const affected = [...this.engines, ...this.services].filter(part =>
            part.faultTargets().includes(fault.target),
        );
        for (const part of affected) {
            await part.applyFaults();
            if (on && fault.fault === "restarted") {
                await part.restart();
            }
            if (
                on &&
                part instanceof Engine &&
                (fault.fault === "cutStreams" || fault.fault === "lostStreams")
            ) {
                part.cutStreams(fault.fault === "lostStreams");
            }
        }
        this.engines.forEach(engine => engine.updateCompleteness());
        if (fault.fault === "leaving") {
            this.scheduleListUpdate(fault.target, on ? "leaving" : "live");
        }
    }

    /** Updates the instance list after a delay, since the real list lags behind the instances' state. */
    private scheduleListUpdate(target: string, state: InstanceState): void {
        const timer = setTimeout(() => {
            this.timers.delete(timer);
            this.updateInstanceList(target, state);
        }, this.settings.platform.listLagMilliseconds);
        this.timers.add(timer);
    }

    private updateInstanceList(target: string, state: InstanceState): void {
        const parts = [...this.engines, ...this.services].filter(part =>
            part.faultTargets().includes(target),
        );
        const ids = new Set([target, ...parts.map(part => part.options.id)]);
        for (const entry of this.platform().data.range("platform/instances/", "platform/instances0")) {
            const instance = JSON.parse(entry.value) as Instance;
            if (ids.has(instance.id) && instance.state !== state) {
                this.listInstance({ ...instance, state });
            }
        }
    }
}
