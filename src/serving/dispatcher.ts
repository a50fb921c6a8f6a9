/** Chooses the replica for the next attempt of a request. */
import type { Clock } from "../contracts/clocks.js";
import type { BackPressure } from "./back-pressure.js";
import { keepOnlyKeys } from "./collections.js";
import type { FleetInstance } from "./fleets.js";
import type { EngineLoad } from "./engine-model.js";
import { estimateFirstEventMilliseconds, estimateSlotWaitMilliseconds } from "./engine-model.js";
import type { SharingSubject } from "./fairness/sharing-subject.js";
import { FirstEventOffsets } from "./first-event-offsets.js";
import type { ForwardingPeer } from "./forwarding-peers.js";
import type { FleetView, ServableGroup } from "./fleet-view.js";
import type { Admission, AdmissionQuestion, RefusalCause } from "./group-admission.js";
import type { GroupBacklog, InFlightRequests } from "./in-flight-requests.js";
import type { GroupOption, GroupRoute } from "./group-route.js";
import { chooseGroupRoute } from "./group-route.js";
import type { OutputEstimate } from "./routing/output-predictor.js";
import type { StalledGroupDetector } from "./stalled-group-detector.js";
import type { ReplicaRecords } from "./replica-records.js";
import type { EngineWork } from "./wire-format.js";

/** The replica that an attempt is sent to. */
export interface DispatchTarget {
    readonly peer?: undefined;
    readonly instance: FleetInstance;
    /** Key of the replica group; undefined for plain services. */
    readonly group: string | undefined;
    /** Model that the group serves; undefined for plain services. */
    readonly model: string | undefined;
    /** Expected time to the first byte of the response, in milliseconds. */
    readonly expectedMilliseconds: number;
    /** Store revision of the registrations that the choice is based on. */
    readonly fleetRevision: number;
    /** True if the request waits at the replica behind those that can still meet their objective. */
    readonly isDeferred: boolean;
    /** Set if the replica limits its requests, so that this one needs a permit. */
    readonly permit?: PermitNeed;
}

/** The entry instance that a request is forwarded to, which makes the attempts at replicas. */
export interface PeerTarget extends Pick<
    DispatchTarget,
    "expectedMilliseconds" | "fleetRevision" | "isDeferred"
> {
    readonly peer: ForwardingPeer;
    readonly instance?: undefined;
    readonly group: undefined;
    readonly model: undefined;
    readonly permit?: undefined;
}

export type AttemptTarget = DispatchTarget | PeerTarget;

/** Returns what identifies the replica or the entry instance of a target. */
export function targetId(target: AttemptTarget): string {
    return target.peer === undefined ? target.instance.id : `entry ${target.peer.name}`;
}

/** The permit that a request needs before it is sent. */
export interface PermitNeed {
    /** Expected time until the permit, in milliseconds. */
    readonly waitMilliseconds: number;
    /** Time until the permit after which another replica, or a refusal, is better for the caller, in milliseconds. */
    readonly patienceMilliseconds: number;
}

/** What is known of replicas that limit the rate of their requests. */
export interface RequestLimits {
    readonly isLimited: (instance: FleetInstance) => boolean;
    /** True if the replica limits its requests because it is cold. */
    readonly isCold: (instance: FleetInstance) => boolean;
    /** Expected time until a permit for the replica, in milliseconds. */
    readonly waitOf: (instance: FleetInstance) => number;
}

export type DispatchChoice =
    | { readonly kind: "target"; readonly target: DispatchTarget }
    /** Every group that was considered has more work queued than the caller would wait for. */
    | {
          readonly kind: "overloaded";
          readonly expectedMilliseconds: number;
          readonly retryAfterMilliseconds: number;
          /** "late" by default. */
          readonly cause?: RefusalCause;
      }
    /** Every replica that could take the request wants none for a while. */
    | { readonly kind: "paused"; readonly retryAfterMilliseconds: number }
    /** No replica can take the request. */
    | { readonly kind: "none" };

/** The choice of a replica, or of an entry instance that chooses one. */
export type AttemptChoice =
    | { readonly kind: "target"; readonly target: AttemptTarget }
    | Exclude<DispatchChoice, { readonly kind: "target" }>;

