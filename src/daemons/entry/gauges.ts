/** Reports the gauges of an entry process to the metrics server once a second. */
import type { Subscription } from "rxjs";
import { interval } from "rxjs";
import type { Node } from "../nodes.js";
import type { EntryParts } from "./entry-parts.js";
import { groupsOf, isGateOpen } from "./routing-inputs.js";

const gaugeMilliseconds = 1_000;

/** Starts reporting; unsubscribing stops it. */
export function startGauges(node: Node, parts: EntryParts): Subscription {
    let previousBytes = 0;
    return interval(gaugeMilliseconds).subscribe(() => {
        const { metrics } = node;
        const now = node.clock.monotonicMilliseconds();
        const { configuration, peerBytes } = parts.view.mesh.status();
        const bytes = peerBytes.sent + peerBytes.received;
        metrics.gauge("chervil.queue.length", parts.admission.queued);
        metrics.gauge("chervil.configuration.revision", configuration.revisionInForce);
        metrics.gauge("chervil.configuration.rejected", configuration.rejections.length);
        metrics.gauge(
            "chervil.groups.serving",
            groupsOf(parts.view).filter(group => isGateOpen(group, parts.view, now)).length,
        );
        metrics.count("chervil.peer.bytes", bytes - previousBytes);
        previousBytes = bytes;
    });
}
