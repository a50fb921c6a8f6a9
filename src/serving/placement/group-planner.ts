/**
 * Forms, repairs and ends the replica groups of one failure domain while this process holds the failure domain's lease.
 * The planner takes events and the current time and returns commands; times are local monotonic milliseconds. No
 * placement is stored: the engines' own reports are the placement, and every new term reads them again.
 */
import { countBy, groupBy } from "../collections.js";
import type { GroupAnnouncement } from "../group-announcements.js";
import type { Candidate, DomainState, GroupChoice, StagingState } from "./group-choices.js";
import { chooseGroup, chooseStaging, loadsToNextGroup } from "./group-choices.js";
import type { EngineProfile } from "../engine-model.js";
import type { FleetInstance } from "../fleets.js";
import { groupKey } from "../fleets.js";
import type { FormationOptions } from "../group-formation.js";
import { GroupFormation } from "../group-formation.js";
import type { GroupOrder, OrderReply } from "../group-orders.js";
import { GroupMembershipHistory } from "../group-membership-history.js";
import type { KnownInstance, ReportOutcome } from "../instance-registry.js";
import { InstanceRegistry } from "../instance-registry.js";
import type { ModelSupply } from "./model-demand-tracker.js";
import type { ReportedGroup } from "./reported-groups.js";
import { collectReportedGroups, countFreeSoon, rankOf, toCandidate } from "./reported-groups.js";
import type { ConversionProposal, RunningConversion } from "./conversion-plan.js";
import { GroupConversion } from "./group-conversion.js";
import { RecentPeak } from "../recent-peak.js";
import { ReportSchedule } from "../report-schedule.js";
import { WeightLoadLimiter } from "./weight-load-limiter.js";

/** Time after its start in which a term sends no orders: the previous holder may not know yet that it lost the lease. */
const firstOrderDelayMilliseconds = 300;
/** Maximum wait for a new term's first reports before it plans, in milliseconds. */
const initialReadMilliseconds = 700;
/** Minimum time between two orders to one instance, in milliseconds. */
const orderIntervalMilliseconds = 150;
/** Number of epochs reserved for one term, so that every epoch of a later term is higher. */
const epochsPerTerm = 1_000;
/** Time in which an instance joins a group of the model that it served last, in milliseconds. */
const rejoinMilliseconds = 200;
/** Time over which instances that were lost together reappear one after the other, in milliseconds. */
const reappearanceMilliseconds = 1_500;

/** Log messages by the step of a conversion. */
const conversionMessages = {
    begun: "began to convert groups",
    closing: "closing groups that are converted",
    abandoned: "gave up a conversion",
    ended: "conversion ended",
} as const;

/** An action that the caller carries out for the planner. */
export type PlannerCommand =
    | { readonly kind: "report"; readonly instance: FleetInstance }
    | { readonly kind: "order"; readonly instance: FleetInstance; readonly order: GroupOrder }
    | { readonly kind: "opened"; readonly group: GroupAnnouncement }
    /** The group with this key has lost a member or takes no new requests. */
    | { readonly kind: "ended"; readonly key: string }
    /** A conversion of groups of one model into groups of another one has taken a step. */
    | {
          readonly kind: "conversion";
          readonly step: keyof typeof conversionMessages;
          readonly from: string;
          readonly to: string;
      }
    | {
          readonly kind: "note";
          readonly message: string;
          readonly fields: Readonly<Record<string, unknown>>;
      };

export interface GroupPlannerOptions {
    /** Number of this term; every later term, of any process, has a higher number. */
    readonly term: number;
    readonly startedAt: number;
    readonly heartbeatMilliseconds: number;
    /** Failure domains that share the weight store's rate. */
    readonly failureDomains: number;
    /** True if no weights were ever loaded; loads are then not rate-limited until traffic starts. */
    readonly isFirstStart: boolean;
}

/** State from outside the planner's own failure domain. */
export interface PlannerContext {
    readonly profileOf: (service: string) => EngineProfile | undefined;
    /** Supply by model over all failure domains, including this one. */
    readonly supplies: ReadonlyMap<string, ModelSupply>;
    /**
     * Local monotonic milliseconds at which this process last received an event of a stream from the group with a key, 0 if
     * never.
     */
    readonly lastEventOf: (key: string) => number;
    /** Conversion that this failure domain should begin now, unless one is in progress in its fabric domain. */
    readonly conversion?: ConversionProposal | undefined;
}

