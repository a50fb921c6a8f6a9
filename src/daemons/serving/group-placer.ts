/** Runs the group planner of one failure domain while this process holds the placement lease of that domain. */
import type { Clock } from "../../contracts/clocks.js";
import type { KeyValueStore } from "../../contracts/key-value-stores.js";
import type { StoreEra } from "../../core/store-era.js";
import { termNumber } from "../../core/store-era.js";
import type { PartLogger } from "../../links/logs.js";
import type { FleetInstance } from "../../serving/fleets.js";
import type { FleetView } from "../../serving/fleet-view.js";
import type { GroupAnnouncement } from "../../serving/group-announcements.js";
import { OpenedGroups } from "../../serving/group-announcements.js";
import type { InFlightRequests } from "../../serving/in-flight-requests.js";
import type { GroupEngines } from "../../serving/group-orders.js";
import type { PlannerCommand } from "../../serving/placement/group-planner.js";
import { GroupPlanner } from "../../serving/placement/group-planner.js";
import { ModelDemandTracker } from "../../serving/placement/model-demand-tracker.js";
import { ConversionDecisions } from "../../serving/placement/conversion-decisions.js";
import type { RunningConversion } from "../../serving/placement/conversion-plan.js";
import type { DeploymentWork } from "../../serving/placement/deployment-work.js";
import { RestoreGuard } from "../../serving/restore-guard.js";
import type { ReportOutcome } from "../../serving/instance-registry.js";
import type { RouteTable } from "../../serving/serving-configuration.js";
import type { ServingMetrics } from "../../serving/serving-metrics.js";
import type { ServingSettings } from "../../serving/serving-settings.js";
import type { HeldKey } from "./held-key.js";
import type { FollowedKeys } from "./serving-follower.js";

/** Time-out of a report call in milliseconds: many times the round trip of the slowest link. */
const reportTimeoutMilliseconds = 100;
/** Time-out of an order call, in milliseconds. */
const orderTimeoutMilliseconds = 400;
/** Time-out of writing the settled era, and the interval between two attempts, in milliseconds. */
const settledEraWriteMilliseconds = 1_000;

export interface GroupPlacerOptions {
    readonly failureDomain: string;
    readonly key: HeldKey;
    /** Key that states the newest era in which no holder of an older one can act. */
    readonly settledEraKey: string;
    readonly leaseMilliseconds: number;
    readonly store: KeyValueStore;
    readonly era: StoreEra;
    /** Keys of the store as this process last read them. */
    readonly followed: () => FollowedKeys;
    readonly settings: ServingSettings;
    readonly clock: Clock;
    readonly engines: GroupEngines;
    readonly table: () => RouteTable | undefined;
    readonly view: () => FleetView;
    /** True while the failure domain is evacuated, so that nothing is sent to its engines. */
    readonly isEvacuated: () => boolean;
    readonly inFlightRequests: InFlightRequests;
    /** Work that arrived at all entry instances. */
    readonly deploymentWork: DeploymentWork;
    /** Conversions of all failure domains that are in progress. */
    readonly runningConversions: () => readonly RunningConversion[];
    /** Called when a conversion of this placer begins or ends. */
    readonly onConversion: () => void;
    readonly log: PartLogger;
    readonly metrics: ServingMetrics;
}

export class GroupPlacer {
    private planner: GroupPlanner | undefined;
    private plannedTerm: number | undefined;

    private readonly demands: ModelDemandTracker;
    private decisions: ConversionDecisions;
    private conversionCount = 0;
    private readonly opened = OpenedGroups.create();
    private readonly restoreGuard: RestoreGuard;
    private nextSettledEraWriteAt = 0;
    private hasReportedTermLimit = false;
    /** True if the present planner has made no steps for a while because of an evacuation. */
    private isInterrupted = false;

    private constructor(private readonly options: GroupPlacerOptions) {
        const { leaseMilliseconds, settings } = options;
        this.restoreGuard = RestoreGuard.create({ leaseMilliseconds, isFirstStart: settings.isFirstStart });
        this.demands = ModelDemandTracker.create(options.inFlightRequests, options.deploymentWork);
        this.decisions = ConversionDecisions.create(options.failureDomain);
    }

    public static create(options: GroupPlacerOptions): GroupPlacer {
        return new GroupPlacer(options);
    }

