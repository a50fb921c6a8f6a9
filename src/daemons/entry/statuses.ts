/** The status page of an entry process. */
import { checkServingGate } from "../../core/serving-gates.js";
import type { Node } from "../nodes.js";
import type { Readiness } from "./caller-handlers.js";
import type { EntryParts } from "./entries.js";
import { groupsOf } from "./routing-inputs.js";

/** What `GET /status` shows; no secret is in it. */
export function entryStatus(node: Node, parts: EntryParts, readiness: Readiness): unknown {
    const { view, admission, router, loop } = parts;
    const configuration = view.configuration();
    const now = node.clock.monotonicMilliseconds();
    const { healthOf, isLeaving } = view;
    return {
        process: node.settings.name,
        instance: node.settings.instance,
        failureDomain: node.settings.failureDomain,
        readiness,
        configurationRevision: configuration?.revision ?? 0,
        requests: {
            active: loop.size,
            queued: admission.queued,
            started: admission.started,
            sent: router.inFlight,
        },
        queuedByTeam: Object.fromEntries(
            [...(configuration?.teams.keys() ?? [])].map(team => [team, admission.queuedOf(team)]),
        ),
        groups: groupsOf(view).map(group => {
            const gate = checkServingGate(group, { healthOf, isLeaving }, now);
            const { id, epoch, state, members, fabricDomain } = group;
            const model = group.model.model;
            return { id, model, fabricDomain, epoch, state, members, gate, inFlight: router.inFlightAt(id) };
        }),
    };
}