/** Instances of one service in one fabric domain. */
interface FabricDomain {
    readonly key: string;
    readonly service: string;
    readonly profile: EngineProfile;
    readonly known: readonly KnownInstance[];
}

export class GroupPlanner {
    private readonly registry: InstanceRegistry;
    private readonly formations = new Map<string, GroupFormation>();
    /** Keys of the groups that are kept because their silent members may only be paused. */
    private readonly pausedGroups = new Set<string>();
    private readonly reports: ReportSchedule;
    private readonly membershipHistory = GroupMembershipHistory.create();
    private readonly nextOrderAt = new Map<string, number>();
    private readonly loads: WeightLoadLimiter;
    /** Conversions in progress, by the key of the fabric domain. */
    private readonly conversions = new Map<string, GroupConversion>();
    /** Recent peak number of usable instances, by the key of the fabric domain. */
    private readonly usablePeaks = new Map<string, RecentPeak>();
    private epochs = 0;
    /** Local monotonic milliseconds since which the reports are read that planning needs. */
    private readingSince: number;
    private commands: PlannerCommand[] = [];

    private constructor(private readonly options: GroupPlannerOptions) {
        this.registry = InstanceRegistry.create(options.heartbeatMilliseconds);
        this.reports = ReportSchedule.create(this.registry);
        this.loads = WeightLoadLimiter.create(options);
        this.readingSince = options.startedAt;
    }

    public static create(options: GroupPlannerOptions): GroupPlanner {
        return new GroupPlanner(options);
    }

    /**
     * Reads all reports again before it plans, after a time without steps in which what was known may have become untrue.
     * Formations that were under way are resumed from the reports, as in a new term.
     */
    public readAgain(now: number): void {
        this.readingSince = now;
        this.registry.forgetReports();
        this.formations.clear();
        this.pausedGroups.clear();
        this.conversions.clear();
    }

    /** Conversions in progress, for the holders of other failure domains. */
    public get runningConversions(): readonly RunningConversion[] {
        return [...this.conversions.values()].map(({ announcement }) => announcement);
    }

    /** Applies the registered instances and those whose registration expired recently. */
    public applyRegistrations(
        registered: readonly FleetInstance[],
        expired: readonly FleetInstance[],
        now: number,
    ): void {
        this.registry.applyRegistrations(registered, expired, now);
        [...expired, ...registered].forEach(({ id, status }) =>
            this.membershipHistory.recordRegistration(id, status),
        );
    }

    /** Requests a report at once from an instance that a caller suspects to be dead. */
    public suspect(id: string): void {
        this.reports.expedite(id);
    }

    public handleReport(id: string, outcome: ReportOutcome, requestedAt: number): void {
        this.registry.applyReport(id, outcome, requestedAt);
        const known = this.registry.get(id);
        if (outcome.kind === "silent" && known !== undefined && !this.registry.isDead(known, requestedAt)) {
            this.reports.repeatAfterSilence(id, requestedAt);
        }
        if (outcome.kind !== "answered") {
            return;
        }
        this.membershipHistory.recordReport(id, outcome.status);
        for (const formation of this.formations.values()) {
            if (formation.options.members.includes(id)) {
                formation.handleReport(id, outcome.status);
            }
        }
    }

    public handleReply(id: string, order: GroupOrder, reply: OrderReply, now: number): void {
        if (order.kind === "stage") {
            this.loads.handleReply(this.registry.get(id)?.instance.service ?? "", id, reply, now);
            this.conversions.forEach(conversion => conversion.handleStagingReply(id, reply));
        } else {
            this.formations.get(groupKey(order))?.handleReply(id, order, reply, now);
        }
        if (reply.kind === "absent") {
            this.registry.applyReport(id, { kind: "refused" }, now);
        }
        this.reports.expedite(id);
        this.note("received the reply to an order", { instance: id, order: order.kind, reply });
    }

