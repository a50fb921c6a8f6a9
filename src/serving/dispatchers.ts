/** Chooses the replica for the next attempt of a request. */
import type { Clock } from "../contracts/clocks.js";
import { keepOnlyKeys } from "./collections.js";
import type { FleetInstance } from "./fleets.js";
import type { EngineLoad } from "./engine-models.js";
import { estimateFirstEvent } from "./engine-models.js";
import { FirstEventOffsets } from "./first-event-offsets.js";
import type { FleetView, ServableGroup } from "./fleet-views.js";
import type { Admission, AdmissionFacts } from "./group-admissions.js";
import type { GroupBacklog, GroupFlights } from "./group-flights.js";
import type { GroupOption, GroupRoute } from "./group-routes.js";
import { chooseRoute } from "./group-routes.js";
import type { GroupSuspicions } from "./group-suspicions.js";
import type { ReplicaRecords } from "./replica-records.js";
import type { EngineWork } from "./wire.js";

/** The replica that an attempt is sent to. */
export interface DispatchTarget {
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
}

export type DispatchChoice =
    | { readonly kind: "target"; readonly target: DispatchTarget }
    /** Every group has more work queued than the caller would wait for. */
    | {
          readonly kind: "overloaded";
          readonly expectedMilliseconds: number;
          readonly comeBackMilliseconds: number;
      }
    /** No replica can take the request. */
    | { readonly kind: "none" };

/** What the choice of a replica depends on. */
export interface DispatchQuestion {
    readonly service: string;
    readonly work: EngineWork | undefined;
    /** Ids of the instances that this request has already tried. */
    readonly tried: ReadonlySet<string>;
    /** Local monotonic milliseconds until which a first event meets the latency objective. */
    readonly objectiveAt: number;
    /** Local monotonic milliseconds until which the caller is assumed to wait for a first event. */
    readonly patienceAt: number;
    /** True if the caller is already reading the stream; such a request goes before all others. */
    readonly isResumed: boolean;
}

export interface DispatcherParts {
    readonly clock: Clock;
    readonly random: () => number;
    readonly failureDomain: string;
    readonly view: () => FleetView;
    readonly flights: GroupFlights;
    readonly suspicions: GroupSuspicions;
    readonly records: ReplicaRecords;
    /**
     * Maximum number of groups that one request chooses among; small where the load of other entry instances is
     * known late.
     */
    readonly mostOptions: () => number;
    /** True if an idle keep-alive connection to the instance is available. */
    readonly isConnected: (instance: string) => boolean;
    /** Decides whether a replica group takes a request now. */
    readonly admit: (facts: AdmissionFacts) => Admission;
}

/** A group that may take a request, with its known backlog. */
interface LoadedGroup extends ServableGroup, Pick<GroupOption, "slowness" | "isConnected"> {
    readonly backlog: GroupBacklog;
}

const noLoad: EngineLoad = { requests: 0, unreadTokens: 0 };

/**
 * Number of groups of a model that an entry instance prefers if there are more groups than one request chooses
 * among.
 */
const preferredGroups = 4;
/** Random samples of the other groups that are tried before a request is deferred or refused. */
const furtherDraws = 2;
/** Number of stored preferences above which those of removed groups are dropped. */
const mostPlaces = 500;
/**
 * Added to the preference of a group in another failure domain; preferences are drawn from [0, 1), and lower ones
 * come first.
 */
const farPlace = 0.5;

/** Extra cost of a plain replica in another failure domain, as a fraction of its slots. */
const crossDomainCost = 0.15;

export class Dispatcher {
    private readonly offsets = FirstEventOffsets.create();
    /** Random preferences of this process by group key; lower ones come first. */
    private readonly places = new Map<string, number>();

    private constructor(private readonly parts: DispatcherParts) {}

    public static create(parts: DispatcherParts): Dispatcher {
        return new Dispatcher(parts);
    }

