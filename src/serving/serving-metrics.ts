/** Prometheus metrics of a serving process. */
import { Counter, Gauge, Histogram, Registry } from "prom-client";

/** Upper bounds of the latency buckets, in seconds; the latency objectives lie between them. */
const latencyBucketSeconds = [0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 2, 4, 8];

/** Upper bounds of the buckets of ratios; 1 is a right prediction. */
const ratioBuckets = [0.1, 0.25, 0.5, 0.8, 1.25, 2, 4, 10];

export interface ServingMetrics {
    readonly requests: Counter<"route" | "outcome">;
    readonly attempts: Counter<"service" | "outcome">;
    readonly firstByteSeconds: Histogram<"route">;
    readonly responseSeconds: Histogram<"route">;
    readonly storeFaults: Counter<"code">;
    /** Steps of the watch of the store: calls, and changes that a relay passed on. */
    readonly watchSteps: Counter<"step">;
    readonly stateAgeSeconds: Gauge;
    readonly suspectedGroups: Counter;
    readonly quarantines: Counter;
    readonly quarantineRefusals: Counter;
    readonly forwardedRequests: Counter<"direction">;
    readonly refusals: Counter<"reason" | "rank">;
    readonly returns: Counter<"kind" | "outcome">;
    readonly permits: Counter<"reply">;
    readonly loadNews: Counter;
    readonly outputRatio: Histogram;
    readonly orders: Counter<"order" | "reply">;
    readonly configurationVersion: Gauge;
    readonly servableGroups: Gauge<"model">;
    readonly evacuatedFailureDomains: Gauge;
    readonly demandedGroups: Gauge<"model">;
    readonly conversions: Counter<"from" | "to" | "step">;
    readonly arrivedWorkSeconds: Counter<"model">;
    readonly refusedWorkSeconds: Counter<"model">;
    readonly coldReplicas: Gauge;
    readonly loopDelaySeconds: Histogram;
    readonly heldBytes: Gauge<"purpose">;
    readonly closedCallers: Counter<"reason">;
    /** Returns all metrics in the Prometheus text format. */
    readonly render: () => Promise<string>;
}