    public get isHolder(): boolean {
        return this.plannedTerm !== undefined;
    }

    /** Groups that this process opened recently and that it knows of no missing member of; kept after its term ends. */
    public get openedGroups(): readonly GroupAnnouncement[] {
        return this.opened.current(this.options.clock.monotonicMilliseconds());
    }

    /** Conversions that this placer carries out. */
    public get runningConversions(): readonly RunningConversion[] {
        return this.planner?.runningConversions ?? [];
    }

    /** Informs the planner that these instances are suspected to be dead. */
    public suspect(instances: readonly string[]): void {
        instances.forEach(instance => this.planner?.suspect(instance));
    }

    /** Releases the lease for other processes and stops planning; `reason` is logged. */
    public release(reason: string): void {
        this.options.key.release();
        this.applyTerm(undefined, reason);
    }

    /** Stops planning until the lease is obtained again, after a pause during which it may have expired. */
    public suspend(): void {
        this.options.key.abandon();
        this.applyTerm(undefined, "the process was paused");
    }

    public tick(): void {
        const { key, clock, table, view, inFlightRequests, runningConversions, metrics } = this.options;
        key.tick();
        this.applyTerm(this.currentTerm());
        const routes = table();
        const { planner } = this;
        if (planner === undefined || routes === undefined) {
            return;
        }
        const now = clock.monotonicMilliseconds();
        this.demands.tick(view(), now);
        const { instances, expired: lapsed } = view().fleet;
        const isOwn = (instance: FleetInstance): boolean => this.isOwnEngine(instance, routes);
        planner.applyRegistrations([...instances.values()].filter(isOwn), lapsed.filter(isOwn), now);
        if (this.options.isEvacuated()) {
            this.isInterrupted = true;
            return;
        }
        if (this.isInterrupted) {
            this.isInterrupted = false;
            planner.readAgain(now);
        }
        const supplies = this.demands.supplies(view());
        supplies.forEach(({ steadyGroupsInUse = 0 }, model) =>
            metrics.demandedGroups.set({ model }, steadyGroupsInUse),
        );
        const services = routes.configuration.services.flatMap(({ name, engine }) =>
            engine === undefined ? [] : [{ service: name, models: engine.models }],
        );
        const running = runningConversions();
        const { conversion, notes } = this.decisions.decide(
            { view: view(), services, supplies, running },
            now,
        );
        const context = {
            profileOf: (service: string) => routes.findService(service)?.engine,
            supplies,
            lastEventOf: (key: string) => inFlightRequests.lastEventOf(key),
            conversion,
        };
        [...notes, ...planner.step(context, now)].forEach(command => this.run(planner, command));
        this.announceConversions(planner);
    }

    private announceConversions({ runningConversions }: GroupPlanner): void {
        if (runningConversions.length !== this.conversionCount) {
            this.conversionCount = runningConversions.length;
            this.options.onConversion();
        }
    }

    /** Returns the term in which this process may send orders; undefined if it may not. */
    private currentTerm(): number | undefined {
        const { key, era, clock, followed, settledEraKey } = this.options;
        if (this.hasLostKey()) {
            key.abandon();
        }
        const now = clock.monotonicMilliseconds();
        const stated = followed().entryOf(settledEraKey);
        const settledEra = stated === undefined ? undefined : Number(stated.value);
        const facts = {
            era: era.current,
            eraSeenAt: era.seenAt,
            settledEra,
            wasHeldAtRestore: key.wasHeldAtRestore,
        };
        this.restoreGuard.update(facts, now);
        const { hold } = key;
        if (hold === undefined || !this.restoreGuard.mayAct(now)) {
            return undefined;
        }
        if (settledEra !== era.current && era.current > 0 && now >= this.nextSettledEraWriteAt) {
            this.nextSettledEraWriteAt = now + settledEraWriteMilliseconds;
            void this.writeSettledEra(stated?.modRevision ?? 0, now + settledEraWriteMilliseconds);
        }
        const term = termNumber(hold.era, hold.revision);
        if (term === undefined && !this.hasReportedTermLimit) {
            this.hasReportedTermLimit = true;
            this.options.log.error("placement stopped: the store's revision is too high for unique terms", {
                failureDomain: this.options.failureDomain,
                ...hold,
            });
        }
        return term;
    }

