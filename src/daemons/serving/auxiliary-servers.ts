/** HTTP servers for readiness checks of the load balancer and for metrics, on ports apart from the callers' port. */
import { createServer } from "node:http";
import type { Server, ServerResponse } from "node:http";
import type { ConnectionLedger } from "../../links/connection-limits.js";
import { limitConnections } from "../../links/connection-limits.js";
import type { PartLogger } from "../../links/logs.js";
import { RequestGate } from "../../links/request-gate.js";
import { systemClock } from "../../links/system-clock.js";
import type { ProcessMemory } from "../../serving/memory/process-memory.js";
import type { ServingMetrics } from "../../serving/serving-metrics.js";

/** Time-out for the head of a request, in milliseconds. */
const headTimeoutMilliseconds = 3_000;
/** Interval between two checks for connections that exceed their time-outs, in milliseconds. */
const slowConnectionCheckIntervalMilliseconds = 500;
const unlimitedPace = { record: () => undefined, deferralMilliseconds: () => 0 };

/** What limits the connections and responses of a port. */
export interface AuxiliaryLimits {
    readonly memory: ProcessMemory;
    readonly connections: ConnectionLedger;
}

/** Responds with 200 at `path` while the process is ready, and with 503 otherwise. */
export function serveReadiness(
    address: string,
    path: string,
    isReady: () => boolean,
    limits: AuxiliaryLimits,
    log: PartLogger,
): Server {
    return listen(address, limits, log, (target, response) => {
        response.statusCode = target === path && isReady() ? 200 : 503;
        response.end();
    });
}

/** Serves the metrics in the Prometheus text format at /metrics. */
export function serveMetrics(
    address: string,
    metrics: ServingMetrics,
    limits: AuxiliaryLimits,
    log: PartLogger,
): Server {
    return listen(address, limits, log, (target, response) => {
        if (target !== "/metrics") {
            response.statusCode = 404;
            response.end();
            return;
        }
        response.setHeader("content-type", "text/plain; version=0.0.4");
        metrics.render().then(
            text => response.end(text),
            (thrown: unknown) => {
                log.error("metrics could not be collected", { reason: String(thrown) });
                response.statusCode = 500;
                response.end();
            },
        );
    });
}

function listen(
    address: string,
    { memory, connections }: AuxiliaryLimits,
    log: PartLogger,
    handle: (target: string, response: ServerResponse) => void,
): Server {
    const options = { connectionsCheckingInterval: slowConnectionCheckIntervalMilliseconds };
    const server = createServer(options, (message, response) => {
        memory.follow(response);
        // No request has a body; the rest of one is not read.
        response.once("finish", () => message.complete || message.destroy());
        handle(message.url ?? "/", response);
    });
    server.headersTimeout = headTimeoutMilliseconds;
    limitConnections(server, {
        ledger: connections,
        clock: systemClock,
        onClosed: reason => memory.recordClosure(reason, { address }),
    });
    RequestGate.install(server, {
        onReadAhead: () => undefined,
        onPartialHead: () => undefined,
        createPace: () => unlimitedPace,
    });
    server.on("error", error => log.error("HTTP server failed", { address, reason: error.message }));
    const [host, port] = address.split(":");
    server.listen(Number(port), host);
    return server;
}
