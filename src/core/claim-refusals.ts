/** Faults for refused claims. `notRun` is true only if it is proved for the refused request itself. */
import type { ClaimRecord } from "./claim-records.js";
import type { ClaimCommand, ClaimRequest, ClaimRules, Moment } from "./claim-rules.js";
import type { Fault, FaultCode } from "./errors.js";

// Maximum retry delay given to a caller whose key is in progress.
const inProgressRetryMilliseconds = 1_000;

function refusal(code: FaultCode, message: string, notRun: boolean, retryAt?: number): Fault {
    return { code, message, step: "claim", notRun, retryAt };
}

/** The store, or its value for the claim, cannot be used. A retry by the caller may have run before. */
export function refuseUnreachable(request: ClaimRequest, retryAt: number): Fault {
    const message =
        "the claim cannot be written to the key-value service now, so this request was not sent; retry later";
    return refusal("storeUnavailable", message, !request.isRepeat, retryAt);
}

/** The deadline passed before the claim was granted. */
export function refuseLate(request: ClaimRequest): Fault {
    const message = "the request's deadline passed before it could be sent";
    return refusal("deadlinePassed", message, !request.isRepeat);
}

/** The deadline passed after the claim was granted but before the first byte was sent. */
export const grantedTooLate: Fault = {
    code: "deadlinePassed",
    message: "the request's deadline passed before it was sent",
    step: "claim",
    notRun: true,
};

/** The stored value that would hold the claim is full. */
export const claimsFull: Fault = {
    code: "overloaded",
    message: "the stored value for this Idempotency-Key holds too many claims",
    step: "claim",
    notRun: true,
};

/** Too many outcomes are waiting to be written to the store. */
export function refuseUnwritten(request: ClaimRequest, retryAt: number): Fault {
    const message = "too many outcomes of earlier requests are waiting to be recorded";
    return refusal("overloaded", message, !request.isRepeat, retryAt);
}

/** The key was used for another call or by another subscriber; the fault does not reveal which. */
export const keyMismatch: Fault = {
    code: "keyMismatch",
    message: "the Idempotency-Key was used for another call",
    step: "claim",
    notRun: false,
};

/** The call of the key was sent, and its outcome is unknown. */
export const outcomeUnknown: Fault = {
    code: "outcomeUnknown",
    message: "the call of this Idempotency-Key may have run; it will not be run again",
    step: "claim",
    notRun: false,
};

/** The call of the key is still running. */
export function refuseInProgress(retryAt: number): Fault {
    return refusal("inProgress", "the call of this Idempotency-Key is in progress", false, retryAt);
}

/** Replays or refuses a request whose key is held by another attempt's record. */
export function answerFromRecord(
    { request, digest }: ClaimRequest,
    record: ClaimRecord,
    { isSameCall }: Pick<ClaimRules, "isSameCall">,
    at: Moment,
): ClaimCommand {
    if (!isSameCall(digest, record.digest)) {
        return { kind: "refused", request, fault: keyMismatch };
    }
    if (record.answer !== undefined) {
        return { kind: "replay", request, answer: record.answer };
    }
    return { kind: "refused", request, fault: refuseOpenRecord(record, at) };
}

function refuseOpenRecord(record: ClaimRecord, at: Moment): Fault {
    const remaining = record.until - at.wallNow;
    if (record.state === "claimed" && remaining > 0) {
        return refuseInProgress(at.now + Math.min(remaining, inProgressRetryMilliseconds));
    }
    return outcomeUnknown;
}
