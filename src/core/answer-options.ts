/** Settings of an answer log, and its rules, which checkers replace by broken ones to prove that they notice. */
import type { PaceOptions } from "./stream-pace.js";
import { defaultPaceOptions } from "./stream-pace.js";
import type { Fault } from "./errors.js";
import type { RequestId } from "./requests.js";

/** Settings of one answer log. Deadlines are local monotonic milliseconds. */
export interface AnswerOptions {
    readonly request: RequestId;
    /** Number of the first attempt, which the driver has started. */
    readonly attempt: number;
    /** Offset of the first token to deliver; above zero for a caller that resumes its stream. */
    readonly fromOffset: number;
    /** Text before `fromOffset`; undefined if it is unknown, in which case no replica can continue it. */
    readonly delivered: string | undefined;
    readonly deadline: number;
    readonly pace: PaceOptions;
    /** Maximum number of tokens buffered while an earlier one is missing. */
    readonly maximumBufferedTokens: number;
    /** Number of delivered tokens not yet taken by the caller at which the stream is detached. */
    readonly maximumUntakenTokens: number;
    /** How long a stream is kept after its caller has disconnected, in milliseconds. */
    readonly resumeWindowMilliseconds: number;
    /** Maximum number of consecutive attempts lost after an engine began them, without a new token. */
    readonly maximumLossesAfterStart: number;
    /** Backoff before a restart, in milliseconds, by the number of losses without a new token. */
    readonly restartDelay: (losses: number) => number;
    /**
     * Called before each restart; false ends the answer with a fault. A retry budget should refuse only answers that
     * have delivered nothing (`nextOffset` is 0), since a refusal cuts off an answer that has begun.
     */
    readonly mayRetry: (now: number, nextOffset: number) => boolean;
}

/** Default settings, except for those that depend on the request. */
export const defaultAnswerOptions = {
    attempt: 1,
    fromOffset: 0,
    delivered: "",
    pace: defaultPaceOptions,
    maximumBufferedTokens: 256,
    maximumUntakenTokens: 512,
    resumeWindowMilliseconds: 15_000,
    maximumLossesAfterStart: 8,
    restartDelay: (losses: number) => (losses <= 2 ? 0 : Math.min(2_000, 50 * 2 ** (losses - 3))),
    mayRetry: () => true,
} as const;

/** Identifies the request and the attempt that an event belongs to. */
export interface AttemptId {
    readonly request: RequestId;
    readonly attempt: number;
}

/** Rules of the answer log; passed in so that checkers can prove that they notice broken rules. */
export interface AnswerRules {
    readonly isCurrentAttempt: (expected: AttemptId, event: AttemptId) => boolean;
    readonly isDelivered: (offset: number, nextOffset: number) => boolean;
    readonly isNext: (offset: number, nextOffset: number) => boolean;
    readonly isComplete: (nextOffset: number, endOffset: number) => boolean;
    /** Whether a lost stream is first resumed on the same engine. */
    readonly mayResume: boolean;
    /** Fault that the caller receives; undefined would end the answer without any fault. */
    readonly toCallerFault: (fault: Fault) => Fault | undefined;
}

/** The production rules. */
export const answerRules: AnswerRules = {
    isCurrentAttempt: (expected, event) =>
        event.request === expected.request && event.attempt === expected.attempt,
    isDelivered: (offset, nextOffset) => offset < nextOffset,
    isNext: (offset, nextOffset) => offset === nextOffset,
    isComplete: (nextOffset, endOffset) => nextOffset === endOffset,
    mayResume: true,
    toCallerFault: fault => fault,
};
