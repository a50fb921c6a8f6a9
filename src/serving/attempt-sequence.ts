/**
 * Decides which attempts of a request are made, continue and end, by a pure state machine: events in, commands out. Covers
 * replicas that die, refuse requests or lose responses while callers wait, and replicas that are silent for a while and go
 * on: the attempt at a silent replica continues while another one is made, and the first of both that makes progress serves
 * the caller.
 */
import type { AttemptFacts, AttemptOutcome } from "./attempt-decision.js";
import { decideNextStep, mayTryElsewhere, resumeDelayMilliseconds } from "./attempt-decision.js";
import type { AttemptChoice, AttemptTarget } from "./dispatcher.js";
import { targetId } from "./dispatcher.js";
import type { Refusal } from "./error-responses.js";
import { refusalAfterAttempt, refusalWithoutTarget } from "./error-responses.js";

/** Interval between two searches for a replica that takes over an interrupted or silent stream, in milliseconds. */
const resumePollIntervalMilliseconds = 40;
/** Minimum time without an event after which an attempt at a suspected group counts as silent, in milliseconds. */
const minimumSilenceMilliseconds = 130;
/** End of an attempt that was not sent because the retry budget is exhausted. */
const exhaustedBudget = {
    outcome: "refused",
    reason: "the retry budget of the service is exhausted",
} as const;

/** An attempt that has not ended. */
export interface LiveAttempt {
    /** Number of the attempt within its request, from 1. */
    readonly number: number;
    /** Identifies the replica, or the entry instance that the request was forwarded to. */
    readonly instance: string;
    /** True if bytes of the request may have reached the replica. */
    readonly isWritten: boolean;
    readonly hasReceivedEvents: boolean;
    /** True once another attempt was made beside this one, which suspends its time-out. */
    readonly hasSuspendedTimeout: boolean;
}

/** The attempts of one request so far. */
export interface AttemptSequence {
    /** The attempt that is expected to serve the caller. */
    readonly current: LiveAttempt | undefined;
    /** Earlier attempt at a silent replica, which continues while another one is made. */
    readonly silent: LiveAttempt | undefined;
    /** Number of attempts so far, whatever their outcome. */
    readonly attemptCount: number;
    /** Number of replicas that may have run the request, without those of live attempts. */
    readonly possibleRuns: number;
    /** Attempts in a row that no replica took. */
    readonly refusals: number;
    /** True if an attempt that has ended may have run the request. */
    readonly mayHaveRun: boolean;
    /** True if an attempt that has ended may have reached a replica. */
    readonly hasArrived: boolean;
}

export const noAttempts: AttemptSequence = {
    current: undefined,
    silent: undefined,
    attemptCount: 0,
    possibleRuns: 0,
    refusals: 0,
    mayHaveRun: false,
    hasArrived: false,
};

/** What decisions depend on besides the attempts themselves. */
export type AttemptConditions = Omit<
    AttemptFacts,
    "possibleRuns" | "attemptCount" | "mayHaveRun" | "hasSilentAttempt"
>;

/**
 * What a replica is chosen for. "next": the next attempt, while there is no current one. "beside": an attempt beside the
 * current one, which becomes the silent one. "instead": an attempt instead of the current one, which is slow.
 */
export type ChoicePurpose = "next" | "beside" | "instead";

export type AttemptEvent =
    | {
          readonly kind: "chosen";
          readonly purpose: ChoicePurpose;
          readonly choice: AttemptChoice;
          readonly hasBegunResponse: boolean;
      }
    | { readonly kind: "started"; readonly isBeside: boolean; readonly instance: string }
    /** The request is being written to the connection of an attempt. */
    | { readonly kind: "written"; readonly attempt: number }
    /** The retry budget allowed no attempt at the chosen replica. */
    | { readonly kind: "retryDenied"; readonly isBeside: boolean; readonly conditions: AttemptConditions }
    | {
          readonly kind: "silenceChecked";
          readonly attempt: number;
          /** True if the group of the attempt is suspected to be stalled or no longer in use. */
          readonly isDoubtful: boolean;
          /** Time since the last event of the attempt, in milliseconds. */
          readonly silentMilliseconds: number;
          readonly conditions: AttemptConditions;
      }
    /** The attempt time-out has passed without a response. */
    | {
          readonly kind: "slow";
          readonly attempt: number;
          /** Time for which the attempt may continue, in milliseconds; 0 if another one should be made now. */
          readonly extensionMilliseconds: number;
          readonly conditions: AttemptConditions;
      }
    /** `isNew`: the caller has not received the event before. */
    | { readonly kind: "eventReceived"; readonly attempt: number; readonly isNew: boolean }
    /** The response of an attempt is complete. */
    | { readonly kind: "served"; readonly attempt: number }
    /** An attempt ended without a complete response. */
    | {
          readonly kind: "ended";
          readonly attempt: number;
          readonly outcome: AttemptOutcome;
          readonly reason: string;
          readonly conditions: AttemptConditions;
          /** Number of replicas that may have run the request in the attempt. */
          readonly runs: number;
          /** Time after which a retry can succeed, in milliseconds; undefined if it is not known. */
          readonly retryAfterMilliseconds?: number;
          /** Delay before the next attempt of a request whose response has not begun, in milliseconds; undefined for none. */
          readonly delayMilliseconds?: number;
      }
    /** All live attempts were cancelled; each of them may have run the request. */
    | { readonly kind: "cancelled" };

