/** Plain services, which run beside the engines. */
import type { Fault } from "../core/errors.js";
import type { Instance } from "../core/instances.js";
import type { ServiceCall } from "../core/requests.js";

/** A complete response of a plain service. */
export interface ServiceResponse {
    readonly status: number;
    readonly contentType?: string;
    readonly body: string;
}

/**
 * Outcome of one attempt to send a call. "notRun": the connection failed before the request was written, or the service
 * reported that it did not run it. "unknown": any other failure after the first byte.
 */
export type SendOutcome =
    | { readonly kind: "answered"; readonly answer: ServiceResponse }
    | { readonly kind: "notRun"; readonly fault: Fault }
    | { readonly kind: "unknown"; readonly fault: Fault };

/** Sends one call to one instance of its service, once. */
export type SendToService = (call: ServiceCall, instance: Instance) => Promise<SendOutcome>;
