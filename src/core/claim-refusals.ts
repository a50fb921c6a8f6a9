/** Faults for refused claims. `notRun` is true only if it is proved for the refused request itself. */
import type { ClaimRecord } from "./claim-records.js";
import type { ClaimCommand, ClaimRequest, ClaimRules, CurrentTime } from "./claim-rules.js";
import type { Fault, FaultCode } from "./errors.js";

// Maximum retry delay given to a caller whose key is in progress.
const maximumInProgressRetryMilliseconds = 1_000;

function claimFault(code: FaultCode, message: string, notRun: boolean, retryAt?: number): Fault {
    return { code, message, step: "claim", notRun, retryAt };
}

/** The store, or its value for the claim, cannot be used. If the caller repeats a key, an earlier call may have run. */
export function unreachableFault(request: ClaimRequest, retryAt: number): Fault {
    const message =
        "the claim cannot be written to the key-value service now, so this request was not sent; retry later";
    return claimFault("storeUnavailable", message, !request.isRepeat, retryAt);
}

/** The deadline passed before the claim was granted. */
export function deadlinePassedFault(request: ClaimRequest): Fault {
    const message = "the request's deadline passed before it could be sent";
    return claimFault("deadlinePassed", message, !request.isRepeat);
}

/** The deadline passed after the claim was granted but before the first byte was sent. */
export const grantedTooLateFault: Fault = {
    code: "deadlinePassed",
    message: "the request's deadline passed before it was sent",
    step: "claim",
    notRun: true,
};

/** The stored value that would hold the claim is full. */
export const claimsFullFault: Fault = {
    code: "overloaded",
    message: "the stored value for this Idempotency-Key holds too many claims",
    step: "claim",
    notRun: true,
};

/** Too many outcomes are waiting to be written to the store. */
export function unwrittenOutcomesFault(request: ClaimRequest, retryAt: number): Fault {
    const message = "too many outcomes of earlier requests are waiting to be recorded";
    return claimFault("overloaded", message, !request.isRepeat, retryAt);
}

/** The key was used for another call or by another subscriber; the fault does not reveal which. */
export const keyMismatchFault: Fault = {
    code: "keyMismatch",
    message: "the Idempotency-Key was used for another call",
    step: "claim",
    notRun: false,
};

/** The call of the key was sent, and its outcome is unknown. */
export const outcomeUnknownFault: Fault = {
    code: "outcomeUnknown",
    message: "the call of this Idempotency-Key may have run; it will not be run again",
    step: "claim",
    notRun: false,
};

/** The call of the key is still running. */
export function inProgressFault(retryAt: number): Fault {
    return claimFault("inProgress", "the call of this Idempotency-Key is in progress", false, retryAt);
}

/** Replays or refuses a request whose key is held by another attempt's record. */
export function respondFromRecord(
    { request, digest }: ClaimRequest,
    record: ClaimRecord,
    { isSameCall }: Pick<ClaimRules, "isSameCall">,
    at: CurrentTime,
): ClaimCommand {
    if (!isSameCall(digest, record.digest)) {
        return { kind: "refused", request, fault: keyMismatchFault };
    }
    if (record.answer !== undefined) {
        return { kind: "replay", request, answer: record.answer };
    }
    return { kind: "refused", request, fault: openRecordFault(record, at) };
}

function openRecordFault(record: ClaimRecord, at: CurrentTime): Fault {
    const remaining = record.until - at.wallNow;
    if (record.state === "claimed" && remaining > 0) {
        return inProgressFault(at.now + Math.min(remaining, maximumInProgressRetryMilliseconds));
    }
    return outcomeUnknownFault;
}
