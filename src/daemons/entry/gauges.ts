/** Reports the gauges of an entry process to the metrics server once a second. */
import type { Subscription } from "rxjs";
import { interval } from "rxjs";
import type { DaemonNode } from "../node.js";
import type { EntryContext } from "./entry-context.js";
import { groupsOf, isGateOpen } from "./routing-inputs.js";

const gaugeIntervalMilliseconds = 1_000;

/** Starts reporting; unsubscribing stops it. */
export function startGauges(node: DaemonNode, context: EntryContext): Subscription {
    let previousBytes = 0;
    return interval(gaugeIntervalMilliseconds).subscribe(() => {
        const { metrics } = node;
        const now = node.clock.monotonicMilliseconds();
        const { configuration, peerBytes } = context.view.mesh.status();
        const bytes = peerBytes.sent + peerBytes.received;
        metrics.gauge("chervil.queue.length", context.admission.queued);
        metrics.gauge("chervil.configuration.revision", configuration.revisionInForce);
        metrics.gauge("chervil.configuration.rejected", configuration.rejections.length);
        metrics.gauge(
            "chervil.groups.serving",
            groupsOf(context.view).filter(group => isGateOpen(group, context.view, now)).length,
        );
        metrics.count("chervil.peer.bytes", bytes - previousBytes);
        previousBytes = bytes;
    });
}