/** What the choice of a replica depends on. */
export interface DispatchRequest {
    readonly service: string;
    readonly work: EngineWork | undefined;
    /** Expected output; undefined if nothing is known of it. */
    readonly output?: OutputEstimate;
    /** Ids of the instances that this request has already tried. */
    readonly triedInstances: ReadonlySet<string>;
    /** Local monotonic milliseconds until which a first event meets the latency objective. */
    readonly objectiveDeadline: number;
    /** Local monotonic milliseconds until which the caller is assumed to wait for a first event. */
    readonly firstEventDeadline: number;
    /** True if the caller is already reading the stream; such a request goes before all others. */
    readonly isResumed: boolean;
    /** What decides whether the request goes first while capacity is short; undefined if only the expected times do. */
    readonly subject?: SharingSubject;
}

export interface DispatcherDependencies {
    readonly clock: Clock;
    readonly random: () => number;
    readonly failureDomain: string;
    readonly view: () => FleetView;
    readonly flights: InFlightRequests;
    readonly suspicions: StalledGroupDetector;
    readonly records: ReplicaRecords;
    readonly backPressure: BackPressure;
    readonly limits: RequestLimits;
    /**
     * Maximum number of groups that one request chooses among; small where the loads of other entry
     * instances arrive with a delay.
     */
    readonly mostOptions: () => number;
    /**
     * Keys of the groups that this entry instance prefers if there are more than one request chooses among; undefined while
     * they are not known. The loads of the other entry instances at these groups are known in time.
     */
    readonly preferredGroups: () => ReadonlySet<string> | undefined;
    /** True if an idle keep-alive connection to the instance is available. */
    readonly isConnected: (instance: string) => boolean;
    /** True while requests to the instance are likely to fail because of the links of this entry instance. */
    readonly isUnreachable: (instance: FleetInstance) => boolean;
    /** Decides whether a replica group takes a request now. */
    readonly admit: (question: AdmissionQuestion) => Admission;
}

/** A group that may take a request, with its known backlog. */
interface LoadedGroup
    extends ServableGroup, Pick<GroupOption, "slowness" | "isConnected" | "waitMilliseconds"> {
    readonly backlog: GroupBacklog;
}

/** Time for which a stream that its caller is already reading waits for a permit, in milliseconds. */
const resumedPatienceMilliseconds = 500;

const noLoad: EngineLoad = { requests: 0, unreadTokens: 0 };

/**
 * Number of groups of a model that an entry instance prefers if there are more groups than one request chooses
 * among.
 */
const preferredGroupCount = 4;
/** Random samples of the other groups that are tried before a request is deferred or refused. */
const furtherSampleCount = 2;
/**
 * Fraction of the latency objective above which the expected time at the preferred groups makes a request consider others.
 * At 1, the entry instances of a failure domain with fewer groups than the others overloaded these.
 */
const comfortableObjectiveFraction = 0.5;
/** Number of stored preferences above which those of removed groups are dropped. */
const maximumGroupPreferences = 500;
/**
 * Added to the preference of a group in another failure domain; preferences are drawn from [0, 1), and lower ones
 * come first.
 */
const crossDomainPenalty = 0.5;

/** Expected time by which a cold group must be better than a warm one, in milliseconds: it spends a permit. */
const warmPreferenceMilliseconds = 25;
/** Extra cost of a cold plain replica, as a fraction of its slots. */
const coldCost = 0.5;
/** Extra cost of a plain replica in another failure domain, as a fraction of its slots. */
const crossDomainCost = 0.15;

export class Dispatcher {
    private readonly firstEventOffsets = FirstEventOffsets.create();
    /** Random preferences of this process by group key; lower ones come first. */
    private readonly groupPreferences = new Map<string, number>();

    private constructor(private readonly dependencies: DispatcherDependencies) {}

    public static create(dependencies: DispatcherDependencies): Dispatcher {
        return new Dispatcher(dependencies);
    }

    /** Chooses the replica for the next attempt. */
    public choose(question: DispatchRequest): DispatchChoice {
        const { work } = question;
        return work === undefined ? this.chooseInstance(question) : this.chooseGroup(question, work);
    }

    /** Records that the first event of a stream arrived `tookMilliseconds` after the request was sent. */
    public recordFirstEvent(target: DispatchTarget, tookMilliseconds: number): void {
        if (target.model !== undefined && !target.isDeferred) {
            this.firstEventOffsets.record(target.model, tookMilliseconds - target.expectedMilliseconds);
        }
    }

