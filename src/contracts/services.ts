/** Plain services that stand beside the engines. */
import type { Fault } from "../core/errors.js";
import type { Instance } from "../core/instances.js";
import type { ServiceCall } from "../core/requests.js";

/** A whole answer of a plain service. */
export interface ServiceAnswer {
    readonly status: number;
    readonly contentType?: string;
    readonly body: string;
}

/**
 * Outcome of one send. "notRun": the connection failed before the request was written, or the service said that it
 * did not run it. "unknown": anything else after the first byte.
 */
export type SendOutcome =
    | { readonly kind: "answered"; readonly answer: ServiceAnswer }
    | { readonly kind: "notRun"; readonly fault: Fault }
    | { readonly kind: "unknown"; readonly fault: Fault };

/** Sends one call to one instance of its service, once. */
export type SendToService = (call: ServiceCall, instance: Instance) => Promise<SendOutcome>;
