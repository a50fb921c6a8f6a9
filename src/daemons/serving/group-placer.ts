/** Runs the group planner of one failure domain while this process holds the placement lease of that domain. */
import type { Clock } from "../../contracts/clocks.js";
import type { PartLogger } from "../../links/logs.js";
import type { FleetInstance } from "../../serving/fleets.js";
import type { FleetView } from "../../serving/fleet-view.js";
import type { GroupAnnouncement } from "../../serving/group-announcements.js";
import { OpenedGroups } from "../../serving/group-announcements.js";
import type { InFlightRequests } from "../../serving/in-flight-requests.js";
import type { GroupEngines } from "../../serving/group-orders.js";
import type { PlannerCommand } from "../../serving/group-planner.js";
import { GroupPlanner } from "../../serving/group-planner.js";
import { ModelDemandTracker } from "../../serving/model-demand-tracker.js";
import type { ReportOutcome } from "../../serving/instance-registry.js";
import type { RouteTable } from "../../serving/serving-configuration.js";
import type { ServingMetrics } from "../../serving/serving-metrics.js";
import type { ServingSettings } from "../../serving/serving-settings.js";
import type { HeldKey } from "./held-key.js";

/** Time-out of a report call in milliseconds: many times the round trip of the slowest link. */
const reportTimeoutMilliseconds = 100;
/** Time-out of an order call, in milliseconds. */
const orderTimeoutMilliseconds = 400;

export interface GroupPlacerOptions {
    readonly failureDomain: string;
    readonly key: HeldKey;
    readonly settings: ServingSettings;
    readonly clock: Clock;
    readonly engines: GroupEngines;
    readonly table: () => RouteTable | undefined;
    readonly view: () => FleetView;
    readonly inFlightRequests: InFlightRequests;
    readonly log: PartLogger;
    readonly metrics: ServingMetrics;
}

export class GroupPlacer {
    private planner: GroupPlanner | undefined;
    private plannedTerm: number | undefined;

    private readonly demands: ModelDemandTracker;
    private readonly opened = OpenedGroups.create();

    private constructor(private readonly options: GroupPlacerOptions) {
        this.demands = ModelDemandTracker.create(options.inFlightRequests);
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

    /** Informs the planner that these instances are suspected to be dead. */
    public suspect(instances: readonly string[]): void {
        instances.forEach(instance => this.planner?.suspect(instance));
    }

    /** Releases the lease and stops planning, for example after a pause during which the lease may have expired. */
    public release(): void {
        this.options.key.release();
        this.applyTerm(undefined);
    }

    public tick(): void {
        const { key, clock, table, view } = this.options;
        key.tick();
        this.applyTerm(key.term);
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
        const context = {
            profileOf: (service: string) => routes.findService(service)?.engine,
            supplies: this.demands.supplies(view()),
        };
        planner.step(context, now).forEach(command => this.run(planner, command));
    }

    private applyTerm(term: number | undefined): void {
        if (term === this.plannedTerm) {
            return;
        }
        const { failureDomain, settings, clock, log } = this.options;
        this.plannedTerm = term;
        this.planner = undefined;
        log.info(term === undefined ? "placement lease lost" : "placement lease acquired", {
            failureDomain,
            term,
        });
        if (term !== undefined) {
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
        if (key.term === undefined || this.planner !== planner) {
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