    private chooseGroup(question: DispatchRequest, work: EngineWork): DispatchChoice {
        const now = this.dependencies.clock.monotonicMilliseconds();
        const { willing, choiceIfNone } = this.willingOf(
            this.reachableOf(this.unsuspectedGroups(question, work), ({ group }) => group.leader!),
            ({ group }) => group.leader!,
            now,
        );
        const candidates = this.preferUntried(willing, question, now);
        const [free, limited] = this.partition(candidates, ({ group }) => group.leader!);
        const unlimitedChoice = this.chooseInSets(free, question, work, now) ?? choiceIfNone;
        const limitedChoice = this.chooseInSets(limited, question, work, now);
        return limitedChoice === undefined
            ? unlimitedChoice
            : (this.preferWarm(unlimitedChoice, limitedChoice) ??
                  preferWithinPatience(unlimitedChoice, limitedChoice, patienceOf(question, now)));
    }

    /** Returns the choice among replicas without a limit unless a cold one would serve the request much sooner. */
    private preferWarm(unlimited: DispatchChoice, limited: DispatchChoice): DispatchChoice | undefined {
        const isWarmPreferred =
            unlimited.kind === "target" &&
            !unlimited.target.isDeferred &&
            limited.kind === "target" &&
            this.dependencies.limits.isCold(limited.target.instance) &&
            expectedMillisecondsOf(unlimited) <= expectedMillisecondsOf(limited) + warmPreferenceMilliseconds;
        return isWarmPreferred ? unlimited : undefined;
    }

    /** Returns the options whose replica can be reached; all of them if there are none. */
    private reachableOf<T>(options: readonly T[], replicaOf: (option: T) => FleetInstance): readonly T[] {
        const reachable = options.filter(option => !this.dependencies.isUnreachable(replicaOf(option)));
        return reachable.length > 0 ? reachable : options;
    }

    /** Separates the options whose replica limits its requests. */
    private partition<T>(
        options: readonly T[],
        replicaOf: (option: T) => FleetInstance,
    ): readonly [unlimited: readonly T[], limited: readonly T[]] {
        const { limits } = this.dependencies;
        const limited = options.filter(option => limits.isLimited(replicaOf(option)));
        return limited.length === 0
            ? [options, limited]
            : [options.filter(option => !limits.isLimited(replicaOf(option))), limited];
    }

    /** Chooses among sets of groups until one of them serves the request early; undefined if there are no groups. */
    private chooseInSets(
        groups: readonly ServableGroup[],
        question: DispatchRequest,
        work: EngineWork,
        now: number,
    ): DispatchChoice | undefined {
        let best: DispatchChoice | undefined;
        for (const candidates of this.candidateSets(groups)) {
            const choice = this.chooseAmongGroups(candidates, question, work, now);
            if (isComfortable(choice, question.objectiveDeadline - now)) {
                return choice;
            }
            best = best === undefined || isBetterThan(choice, best) ? choice : best;
        }
        return best;
    }

    private chooseAmongGroups(
        candidates: readonly ServableGroup[],
        question: DispatchRequest,
        work: EngineWork,
        now: number,
    ): DispatchChoice {
        const options = this.loadedGroupsOf(candidates, now);
        const urgent = this.findBestRoute(options, question, work, ({ backlog }) => backlog.urgent);
        if (urgent === undefined) {
            return { kind: "none" };
        }
        if (question.isResumed) {
            return { kind: "target", target: this.toTarget(urgent, false) };
        }
        const deferred = this.findBestRoute(options, question, work, ({ backlog }) => backlog.all)!;
        // A long prompt takes longer than the objective even on an idle group, so its excess over a usual prompt
        // is subtracted; otherwise it would never be admitted.
        const { profile, model } = candidates[0]!;
        const ownExcess =
            estimateFirstEventMilliseconds(profile, model, noLoad, work.promptTokens) -
            estimateFirstEventMilliseconds(profile, model, noLoad, profile.usualPromptTokens);
        const admission = this.dependencies.admit({
            urgentMilliseconds: urgent.expectedMilliseconds - ownExcess,
            deferredMilliseconds: deferred.expectedMilliseconds - ownExcess,
            objectiveMilliseconds: question.objectiveDeadline - now,
            firstEventTimeoutMilliseconds: question.firstEventDeadline - now,
            hasFreeSlot: urgent.option.load.requests < profile.slots,
            queueStepMilliseconds:
                estimateSlotWaitMilliseconds(profile, model, { requests: profile.slots, unreadTokens: 0 }) /
                candidates.length,
            subject: question.subject,
        });
        switch (admission.kind) {
            case "urgent":
                return { kind: "target", target: this.toTarget(urgent, false) };
            case "deferred":
                return { kind: "target", target: this.toTarget(deferred, true) };
            case "refused":
                return {
                    kind: "overloaded",
                    expectedMilliseconds: deferred.expectedMilliseconds,
                    retryAfterMilliseconds: admission.retryAfterMilliseconds,
                    cause: admission.cause,
                };
        }
    }