export function createServingMetrics(): ServingMetrics {
    const registry = new Registry();
    const registers = [registry];
    const buckets = latencyBucketSeconds;
    const requests = new Counter({
        name: "chervil_requests_total",
        help: "Callers' requests by route and outcome",
        labelNames: ["route", "outcome"] as const,
        registers,
    });
    const attempts = new Counter({
        name: "chervil_attempts_total",
        help: "Sends to replicas by service and outcome",
        labelNames: ["service", "outcome"] as const,
        registers,
    });
    const firstByteSeconds = new Histogram({
        name: "chervil_first_byte_seconds",
        help: "From a request's arrival to the first byte of its answer",
        labelNames: ["route"] as const,
        buckets,
        registers,
    });
    const answerSeconds = new Histogram({
        name: "chervil_answer_seconds",
        help: "From a request's arrival to the end of its answer",
        labelNames: ["route"] as const,
        buckets,
        registers,
    });
    const storeFaults = new Counter({
        name: "chervil_store_faults_total",
        help: "Failed calls and watches of the platform's store",
        labelNames: ["code"] as const,
        registers,
    });
    const watchSteps = new Counter({
        name: "chervil_watch_steps_total",
        help: "Steps of the watch of the store: calls, and changes that a relay passed on",
        labelNames: ["step"] as const,
        registers,
    });
    const stateAgeSeconds = new Gauge({
        name: "chervil_store_state_age_seconds",
        help: "Time since the state of this process was known to be the newest one of the store",
        registers,
    });
    const suspectedGroups = new Counter({
        name: "chervil_suspected_groups_total",
        help: "Replica groups found standing still with a silent member",
        registers,
    });
    const quarantines = new Counter({
        name: "chervil_quarantines_total",
        help: "Quarantines of prompt segments whose requests crash replicas",
        registers,
    });
    const quarantineRefusals = new Counter({
        name: "chervil_quarantine_refusals_total",
        help: "Requests that were ended because of a quarantine",
        registers,
    });
    const forwardedRequests = new Counter({
        name: "chervil_forwarded_requests_total",
        help: "Requests sent to other entry instances, or received from them, because links to replicas were lost",
        labelNames: ["direction"] as const,
        registers,
    });
    const refusals = new Counter({
        name: "chervil_refusals_total",
        help: "Requests refused for lack of capacity, by reason (late, share) and rank",
        labelNames: ["reason", "rank"] as const,
        registers,
    });
    const returns = new Counter({
        name: "chervil_returns_total",
        help: "Requests that returned after a refusal, by kind (promised, unpromised, early) and outcome (started, refused)",
        labelNames: ["kind", "outcome"] as const,
        registers,
    });
    const permits = new Counter({
        name: "chervil_permits_total",
        help: "Replies of this process to questions for permits, by kind",
        labelNames: ["reply"] as const,
        registers,
    });
    const loadNews = new Counter({
        name: "chervil_load_news_total",
        help: "Datagrams that told another entry instance of a changed load at a replica group",
        registers,
    });
    const outputRatio = new Histogram({
        name: "chervil_output_ratio",
        help: "Output tokens of complete streams, relative to the prediction at their arrival",
        buckets: ratioBuckets,
        registers,
    });
    const orders = new Counter({
        name: "chervil_orders_total",
        help: "Orders to engines by kind and reply",
        labelNames: ["order", "reply"] as const,
        registers,
    });
    const configurationVersion = new Gauge({
        name: "chervil_configuration_version",
        help: "Version of the configuration in force",
        registers,
    });
    const servableGroups = new Gauge({
        name: "chervil_servable_groups",
        help: "Replica groups that take requests, by model",
        labelNames: ["model"] as const,
        registers,
    });
    const evacuatedFailureDomains = new Gauge({
        name: "chervil_evacuated_failure_domains",
        help: "Failure domains to whose replicas nothing more is sent",
        registers,
    });
    const demandedGroups = new Gauge({
        name: "chervil_demanded_groups",
        help: "Replica groups that the arriving work would fill, refused work included, by model; at placers only",
        labelNames: ["model"] as const,
        registers,
    });
    const conversions = new Counter({
        name: "chervil_conversions_total",
        help: "Conversions of replica groups by previous model, new model and step",
        labelNames: ["from", "to", "step"] as const,
        registers,
    });
    const arrivedWorkSeconds = new Counter({
        name: "chervil_arrived_work_seconds_total",
        help: "Estimated group seconds of the requests that arrived for replica groups, by model",
        labelNames: ["model"] as const,
        registers,
    });
    const refusedWorkSeconds = new Counter({
        name: "chervil_refused_work_seconds_total",
        help: "Estimated group seconds of the requests that were refused for lack of groups, by model",
        labelNames: ["model"] as const,
        registers,
    });
    const coldReplicas = new Gauge({
        name: "chervil_cold_replicas",
        help: "Replicas that get requests at a limited rate after their start",
        registers,
    });
    const loopDelaySeconds = new Histogram({
        name: "chervil_loop_delay_seconds",
        help: "Lateness of the process's own ticks",
        buckets,
        registers,
    });
    const heldBytes = new Gauge({
        name: "chervil_held_bytes",
        help: "Bytes that messages hold, by purpose",
        labelNames: ["purpose"] as const,
        registers,
    });
    const closedCallers = new Counter({
        name: "chervil_closed_callers_total",
        help: "Callers whose request or connection was closed to save memory or descriptors, by reason",
        labelNames: ["reason"] as const,
        registers,
    });
    return {
        requests,
        attempts,
        firstByteSeconds,
        responseSeconds: answerSeconds,
        storeFaults,
        watchSteps,
        stateAgeSeconds,
        suspectedGroups,
        quarantines,
        quarantineRefusals,
        forwardedRequests,
        refusals,
        returns,
        permits,
        loadNews,
        outputRatio,
        orders,
        configurationVersion,
        servableGroups,
        evacuatedFailureDomains,
        demandedGroups,
        conversions,
        arrivedWorkSeconds,
        refusedWorkSeconds,
        coldReplicas,
        loopDelaySeconds,
        heldBytes,
        closedCallers,
        render: () => registry.metrics(),
    };
}