    /** Advances formations, plans every fabric domain whose reports were read, and returns the due commands. */
    public step(context: PlannerContext, now: number): readonly PlannerCommand[] {
        const forming = [...this.formations.values()].flatMap(each => [...each.awaitedReports(now)]);
        const reportContext = { forming: new Map(forming), lastEventOf: context.lastEventOf };
        for (const instance of this.reports.takeDue(reportContext, now)) {
            this.commands.push({ kind: "report", instance });
        }
        this.advanceFormations(now);
        const domains = this.fabricDomains(context);
        for (const domain of this.byLoadsToNextGroup(domains, context, now)) {
            if (this.hasReadReports(domain, now)) {
                this.planDomain(domain, context, now);
            }
        }
        const commands = this.commands;
        this.commands = [];
        return commands;
    }

    /** Sorts the fabric domains so that loads go first to the one that can form a further group of a short model soonest. */
    private byLoadsToNextGroup(
        domains: readonly FabricDomain[],
        { supplies }: PlannerContext,
        now: number,
    ): readonly FabricDomain[] {
        if (![...supplies.values()].some(supply => supply.isPersistentlyShort)) {
            return domains;
        }
        const loads = new Map(
            domains.map(domain => {
                const usable = domain.known.filter(
                    known => this.isUsable(known, now) && known.status !== undefined,
                );
                const state = this.stagingState(domain, usable, usable.filter(isIdle), supplies, now);
                return [domain, loadsToNextGroup(state)];
            }),
        );
        const compare = (left: number, right: number): number => Number(left > right) - Number(left < right);
        return [...domains].sort((left, right) => compare(loads.get(left)!, loads.get(right)!));
    }

    private note(text: string, fields: Readonly<Record<string, unknown>>): void {
        this.commands.push({ kind: "note", message: text, fields });
    }

    private advanceFormations(now: number): void {
        for (const [key, formation] of this.formations) {
            const isIncomplete = formation.options.members.some(
                (member, rank) => !this.canKeepMember(this.registry.get(member), rank, now),
            );
            if (formation.isOpen || formation.hasFailed(now) || isIncomplete) {
                this.note(formation.isOpen ? "group opened" : "group formation failed", {
                    group: key,
                    members: formation.options.members,
                    tookMilliseconds: now - formation.options.startedAt,
                });
                this.formations.delete(key);
                if (formation.isOpen && !isIncomplete) {
                    this.announce(formation);
                }
                continue;
            }
            formation.dueOrders(now).forEach(({ instance, order }) => this.order(instance, order, now));
        }
    }

    private announce({ options }: GroupFormation): void {
        const { group, epoch, model, members } = options;
        this.commands.push({ kind: "opened", group: { group, epoch, model: model.name, members } });
    }

    private order(id: string, order: GroupOrder, now: number): void {
        const known = this.registry.get(id);
        if (known === undefined || !this.canOrder(id, now)) {
            return;
        }
        this.nextOrderAt.set(id, now + orderIntervalMilliseconds);
        this.commands.push({ kind: "order", instance: known.instance, order });
    }

    /** True if an instance may be or become a member of a group. */
    private isUsable(known: KnownInstance, now: number): boolean {
        return known.isRegistered && !known.instance.isLeaving && !this.registry.isDead(known, now);
    }

    private fabricDomains(context: PlannerContext): readonly FabricDomain[] {
        const byDomain = groupBy(
            this.registry.all,
            ({ instance }) => `${instance.service} ${instance.fabricDomain}`,
        );
        return [...byDomain].flatMap(([key, known]) => {
            const { service } = known[0]!.instance;
            const profile = context.profileOf(service);
            return profile === undefined ? [] : [{ key, service, profile, known }];
        });
    }

    private hasReadReports(domain: FabricDomain, now: number): boolean {
        const isResolved = (known: KnownInstance): boolean =>
            known.status !== undefined || this.registry.isDead(known, now);
        const isSettled = now >= this.readingSince + firstOrderDelayMilliseconds;
        return (
            now >= this.readingSince + initialReadMilliseconds ||
            (isSettled && domain.known.every(isResolved))
        );
    }