    private unsuspectedGroups({ service }: DispatchRequest, { model }: EngineWork): readonly ServableGroup[] {
        const { suspicions, view } = this.dependencies;
        return view()
            .groupsOf(service, model)
            .filter(({ group }) => !suspicions.isSuspect(group.key));
    }

    /**
     * Returns the groups that are neither tried nor ejected; if there are none, the untried ones; if all have been tried,
     * all of them.
     */
    private preferUntried(
        groups: readonly ServableGroup[],
        { triedInstances }: DispatchRequest,
        now: number,
    ): readonly ServableGroup[] {
        const { records } = this.dependencies;
        const untried = groups.filter(({ group }) => !triedInstances.has(group.leader!.id));
        const responding = untried.filter(({ group }) => !records.isEjected(group.leader!.id, now));
        return [responding, untried, groups].find(each => each.length > 0) ?? [];
    }

    /**
     * Returns the options whose replica does not want a pause, and the choice if there are none: the earliest end of the
     * pauses.
     */
    private willingOf<T>(
        options: readonly T[],
        replicaOf: (option: T) => FleetInstance,
        now: number,
    ): { readonly willing: readonly T[]; readonly choiceIfNone: DispatchChoice } {
        const { backPressure } = this.dependencies;
        const willing = options.filter(option => backPressure.waitOf(replicaOf(option), now) === 0);
        if (willing.length > 0 || options.length === 0) {
            return { willing, choiceIfNone: { kind: "none" } };
        }
        const waits = options.map(option => backPressure.waitOf(replicaOf(option), now));
        return { willing, choiceIfNone: { kind: "paused", retryAfterMilliseconds: Math.min(...waits) } };
    }

    private loadedGroupsOf(candidates: readonly ServableGroup[], now: number): readonly LoadedGroup[] {
        const { flights, suspicions, isConnected, limits } = this.dependencies;
        return candidates.map(({ group, model, profile }) => ({
            group,
            model,
            profile,
            backlog: flights.backlogOf(group.key, now),
            slowness: suspicions.slownessOf(group.key),
            isConnected: isConnected(group.leader!.id),
            waitMilliseconds: limits.isLimited(group.leader!) ? limits.waitOf(group.leader!) : undefined,
        }));
    }

    private findBestRoute(
        groups: readonly LoadedGroup[],
        { output }: DispatchRequest,
        { promptTokens }: EngineWork,
        loadOf: (group: LoadedGroup) => EngineLoad,
    ): GroupRoute | undefined {
        const { random, failureDomain } = this.dependencies;
        const [first] = groups;
        if (first === undefined) {
            return undefined;
        }
        const options = groups.map(group => ({ ...group, load: loadOf(group) }));
        const route = chooseGroupRoute({
            profile: first.profile,
            promptTokens,
            outputTokens: output?.tokens ?? first.profile.usualAnswerTokens,
            failureDomain,
            options,
            random,
        });
        const offset = this.firstEventOffsets.offsetOf(first.model.name);
        return route && { ...route, expectedMilliseconds: route.expectedMilliseconds + offset };
    }