/** Attempts are named by their numbers. */
export type AttemptCommand =
    | { readonly kind: "choose"; readonly purpose: ChoicePurpose }
    /** Choose a replica for the next attempt after a delay. */
    | { readonly kind: "chooseNextAfter"; readonly milliseconds: number }
    /** Take a retry from the budget unless this is the first attempt, and start an attempt. */
    | { readonly kind: "start"; readonly isBeside: boolean; readonly target: AttemptTarget }
    | { readonly kind: "checkSilence"; readonly attempt: number }
    | { readonly kind: "checkSilenceAfter"; readonly attempt: number; readonly milliseconds: number }
    /** Check the attempt for slowness when its attempt time-out has passed, counted from its sending. */
    | { readonly kind: "resumeTimeout"; readonly attempt: number }
    | { readonly kind: "checkSlownessAfter"; readonly attempt: number; readonly milliseconds: number }
    /** Cancel an attempt that is no longer needed. */
    | { readonly kind: "supersede"; readonly attempt: number }
    /** Cancel an attempt and end it as lost. */
    | { readonly kind: "abandon"; readonly attempt: number; readonly reason: string }
    /** Relay the replica's error response to the caller. */
    | { readonly kind: "pass" }
    /** State that no replica ran the request. */
    | { readonly kind: "refuse"; readonly refusal: Refusal }
    /** State that a replica may have run the request. */
    | { readonly kind: "unknown"; readonly reason: string }
    /** Abort the connection within the response. */
    | { readonly kind: "cut"; readonly reason: string };

export interface AttemptTransition {
    readonly state: AttemptSequence;
    /** In the order in which they are to be executed; only the last one may lead to a further event at once. */
    readonly commands: readonly AttemptCommand[];
}

type EventOf<Kind extends AttemptEvent["kind"]> = Extract<AttemptEvent, { readonly kind: Kind }>;

export function advanceAttempts(state: AttemptSequence, event: AttemptEvent): AttemptTransition {
    switch (event.kind) {
        case "chosen":
            return handleChoice(state, event);
        case "started":
            return transition(withNewAttempt(state, event));
        case "written":
            return transition(withChange(state, event.attempt, { isWritten: true }));
        case "retryDenied":
            return event.isBeside
                ? waitForCurrent({ ...state, refusals: state.refusals + 1 })
                : continueAfterAttempt(state, { ...event, ...exhaustedBudget });
        case "silenceChecked":
            return handleSilence(state, event);
        case "slow":
            return handleSlowness(state, event);
        case "eventReceived": {
            const next = withChange(state, event.attempt, { hasReceivedEvents: true });
            return event.isNew ? keepOnly(next, event.attempt) : transition(next);
        }
        case "served": {
            const { state: next, commands } = keepOnly(state, event.attempt);
            return transition(without(next, event.attempt), ...commands);
        }
        case "ended":
            return handleEnd(state, event);
        case "cancelled": {
            const isLive = state.current !== undefined || state.silent !== undefined;
            const mayHaveRun = state.mayHaveRun || isLive;
            const hasArrived = state.hasArrived || isLive;
            return transition({ ...state, current: undefined, silent: undefined, mayHaveRun, hasArrived });
        }
    }
}

/** True if another attempt would be a repetition to the replicas: an earlier one may have reached them. */
export function isRepetition({ current, silent, hasArrived }: AttemptSequence): boolean {
    return hasArrived || current !== undefined || silent !== undefined;
}

/** Number of replicas that may have run the request, including one that is silent. */
export function countPossibleRuns({ possibleRuns, silent }: AttemptSequence): number {
    return possibleRuns + (silent === undefined ? 0 : 1);
}

