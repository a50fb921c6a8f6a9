/** Faults of refused claims. `notRun` is true only where it is proved for the refused request itself. */
import type { ClaimRecord } from "./claim-records.js";
import type { ClaimCommand, ClaimRequest, ClaimRules, Moment } from "./claim-rules.js";
import type { Fault, FaultCode } from "./errors.js";

// A caller that is told "in progress" comes back at the latest after this time.
const inProgressRetryMilliseconds = 1_000;

function refusal(code: FaultCode, message: string, notRun: boolean, retryAt?: number): Fault {
    return { code, message, step: "claim", notRun, retryAt };
}

/** The store cannot be used. A repeat cannot be proved not to have run before. */
export function refuseUnreachable(request: ClaimRequest, retryAt: number): Fault {
    const message = "the claim cannot be written now, so this request was not sent";
    return refusal("storeUnavailable", message, !request.isRepeat, retryAt);
}

/** The deadline passed while the claim was not granted. */
export function refuseLate(request: ClaimRequest): Fault {
    const message = "the request's deadline passed before it could be sent";
    return refusal("deadlinePassed", message, !request.isRepeat);
}

/** The deadline passed after the claim was granted and before a byte was sent. */
export const grantedTooLate: Fault = {
    code: "deadlinePassed",
    message: "the request's deadline passed before it was sent",
    step: "claim",
    notRun: true,
};

/** The value that would hold the claim is full. */
export const claimsFull: Fault = {
    code: "overloaded",
    message: "too many claims are kept beside this key's",
    step: "claim",
    notRun: true,
};

/** Too many outcomes wait for the store. */
export function refuseUnwritten(request: ClaimRequest, retryAt: number): Fault {
    const message = "too many outcomes wait to be recorded";
    return refusal("overloaded", message, !request.isRepeat, retryAt);
}

/** The key was used for another call or by another subscriber; which of them is not said. */
export const keyMismatch: Fault = {
    code: "keyMismatch",
    message: "the Idempotency-Key was used for another call",
    step: "claim",
    notRun: false,
};

/** The key's call was sent and no outcome is known. */
export const outcomeUnknown: Fault = {
    code: "outcomeUnknown",
    message: "the call of this Idempotency-Key may have run; it will not be run again",
    step: "claim",
    notRun: false,
};

/** The key's call is running. */
export function refuseInProgress(retryAt: number): Fault {
    return refusal("inProgress", "the call of this Idempotency-Key is in progress", false, retryAt);
}

/** What a record of another attempt says to a request of the same key. */
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
