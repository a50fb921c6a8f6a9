/** How an answer goes on after a lost attempt: at the same engine, at another replica, or not at all. */
import type { Fault, FaultCode } from "./errors.js";

/** The way on after a loss. */
export type LossRemedy = "resume" | "restart" | "fail";

// After these faults the engine no longer has the stream, so a resume would be lost time.
const streamGoneCodes: ReadonlySet<FaultCode> = new Set([
    "notFound",
    "staleEpoch",
    "noReplica",
    "noEndpoint",
]);

// After these faults no replica would answer otherwise.
const permanentCodes: ReadonlySet<FaultCode> = new Set(["invalidRequest", "requestTooLarge", "forbidden"]);

/** Losses since the last token. */
export class LossCounter {
    private losses = 0;
    private lossesAfterStart = 0;
    private hasResumed = false;

    private constructor(private readonly maximumLossesAfterStart: number) {}

    public static create(maximumLossesAfterStart: number): LossCounter {
        return new LossCounter(maximumLossesAfterStart);
    }

    /** Losses since the last token. */
    public count(): number {
        return this.losses;
    }

    /** A token was delivered. */
    public reset(): void {
        this.losses = 0;
        this.lossesAfterStart = 0;
        this.hasResumed = false;
    }

    /**
     * Counts a loss and says how to go on. Attempts that ran nothing are tried again until the deadline; a request on
     * which attempt after attempt is lost may be what breaks the engines, and is given up.
     */
    public next(fault: Fault, mayResume: boolean): LossRemedy {
        this.losses += 1;
        this.lossesAfterStart += fault.notRun ? 0 : 1;
        if (permanentCodes.has(fault.code) || this.lossesAfterStart > this.maximumLossesAfterStart) {
            return "fail";
        }
        if (!mayResume || this.hasResumed || fault.notRun || streamGoneCodes.has(fault.code)) {
            return "restart";
        }
        this.hasResumed = true;
        return "resume";
    }
}
