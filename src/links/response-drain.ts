/** Closes a server without cutting a response off, and without waiting for callers that keep their connection in use. */
import type * as http from "node:http";

/**
 * Returns the function that closes the server: it resolves once the open requests have their responses. Node.js counts
 * the connection of a response that is still being sent as idle, and leaves a connection whose response ends after
 * `close` open to further requests.
 */
export function createDrainingClose(server: http.Server): () => Promise<void> {
    const open = new Set<http.ServerResponse>();
    let onClosed: (() => void) | undefined;
    const closeIdle = (): void => {
        if (onClosed === undefined || [...open].some(response => response.writableEnded)) {
            return;
        }
        if (server.listening) {
            // Closes the idle connections, too.
            server.close(onClosed);
        } else {
            server.closeIdleConnections();
        }
    };
    server.prependListener("request", (_, response) => {
        open.add(response);
        response.once("close", () => {
            open.delete(response);
            closeIdle();
        });
    });
    return () =>
        new Promise(resolve => {
            onClosed = resolve;
            closeIdle();
        });
}
