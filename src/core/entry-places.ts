/** The replica group that holds one request's stream: chosen by the router, and released exactly once. */
import type { EntryOptions } from "./entry-commands.js";
import type { Instance, InstanceId } from "./instances.js";
import type { ReplicaGroup, ReplicaGroupId } from "./replica-groups.js";
import type { RouteRequest } from "./routes.js";

/** A group and the instance that takes its requests. */
export interface ChosenPlace {
    readonly group: ReplicaGroup;
    readonly leader: Instance;
}

/** How a dispatch ended, as the router counts it. */
export type PlaceOutcome = "finished" | "failed" | "abandoned";

/** The place of one request; at most one group at a time. */
export class EntryPlace {
    private chosen: ChosenPlace | undefined;
    /** The last leader, also after its group was released. */
    private lastLeader: Instance | undefined;
    private avoided: ReplicaGroupId | undefined;

    private constructor(
        private readonly options: Pick<EntryOptions, "router" | "instanceOf" | "missingMember">,
    ) {}

    public static create(options: Pick<EntryOptions, "router" | "instanceOf" | "missingMember">): EntryPlace {
        return new EntryPlace(options);
    }

    public get current(): ChosenPlace | undefined {
        return this.chosen;
    }

    public get leader(): Instance | undefined {
        return this.lastLeader;
    }

    /** Chooses a group with an open gate; the one that was released last only if there is no other. */
    public choose(route: RouteRequest, now: number): ChosenPlace | undefined {
        const { router, instanceOf } = this.options;
        const excluded = this.avoided === undefined ? [] : [this.avoided];
        const other = router.choose({ ...route, excluded }, now);
        const result = other.success ? other : router.choose(route, now);
        if (!result.success) {
            return undefined;
        }
        const { group } = result.data;
        const leader = instanceOf(group.members[0]!);
        return leader === undefined ? undefined : { group, leader };
    }

    /** Notes that the request was sent to a group. */
    public take(place: ChosenPlace, route: RouteRequest, now: number): void {
        this.chosen = place;
        this.lastLeader = place.leader;
        this.options.router.dispatched(route, place.group.id, now);
    }

    /** Ends the dispatch; does nothing if there is none. */
    public release(request: string, outcome: PlaceOutcome, now: number): void {
        if (this.chosen !== undefined) {
            this.options.router[outcome](request, now);
            this.avoided = this.chosen.group.id;
            this.chosen = undefined;
        }
    }

    /** A member of the group that is missing past its health deadline. */
    public missingMember(now: number): InstanceId | undefined {
        return this.chosen === undefined ? undefined : this.options.missingMember(this.chosen.group, now);
    }
}