    private planDomain(domain: FabricDomain, context: PlannerContext, now: number): void {
        const groups = collectReportedGroups(domain.known, domain.profile.models);
        this.beginConversion(groups, domain, context, now);
        this.advanceConversion(groups, domain, context, now);
        for (const group of groups) {
            this.repair(group, domain, now);
        }
        const usable = domain.known.filter(known => this.isUsable(known, now) && known.status !== undefined);
        const incompleteKeys = this.groupsWithUnknownMembers(domain);
        const free = usable.filter(known => this.isFree(known, incompleteKeys, now));
        this.releaseBoundMembers(domain, incompleteKeys, now);
        const completeGroups = groups.filter(
            group =>
                !this.isConverting(group, domain) &&
                (this.isComplete(group, now) || this.formations.has(group.key)),
        );
        const conversion = this.conversions.get(domain.key);
        const state: DomainState = {
            models: domain.profile.models,
            instances: usable.length,
            recentInstances: this.peakOf(domain).record(usable.length, now),
            groups: this.countByModel(completeGroups, domain),
            free: free.map(toCandidate),
            freeSoon: countFreeSoon(
                groups.filter(group => !completeGroups.includes(group)),
                member => this.isUsable(member, now) && !free.includes(member),
                member => this.modelAfterConversion(member, conversion),
            ),
            isSettling: this.isSettling(domain, now),
            mayLoad: this.loads.isUnlimited(domain, now),
            supplies: context.supplies,
            loading: this.countLoading(free, now),
            retiredModels: new Set(conversion?.isClosed === true ? [conversion.options.from] : []),
        };
        if (groups.some(group => this.prepareReplacement(group, state, domain, now))) {
            return;
        }
        const choice = chooseGroup(state);
        if (choice !== undefined) {
            this.startFormation(choice, domain, now);
            return;
        }
        const idle = free.filter(isIdle);
        this.stageSpares(domain, usable, idle, context, now);
    }

    /** Returns the new model of a member that holds its weights already; undefined for others. */
    private modelAfterConversion(
        { instance, status }: KnownInstance,
        conversion: GroupConversion | undefined,
    ): string | undefined {
        const { to, members } = conversion?.options ?? {};
        const isHolder = to !== undefined && status?.staged.includes(to.name) === true;
        return isHolder && members?.includes(instance.id) === true ? to.name : undefined;
    }

    /** Counts the free instances that are loading weights, by model. */
    private countLoading(free: readonly KnownInstance[], now: number): ReadonlyMap<string, number> {
        const loading = free.flatMap(({ instance, status }) => {
            const model = this.loads.modelLoading(instance.id, now);
            return model === undefined || status?.staged.includes(model) ? [] : [model];
        });
        return countBy(loading, model => model);
    }

    /** Begins a proposed conversion with the groups of its model of which most members hold the new weights. */
    private beginConversion(
        groups: readonly ReportedGroup[],
        domain: FabricDomain,
        { conversion: proposal }: PlannerContext,
        now: number,
    ): void {
        const to = domain.profile.models.find(({ name }) => name === proposal?.to);
        if (proposal?.site !== domain.key || to === undefined || this.conversions.has(domain.key)) {
            return;
        }
        const holdersIn = ({ members }: ReportedGroup): number =>
            members.filter(({ status }) => status?.staged.includes(to.name)).length;
        const donors = groups
            .filter(group => group.model?.name === proposal.from && this.isServing(group, now))
            .sort((left, right) => holdersIn(right) - holdersIn(left) || right.epoch - left.epoch)
            .slice(0, proposal.donors);
        if (donors.length < proposal.donors) {
            return;
        }
        const { failureDomain, from, newGroups, lackingGroups } = proposal;
        const conversion = GroupConversion.create({
            failureDomain,
            from,
            to,
            newGroups,
            donors: donors.map(({ key }) => key),
            members: donors.flatMap(({ members }) => members.map(({ instance }) => instance.id)),
            startedAt: now,
        });
        this.conversions.set(domain.key, conversion);
        this.noteConversion("begun", conversion, { lackingGroups });
    }

