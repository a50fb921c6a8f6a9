/** Settings of an answer log, and its rules, which checkers replace by broken ones. */
import type { PaceOptions } from "./answers-paces.js";
import { defaultPaceOptions } from "./answers-paces.js";
import type { Fault } from "./errors.js";
import type { RequestId } from "./requests.js";

/** Settings of one answer log. Deadlines are local monotonic milliseconds. */
export interface AnswerOptions {
    readonly request: RequestId;
    /** Number of the attempt that the driver begins with. */
    readonly attempt: number;
    /** Offset of the first token to deliver; above zero for a caller that comes back. */
    readonly fromOffset: number;
    /** Text below `fromOffset`; undefined if it is not known, and then no replica can go on after it. */
    readonly delivered: string | undefined;
    readonly deadline: number;
    readonly pace: PaceOptions;
    /** Tokens kept while an earlier one is missing. */
    readonly maximumBufferedTokens: number;
    /** Tokens delivered that the caller has not taken yet; the stream is detached above it. */
    readonly maximumUntakenTokens: number;
    /** How long a stream is kept after its caller left, in milliseconds. */
    readonly resumeWindowMilliseconds: number;
    /** Attempts lost in a row after an engine began them, with no new token, after which the answer fails. */
    readonly maximumLossesAfterStart: number;
    /** Milliseconds to wait before the restart that follows this many losses without a new token. */
    readonly restartDelay: (losses: number) => number;
    /**
     * Asked before each restart; false ends the answer with a fault. A retry budget should refuse only answers that
     * have delivered nothing (`nextOffset` is 0): refusing others would break them.
     */
    readonly mayRetry: (now: number, nextOffset: number) => boolean;
}

/** Settings that do not depend on the request. */
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

/** Request and attempt that an event belongs to. */
export interface AttemptName {
    readonly request: RequestId;
    readonly attempt: number;
}

/** Rules of the log, passed in so that the checkers can prove that they notice broken ones. */
export interface AnswerRules {
    readonly isOwn: (expected: AttemptName, event: AttemptName) => boolean;
    readonly isDelivered: (offset: number, nextOffset: number) => boolean;
    readonly isNext: (offset: number, nextOffset: number) => boolean;
    readonly isComplete: (nextOffset: number, endOffset: number) => boolean;
    /** Whether a lost stream is resumed at the same engine first. */
    readonly mayResume: boolean;
    /** Fault that the caller is told; undefined would be a silent end. */
    readonly endFault: (fault: Fault) => Fault | undefined;
}

/** The rules in force. */
export const answerRules: AnswerRules = {
    isOwn: (expected, event) => event.request === expected.request && event.attempt === expected.attempt,
    isDelivered: (offset, nextOffset) => offset < nextOffset,
    isNext: (offset, nextOffset) => offset === nextOffset,
    isComplete: (nextOffset, endOffset) => nextOffset === endOffset,
    mayResume: true,
    endFault: fault => fault,
};
