/** Small servers beside the callers' port: readiness for the balancer, metrics for operators. */
import { createServer } from "node:http";
import type { Server, ServerResponse } from "node:http";
import type { PartLog } from "../../links/logs.js";
import type { ServingMetrics } from "../../serving/serving-metrics.js";

/** Answers 200 at `path` while the process is ready, and 503 otherwise. */
export function serveReadiness(address: string, path: string, isReady: () => boolean, log: PartLog): Server {
    return listen(address, log, (target, response) => {
        response.statusCode = target === path && isReady() ? 200 : 503;
        response.end();
    });
}

/** Answers with the metrics as Prometheus text at /metrics. */
export function serveMetrics(address: string, metrics: ServingMetrics, log: PartLog): Server {
    return listen(address, log, (target, response) => {
        if (target !== "/metrics") {
            response.statusCode = 404;
            response.end();
            return;
        }
        response.setHeader("content-type", "text/plain; version=0.0.4");
        metrics.text().then(
            text => response.end(text),
            (thrown: unknown) => {
                log.error("metrics failed", { reason: String(thrown) });
                response.statusCode = 500;
                response.end();
            },
        );
    });
}

function listen(
    address: string,
    log: PartLog,
    handle: (target: string, response: ServerResponse) => void,
): Server {
    const server = createServer((message, response) => handle(message.url ?? "/", response));
    server.on("error", error => log.error("listening failed", { address, reason: error.message }));
    const [host, port] = address.split(":");
    server.listen(Number(port), host);
    return server;
}