    /**
     * True if the store shows that another process changed the key after this one acquired it, as calls of an older era
     * that the store executes late can.
     */
    private hasLostKey(): boolean {
        const { key, era, followed } = this.options;
        const { hold } = key;
        const seen = followed();
        const isLater =
            hold !== undefined &&
            seen.position !== undefined &&
            (seen.position.era ?? 0) === era.current &&
            seen.position.revision >= hold.revision;
        return isLater && seen.entryOf(key.name)?.value.startsWith(`${key.holder} `) !== true;
    }

    private async writeSettledEra(expectedRevision: number, deadline: number): Promise<void> {
        const { store, era, settledEraKey, log, failureDomain } = this.options;
        const swap = { key: settledEraKey, expectedRevision, value: String(era.current) };
        const outcome = await store.compareAndSwap(swap, { deadline, priority: "placement" });
        log.info("recorded that no placer of an older era of the store can act", {
            failureDomain,
            era: swap.value,
            outcome: outcome.kind,
        });
    }

    private applyTerm(term: number | undefined, reason = "the lease ended"): void {
        if (term === this.plannedTerm) {
            return;
        }
        const { failureDomain, settings, clock, log } = this.options;
        this.plannedTerm = term;
        this.planner = undefined;
        log.info(term === undefined ? "placement lease lost" : "placement lease acquired", {
            failureDomain,
            term,
            reason: term === undefined ? reason : undefined,
        });
        if (term !== undefined) {
            this.decisions = ConversionDecisions.create(failureDomain);
            this.planner = GroupPlanner.create({
                term,
                startedAt: clock.monotonicMilliseconds(),
                heartbeatMilliseconds: settings.heartbeatMilliseconds,
                failureDomains: Math.max(1, settings.failureDomains.length),
                isFirstStart: settings.isFirstStart && !this.hasWeights(),
            });
        }
    }

    /** True if any engine holds weights, in which case this is not the first start of the deployment. */
    private hasWeights(): boolean {
        return [...this.options.view().fleet.instances.values()].some(
            instance => instance.status.staged.length > 0 || instance.status.membership !== undefined,
        );
    }

    private isOwnEngine(instance: FleetInstance, routes: RouteTable): boolean {
        const isEngine = routes.findService(instance.service)?.engine !== undefined;
        return isEngine && instance.failureDomain === this.options.failureDomain;
    }

    private run(planner: GroupPlanner, command: PlannerCommand): void {
        const { log } = this.options;
        switch (command.kind) {
            case "note":
                log.info(command.message, { term: this.plannedTerm, ...command.fields });
                return;
            case "opened":
                this.opened.add(command.group, this.options.clock.monotonicMilliseconds());
                return;
            case "ended":
                this.opened.remove(command.key);
                return;
            case "conversion": {
                const { from, to, step } = command;
                this.options.metrics.conversions.inc({ from, to, step });
                return;
            }
            case "report":
                void this.report(planner, command.instance);
                return;
            case "order":
                void this.order(planner, command);
        }
    }

    private async report(planner: GroupPlanner, instance: FleetInstance): Promise<void> {
        const { clock, engines } = this.options;
        const sentAt = clock.monotonicMilliseconds();
        const response = await engines.report(instance, sentAt + reportTimeoutMilliseconds);
        planner.handleReport(instance.id, toReportOutcome(response), sentAt);
    }

    private async order(
        planner: GroupPlanner,
        { instance, order }: Extract<PlannerCommand, { readonly kind: "order" }>,
    ): Promise<void> {
        const { clock, engines, key, metrics } = this.options;
        if (key.hold === undefined || this.planner !== planner) {
            return;
        }
        const reply = await engines.order(
            instance,
            order,
            clock.monotonicMilliseconds() + orderTimeoutMilliseconds,
        );
        metrics.orders.inc({ order: order.kind, reply: reply.kind });
        planner.handleReply(instance.id, order, reply, clock.monotonicMilliseconds());
    }
}

function toReportOutcome(response: Awaited<ReturnType<GroupEngines["report"]>>): ReportOutcome {
    if (response.success) {
        return { kind: "answered", status: response.data };
    }
    return { kind: response.fault.code === "noEndpoint" ? "refused" : "silent" };
}
