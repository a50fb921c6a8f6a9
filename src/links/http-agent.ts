/** Keep-alive connection pools of Node's `http`. */
import * as http from "node:http";

const maximumSocketsPerAddress = 256;

/** Returns an agent that keeps connections open between requests. */
export function createHttpAgent(): http.Agent {
    return new http.Agent({ keepAlive: true, maxSockets: maximumSocketsPerAddress, scheduling: "lifo" });
}