    private advanceConversion(
        groups: readonly ReportedGroup[],
        domain: FabricDomain,
        { supplies }: PlannerContext,
        now: number,
    ): void {
        const conversion = this.conversions.get(domain.key);
        if (conversion === undefined) {
            return;
        }
        const { donors, members, to } = conversion.options;
        const isMember = ({ instance }: KnownInstance): boolean => members.includes(instance.id);
        const isFormed = ({ instance }: KnownInstance): boolean =>
            [...this.formations.values()].some(({ options }) => options.members.includes(instance.id));
        const usable = domain.known.filter(known => this.isUsable(known, now));
        // A conversion survives a member that is only paused.
        const serving = groups.filter(
            group =>
                donors.includes(group.key) &&
                (this.isServing(group, now) || this.pausedGroups.has(group.key)),
        );
        const holders = usable.filter(({ status }) => status?.staged.includes(to.name) === true);
        const facts = {
            isWanted: supplies.get(to.name)?.isPersistentlyShort === true,
            areDonorsServing: serving.length === donors.length,
            unusedHolders: holders.filter(known => !isMember(known) && isIdle(known) && !isFormed(known))
                .length,
            memberHolders: holders.filter(isMember).length,
            boundMembers: groups
                .filter(group => donors.includes(group.key))
                .flatMap(group => group.members.filter(member => !this.registry.isDead(member, now))).length,
            idleMembers: usable.filter(known => isMember(known) && isIdle(known) && !isFormed(known)).length,
        };
        const step = conversion.advance(facts, now);
        switch (step.kind) {
            case "wait":
                return;
            case "close":
                this.noteConversion("closing", conversion, {
                    reason: step.reason,
                    memberHolders: facts.memberHolders,
                });
                return;
            case "abandon":
                this.conversions.delete(domain.key);
                this.noteConversion("abandoned", conversion, { reason: step.reason });
                return;
            case "end":
                this.conversions.delete(domain.key);
                this.noteConversion("ended", conversion, {
                    tookMilliseconds: now - conversion.options.startedAt,
                });
        }
    }

    private noteConversion(
        step: keyof typeof conversionMessages,
        { options }: GroupConversion,
        fields: Readonly<Record<string, unknown>>,
    ): void {
        const { failureDomain, from, to, donors, newGroups } = options;
        this.commands.push({ kind: "conversion", step, from, to: to.name });
        this.note(conversionMessages[step], {
            failureDomain,
            from,
            to: to.name,
            donors,
            newGroups,
            ...fields,
        });
    }

    private isServing(group: ReportedGroup, now: number): boolean {
        return group.leader?.status?.membership?.state === "open" && this.isComplete(group, now);
    }

    /** True if a group takes no further requests because it is converted. */
    private isConverting({ key }: ReportedGroup, domain: FabricDomain): boolean {
        return this.conversions.get(domain.key)?.isClosing(key) === true;
    }

    private peakOf({ key }: FabricDomain): RecentPeak {
        const peak = this.usablePeaks.get(key) ?? RecentPeak.create();
        this.usablePeaks.set(key, peak);
        return peak;
    }

    private isSettling(domain: FabricDomain, now: number): boolean {
        const isNew = (known: KnownInstance): boolean => now - known.appearedAt < reappearanceMilliseconds;
        return !this.options.isFirstStart && domain.known.some(isNew);
    }

    private isComplete(group: ReportedGroup, now: number): boolean {
        return (
            group.model !== undefined &&
            group.leader !== undefined &&
            group.leader.status?.membership?.state !== "broken" &&
            group.members.length === group.model.size &&
            group.members.every(member => this.canKeepMember(member, rankOf(member), now))
        );
    }

    /** True if a member need not be replaced. A member that only lost its registration still serves. */
    private canKeepMember(member: KnownInstance | undefined, rank: number, now: number): boolean {
        if (member === undefined) {
            return false;
        }
        const isCutFromStore = !member.isRegistered && rank > 0;
        return this.isUsable(member, now) || (isCutFromStore && !this.registry.isDead(member, now));
    }

    /** Ends a group that lost a member, and resumes a formation that an earlier term began. */
    private repair(group: ReportedGroup, domain: FabricDomain, now: number): void {
        if (this.formations.has(group.key)) {
            return;
        }
        const state = group.leader?.status?.membership?.state;
        if (this.isConverting(group, domain) && this.isComplete(group, now)) {
            this.commands.push({ kind: "ended", key: group.key });
            this.drainForConversion(group, now);
            return;
        }
        if (this.isComplete(group, now)) {
            this.membershipHistory.recordComplete(group.key, group.members.length);
            this.endPause(group);
            if (state === "joining" || state === "ready") {
                this.resumeFormation(group, now);
            }
            return;
        }
        this.commands.push({ kind: "ended", key: group.key });
        if (this.isPaused(group, now)) {
            this.pausedGroups.add(group.key);
            return;
        }
        this.pausedGroups.delete(group.key);
        const isServing = state === "open" || state === "closing";
        if (group.leader !== undefined && isServing && this.hasAllMembers(group, now)) {
            this.drain(group, group.leader, domain, now);
            return;
        }
        this.disband(group, now);
    }

