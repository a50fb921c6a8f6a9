/** One attempt of a request at a replica, with what has been received of the response. */
import type { UpstreamCall } from "../links/upstream-pools.js";
import type { AttemptOutcome } from "./attempt-decision.js";
import type { CrashProgress } from "./crash-attribution.js";
import type { AttemptTarget } from "./dispatcher.js";
import type { StreamEvent } from "./event-splitter.js";
import type { ForwardReply } from "./forwarded-requests.js";
import type { ReadPace } from "./read-pace.js";
import type { ReplicaResponse } from "./replica-response.js";
import type { ResponseHead } from "./wire-format.js";

/** Time from the first event after which the prompt of a request cannot be the cause of a crash, in milliseconds. */
const progressMilliseconds = 400;
/** Minimum time from sending a request to a crash that it causes before its response has a head, in milliseconds. */
const minimumCrashMilliseconds = 20;

/** State of one attempt at a replica. */
export interface Attempt {
    /** Number of the attempt within its request, from 1. */
    readonly number: number;
    readonly target: AttemptTarget;
    /** Local monotonic milliseconds. */
    readonly sentAt: number;
    /** Id among the requests in flight at the replica group; undefined at plain services. */
    readonly inFlightId: number | undefined;
    /** Maximum number of replicas that may run the request in this attempt; more than one if it is forwarded. */
    readonly maximumRuns: number;
    readonly response: ReplicaResponse;
    readonly pace: ReadPace;
    /** Head of the response; undefined before it has arrived. */
    readonly head: ResponseHead | undefined;
    call: UpstreamCall | undefined;
    hasReceivedEvents: boolean;
    /** Highest id of an event of this attempt. */
    highestEventId: number;
    /** Number of events whose ids this attempt had reached before. */
    repeatedEvents: number;
    /** Local monotonic milliseconds of the last event, or of the sending. */
    lastProgressAt: number;
    /** Local monotonic milliseconds of the first event; undefined before. */
    firstEventAt: number | undefined;
    /** True if the connection broke in a way that a request which crashes its replica could have caused. */
    hasCrashedReplica: boolean;
    slowAttemptTimer: NodeJS.Timeout | undefined;
    /** What the entry instance states that the request was forwarded to; undefined before its response. */
    forwardReply: ForwardReply | undefined;
}

/** Creates the state of an attempt that begins. */
export function createAttempt(
    facts: Pick<Attempt, "number" | "target" | "sentAt" | "inFlightId" | "maximumRuns" | "response" | "pace">,
): Attempt {
    const { response, sentAt } = facts;
    return {
        ...facts,
        get head() {
            return response.head;
        },
        call: undefined,
        hasReceivedEvents: false,
        highestEventId: Number.NEGATIVE_INFINITY,
        repeatedEvents: 0,
        lastProgressAt: sentAt,
        firstEventAt: undefined,
        hasCrashedReplica: false,
        slowAttemptTimer: undefined,
        forwardReply: undefined,
    };
}

/** Records the events of an attempt, whose ids are to increase. */
export function recordEventIds(attempt: Attempt, events: readonly StreamEvent[]): void {
    for (const { id } of events) {
        if (id !== undefined && id <= attempt.highestEventId) {
            attempt.repeatedEvents += 1;
        } else {
            attempt.highestEventId = id ?? attempt.highestEventId;
        }
    }
}

/**
 * Returns the number of replicas that may have run the request in an attempt without a complete response. An entry instance
 * that does not state it may have made all attempts before it began to respond.
 */
export function runsOf({ head, forwardReply, maximumRuns }: Attempt, outcome: AttemptOutcome): number {
    const hasMadeAllAttempts = head === undefined || outcome === "failed";
    return forwardReply?.runs ?? (hasMadeAllAttempts ? maximumRuns : 1);
}

/**
 * Returns how far an attempt had progressed whose connection has just broken; undefined if it is no evidence of a crash. An
 * idle connection that the replica had closed breaks at once. Later attempts of a stream are resumed, and a response that
 * progressed in one of them shows that its request is sound.
 */
export function crashProgressOf(attempt: Attempt, now: number): CrashProgress | undefined {
    if (attempt.firstEventAt !== undefined) {
        if (now - attempt.firstEventAt < progressMilliseconds) {
            return "begun";
        }
        return attempt.number === 1 ? "advanced" : undefined;
    }
    if (attempt.head !== undefined) {
        return "head";
    }
    return now - attempt.sentAt >= minimumCrashMilliseconds ? "none" : undefined;
}
