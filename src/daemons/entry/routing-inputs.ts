/** Feeds the router from the system view: replica groups, entry processes, load reports and cache events. */
import { Subscription, auditTime, interval } from "rxjs";
import type { Clock } from "../../contracts/clocks.js";
import type { Engines } from "../../contracts/engines.js";
import type { Instance } from "../../core/instances.js";
import type { ReplicaGroup } from "../../core/replica-groups.js";
import type { RoutedGroup, Router } from "../../core/router.js";
import { checkServingGate } from "../../core/serving-gate.js";
import type { SystemView } from "../system-view.js";

/** Minimum interval between two updates of the router from the view, in milliseconds. */
const updateIntervalMilliseconds = 100;
/** Interval at which engines' cache events are read, in milliseconds. */
const cacheEventIntervalMilliseconds = 1_000;
/** Time-out of one read of cache events, in milliseconds. */
const cacheReadTimeoutMilliseconds = 1_000;

/** Dependencies of the routing inputs. */
export interface RoutingInputsOptions {
    readonly router: Router;
    readonly view: SystemView;
    readonly engines: Engines;
    readonly clock: Clock;
    readonly entryNames: () => readonly string[];
    /** Called after each update of the router. */
    readonly onUpdate: () => void;
}

/** Returns the replica groups of all placements in the view, whether or not they can serve now. */
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
    inputs.add(
        options.view.changes
            .pipe(auditTime(updateIntervalMilliseconds))
            .subscribe(() => updateRouter(options)),
    );
    inputs.add(interval(cacheEventIntervalMilliseconds).subscribe(() => readCacheEvents(options)));
    updateRouter(options);
    return inputs;
}

function updateRouter(options: RoutingInputsOptions): void {
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
    options.onUpdate();
}

function routedGroups(view: SystemView): readonly RoutedGroup[] {
    return groupsOf(view).flatMap(group => {
        const leader = view.instanceOf(group.members[0]!);
        return leader === undefined ? [] : [{ group, failureDomain: leader.failureDomain }];
    });
}

/** Reads the cache events of the groups at which this process has requests in flight. */
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
    const deadline = clock.monotonicMilliseconds() + cacheReadTimeoutMilliseconds;
    const events = await engines.cacheEvents(leader, router.cacheSequenceOf(group.id), deadline);
    if (events.success) {
        router.applyCacheEvents(group.id, events.data, clock.monotonicMilliseconds());
    }
}
