/** The replica group that holds one request's stream. The router chooses it, and it is released exactly once. */
import type { EntryOptions } from "./entry-commands.js";
import type { Instance, InstanceId } from "./instances.js";
import type { ReplicaGroup, ReplicaGroupId } from "./replica-groups.js";
import type { RouteRequest } from "./router.js";

/** A replica group and its leader, the instance that accepts its requests. */
export interface ReplicaChoice {
    readonly group: ReplicaGroup;
    readonly leader: Instance;
}

/** Outcome of a dispatch, as reported to the router. */
export type DispatchOutcome = "finished" | "failed" | "abandoned";

/** The replica group of one request; at most one group at a time. */
export class ReplicaAssignment {
    private chosen: ReplicaChoice | undefined;
    /** Leader of the current group or, after its release, of the last one. */
    private lastLeader: Instance | undefined;
    private lastReleasedGroup: ReplicaGroupId | undefined;

    private constructor(
        private readonly options: Pick<EntryOptions, "router" | "instanceOf" | "missingMember">,
    ) {}

    public static create(
        options: Pick<EntryOptions, "router" | "instanceOf" | "missingMember">,
    ): ReplicaAssignment {
        return new ReplicaAssignment(options);
    }

    public get current(): ReplicaChoice | undefined {
        return this.chosen;
    }

    public get leader(): Instance | undefined {
        return this.lastLeader;
    }

    /** Chooses a group whose serving gate is open. The last released group is chosen only if there is no other. */
    public choose(route: RouteRequest, now: number): ReplicaChoice | undefined {
        const { router, instanceOf } = this.options;
        const excluded = this.lastReleasedGroup === undefined ? [] : [this.lastReleasedGroup];
        const other = router.choose({ ...route, excluded }, now);
        const result = other.success ? other : router.choose(route, now);
        if (!result.success) {
            return undefined;
        }
        const { group } = result.data;
        const leader = instanceOf(group.members[0]!);
        return leader === undefined ? undefined : { group, leader };
    }

    /** Records that the request was dispatched to a group. */
    public recordDispatch(place: ReplicaChoice, route: RouteRequest, now: number): void {
        this.chosen = place;
        this.lastLeader = place.leader;
        this.options.router.dispatched(route, place.group.id, now);
    }

    /** Ends the dispatch, if there is one, and reports its outcome to the router. */
    public release(request: string, outcome: DispatchOutcome, now: number): void {
        if (this.chosen !== undefined) {
            this.options.router[outcome](request, now);
            this.lastReleasedGroup = this.chosen.group.id;
            this.chosen = undefined;
        }
    }

    /** Returns a member of the current group that is missing past its health deadline. */
    public findMissingMember(now: number): InstanceId | undefined {
        return this.chosen === undefined ? undefined : this.options.missingMember(this.chosen.group, now);
    }
}
