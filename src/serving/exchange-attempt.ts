/** One attempt of a request at a replica, with what has been received of the response. */
import type { UpstreamCall } from "../links/upstream-pools.js";
import type { CrashProgress } from "./crash-attribution.js";
import type { DispatchTarget } from "./dispatcher.js";
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
    readonly target: DispatchTarget;
    /** Local monotonic milliseconds. */
    readonly sentAt: number;
    /** Id among the requests in flight at the replica group; undefined at plain services. */
    readonly inFlightId: number | undefined;
    readonly response: ReplicaResponse;
    /** Head of the response; undefined before it has arrived. */
    readonly head: ResponseHead | undefined;
    call: UpstreamCall | undefined;
    hasReceivedEvents: boolean;
    /** Local monotonic milliseconds of the last event, or of the sending. */
    lastProgressAt: number;
    /** Local monotonic milliseconds of the first event; undefined before. */
    firstEventAt: number | undefined;
    /** True if the connection broke in a way that a request which crashes its replica could have caused. */
    hasCrashedReplica: boolean;
    slowAttemptTimer: NodeJS.Timeout | undefined;
}

/** Creates the state of an attempt; `inFlightId` is its id among the requests in flight at the replica group. */
export function createAttempt(
    number: number,
    target: DispatchTarget,
    sentAt: number,
    inFlightId: number | undefined,
    response: ReplicaResponse,
): Attempt {
    return {
        number,
        target,
        sentAt,
        inFlightId,
        response,
        get head() {
            return response.head;
        },
        call: undefined,
        hasReceivedEvents: false,
        lastProgressAt: sentAt,
        firstEventAt: undefined,
        hasCrashedReplica: false,
        slowAttemptTimer: undefined,
    };
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
