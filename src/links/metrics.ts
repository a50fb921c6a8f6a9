/** Metrics over StatsD by hot-shots; `metricNames` lists every name and its unit. */
import { StatsD } from "hot-shots";

/** Names of all metrics with their kind and unit. */
export const metricNames = {
    "chervil.request.received": "counter, requests",
    "chervil.request.refused": "counter, requests, tagged by code",
    "chervil.request.completed": "counter, requests",
    "chervil.request.failed": "counter, requests, tagged by code",
    "chervil.request.resumed": "counter, attempts that went on after a loss",
    "chervil.tokens.delivered": "counter, tokens",
    "chervil.first_token": "timing, milliseconds from arrival to the first token",
    "chervil.queue.length": "gauge, requests waiting in this instance",
    "chervil.action.settled": "counter, non-idempotent calls, tagged by outcome",
    "chervil.configuration.revision": "gauge, revision in force",
    "chervil.configuration.rejected": "gauge, paths whose latest value is invalid",
    "chervil.peer.bytes": "counter, bytes sent to and received from peers",
    "chervil.groups.serving": "gauge, groups whose gate is open as this process sees it",
    "chervil.loop.late": "timing, milliseconds by which a tick came late",
} as const;

export type MetricName = keyof typeof metricNames;

/** Metric functions; they neither throw nor block. */
export interface Metrics {
    readonly count: (name: MetricName, amount?: number, tags?: Readonly<Record<string, string>>) => void;
    readonly gauge: (name: MetricName, value: number) => void;
    readonly timing: (name: MetricName, milliseconds: number) => void;
    readonly close: () => void;
}

const noopMetrics: Metrics = {
    count: () => undefined,
    gauge: () => undefined,
    timing: () => undefined,
    close: () => undefined,
};

const datagramBytes = 1_400;

/** Sends metrics to a StatsD address (host:port); without one, drops them. */
export function createMetrics(address: string | undefined, processName: string): Metrics {
    if (address === undefined) {
        return noopMetrics;
    }
    const [host, port] = address.split(":");
    const client = new StatsD({
        host,
        port: Number(port),
        globalTags: { process: processName },
        maxBufferSize: datagramBytes,
        errorHandler: () => undefined,
    });
    return {
        count: (name, amount = 1, tags = {}) => client.increment(name, amount, { ...tags }),
        gauge: (name, value) => client.gauge(name, value),
        timing: (name, milliseconds) => client.timing(name, milliseconds),
        close: () => client.close(),
    };
}
