/** Feeds the router with what the system view knows: groups, entry processes, load and cache events. */
import { Subscription, auditTime, interval } from "rxjs";
import type { Clock } from "../../contracts/clocks.js";
import type { Engines } from "../../contracts/engines.js";
import type { Instance } from "../../core/instances.js";
import type { ReplicaGroup } from "../../core/replica-groups.js";
import type { RoutedGroup, Router } from "../../core/routes.js";
import { checkServingGate } from "../../core/serving-gates.js";
import type { SystemView } from "../views.js";

/** Shortest time between two looks at the view, in milliseconds. */
const lookMilliseconds = 100;
/** Time between two readings of engines' cache events, in milliseconds. */
const cacheEventMilliseconds = 1_000;
/** Deadline of one reading of cache events, in milliseconds from now. */
const cacheReadMilliseconds = 1_000;

/** What the inputs work with. */
export interface RoutingInputsOptions {
    readonly router: Router;
    readonly view: SystemView;
    readonly engines: Engines;
    readonly clock: Clock;
    readonly entryNames: () => readonly string[];
    /** Called after the router has new knowledge. */
    readonly changed: () => void;
}

/** All groups of the view that may serve at some time. */
export function groupsOf(view: SystemView): readonly ReplicaGroup[] {
    return view.placements().flatMap(placement => placement.groups);
}

/** Returns true if the serving gate of a group is open now. */
export function isGateOpen(group: ReplicaGroup, view: SystemView, now: number): boolean {
    const { healthOf, isLeaving } = view;
    return checkServingGate(group, { healthOf, isLeaving }, now).open;
}

/** Starts the inputs; unsubscribing ends them. */
export function startRoutingInputs(options: RoutingInputsOptions): Subscription {
    const inputs = new Subscription();
    inputs.add(options.view.changes.pipe(auditTime(lookMilliseconds)).subscribe(() => look(options)));
    inputs.add(interval(cacheEventMilliseconds).subscribe(() => readCacheEvents(options)));
    look(options);
    return inputs;
}

function look(options: RoutingInputsOptions): void {
    const { router, view, clock } = options;
    const now = clock.monotonicMilliseconds();
    router.applyGroups(routedGroups(view));
    router.applyEntries(options.entryNames());
    for (const group of groupsOf(view)) {
        const health = view.healthOf(group.members[0]!);
        if (health !== undefined) {
            router.observe(group.id, health.report.load, now, health.report);
        }
    }
    options.changed();
}

function routedGroups(view: SystemView): readonly RoutedGroup[] {
    return groupsOf(view).flatMap(group => {
        const leader = view.instanceOf(group.members[0]!);
        return leader === undefined ? [] : [{ group, failureDomain: leader.failureDomain }];
    });
}

/** Reads the cache events of the groups that this process has sent to lately. */
function readCacheEvents(options: RoutingInputsOptions): void {
    for (const group of groupsOf(options.view)) {
        const leader = options.view.instanceOf(group.members[0]!);
        if (leader !== undefined && options.router.inFlightAt(group.id) > 0) {
            void readCacheEventsOf(options, group, leader);
        }
    }
}

async function readCacheEventsOf(
    options: RoutingInputsOptions,
    group: ReplicaGroup,
    leader: Instance,
): Promise<void> {
    const { router, engines, clock } = options;
    const deadline = clock.monotonicMilliseconds() + cacheReadMilliseconds;
    const events = await engines.cacheEvents(leader, router.cacheSequenceOf(group.id), deadline);
    if (events.success) {
        router.applyCacheEvents(group.id, events.data, clock.monotonicMilliseconds());
    }
}
