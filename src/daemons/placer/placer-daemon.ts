/** Starts the placer daemon: its common components, mesh, placer and admin port. */
import { auditTime, distinctUntilChanged, filter, map } from "rxjs";
import type { Observable } from "rxjs";
import type { RunningDaemon } from "../../commands/daemon-command.js";
import type { PlacementPolicy } from "../../core/placement-policy.js";
import { startAdminServer } from "../../links/admin-server.js";
import { createEngines } from "../../links/engines.js";
import type { MeshView } from "../mesh-view.js";
import { startMeshView } from "../mesh-view.js";
import { createNode } from "../node.js";
import type { Settings } from "../settings.js";
import { startPlacer } from "./placer.js";
import { createPlacementPolicy } from "./placement-policy.js";

/** Minimum interval between checks of the configuration and the instance list, in milliseconds. */
const policyCheckIntervalMilliseconds = 100;

/** Starts the daemon; throws a ChervilError if a port cannot be opened. */
export async function startPlacerDaemon(settings: Settings): Promise<RunningDaemon> {
    const node = createNode(settings);
    const log = node.logs("placer");
    const engines = createEngines(node.clock);
    const view = await startMeshView(node, "placer", engines);
    const placer = startPlacer({
        store: node.store,
        engines,
        clock: node.clock,
        record: node.record,
        instance: settings.instance,
        failureDomain: settings.failureDomain,
        random: Math.random,
        instances: view.instanceLists,
        health: view.reports,
        policy: observePolicies(view, settings),
    });
    const admin = await startAdminServer(settings.admin.listen, {
        timeline: node.timeline,
        status: () => ({
            process: settings.name,
            failureDomain: settings.failureDomain,
            fabricDomains: placer.status(),
            mesh: view.mesh.status(),
        }),
    });
    node.record({ kind: "processStarted" });
    log.info("started", { admin: admin.address });
    return {
        stop: async reason => {
            log.info("releasing leases", { reason });
            node.record({ kind: "processStopping", reason });
            view.mesh.startLeaving();
            await placer.stop();
            view.close();
            await view.mesh.leave();
            await admin.close();
            node.close();
        },
    };
}

/**
 * Emits the policy in force, and again whenever a change of the configuration or of the instance list changes the
 * policy.
 */
function observePolicies(view: MeshView, settings: Settings): Observable<PlacementPolicy> {
    return view.changes.pipe(
        auditTime(policyCheckIntervalMilliseconds),
        map(() => view.configuration()),
        filter(configuration => configuration !== undefined),
        map(configuration => createPlacementPolicy(configuration, view.instances(), settings.failureDomain)),
        distinctUntilChanged((left, right) => JSON.stringify(left) === JSON.stringify(right)),
    );
}