    /**
     * Yields sets of groups to choose among; the caller stops at the first set with a group that serves the request in
     * time. If all entry instances chose the best of all groups, they would overload the same one. Each prefers a few
     * groups, which also keeps its number of connections low.
     */
    private *candidateSets(groups: readonly ServableGroup[]): Generator<readonly ServableGroup[]> {
        const { random, mostOptions, failureDomain } = this.dependencies;
        const maximumCount = mostOptions();
        if (groups.length <= maximumCount) {
            yield groups;
            return;
        }
        const preferredGroups = this.dependencies.preferredGroups();
        if (preferredGroups !== undefined) {
            const preferred = groups.filter(({ group }) => preferredGroups.has(group.key));
            const others = groups.filter(({ group }) => !preferredGroups.has(group.key));
            yield* [preferred, ...this.furtherSamples(others, maximumCount)].filter(set => set.length > 0);
            return;
        }
        this.pruneGroupPreferences();
        const preferenceOf = ({ group }: ServableGroup): number => {
            const preference = this.groupPreferences.get(group.key) ?? random();
            this.groupPreferences.set(group.key, preference);
            return preference + (group.leader!.failureDomain === failureDomain ? 0 : crossDomainPenalty);
        };
        const candidates = groups.map(group => ({ group, preference: preferenceOf(group) }));
        const ordered = candidates
            .sort((left, right) => left.preference - right.preference)
            .map(each => each.group);
        yield sample(ordered.splice(0, preferredGroupCount), maximumCount, random);
        yield* this.furtherSamples(ordered, maximumCount);
    }

    private furtherSamples(
        groups: readonly ServableGroup[],
        maximumCount: number,
    ): readonly (readonly ServableGroup[])[] {
        const { random } = this.dependencies;
        return Array.from({ length: furtherSampleCount }, () => sample(groups, maximumCount, random));
    }

    private pruneGroupPreferences(): void {
        if (this.groupPreferences.size > maximumGroupPreferences) {
            keepOnlyKeys(this.groupPreferences, this.dependencies.view().groups);
        }
    }

    private toTarget({ option, expectedMilliseconds }: GroupRoute, isDeferred: boolean): DispatchTarget {
        const { waitMilliseconds } = option;
        return {
            instance: option.group.leader!,
            group: option.group.key,
            model: option.model.name,
            expectedMilliseconds: expectedMilliseconds - (waitMilliseconds ?? 0),
            fleetRevision: this.dependencies.view().fleet.revision,
            isDeferred,
            permit:
                waitMilliseconds === undefined ? undefined : { waitMilliseconds, patienceMilliseconds: 0 },
        };
    }

    private chooseInstance(question: DispatchRequest): DispatchChoice {
        const { clock, records, random, failureDomain, limits } = this.dependencies;
        const now = clock.monotonicMilliseconds();
        const { willing: instances, choiceIfNone } = this.willingOf(
            this.reachableOf(this.dependencies.view().instancesOf(question.service), instance => instance),
            instance => instance,
            now,
        );
        const untried = instances.filter(instance => !question.triedInstances.has(instance.id));
        const responding = untried.filter(instance => !records.isEjected(instance.id, now));
        const candidates = [responding, untried, instances].find(each => each.length > 0) ?? [];
        const cost = (instance: FleetInstance): number =>
            records.costOf(instance.id, instance.slots, now) +
            (instance.failureDomain === failureDomain ? 0 : crossDomainCost) +
            (limits.isCold(instance) ? coldCost : 0) +
            0.05 * random();
        const ranked = candidates.map(instance => ({ instance, cost: cost(instance) }));
        ranked.sort((left, right) => left.cost - right.cost);
        const [free, limited] = this.partition(ranked, ({ instance }) => instance);
        const waiting = limited.map(({ instance }) => ({ instance, wait: limits.waitOf(instance) }));
        waiting.sort((left, right) => left.wait - right.wait);
        const [soonest] = waiting;
        const isFreeCheaper = soonest === undefined || soonest.wait > 0 || ranked[0] === free[0];
        if (free[0] !== undefined && isFreeCheaper) {
            return this.toPlainChoice(free[0].instance, undefined);
        }
        if (soonest === undefined) {
            return choiceIfNone;
        }
        // With a replica that takes the request at once, a permit is worth no wait.
        const patienceMilliseconds = free.length > 0 ? 0 : patienceOf(question, now);
        return soonest.wait > patienceMilliseconds
            ? { kind: "paused", retryAfterMilliseconds: soonest.wait }
            : this.toPlainChoice(soonest.instance, { waitMilliseconds: soonest.wait, patienceMilliseconds });
    }

