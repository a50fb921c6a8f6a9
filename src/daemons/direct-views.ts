/**
 * A system view without peers: every process watches the store and probes every endpoint itself. It is the baseline that
 * the mesh is measured against, for its cost grows with processes times endpoints.
 */
import { Subject, Subscription, defer, interval, repeat, takeWhile } from "rxjs";
import type { Observable } from "rxjs";
import type { Engines } from "../contracts/engines.js";
import type { ReadAnswer, WatchEvent } from "../contracts/key-value-stores.js";
import { configurationPrefix } from "../core/configuration-values.js";
import { ConfigurationFollower } from "../core/configurations.js";
import type { EndpointHealth } from "../core/endpoints.js";
import { isLaterReport } from "../core/endpoints.js";
import type { Instance, InstanceId } from "../core/instances.js";
import type { FabricPlacement } from "../core/placement-values.js";
import { placementPrefix, safeParseFabricPlacement } from "../core/placement-values.js";
import { followInstances } from "../links/instance-lists.js";
import type { Node } from "./nodes.js";
import type { SystemView } from "./views.js";

const probeMilliseconds = 1_000;
const readMilliseconds = 2_000;
const retryMilliseconds = 500;

/** A view with its inputs. */
export interface DirectView extends SystemView {
    readonly instanceLists: Observable<readonly Instance[]>;
    readonly reports: Observable<EndpointHealth>;
    readonly close: () => void;
}

/** Starts to follow the store and to probe. */
export function startDirectView(node: Node, engines: Pick<Engines, "probe">): DirectView {
    const follower = ConfigurationFollower.create();
    const placements = new Map<string, FabricPlacement>();
    const health = new Map<InstanceId, EndpointHealth>();
    const changes = new Subject<unknown>();
    const instanceLists = new Subject<readonly Instance[]>();
    const reports = new Subject<EndpointHealth>();
    let instances: readonly Instance[] = [];
    const inputs = new Subscription();
    const takePlacements = (entries: ReadAnswer["entries"]): void => {
        for (const entry of entries) {
            const parsed = safeParseFabricPlacement(entry.value);
            if (parsed.success) {
                placements.set(entry.key, parsed.data);
            }
        }
    };
    const take = (apply: () => unknown): void => {
        apply();
        changes.next(undefined);
    };
    inputs.add(
        followPrefix(node, configurationPrefix, event =>
            take(() =>
                event.kind === "snapshot" ? follower.applySnapshot(event.answer) : follower.applyWatch(event),
            ),
        ),
    );
    inputs.add(
        followPrefix(node, placementPrefix, event =>
            take(() => {
                if (event.kind === "snapshot") {
                    takePlacements(event.answer.entries);
                } else if (event.kind === "changes") {
                    takePlacements(event.puts);
                }
            }),
        ),
    );
    inputs.add(
        followInstances({ store: node.store, clock: node.clock }).subscribe(list => {
            instances = list;
            instanceLists.next(list);
            changes.next(undefined);
        }),
    );
    const probe = async (instance: Instance): Promise<void> => {
        const sentAt = node.clock.monotonicMilliseconds();
        const healthMilliseconds = follower.configuration.placement.healthMilliseconds;
        const report = await engines.probe(instance, sentAt + probeMilliseconds);
        if (report.success && isLaterReport(report.data, health.get(instance.id)?.report)) {
            const next = { report: report.data, healthyUntil: sentAt + healthMilliseconds };
            health.set(instance.id, next);
            reports.next(next);
            changes.next(undefined);
        }
    };
    inputs.add(
        interval(probeMilliseconds).subscribe(() => {
            instances.filter(instance => instance.role !== "entry").forEach(instance => void probe(instance));
        }),
    );
    return {
        configuration: () => (follower.revisionInForce > 0 ? follower.configuration : undefined),
        instances: () => instances,
        instanceOf: id => instances.find(instance => instance.id === id),
        isLeaving: id => instances.find(instance => instance.id === id)?.state === "leaving",
        healthOf: id => health.get(id),
        placements: () => [...placements.values()],
        changes,
        instanceLists,
        reports,
        close: () => inputs.unsubscribe(),
    };
}

type PrefixEvent = WatchEvent | { readonly kind: "snapshot"; readonly answer: ReadAnswer };

/** Snapshot, then watch, then again after each gap. */
function followPrefix(node: Node, prefix: string, take: (event: PrefixEvent) => void): Subscription {
    const follow = defer(async () => {
        const deadline = node.clock.monotonicMilliseconds() + readMilliseconds;
        const read = await node.store.list(prefix, { deadline, priority: "configuration" });
        if (read.success) {
            take({ kind: "snapshot", answer: read.data });
            await watchUntilGap(node, prefix, read.data.revision + 1, take);
        }
    });
    return follow.pipe(repeat({ delay: retryMilliseconds })).subscribe();
}

function watchUntilGap(
    node: Node,
    prefix: string,
    fromRevision: number,
    take: (event: PrefixEvent) => void,
): Promise<void> {
    return new Promise(resolve => {
        node.store
            .watch(prefix, fromRevision)
            .pipe(takeWhile(event => event.kind !== "gap"))
            .subscribe({ next: take, complete: resolve, error: () => resolve() });
    });
}
