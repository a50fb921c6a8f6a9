/** The placer daemon's process: node, view, placer and admin port. */
import { distinctUntilChanged, filter, map } from "rxjs";
import type { RunningDaemon } from "../../commands/daemon-commands.js";
import { startAdminServer } from "../../links/admin-servers.js";
import { createEngines } from "../../links/engines.js";
import { startDirectView } from "../direct-views.js";
import { createNode } from "../nodes.js";
import type { Settings } from "../settings.js";
import { startPlacer } from "./placers.js";
import { placementPolicyOf } from "./policies.js";

/** Starts the daemon. */
export async function startPlacerDaemon(settings: Settings): Promise<RunningDaemon> {
    const node = createNode(settings);
    const log = node.logs("placer");
    const engines = createEngines(node.clock);
    const view = startDirectView(node, engines);
    const policies = view.changes.pipe(
        map(() => view.configuration()),
        distinctUntilChanged(),
        map(configuration =>
            configuration === undefined
                ? undefined
                : placementPolicyOf(configuration, view.instances(), settings.failureDomain),
        ),
    );
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
        policy: policies.pipe(filter(policy => policy !== undefined)),
    });
    const admin = await startAdminServer(settings.admin.listen, {
        timeline: node.timeline,
        status: () => ({ process: settings.name, fabricDomains: placer.status() }),
    });
    node.record({ kind: "processStarted" });
    log.info("started", { admin: admin.address });
    return {
        stop: async reason => {
            log.info("stopping", { reason });
            node.record({ kind: "processStopping", reason });
            await placer.stop();
            view.close();
            await admin.close();
            node.close();
        },
    };
}
