/** HTTP client of engines: probes, orders, cache events and cancellation. Token streams are in engine-stream.ts. */
import type * as z from "zod";
import type { Clock } from "../contracts/clocks.js";
import type { Engines } from "../contracts/engines.js";
import type { Fault, Result, Step } from "../core/errors.js";
import { fail, succeed } from "../core/errors.js";
import type { Instance } from "../core/instances.js";
import { cacheEventsSchema, endpointReportSchema, orderResponseSchema } from "./endpoint-schemas.js";
import { openEngineStream } from "./engine-stream.js";
import type { HttpClient, HttpOutcome } from "./http-client.js";
import { sendHttpRequest } from "./http-client.js";
import { createHttpAgent } from "./http-agent.js";
import { parseJson } from "./json.js";

const maximumResponseBytes = 1_000_000;

/** Creates a client of engines that keeps its connections open. */
export function createEngines(clock: Clock): Engines {
    const client: HttpClient = { clock, agent: createHttpAgent(), maximumBodyLength: maximumResponseBytes };
    return {
        probe: async (instance, deadline) => {
            const outcome = await sendHttpRequest(client, {
                address: instance.address,
                method: "GET",
                path: "/probe",
                deadline,
            });
            return parseResponse(outcome, endpointReportSchema, [200], "probe", instance);
        },
        order: async (instance, order) => {
            const { kind, group, epoch, model, members, deadline } = order;
            const remainingMilliseconds = deadline - clock.monotonicMilliseconds();
            const outcome = await sendHttpRequest(client, {
                address: instance.address,
                method: "POST",
                path: "/orders",
                headers: { "content-type": "application/json" },
                body: JSON.stringify({ kind, group, epoch, model, members, remainingMilliseconds }),
                deadline,
            });
            return parseResponse(outcome, orderResponseSchema, [200, 409], "order", instance);
        },
        start: (dispatch, paused) => openEngineStream(client, "start", dispatch, paused),
        resume: (dispatch, paused) => openEngineStream(client, "resume", dispatch, paused),
        cancel: async (leader, request, attempt, deadline) => {
            const path = `/v1/streams/${encodeURIComponent(request)}?attempt=${attempt}`;
            const outcome = await sendHttpRequest(client, {
                address: leader.address,
                method: "DELETE",
                path,
                deadline,
            });
            return outcome.kind === "answered"
                ? succeed(undefined)
                : fail(createEndpointFault("stream", leader, outcome.message));
        },
        cacheEvents: async (leader, after, deadline) => {
            const path = `/cache-events?after=${after}`;
            const outcome = await sendHttpRequest(client, {
                address: leader.address,
                method: "GET",
                path,
                deadline,
            });
            const parsed = parseResponse(outcome, cacheEventsSchema, [200], "probe", leader);
            return parsed.success ? succeed(parsed.data.events) : parsed;
        },
    };
}

function createEndpointFault(step: Step, instance: Instance, message: string): Fault {
    return { code: "endpointFailed", message, step, peer: instance.id, notRun: false };
}

function parseResponse<Schema extends z.ZodType>(
    outcome: HttpOutcome,
    schema: Schema,
    statuses: readonly number[],
    step: Step,
    instance: Instance,
): Result<z.infer<Schema>> {
    if (outcome.kind !== "answered") {
        return fail(createEndpointFault(step, instance, outcome.message));
    }
    if (!statuses.includes(outcome.response.status)) {
        return fail(createEndpointFault(step, instance, `responded with status ${outcome.response.status}`));
    }
    const parsed = schema.safeParse(parseJson(outcome.response.body));
    return parsed.success
        ? succeed(parsed.data)
        : fail(createEndpointFault(step, instance, `response is invalid: ${parsed.error.message}`));
}
