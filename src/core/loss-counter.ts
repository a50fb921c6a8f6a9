/** Decides how an answer continues after a lost attempt: on the same engine, on another replica, or not at all. */
import type { Fault, FaultCode } from "./errors.js";

/** How the answer continues after a loss. */
export type LossRemedy = "resume" | "restart" | "fail";

// After these faults the engine no longer has the stream, so an attempt to resume it would waste time.
const streamMissingCodes: ReadonlySet<FaultCode> = new Set([
    "notFound",
    "staleEpoch",
    "noReplica",
    "noEndpoint",
]);

// After these faults every replica would fail the request in the same way.
const permanentCodes: ReadonlySet<FaultCode> = new Set([
    "invalidRequest",
    "requestTooLarge",
    "forbidden",
    "quarantined",
]);

/** Counts lost attempts since the last delivered token. */
export class LossCounter {
    private losses = 0;
    private lossesAfterStart = 0;
    private hasResumed = false;

    private constructor(private readonly maximumLossesAfterStart: number) {}

    public static create(maximumLossesAfterStart: number): LossCounter {
        return new LossCounter(maximumLossesAfterStart);
    }

    /** Number of losses since the last delivered token. */
    public count(): number {
        return this.losses;
    }

    /** Resets the counts after a token was delivered. */
    public reset(): void {
        this.losses = 0;
        this.lossesAfterStart = 0;
        this.hasResumed = false;
    }

    /**
     * Counts a loss and returns how to continue. Attempts that ran nothing are retried until the deadline. A request
     * whose attempts are repeatedly lost after engines began them may itself cause the engine failures, so it fails
     * after more than `maximumLossesAfterStart` such losses.
     */
    public recordLoss(fault: Fault, mayResume: boolean): LossRemedy {
        this.losses += 1;
        this.lossesAfterStart += fault.notRun ? 0 : 1;
        if (permanentCodes.has(fault.code) || this.lossesAfterStart > this.maximumLossesAfterStart) {
            return "fail";
        }
        if (!mayResume || this.hasResumed || fault.notRun || streamMissingCodes.has(fault.code)) {
            return "restart";
        }
        this.hasResumed = true;
        return "resume";
    }
}
