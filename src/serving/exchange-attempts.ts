/** One send of a request to a replica, and what has come back of it. */
import type { UpstreamCall } from "../links/upstreams.js";
import type { DispatchTarget } from "./dispatchers.js";
import { EventSplitter } from "./event-splitters.js";
import type { AnswerHead } from "./wire.js";

/** One send to a replica. */
export interface Attempt {
    readonly number: number;
    readonly target: DispatchTarget;
    readonly sentAt: number;
    readonly flight: number | undefined;
    readonly splitter: EventSplitter;
    call: UpstreamCall | undefined;
    head: AnswerHead | undefined;
    pieces: Buffer[];
    heldBytes: number;
    hasEvents: boolean;
    timer: NodeJS.Timeout | undefined;
}

/** Starts the record of a send; `flight` is its number at the replica group. */
export function createAttempt(
    number: number,
    target: DispatchTarget,
    sentAt: number,
    flight: number | undefined,
): Attempt {
    return {
        number,
        target,
        sentAt,
        flight,
        splitter: EventSplitter.create(),
        call: undefined,
        head: undefined,
        pieces: [],
        heldBytes: 0,
        hasEvents: false,
        timer: undefined,
    };
}

/** True for a success that the replica vouches for. */
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
