/** HTTP responses for faults. */
import type * as http from "node:http";
import type { Clock } from "../contracts/clocks.js";
import type { Fault, FaultCode } from "../core/errors.js";
import { sendJson } from "./admin-server.js";

const statusByCode: Readonly<Record<FaultCode, number>> = {
    invalidSettings: 500,
    invalidConfiguration: 500,
    invalidRequest: 400,
    requestTooLarge: 413,
    callerTooSlow: 408,
    unauthenticated: 401,
    forbidden: 403,
    notFound: 404,
    overloaded: 429,
    deadlineUnreachable: 503,
    deadlinePassed: 504,
    noReplica: 503,
    noEndpoint: 503,
    endpointFailed: 502,
    staleEpoch: 503,
    storeUnavailable: 503,
    storeAmbiguous: 503,
    storeRestored: 503,
    storeConflict: 409,
    storeBudgetSpent: 503,
    inProgress: 409,
    outcomeUnknown: 502,
    keyExpired: 422,
    keyMismatch: 422,
    streamLost: 410,
    quarantined: 503,
    shuttingDown: 503,
    cancelled: 499,
    peerUnreachable: 503,
    internal: 500,
};

/** Body of an error response; error events within streams have the same body. */
export interface FaultBody {
    readonly error: {
        readonly code: FaultCode;
        readonly message: string;
        readonly step: string;
        readonly peer?: string;
        readonly path?: readonly (string | number)[];
        readonly notRun: boolean;
        readonly retryAfterMilliseconds?: number;
    };
}

/** Converts a fault to its body; the instant of `retryAt` becomes the remaining milliseconds. */
export function createFaultBody(fault: Fault, clock: Clock): FaultBody {
    const { code, message, step, peer, path, notRun } = fault;
    const retryAfterMilliseconds = remainingRetryMilliseconds(fault, clock);
    return { error: { code, message, step, peer, path, notRun, retryAfterMilliseconds } };
}

function remainingRetryMilliseconds(fault: Fault, clock: Clock): number | undefined {
    if (fault.retryAt === undefined) {
        return undefined;
    }
    return Math.max(0, Math.ceil(fault.retryAt - clock.monotonicMilliseconds()));
}

/** Maximum time for which the rest of a refused request is read and discarded. */
const maximumLingerMilliseconds = 2_000;

/**
 * Sends a fault to a caller that is still sending its request. The whole response is written at once, but the connection
 * is closed only after the caller has finished: closing it earlier could lose the response in transit.
 */
export function sendFaultEarly(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    fault: Fault,
    clock: Clock,
): void {
    const text = JSON.stringify(createFaultBody(fault, clock));
    response.writeHead(statusByCode[fault.code], {
        "content-type": "application/json",
        "content-length": String(Buffer.byteLength(text)),
        connection: "close",
        ...createRetryHeaders(fault, clock),
    });
    response.write(text);
    const timer = setTimeout(() => response.end(), maximumLingerMilliseconds);
    const end = (): void => {
        clearTimeout(timer);
        response.end();
    };
    request.once("end", end);
    request.once("close", end);
    request.resume();
}

/** Sends a fault as a complete response, with Retry-After in whole seconds if the fault has a `retryAt`. */
export function sendFault(response: http.ServerResponse, fault: Fault, clock: Clock): void {
    sendJson(
        response,
        statusByCode[fault.code],
        createFaultBody(fault, clock),
        createRetryHeaders(fault, clock),
    );
}

function createRetryHeaders(fault: Fault, clock: Clock): Readonly<Record<string, string>> {
    const after = remainingRetryMilliseconds(fault, clock);
    return after === undefined ? {} : { "retry-after": String(Math.max(1, Math.ceil(after / 1000))) };
}