    /**
     * True if a group lacks no member, though members may be leaving, or a configuration may have removed or resized the model
     * while its streams run.
     */
    private hasAllMembers({ key, model, members }: ReportedGroup, now: number): boolean {
        const sizes = [model?.size, this.membershipHistory.completeSizeOf(key)];
        return sizes.includes(members.length) && members.every(member => !this.registry.isDead(member, now));
    }

    /**
     * True if a group serves and lacks only members that may be paused. Its streams go on with them, while a disbanded
     * group loses its streams.
     */
    private isPaused({ model, leader, members }: ReportedGroup, now: number): boolean {
        const canGoOn = (member: KnownInstance): boolean =>
            this.canKeepMember(member, rankOf(member), now) ||
            (!member.instance.isLeaving && this.registry.mayBePaused(member, now));
        return (
            model?.size === members.length &&
            leader?.status?.membership?.state === "open" &&
            members.every(canGoOn)
        );
    }

    /** Gives up the formation that was to replace a group, and announces the group again. */
    private endPause(group: ReportedGroup): void {
        const replacement = this.replacementOf(group);
        if (replacement !== undefined) {
            this.formations.delete(replacement.key);
        }
        const isOpen = group.leader?.status?.membership?.state === "open";
        if (!this.pausedGroups.delete(group.key) || !isOpen) {
            return;
        }
        const { name, epoch, model } = group;
        const byRank = [...group.members].sort((left, right) => rankOf(left) - rankOf(right));
        const members = byRank.map(member => member.instance.id);
        this.commands.push({ kind: "opened", group: { group: name, epoch, model: model!.name, members } });
        this.note("kept a group whose silent members responded again", { group: group.key });
    }

    private replacementOf({ key }: ReportedGroup): GroupFormation | undefined {
        return [...this.formations.values()].find(({ options }) => options.replacedGroup === key);
    }

    /**
     * Begins the formation that replaces a group if its silent members stay silent; returns true if it did. The idle
     * instances read their weights meanwhile, and the other members join after they have left their group.
     */
    private prepareReplacement(
        group: ReportedGroup,
        state: DomainState,
        domain: FabricDomain,
        now: number,
    ): boolean {
        if (!this.pausedGroups.has(group.key) || this.replacementOf(group) !== undefined) {
            return false;
        }
        const bound = group.members.filter(member => this.isUsable(member, now));
        const choice = chooseGroup({ ...state, free: [...bound.map(toCandidate), ...state.free] });
        const boundMembers = bound.map(member => member.instance.id);
        const isReplacement =
            choice?.model === group.model &&
            choice?.loads === 0 &&
            boundMembers.every(member => choice.members.includes(member));
        if (choice === undefined || !isReplacement) {
            return false;
        }
        this.startFormation(choice, domain, now, { replacedGroup: group.key, boundMembers });
        return true;
    }

    /** Lets the members of a formation join that have left the group which the formation replaces. */
    private releaseBoundMembers(domain: FabricDomain, incompleteKeys: readonly string[], now: number): void {
        for (const formation of this.formations.values()) {
            const left = domain.known.filter(
                known =>
                    formation.boundMembers.includes(known.instance.id) &&
                    this.hasLeftGroup(known, incompleteKeys, now),
            );
            left.forEach(known => formation.release(known.instance.id));
        }
    }

    /** Drains a group, once enough idle instances can replace the members that are leaving. */
    private drain(group: ReportedGroup, leader: KnownInstance, domain: FabricDomain, now: number): void {
        const { name, epoch } = group;
        const isOpen = leader.status?.membership?.state === "open";
        if (isOpen && this.hasReplacements(group, domain, now)) {
            this.order(leader.instance.id, { kind: "close", group: name, epoch }, now);
        }
        this.reports.prioritize(leader.instance.id);
    }

