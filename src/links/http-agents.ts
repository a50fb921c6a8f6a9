/** Keep-alive connection pools of Node's `http`. */
import * as http from "node:http";

const socketsPerAddress = 256;

/** Returns an agent that keeps connections open between requests. */
export function createAgent(): http.Agent {
    return new http.Agent({ keepAlive: true, maxSockets: socketsPerAddress, scheduling: "lifo" });
}
