/** HTTP servers for readiness checks of the load balancer and for metrics, on ports apart from the callers' port. */
import { createServer } from "node:http";
import type { Server, ServerResponse } from "node:http";
import type { PartLogger } from "../../links/logs.js";
import type { ServingMetrics } from "../../serving/serving-metrics.js";

/** Responds with 200 at `path` while the process is ready, and with 503 otherwise. */
export function serveReadiness(
    address: string,
    path: string,
    isReady: () => boolean,
    log: PartLogger,
): Server {
    return listen(address, log, (target, response) => {
        response.statusCode = target === path && isReady() ? 200 : 503;
        response.end();
    });
}

/** Serves the metrics in the Prometheus text format at /metrics. */
export function serveMetrics(address: string, metrics: ServingMetrics, log: PartLogger): Server {
    return listen(address, log, (target, response) => {
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
    log: PartLogger,
    handle: (target: string, response: ServerResponse) => void,
): Server {
    const server = createServer((message, response) => {
        // No request has a body; the rest of one is not read.
        response.once("finish", () => message.complete || message.destroy());
        handle(message.url ?? "/", response);
    });
    server.on("error", error => log.error("HTTP server failed", { address, reason: error.message }));
    const [host, port] = address.split(":");
    server.listen(Number(port), host);
    return server;
}
