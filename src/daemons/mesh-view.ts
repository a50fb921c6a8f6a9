/** System view of a daemon that is a member of the mesh. */
import { BehaviorSubject, Observable, Subject, auditTime, merge, mergeMap } from "rxjs";
import type { Engines } from "../contracts/engines.js";
import type { EndpointHealth } from "../core/endpoints.js";
import type { Instance, InstanceId } from "../core/instances.js";
import type { MemberRole } from "../core/mesh-messages.js";
import type { PlacementEntry } from "../core/mesh-values.js";
import type { FabricPlacement } from "../core/fabric-placement.js";
import { safeParseFabricPlacement } from "../core/fabric-placement.js";
import { followInstances } from "../links/instance-list.js";
import type { Mesh } from "./mesh.js";
import { startMesh } from "./mesh.js";
import type { DaemonNode } from "./node.js";
import type { PeerEvidence, PeerUsage, SystemView } from "./system-view.js";

/** Minimum interval between checks of the health of all endpoints, in milliseconds. */
const healthCheckIntervalMilliseconds = 50;

/** A system view with the streams on which a daemon bases its decisions. */
export interface MeshView extends SystemView {
    readonly mesh: Mesh;
    readonly instanceLists: Observable<readonly Instance[]>;
    /** Emits each new report of each endpoint. */
    readonly reports: Observable<EndpointHealth>;
    readonly usages: Observable<PeerUsage>;
    readonly crashEvidence: Observable<PeerEvidence>;
    readonly close: () => void;
}

/** Joins the mesh and keeps a system view up to date with it. */
export async function startMeshView(
    node: DaemonNode,
    role: MemberRole,
    engines: Pick<Engines, "probe">,
): Promise<MeshView> {
    const instanceLists = new BehaviorSubject<readonly Instance[]>([]);
    const following = followInstances({
        store: node.store,
        clock: node.clock,
        onFault: fault => node.record({ kind: "storeFailed", code: fault.code }),
    }).subscribe(instanceLists);
    const mesh = await startMesh({
        settings: node.settings,
        role,
        store: node.store,
        probe: engines.probe,
        instances: instanceLists,
        clock: node.clock,
        random: Math.random,
        recordEvent: node.record,
    });
    const current = { placements: [] as readonly FabricPlacement[], byId: new Map<InstanceId, Instance>() };
    const changes = new Subject<unknown>();
    const inputs = merge(mesh.configuration, mesh.healthChanges, mesh.placements, instanceLists).subscribe(
        changes,
    );
    inputs.add(mesh.placements.subscribe(entries => (current.placements = parsePlacements(entries))));
    inputs.add(
        instanceLists.subscribe(
            list => (current.byId = new Map(list.map(instance => [instance.id, instance]))),
        ),
    );
    return {
        mesh,
        configuration: () => (mesh.isReady() ? mesh.currentConfiguration() : undefined),
        instances: mesh.instances,
        instanceOf: id => current.byId.get(id),
        isLeaving: mesh.isLeaving,
        healthOf: mesh.health,
        placements: () => current.placements,
        changes,
        instanceLists,
        reports: observeNewReports(mesh),
        usages: mesh.usages.pipe(mergeMap(usages => usages)),
        crashEvidence: mesh.crashEvidence.pipe(mergeMap(evidence => evidence)),
        close: () => {
            inputs.unsubscribe();
            following.unsubscribe();
        },
    };
}

function parsePlacements(entries: readonly PlacementEntry[]): readonly FabricPlacement[] {
    return entries.flatMap(({ text }) => {
        const parsed = text === undefined ? undefined : safeParseFabricPlacement(text);
        return parsed?.success === true ? [parsed.data] : [];
    });
}

/** Emits the health of an endpoint whenever its report is later than the previously emitted one. */
function observeNewReports(mesh: Mesh): Observable<EndpointHealth> {
    return new Observable(subscriber => {
        const emitted = new Map<InstanceId, EndpointHealth>();
        const emitNewReports = (): void => {
            for (const { id } of mesh.instances()) {
                const health = mesh.health(id);
                if (health !== undefined && health.healthyUntil !== emitted.get(id)?.healthyUntil) {
                    emitted.set(id, health);
                    subscriber.next(health);
                }
            }
        };
        return mesh.healthChanges.pipe(auditTime(healthCheckIntervalMilliseconds)).subscribe(emitNewReports);
    });
}
