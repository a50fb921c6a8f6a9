/**
 * Faults: errors as data. Every fault has a `code`, the step in which it arose, the peer if one was involved, and the
 * `path` of the faulty field if there is one.
 */
import ModernError from "modern-errors";

/** The processing step in which a fault arose. */
export type Step =
    | "settings"
    | "parse"
    | "authenticate"
    | "admit"
    | "route"
    | "claim"
    | "send"
    | "stream"
    | "record"
    | "configure"
    | "place"
    | "order"
    | "probe"
    | "gossip"
    | "store"
    | "shutdown";

/** Kind of a fault. Links map each code to a status of their protocol. */
export type FaultCode =
    | "invalidSettings"
    | "invalidConfiguration"
    | "invalidRequest"
    | "requestTooLarge"
    | "callerTooSlow"
    | "unauthenticated"
    | "forbidden"
    | "notFound"
    | "overloaded"
    | "deadlineUnreachable"
    | "deadlinePassed"
    | "noReplica"
    | "noEndpoint"
    | "endpointFailed"
    | "staleEpoch"
    | "storeUnavailable"
    | "storeAmbiguous"
    | "storeRestored"
    | "storeConflict"
    | "storeBudgetSpent"
    | "inProgress"
    | "outcomeUnknown"
    | "keyExpired"
    | "keyMismatch"
    | "streamLost"
    | "quarantined"
    | "shuttingDown"
    | "cancelled"
    | "peerUnreachable"
    | "internal";

/** An error as data. */
export interface Fault {
    readonly code: FaultCode;
    readonly message: string;
    readonly step: Step;
    /** The remote process or endpoint, if one was involved. */
    readonly peer?: string;
    /** Field names and indices from the outermost field to the faulty one. */
    readonly path?: readonly (string | number)[];
    /** True only if it is proved that no part of the request ran. */
    readonly notRun: boolean;
    /** True if the peer's connection broke before its response was complete. */
    readonly connectionLost?: boolean;
    /** Local monotonic milliseconds before which a retry should not be made. */
    readonly retryAt?: number;
}

class FaultError extends ModernError {
    public readonly fault: Fault | undefined;

    public constructor(message: string, options?: ErrorOptions & { readonly fault?: Fault }) {
        super(message, options);
        this.fault = options?.fault;
    }

    public static create(fault: Fault): ChervilError {
        return new ChervilClass(fault.message, { fault }) as unknown as ChervilError;
    }
}

/** modern-errors only creates instances of classes made by its `subclass`; those inherit static members. */
const ChervilClass = ModernError.subclass("ChervilError", { custom: FaultError });

/** An error that carries a fault, for code that throws. */
export type ChervilError = Error & { readonly fault: Fault };
export const ChervilError = ChervilClass as unknown as (abstract new (
    ...parameters: never
) => ChervilError) & { readonly create: (fault: Fault) => ChervilError };

/** Success with data, or failure with a fault. */
export type Result<T> =
    { readonly success: true; readonly data: T } | { readonly success: false; readonly fault: Fault };

export function succeed<T>(data: T): Result<T> {
    return { success: true, data };
}

export function fail<T = never>(fault: Fault): Result<T> {
    return { success: false, fault };
}

/** Returns the data, or throws the fault as a ChervilError. */
export function unwrap<T>(result: Result<T>): T {
    if (!result.success) {
        throw ChervilError.create(result.fault);
    }
    return result.data;
}

/** Converts any thrown value into a fault. */
export function toFault(thrown: unknown, step: Step, peer?: string): Fault {
    if (thrown instanceof ChervilError) {
        return thrown.fault;
    }
    const message = thrown instanceof Error ? thrown.message : String(thrown);
    return { code: "internal", message, step, peer, notRun: false };
}