    /** Closes a complete group, and lets its members leave once its streams have ended. */
    private drainForConversion(group: ReportedGroup, now: number): void {
        const { name, epoch, leader } = group;
        const state = leader?.status?.membership?.state;
        if (leader === undefined || (state !== "open" && state !== "closing")) {
            this.disband(group, now);
            return;
        }
        if (state === "open") {
            this.order(leader.instance.id, { kind: "close", group: name, epoch }, now);
        }
        this.reports.prioritize(leader.instance.id);
    }

    /**
     * Orders every member to leave the group. A member may join another group only afterwards: a leader that this
     * placer cannot reach, or that a delayed order reopens, could still rely on that member.
     */
    private disband(group: ReportedGroup, now: number): void {
        const { name, epoch } = group;
        for (const member of group.members) {
            if (!this.registry.isDead(member, now) && member.status?.membership?.state !== "broken") {
                this.order(member.instance.id, { kind: "leave", group: name, epoch }, now);
            }
        }
    }

    private hasReplacements(group: ReportedGroup, domain: FabricDomain, now: number): boolean {
        const leaving = group.members.filter(member => !this.isUsable(member, now)).length;
        const idle = domain.known.filter(
            known => this.isUsable(known, now) && known.status !== undefined && isIdle(known),
        );
        return idle.length >= leaving;
    }

    private resumeFormation(group: ReportedGroup, now: number): void {
        const byRank = [...group.members].sort((left, right) => rankOf(left) - rankOf(right));
        const formation = GroupFormation.create({
            group: group.name,
            epoch: group.epoch,
            model: group.model!,
            members: byRank.map(member => member.instance.id),
            startedAt: now,
        });
        byRank.forEach(member => formation.handleReport(member.instance.id, member.status!));
        this.formations.set(group.key, formation);
        this.note("resumed the formation of a group from an earlier term", { group: group.key });
    }

    /**
     * Keys of the groups of which this term has not seen every member. A member that restarted before this term does
     * not report its former group, whose leader may still rely on that member.
     */
    private groupsWithUnknownMembers({ known, profile }: FabricDomain): readonly string[] {
        const sizes = new Map<string, number>();
        for (const { instance, status } of known) {
            const key = this.membershipHistory.lastGroupOf(instance.id);
            const name = status?.model ?? instance.status.model;
            const size = profile.models.find(model => model.name === name)?.size;
            if (key !== undefined && size !== undefined) {
                sizes.set(key, Math.max(size, sizes.get(key) ?? 0));
            }
        }
        return [...sizes]
            .filter(([key, size]) => this.membershipHistory.countMembers(key) < size)
            .map(([key]) => key);
    }

    /** True if an instance may join another group; `incompleteKeys` are the groups of which it may have been a member. */
    private isFree(known: KnownInstance, incompleteKeys: readonly string[], now: number): boolean {
        const { id } = known.instance;
        if ([...this.formations.values()].some(formation => formation.options.members.includes(id))) {
            return false;
        }
        return this.hasLeftGroup(known, incompleteKeys, now);
    }

    private hasLeftGroup(known: KnownInstance, incompleteKeys: readonly string[], now: number): boolean {
        const { id } = known.instance;
        const membership = known.status?.membership;
        if (membership !== undefined) {
            return membership.state === "broken";
        }
        const key = this.membershipHistory.lastGroupOf(id);
        const keys = key === undefined ? incompleteKeys : [key];
        return keys.every(each => this.hasLeaderLeft(each, id, now));
    }

    /** True if the leader of the group that an instance was in before its restart no longer serves. */
    private hasLeaderLeft(key: string, id: string, now: number): boolean {
        const leaderId = this.membershipHistory.leaderOf(key);
        const leader = leaderId === undefined ? undefined : this.registry.get(leaderId);
        if (leader === undefined || leaderId === id) {
            return true;
        }
        const membership = leader.status?.membership;
        const isMember =
            membership !== undefined && groupKey(membership) === key && membership.state !== "broken";
        if ((leader.status !== undefined && !isMember) || this.registry.hasCertainlyEnded(leader, now)) {
            return true;
        }
        this.reports.prioritize(leader.instance.id);
        return false;
    }

    private countByModel(
        completeGroups: readonly ReportedGroup[],
        domain: FabricDomain,
    ): ReadonlyMap<string, number> {
        const keys = new Map(completeGroups.map(group => [group.key, group.model?.name]));
        for (const formation of this.formations.values()) {
            const member = formation.options.members[0]!;
            if (domain.known.some(known => known.instance.id === member)) {
                keys.set(formation.key, formation.options.model.name);
            }
        }
        return countBy(keys.values(), model => model ?? "");
    }