    /** Chooses the replica for the next attempt. */
    public choose(question: DispatchQuestion): DispatchChoice {
        const { work } = question;
        return work === undefined ? this.chooseInstance(question) : this.chooseGroup(question, work);
    }

    /** Records that the first event of a stream arrived `tookMilliseconds` after the request was sent. */
    public recordFirstEvent(target: DispatchTarget, tookMilliseconds: number): void {
        if (target.model !== undefined && !target.isDeferred) {
            this.offsets.record(target.model, tookMilliseconds - target.expectedMilliseconds);
        }
    }

    private chooseGroup(question: DispatchQuestion, work: EngineWork): DispatchChoice {
        const now = this.parts.clock.monotonicMilliseconds();
        let best: DispatchChoice = { kind: "none" };
        for (const candidates of this.draws(this.candidateGroups(question, work, now))) {
            const choice = this.chooseAmong(candidates, question, work, now);
            if (choice.kind === "target" && !choice.target.isDeferred) {
                return choice;
            }
            best = isSooner(choice, best) ? choice : best;
        }
        return best;
    }

    private chooseAmong(
        candidates: readonly ServableGroup[],
        question: DispatchQuestion,
        work: EngineWork,
        now: number,
    ): DispatchChoice {
        const options = this.optionsOf(candidates, now);
        const urgent = this.routeTo(options, work, ({ backlog }) => backlog.urgent);
        if (urgent === undefined) {
            return { kind: "none" };
        }
        if (question.isResumed) {
            return { kind: "target", target: this.toTarget(urgent, false) };
        }
        const deferred = this.routeTo(options, work, ({ backlog }) => backlog.all)!;
        // A long prompt takes longer than the objective even on an idle group, so that its excess over a usual
        // prompt is
        // subtracted; otherwise it would never be admitted.
        const { profile, model } = candidates[0]!;
        const ownExcess =
            estimateFirstEvent(profile, model, noLoad, work.promptTokens) -
            estimateFirstEvent(profile, model, noLoad, profile.usualPromptTokens);
        const admission = this.parts.admit({
            urgentMilliseconds: urgent.expectedMilliseconds - ownExcess,
            deferredMilliseconds: deferred.expectedMilliseconds - ownExcess,
            objectiveMilliseconds: question.objectiveAt - now,
            patienceMilliseconds: question.patienceAt - now,
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
                    comeBackMilliseconds: admission.comeBackMilliseconds,
                };
        }
    }

    /**
     * Groups that are not suspected of being stalled: the untried ones that respond, else the untried ones, else
     * all.
     */
    private candidateGroups(
        question: DispatchQuestion,
        work: EngineWork,
        now: number,
    ): readonly ServableGroup[] {
        const { suspicions, records } = this.parts;
        const groups = this.parts.view().groupsOf(question.service, work.model);
        const unsuspected = groups.filter(({ group }) => !suspicions.isSuspect(group.key));
        const untried = unsuspected.filter(({ group }) => !question.tried.has(group.leader!.id));
        const responding = untried.filter(({ group }) => !records.isEjected(group.leader!.id, now));
        return [responding, untried, unsuspected].find(each => each.length > 0) ?? [];
    }

    private optionsOf(candidates: readonly ServableGroup[], now: number): readonly LoadedGroup[] {
        const { flights, suspicions, isConnected } = this.parts;
        return candidates.map(({ group, model, profile }) => ({
            group,
            model,
            profile,
            backlog: flights.backlogOf(group.key, now),
            slowness: suspicions.slownessOf(group.key),
            isConnected: isConnected(group.leader!.id),
        }));
    }

