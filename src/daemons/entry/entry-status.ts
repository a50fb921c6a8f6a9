/** Status document of an entry process. */
import type { InstanceId } from "../../core/instances.js";
import { checkServingGate } from "../../core/serving-gate.js";
import type { DaemonNode } from "../node.js";
import type { Readiness } from "./caller-handler.js";
import type { EntryContext } from "./entry-context.js";
import { groupsOf } from "./routing-inputs.js";

interface GroupStatus {
    readonly members: readonly InstanceId[];
    readonly gate: ReturnType<typeof checkServingGate>;
}

/** Returns the body of `GET /status`, which contains no secrets. */
export function entryStatus(node: DaemonNode, context: EntryContext, readiness: Readiness): unknown {
    const { view, admission, router, loop } = context;
    const mesh = view.mesh.status();
    const groups = groupStatuses(node, context);
    const teams = [...(view.configuration()?.teams.keys() ?? [])];
    return {
        process: node.settings.name,
        instance: node.settings.instance,
        failureDomain: node.settings.failureDomain,
        readiness,
        configurationRevision: mesh.configuration.revisionInForce,
        configurationAgeMilliseconds: mesh.configuration.confirmedAgeMilliseconds,
        rejections: mesh.configuration.rejections,
        requests: {
            active: loop.activeRequestCount,
            queued: admission.queued,
            started: admission.started,
            sent: router.inFlight,
        },
        queuedByTeam: Object.fromEntries(teams.map(team => [team, admission.queuedCountOf(team)])),
        strandedInstances: findStrandedInstances(context, groups),
        groups,
        mesh,
    };
}

function groupStatuses(node: DaemonNode, { view, router }: EntryContext): readonly GroupStatus[] {
    const now = node.clock.monotonicMilliseconds();
    const { healthOf, isLeaving } = view;
    return groupsOf(view).map(group => {
        const { id, epoch, state, members, fabricDomain } = group;
        const gate = checkServingGate(group, { healthOf, isLeaving }, now);
        const { model, version } = group.model;
        return {
            id,
            model,
            version,
            fabricDomain,
            epoch,
            state,
            members,
            gate,
            inFlight: router.inFlightAt(id),
        };
    });
}

/** Returns the engine instances that belong to no group with an open serving gate. */
function findStrandedInstances(
    { view }: EntryContext,
    groups: readonly GroupStatus[],
): readonly InstanceId[] {
    const serving = new Set(groups.filter(group => group.gate.open).flatMap(group => group.members));
    return view
        .instances()
        .filter(instance => instance.role === "engine" && !serving.has(instance.id))
        .map(instance => instance.id);
}