    private toPlainChoice(instance: FleetInstance, permit: PermitNeed | undefined): DispatchChoice {
        const target: DispatchTarget = {
            instance,
            group: undefined,
            model: undefined,
            expectedMilliseconds: 0,
            fleetRevision: this.dependencies.view().fleet.revision,
            isDeferred: false,
            permit,
        };
        return { kind: "target", target };
    }
}

/** Returns `count` random items without repetition, or all items if there are fewer. */
function sample<T>(items: readonly T[], count: number, random: () => number): readonly T[] {
    const remaining = [...items];
    const sampleSize = Math.min(count, remaining.length);
    return Array.from(
        { length: sampleSize },
        () => remaining.splice(Math.floor(random() * remaining.length), 1)[0]!,
    );
}

/**
 * True if `choice` serves the request sooner than `other`; any target is sooner than an overload, which is sooner
 * than none.
 */
function isSoonerThan(choice: DispatchChoice, other: DispatchChoice): boolean {
    if (!isEstimate(choice) || !isEstimate(other)) {
        return isEstimate(choice);
    }
    if (choice.kind !== other.kind) {
        return choice.kind === "target";
    }
    return expectedMillisecondsOf(choice) < expectedMillisecondsOf(other);
}

/** True if no other groups need to be considered. */
function isComfortable(choice: DispatchChoice, objectiveMilliseconds: number): boolean {
    return (
        choice.kind === "target" &&
        !choice.target.isDeferred &&
        choice.target.expectedMilliseconds <= comfortableObjectiveFraction * objectiveMilliseconds
    );
}

/** True if `choice` serves the request in time and `other` does not, or if both do or neither does and it is sooner. */
function isBetterThan(choice: DispatchChoice, other: DispatchChoice): boolean {
    const isInTime = ({ target }: Extract<DispatchChoice, { readonly kind: "target" }>): boolean =>
        !target.isDeferred;
    return choice.kind === "target" && other.kind === "target" && isInTime(choice) !== isInTime(other)
        ? isInTime(choice)
        : isSoonerThan(choice, other);
}

type EstimatedChoice = Extract<DispatchChoice, { readonly kind: "target" | "overloaded" }>;

function isEstimate(choice: DispatchChoice): choice is EstimatedChoice {
    return choice.kind === "target" || choice.kind === "overloaded";
}

function expectedMillisecondsOf(choice: EstimatedChoice): number {
    return choice.kind === "target"
        ? choice.target.expectedMilliseconds + (choice.target.permit?.waitMilliseconds ?? 0)
        : choice.expectedMilliseconds;
}

/** Time for which a request can wait for a permit and still meet its objective, in milliseconds. */
function patienceOf({ objectiveDeadline, isResumed }: DispatchRequest, now: number): number {
    return isResumed ? resumedPatienceMilliseconds : Math.max(0, objectiveDeadline - now);
}

/**
 * Returns the better of a choice among replicas without a limit and one among those with a limit. A permit is waited for
 * until the other choice would be as good, and until the objective is missed: permits that are taken for late requests
 * would make all later ones late.
 */
function preferWithinPatience(
    unlimited: DispatchChoice,
    limited: DispatchChoice,
    maximumPatience: number,
): DispatchChoice {
    if (limited.kind !== "target") {
        return isSoonerThan(limited, unlimited) ? limited : unlimited;
    }
    const { target } = limited;
    const { waitMilliseconds } = target.permit!;
    const hasAlternative = unlimited.kind === "target" && (!unlimited.target.isDeferred || target.isDeferred);
    const patienceMilliseconds = Math.max(
        0,
        hasAlternative
            ? Math.min(maximumPatience, unlimited.target.expectedMilliseconds) - target.expectedMilliseconds
            : maximumPatience - target.expectedMilliseconds,
    );
    if (waitMilliseconds <= patienceMilliseconds) {
        const permit = { waitMilliseconds, patienceMilliseconds };
        return { kind: "target", target: { ...target, permit } };
    }
    if (unlimited.kind === "target") {
        return unlimited;
    }
    const waits = [waitMilliseconds, ...(isRefusal(unlimited) ? [unlimited.retryAfterMilliseconds] : [])];
    return { kind: "paused", retryAfterMilliseconds: Math.min(...waits) };
}

function isRefusal(
    choice: DispatchChoice,
): choice is Extract<DispatchChoice, { readonly kind: "overloaded" | "paused" }> {
    return choice.kind === "overloaded" || choice.kind === "paused";
}
