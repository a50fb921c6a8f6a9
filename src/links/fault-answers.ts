/** Faults as HTTP answers. */
import type * as http from "node:http";
import type { Clock } from "../contracts/clocks.js";
import type { Fault, FaultCode } from "../core/errors.js";
import { sendJson } from "./admin-servers.js";

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
    storeConflict: 409,
    storeBudgetSpent: 503,
    inProgress: 409,
    outcomeUnknown: 502,
    keyExpired: 422,
    keyMismatch: 422,
    streamLost: 410,
    shuttingDown: 503,
    cancelled: 499,
    peerUnreachable: 503,
    internal: 500,
};

/** Body of a fault, the same in whole answers and in streams. */
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

/** Turns a fault into its body; the time to come back becomes the time that remains. */
export function faultBody(fault: Fault, clock: Clock): FaultBody {
    const { code, message, step, peer, path, notRun } = fault;
    const retryAfterMilliseconds = retryAfter(fault, clock);
    return { error: { code, message, step, peer, path, notRun, retryAfterMilliseconds } };
}

function retryAfter(fault: Fault, clock: Clock): number | undefined {
    if (fault.retryAt === undefined) {
        return undefined;
    }
    return Math.max(0, Math.ceil(fault.retryAt - clock.monotonicMilliseconds()));
}

/** Sends a fault as a whole answer, with Retry-After in whole seconds where the fault says when to come back. */
export function sendFault(response: http.ServerResponse, fault: Fault, clock: Clock): void {
    const after = retryAfter(fault, clock);
    const headers: Readonly<Record<string, string>> =
        after === undefined ? {} : { "retry-after": String(Math.max(1, Math.ceil(after / 1000))) };
    sendJson(response, statusByCode[fault.code], faultBody(fault, clock), headers);
}
