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

/** Where an attempt goes. */
export interface DispatchTarget {
    readonly instance: FleetInstance;
    /** Key of the replica group; undefined at plain services. */
    readonly group: string | undefined;
    /** Model that the group serves; undefined at plain services. */
    readonly model: string | undefined;
    /** Expected time to the first byte of the answer, in milliseconds. */
    readonly expectedMilliseconds: number;
    /** Store revision of the registrations that the choice rests on. */
    readonly fleetRevision: number;
    /** True if the request waits there behind those that can still be in time. */
    readonly isDeferred: boolean;
}

export type DispatchChoice =
    | { readonly kind: "target"; readonly target: DispatchTarget }
    /** All groups have more work than this request's caller would wait for. */
    | {
          readonly kind: "overloaded";
          readonly expectedMilliseconds: number;
          readonly comeBackMilliseconds: number;
      }
    /** There is no replica that could take the request. */
    | { readonly kind: "none" };

export interface DispatchQuestion {
    readonly service: string;
    readonly work: EngineWork | undefined;
    /** Instances that this request has tried already. */
    readonly tried: ReadonlySet<string>;
    /** Local monotonic milliseconds until which a first event is in time. */
    readonly objectiveAt: number;
    /** Local monotonic milliseconds until which the caller waits for a first event. */
    readonly patienceAt: number;
    /** True if the caller is already reading the stream, so that it goes before all others. */
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
    /** Most groups among which one request chooses; few where what others send is known late. */
    readonly mostOptions: () => number;
    /** True if a kept connection to an instance waits for a request. */
    readonly isConnected: (instance: string) => boolean;
    /** Decides on requests to replica groups. */
    readonly admit: (facts: AdmissionFacts) => Admission;
}

/** A group that may take a request, with all that is known to be there. */
interface LoadedGroup extends ServableGroup, Pick<GroupOption, "slowness" | "isConnected"> {
    readonly backlog: GroupBacklog;
}

const noLoad: EngineLoad = { requests: 0, unreadTokens: 0 };

/** Groups of a model that an entry instance prefers where there are many. */
const preferredGroups = 4;
/** Draws among all other groups before a request is deferred or refused. */
const furtherDraws = 2;
/** Places that are kept before those of ended groups are dropped. */
const mostPlaces = 500;
/** What distance adds to a group's place, from 0 to 1, in the order of preference. */
const farPlace = 0.5;

/** Extra cost of a plain replica in another failure domain, as a part of its slots. */
const crossDomainCost = 0.15;

export class Dispatcher {
    private readonly offsets = FirstEventOffsets.create();
    /** This process's order of preference, by group key. */
    private readonly places = new Map<string, number>();

    private constructor(private readonly parts: DispatcherParts) {}

    public static create(parts: DispatcherParts): Dispatcher {
        return new Dispatcher(parts);
    }

    /** Chooses the replica to try next. */
    public choose(question: DispatchQuestion): DispatchChoice {
        const { work } = question;
        return work === undefined ? this.chooseInstance(question) : this.chooseGroup(question, work);
    }

    /** Notes that the first event of a stream came `tookMilliseconds` after its send. */
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
        // Long prompts take as long as they take: they are admitted like usual ones, or they would never be.
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

    /** Groups that are not known to stand still, those first that this request has not tried and that answer. */
    private candidateGroups(
        question: DispatchQuestion,
        work: EngineWork,
        now: number,
    ): readonly ServableGroup[] {
        const { suspicions, records } = this.parts;
        const groups = this.parts.view().groupsOf(question.service, work.model);
        const sound = groups.filter(({ group }) => !suspicions.isSuspect(group.key));
        const untried = sound.filter(({ group }) => !question.tried.has(group.leader!.id));
        const answering = untried.filter(({ group }) => !records.isEjected(group.leader!.id, now));
        return [answering, untried, sound].find(each => each.length > 0) ?? [];
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
     * Sets of groups to choose among, one after the other until one can take the request in time. Entry instances that
     * all chose the best of all would all choose the same; each keeps to a few groups, so that it keeps few connections.
     */
    private *draws(groups: readonly ServableGroup[]): Generator<readonly ServableGroup[]> {
        const { random, mostOptions, failureDomain } = this.parts;
        const most = mostOptions();
        if (groups.length <= most) {
            yield groups;
            return;
        }
        this.forgetPlaces();
        const placeOf = ({ group }: ServableGroup): number => {
            const place = this.places.get(group.key) ?? random();
            this.places.set(group.key, place);
            return place + (group.leader!.failureDomain === failureDomain ? 0 : farPlace);
        };
        const placed = groups.map(group => ({ group, place: placeOf(group) }));
        const preferred = placed.sort((left, right) => left.place - right.place).map(each => each.group);
        yield draw(preferred.splice(0, preferredGroups), most, random);
        for (let further = 0; further < furtherDraws; further += 1) {
            yield draw(preferred, most, random);
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
        const answering = untried.filter(instance => !records.isEjected(instance.id, now));
        const candidates = [answering, untried, instances].find(each => each.length > 0) ?? [];
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

/** Returns `count` of the items at random, or all if there are fewer. */
function draw<T>(items: readonly T[], count: number, random: () => number): readonly T[] {
    const left = [...items];
    const taken = Math.min(count, left.length);
    return Array.from({ length: taken }, () => left.splice(Math.floor(random() * left.length), 1)[0]!);
}

/** True if `choice` serves a request sooner than `other`. */
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