    private routeTo(
        groups: readonly LoadedGroup[],
        { promptTokens }: EngineWork,
        loadOf: (group: LoadedGroup) => EngineLoad,
    ): GroupRoute | undefined {
        const { random, failureDomain } = this.parts;
        const [first] = groups;
        if (first === undefined) {
            return undefined;
        }
        const options = groups.map(group => ({ ...group, load: loadOf(group) }));
        const route = chooseRoute({ profile: first.profile, promptTokens, failureDomain, options, random });
        const offset = this.offsets.of(first.model.name);
        return route && { ...route, expectedMilliseconds: route.expectedMilliseconds + offset };
    }

    /**
     * Yields sets of groups to choose among; the caller stops at the first set with a group that serves the request in
     * time. If all entry instances chose the best of all groups, they would overload the same one. Each prefers a few
     * groups, which also keeps its number of connections low.
     */
    private *draws(groups: readonly ServableGroup[]): Generator<readonly ServableGroup[]> {
        const { random, mostOptions, failureDomain } = this.parts;
        const maximumCount = mostOptions();
        if (groups.length <= maximumCount) {
            yield groups;
            return;
        }
        this.forgetPlaces();
        const preferenceOf = ({ group }: ServableGroup): number => {
            const preference = this.places.get(group.key) ?? random();
            this.places.set(group.key, preference);
            return preference + (group.leader!.failureDomain === failureDomain ? 0 : farPlace);
        };
        const candidates = groups.map(group => ({ group, preference: preferenceOf(group) }));
        const ordered = candidates
            .sort((left, right) => left.preference - right.preference)
            .map(each => each.group);
        yield draw(ordered.splice(0, preferredGroups), maximumCount, random);
        for (let count = 0; count < furtherDraws; count += 1) {
            yield draw(ordered, maximumCount, random);
        }
    }

    private forgetPlaces(): void {
        if (this.places.size > mostPlaces) {
            keepOnlyKeys(this.places, this.parts.view().groups);
        }
    }

    private toTarget({ option, expectedMilliseconds }: GroupRoute, isDeferred: boolean): DispatchTarget {
        return {
            instance: option.group.leader!,
            group: option.group.key,
            model: option.model.name,
            expectedMilliseconds,
            fleetRevision: this.parts.view().fleet.revision,
            isDeferred,
        };
    }

    private chooseInstance(question: DispatchQuestion): DispatchChoice {
        const { clock, records, random, failureDomain } = this.parts;
        const now = clock.monotonicMilliseconds();
        const instances = this.parts.view().instancesOf(question.service);
        const untried = instances.filter(instance => !question.tried.has(instance.id));
        const responding = untried.filter(instance => !records.isEjected(instance.id, now));
        const candidates = [responding, untried, instances].find(each => each.length > 0) ?? [];
        const cost = (instance: FleetInstance): number =>
            records.costOf(instance.id, instance.slots, now) +
            (instance.failureDomain === failureDomain ? 0 : crossDomainCost) +
            0.05 * random();
        const ranked = candidates.map(instance => ({ instance, cost: cost(instance) }));
        const best = ranked.sort((left, right) => left.cost - right.cost)[0];
        if (best === undefined) {
            return { kind: "none" };
        }
        const fleetRevision = this.parts.view().fleet.revision;
        const { instance } = best;
        return {
            kind: "target",
            target: {
                instance,
                group: undefined,
                model: undefined,
                expectedMilliseconds: 0,
                fleetRevision,
                isDeferred: false,
            },
        };
    }
}

/** Returns `count` random items without repetition, or all items if there are fewer. */
function draw<T>(items: readonly T[], count: number, random: () => number): readonly T[] {
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
function isSooner(choice: DispatchChoice, other: DispatchChoice): boolean {
    if (choice.kind === "none" || other.kind === "none") {
        return choice.kind !== "none";
    }
    if (choice.kind !== other.kind) {
        return choice.kind === "target";
    }
    return expectedOf(choice) < expectedOf(other);
}

function expectedOf(choice: Exclude<DispatchChoice, { readonly kind: "none" }>): number {
    return choice.kind === "target" ? choice.target.expectedMilliseconds : choice.expectedMilliseconds;
}