    private startFormation(
        choice: GroupChoice,
        domain: FabricDomain,
        now: number,
        replacement: Pick<FormationOptions, "replacedGroup" | "boundMembers"> = {},
    ): void {
        if (!this.loads.tryTake(domain, choice.loads, now)) {
            return;
        }
        this.epochs += 1;
        const epoch = this.options.term * epochsPerTerm + this.epochs;
        const formation = GroupFormation.create({
            group: `g${epoch}`,
            epoch,
            model: choice.model,
            members: choice.members,
            ...replacement,
            startedAt: now,
            // Loads before the first traffic take a fraction of their usual time.
            earliestReadyAt: this.loads.isUnlimited(domain, now)
                ? undefined
                : this.earliestReadyTimes(choice, now),
        });
        this.formations.set(formation.key, formation);
        this.note("started to form a group", {
            group: formation.key,
            model: choice.model.name,
            members: choice.members,
            loads: choice.loads,
        });
        formation.dueOrders(now).forEach(({ instance, order }) => this.order(instance, order, now));
    }

    private earliestReadyTimes({ model, members }: GroupChoice, now: number): ReadonlyMap<string, number> {
        const joinMilliseconds = (id: string): number => {
            const status = this.registry.get(id)?.status;
            if (status?.model === model.name) {
                return rejoinMilliseconds;
            }
            const isOnHost = status?.staged.includes(model.name) === true;
            return isOnHost ? model.warmMilliseconds : model.loadMilliseconds;
        };
        return new Map(members.map(id => [id, now + joinMilliseconds(id)]));
    }

    private stageSpares(
        domain: FabricDomain,
        usable: readonly KnownInstance[],
        idle: readonly KnownInstance[],
        { supplies }: PlannerContext,
        now: number,
    ): void {
        // The fabric domains share the limit of concurrent loads.
        const convertingIds = [...this.conversions.values()].flatMap(({ options }) => options.members);
        // A load that has ended must not count until its time-out: it would keep the next spare from loading.
        const mayLoad = (id: string, model: string | undefined): boolean => {
            const known = this.registry.get(id);
            return (
                known !== undefined &&
                this.isUsable(known, now) &&
                (isIdle(known) || convertingIds.includes(id)) &&
                !(model !== undefined && known.status?.staged.includes(model))
            );
        };
        if (!this.loads.canStage(domain, mayLoad, now)) {
            return;
        }
        const choice = chooseStaging(this.stagingState(domain, usable, idle, supplies, now));
        if (choice === undefined || !this.loads.tryTake(domain, 1, now)) {
            return;
        }
        this.loads.startStaging(choice.id, choice.model, now);
        this.note("ordered a spare to stage weights", { instance: choice.id, model: choice.model.name });
        this.order(choice.id, { kind: "stage", model: choice.model.name }, now);
    }

    private stagingState(
        domain: FabricDomain,
        usable: readonly KnownInstance[],
        idle: readonly KnownInstance[],
        supplies: ReadonlyMap<string, ModelSupply>,
        now: number,
    ): StagingState {
        const conversion = this.conversions.get(domain.key);
        const convertingIds = conversion?.isClosed === false ? conversion.options.members : [];
        return {
            models: domain.profile.models,
            instances: usable.length,
            members: countBy(
                usable.filter(known => !idle.includes(known)),
                ({ status }) => status?.model ?? "",
            ),
            spares: idle.map(known => this.toSpare(known, now)),
            converting: usable
                .filter(({ instance }) => convertingIds.includes(instance.id))
                .map(known => this.toSpare(known, now)),
            supplies,
        };
    }

    /** Returns an instance as a candidate for staging; one that must not be sent an order yet counts as busy. */
    private toSpare(known: KnownInstance, now: number): Candidate {
        const spare = this.loads.withLoadingWeights(toCandidate(known), now);
        return this.canOrder(spare.id, now) ? spare : { ...spare, isBusy: true };
    }

    private canOrder(id: string, now: number): boolean {
        return now >= (this.nextOrderAt.get(id) ?? 0);
    }
}

function isIdle(known: KnownInstance): boolean {
    return known.status?.membership === undefined;
}
