/** HTTP client of plain services. */
import type { Clock } from "../contracts/clocks.js";
import type { SendOutcome, SendToService } from "../contracts/services.js";
import type { Fault } from "../core/errors.js";
import type { Instance } from "../core/instances.js";
import type { ServiceCall } from "../core/requests.js";
import { createHttpAgent } from "./http-agent.js";
import type { HttpClient, HttpOutcome } from "./http-client.js";
import { sendHttpRequest } from "./http-client.js";

const maximumResponseBytes = 4_000_000;

/**
 * Creates the function that sends one call, once. Calls that are not idempotent get a new connection each: if the service
 * closed a pooled connection at the same time, it would be unknown whether the call ran.
 */
export function createSendToService(clock: Clock): SendToService {
    const pooledClient: HttpClient = {
        clock,
        agent: createHttpAgent(),
        maximumBodyLength: maximumResponseBytes,
    };
    const unpooledClient: HttpClient = { clock, maximumBodyLength: maximumResponseBytes };
    return async (call, instance) => {
        const client = call.idempotent ? pooledClient : unpooledClient;
        const outcome = await sendHttpRequest(client, {
            address: instance.address,
            method: call.method,
            path: call.path,
            headers: callHeaders(call),
            body: call.body === "" ? undefined : call.body,
            deadline: call.deadline,
        });
        return toSendOutcome(outcome, instance);
    };
}

function callHeaders(call: ServiceCall): Readonly<Record<string, string>> {
    return {
        "x-chervil-request": call.id,
        ...(call.contentType === undefined ? {} : { "content-type": call.contentType }),
        ...(call.key === undefined ? {} : { "idempotency-key": call.key }),
    };
}

function toSendOutcome(outcome: HttpOutcome, instance: Instance): SendOutcome {
    if (outcome.kind === "notSent") {
        return { kind: "notRun", fault: createCallFault(instance, outcome.message, true) };
    }
    if (outcome.kind === "lost") {
        const { message, connectionLost } = outcome;
        return { kind: "unknown", fault: { ...createCallFault(instance, message, false), connectionLost } };
    }
    const { status, headers, body } = outcome.response;
    if (status === 503 && headers["x-not-run"] === "true") {
        return {
            kind: "notRun",
            fault: createCallFault(instance, "the service reported that it did not run the call", true),
        };
    }
    return { kind: "answered", answer: { status, contentType: headers["content-type"], body } };
}

function createCallFault(instance: Instance, message: string, notRun: boolean): Fault {
    return { code: "endpointFailed", message, step: "send", peer: instance.id, notRun };
}
