/** Client of the daemons' admin ports. */
import type { Fault, Result } from "../core/errors.js";
import { fail, succeed } from "../core/errors.js";
import { systemClock } from "../links/system-clock.js";
import { sendHttpRequest } from "../links/http-client.js";
import { parseJson } from "../links/json.js";

const readTimeoutMilliseconds = 5_000;
const maximumResponseLength = 64_000_000;

/** Reads one JSON document from a daemon's admin port (host:port). */
export async function readAdminDocument(address: string, path: string): Promise<Result<unknown>> {
    const client = { clock: systemClock, maximumBodyLength: maximumResponseLength };
    const deadline = systemClock.monotonicMilliseconds() + readTimeoutMilliseconds;
    const outcome = await sendHttpRequest(client, { address, method: "GET", path, deadline });
    if (outcome.kind !== "answered") {
        return fail(unreachableFault(address, outcome.message));
    }
    const document = parseJson(outcome.response.body);
    if (outcome.response.status !== 200 || document === undefined) {
        return fail(unreachableFault(address, `answered with status ${outcome.response.status}`));
    }
    return succeed(document);
}

function unreachableFault(address: string, detail: string): Fault {
    const message = `admin port "${address}" cannot be read: ${detail}`;
    return { code: "peerUnreachable", message, step: "gossip", peer: address, notRun: true };
}