function handleChoice(state: AttemptSequence, event: EventOf<"chosen">): AttemptTransition {
    const { current } = state;
    const { choice } = event;
    switch (event.purpose) {
        case "next":
            return handleNextChoice(state, event);
        case "beside":
            return isOtherReplica(choice, current!)
                ? transition(state, { kind: "start", isBeside: true, target: choice.target })
                : waitForCurrent(state);
        case "instead":
            // Without another replica that takes the request at once, a response that may still come would be lost.
            return isOtherReplica(choice, current!) && choice.target.permit === undefined
                ? transition(state, {
                      kind: "abandon",
                      attempt: current!.number,
                      reason: "no response before the attempt time-out",
                  })
                : checkSlownessLater(state, resumePollIntervalMilliseconds);
    }
}

function handleNextChoice(
    state: AttemptSequence,
    { choice, hasBegunResponse }: EventOf<"chosen">,
): AttemptTransition {
    if (state.current !== undefined) {
        // The search was scheduled before the current attempt began.
        return transition(state);
    }
    if (state.silent !== undefined && !isOtherReplica(choice, state.silent)) {
        return returnToSilent(state);
    }
    if (choice.kind === "target") {
        return transition(state, { kind: "start", isBeside: false, target: choice.target });
    }
    if (hasBegunResponse) {
        // The caller may still be waiting; its deadline or its disconnection ends the search.
        return transition(state, { kind: "chooseNextAfter", milliseconds: resumePollIntervalMilliseconds });
    }
    const refusal = refusalWithoutTarget(choice);
    return transition(
        state,
        state.mayHaveRun ? { kind: "unknown", reason: refusal.reason } : { kind: "refuse", refusal },
    );
}

/** The silence is checked until the group is in use again, since it may fall silent, go on and fall silent again. */
function handleSilence(state: AttemptSequence, event: EventOf<"silenceChecked">): AttemptTransition {
    const { current } = state;
    if (current?.number !== event.attempt) {
        return transition(state);
    }
    if (!event.isDoubtful) {
        const next = { ...state, current: { ...current, hasSuspendedTimeout: false } };
        return current.hasSuspendedTimeout
            ? transition(next, { kind: "resumeTimeout", attempt: current.number })
            : transition(state);
    }
    const isSilent = event.silentMilliseconds >= minimumSilenceMilliseconds;
    return isSilent && mayTryElsewhere(factsOf(state, event.conditions))
        ? transition(state, { kind: "choose", purpose: "beside" })
        : waitForCurrent(state);
}

function handleSlowness(state: AttemptSequence, event: EventOf<"slow">): AttemptTransition {
    const { current } = state;
    const { conditions, extensionMilliseconds } = event;
    const isWaiting = current?.number === event.attempt && !current.hasReceivedEvents;
    if (!isWaiting || conditions.hasBegunResponse) {
        return transition(state);
    }
    if (extensionMilliseconds > 0) {
        return checkSlownessLater(state, extensionMilliseconds);
    }
    return mayTryElsewhere(factsOf(state, conditions))
        ? transition(state, { kind: "choose", purpose: "instead" })
        : checkSlownessLater(state, resumePollIntervalMilliseconds);
}

function handleEnd(state: AttemptSequence, event: EventOf<"ended">): AttemptTransition {
    const isCountedRun = event.outcome === "lost" || event.outcome === "failed";
    const next: AttemptSequence = {
        ...without(state, event.attempt),
        mayHaveRun: state.mayHaveRun || isCountedRun || event.outcome === "dropped",
        possibleRuns: state.possibleRuns + (isCountedRun ? event.runs : 0),
        hasArrived: state.hasArrived || (event.outcome !== "notSent" && event.outcome !== "withheld"),
    };
    return next.current === undefined
        ? continueAfterAttempt(next, event)
        : transition(next, { kind: "checkSilence", attempt: next.current.number });
}

