/** One attempt of a request at a replica, with what has been received of the response. */
import type { UpstreamCall } from "../links/upstreams.js";
import type { DispatchTarget } from "./dispatchers.js";
import { EventSplitter } from "./event-splitters.js";
import type { AnswerHead } from "./wire.js";

/** State of one attempt at a replica. */
export interface Attempt {
    /** Number of the attempt within its request, from 1. */
    readonly number: number;
    readonly target: DispatchTarget;
    /** Local monotonic milliseconds. */
    readonly sentAt: number;
    /** Id among the requests in flight at the replica group; undefined at plain services. */
    readonly flight: number | undefined;
    readonly splitter: EventSplitter;
    call: UpstreamCall | undefined;
    head: AnswerHead | undefined;
    pieces: Buffer[];
    heldBytes: number;
    hasEvents: boolean;
    timer: NodeJS.Timeout | undefined;
}

/** Creates the state of an attempt; `inFlightId` is its id among the requests in flight at the replica group. */
export function createAttempt(
    number: number,
    target: DispatchTarget,
    sentAt: number,
    inFlightId: number | undefined,
): Attempt {
    return {
        number,
        target,
        sentAt,
        flight: inFlightId,
        splitter: EventSplitter.create(),
        call: undefined,
        head: undefined,
        pieces: [],
        heldBytes: 0,
        hasEvents: false,
        timer: undefined,
    };
}

/** True for a successful response that the replica has signed and that the caller can read. */
export function isGood(head: AnswerHead | undefined): boolean {
    return (
        head !== undefined &&
        head.isSigned &&
        !head.isNotRun &&
        !head.hasForeignEncoding &&
        head.status >= 200 &&
        head.status < 300
    );
}
