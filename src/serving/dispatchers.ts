/** Chooses the replica for the next attempt of a request. */
import type { Clock } from "../contracts/clocks.js";
import type { FleetInstance } from "./fleets.js";
import type { FleetView } from "./fleet-views.js";
import type { GroupFlights } from "./group-flights.js";
import { chooseRoute } from "./group-routes.js";
import type { GroupSuspicions } from "./group-suspicions.js";
import type { ReplicaRecords } from "./replica-records.js";
import type { EngineWork } from "./wire.js";

/** Where an attempt goes. */
export interface DispatchTarget {
    readonly instance: FleetInstance;
    /** Key of the replica group; undefined at plain services. */
    readonly group: string | undefined;
    /** Expected time to the first byte of the answer, in milliseconds. */
    readonly expectedMilliseconds: number;
    /** Store revision of the registrations that the choice rests on. */
    readonly fleetRevision: number;
}

export interface DispatchQuestion {
    readonly service: string;
    readonly work: EngineWork | undefined;
    /** Instances that this request has tried already. */
    readonly tried: ReadonlySet<string>;
}

export interface DispatcherParts {
    readonly clock: Clock;
    readonly random: () => number;
    readonly failureDomain: string;
    readonly view: () => FleetView;
    readonly flights: GroupFlights;
    readonly suspicions: GroupSuspicions;
    readonly records: ReplicaRecords;
}

/** Extra cost of a plain replica in another failure domain, as a part of its slots. */
const crossDomainCost = 0.15;

export class Dispatcher {
    private constructor(private readonly parts: DispatcherParts) {}

    public static create(parts: DispatcherParts): Dispatcher {
        return new Dispatcher(parts);
    }

    /** Returns the replica to try next; undefined if no replica can take the request now. */
    public choose(question: DispatchQuestion): DispatchTarget | undefined {
        const { work } = question;
        return work === undefined ? this.chooseInstance(question) : this.chooseGroup(question, work);
    }

    private chooseGroup(question: DispatchQuestion, work: EngineWork): DispatchTarget | undefined {
        const { clock, flights, suspicions, records, random, failureDomain } = this.parts;
        const now = clock.monotonicMilliseconds();
        const groups = this.parts.view().groupsOf(question.service, work.model);
        const sound = groups.filter(({ group }) => !suspicions.isSuspect(group.key));
        const untried = sound.filter(({ group }) => !question.tried.has(group.leader!.id));
        const answering = untried.filter(({ group }) => !records.isEjected(group.leader!.id, now));
        const candidates = [answering, untried, sound].find(each => each.length > 0);
        const first = candidates?.[0];
        if (candidates === undefined || first === undefined) {
            return undefined;
        }
        const options = candidates.map(({ group, model }) => ({
            group,
            model,
            load: flights.loadOf(group.key, now),
            slowness: suspicions.slownessOf(group.key),
        }));
        const { profile } = first;
        const { promptTokens } = work;
        const route = chooseRoute({ profile, promptTokens, failureDomain, options, random });
        return (
            route && {
                instance: route.option.group.leader!,
                group: route.option.group.key,
                expectedMilliseconds: route.expectedMilliseconds,
                fleetRevision: this.parts.view().fleet.revision,
            }
        );
    }

    private chooseInstance(question: DispatchQuestion): DispatchTarget | undefined {
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
        const fleetRevision = this.parts.view().fleet.revision;
        return best && { instance: best.instance, group: undefined, expectedMilliseconds: 0, fleetRevision };
    }
}