/** Takes the next step after an attempt without a complete response. */
function continueAfterAttempt(
    state: AttemptSequence,
    {
        outcome,
        reason,
        conditions,
        retryAfterMilliseconds,
        delayMilliseconds,
    }: Pick<
        EventOf<"ended">,
        "outcome" | "reason" | "conditions" | "retryAfterMilliseconds" | "delayMilliseconds"
    >,
): AttemptTransition {
    const hasReached = outcome === "lost" || outcome === "failed" || outcome === "dropped";
    const refusals = hasReached ? 0 : state.refusals + 1;
    const next: AttemptSequence = { ...state, refusals };
    const step = decideNextStep(outcome, factsOf(next, conditions));
    switch (step) {
        case "retry": {
            const milliseconds = conditions.hasBegunResponse
                ? resumeDelayMilliseconds(refusals)
                : (delayMilliseconds ?? 0);
            return transition(
                next,
                milliseconds === 0
                    ? { kind: "choose", purpose: "next" }
                    : { kind: "chooseNextAfter", milliseconds },
            );
        }
        case "postpone":
            return transition(next, {
                kind: "chooseNextAfter",
                milliseconds: resumePollIntervalMilliseconds,
            });
        case "wait":
            return returnToSilent(next);
        case "pass":
            return transition(next, { kind: "pass" });
        case "refuse":
            return transition(next, {
                kind: "refuse",
                refusal: refusalAfterAttempt(reason, retryAfterMilliseconds),
            });
        case "unknown":
        case "cut":
            return transition(next, { kind: step, reason });
    }
}

/** Continues with one of two attempts and cancels the other, if there is one. */
function keepOnly(state: AttemptSequence, attempt: number): AttemptTransition {
    const { current, silent } = state;
    if (silent === undefined) {
        return transition(state);
    }
    const [kept, other] = silent.number === attempt ? [silent, current] : [current, silent];
    const { state: next, commands } = waitForCurrent({ ...state, current: kept, silent: undefined });
    if (other === undefined) {
        return transition(next, ...commands);
    }
    // When the connection closes, a silent leader drops a stream that has not begun, and an unwritten request reaches none.
    const mayContinue = other.hasReceivedEvents || (other !== silent && other.isWritten);
    return transition(
        {
            ...next,
            mayHaveRun: true,
            hasArrived: true,
            possibleRuns: state.possibleRuns + (mayContinue ? 1 : 0),
        },
        ...commands,
        { kind: "supersede", attempt: other.number },
    );
}

/** Waits for the silent replica again, because no other one served the request. */
function returnToSilent(state: AttemptSequence): AttemptTransition {
    return waitForCurrent({ ...state, current: state.silent, silent: undefined });
}

function waitForCurrent(state: AttemptSequence): AttemptTransition {
    const milliseconds = resumePollIntervalMilliseconds + resumeDelayMilliseconds(state.refusals);
    return transition(state, { kind: "checkSilenceAfter", attempt: state.current!.number, milliseconds });
}

function checkSlownessLater(state: AttemptSequence, milliseconds: number): AttemptTransition {
    return transition(state, { kind: "checkSlownessAfter", attempt: state.current!.number, milliseconds });
}

function withNewAttempt(state: AttemptSequence, { isBeside, instance }: EventOf<"started">): AttemptSequence {
    const attemptCount = state.attemptCount + 1;
    return {
        ...state,
        attemptCount,
        current: {
            number: attemptCount,
            instance,
            isWritten: false,
            hasReceivedEvents: false,
            hasSuspendedTimeout: false,
        },
        silent: isBeside ? { ...state.current!, hasSuspendedTimeout: true } : state.silent,
    };
}

function withChange(
    state: AttemptSequence,
    attempt: number,
    change: Partial<Pick<LiveAttempt, "isWritten" | "hasReceivedEvents">>,
): AttemptSequence {
    const { current, silent } = state;
    return {
        ...state,
        current: current?.number === attempt ? { ...current, ...change } : current,
        silent: silent?.number === attempt ? { ...silent, ...change } : silent,
    };
}

function without(state: AttemptSequence, attempt: number): AttemptSequence {
    const { current, silent } = state;
    return {
        ...state,
        current: current?.number === attempt ? undefined : current,
        silent: silent?.number === attempt ? undefined : silent,
    };
}

function factsOf(state: AttemptSequence, conditions: AttemptConditions): AttemptFacts {
    const { attemptCount, mayHaveRun, silent } = state;
    return {
        ...conditions,
        possibleRuns: countPossibleRuns(state),
        attemptCount,
        mayHaveRun,
        hasSilentAttempt: silent !== undefined,
    };
}

function transition(state: AttemptSequence, ...commands: readonly AttemptCommand[]): AttemptTransition {
    return { state, commands };
}

/** True if a choice is a replica other than that of an attempt. */
function isOtherReplica(
    choice: AttemptChoice,
    { instance }: LiveAttempt,
): choice is Extract<AttemptChoice, { readonly kind: "target" }> {
    return choice.kind === "target" && targetId(choice.target) !== instance;
}
