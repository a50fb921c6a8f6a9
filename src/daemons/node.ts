/** Components that every daemon process has: settings, clock, logs, metrics, timeline and the key-value service. */
import type { Clock } from "../contracts/clocks.js";
import type { KeyValueStore } from "../contracts/key-value-stores.js";
import type { RecordEvent } from "../core/events.js";
import { HybridClock } from "../core/hybrid-clock.js";
import { Timeline } from "../core/timeline.js";
import { systemClock } from "../links/system-clock.js";
import { createKeyValueStore } from "../links/key-value-store.js";
import type { Logs } from "../links/logs.js";
import { createLogs } from "../links/logs.js";
import type { Metrics } from "../links/metrics.js";
import { createMetrics } from "../links/metrics.js";
import type { Settings } from "./settings.js";

/** Maximum number of events that a process keeps for its timeline. */
const timelineCapacity = 20_000;

/** Components of one daemon process. */
export interface DaemonNode {
    readonly settings: Settings;
    readonly clock: Clock;
    readonly logs: Logs;
    readonly metrics: Metrics;
    readonly timeline: Timeline;
    readonly record: RecordEvent;
    readonly store: KeyValueStore;
    /** Closes the connections to the key-value service and the metrics' socket. */
    readonly close: () => void;
}

/** Creates the components; opens no port and no connection. */
export function createNode(settings: Settings): DaemonNode {
    const clock = systemClock;
    const timeline = Timeline.create({
        process: settings.name,
        failureDomain: settings.failureDomain,
        clock: HybridClock.create(clock.wallMilliseconds),
        capacity: timelineCapacity,
    });
    const store = createKeyValueStore({ addresses: settings.platform.stores, process: settings.name, clock });
    const metrics = createMetrics(settings.metrics?.statsd, settings.name);
    return {
        settings,
        clock,
        logs: createLogs(settings.name, settings.log.level),
        metrics,
        timeline,
        record: body => void timeline.record(body),
        store,
        close: () => {
            store.close();
            metrics.close();
        },
    };
}
