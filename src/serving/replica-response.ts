/**
 * Reads a replica's response to one attempt: decides which bytes are relayed, which are held back until the response is
 * complete, and how the attempt ended. Covers replicas that respond to another request, break off, or send bytes without end.
 */
import { ByteCollector } from "../links/byte-collector.js";
import type { AttemptOutcome } from "./attempt-decision.js";
import type { StreamEvent } from "./event-splitter.js";
import { EventSplitter } from "./event-splitter.js";
import type { ResponseHead } from "./wire-format.js";

/**
 * Maximum size of a response that is buffered until it is complete, in bytes; longer responses are relayed as they
 * arrive. Each piece in which a response arrives counts with its overhead.
 */
export const maximumBufferedResponseBytes = 256 * 1024;
/** Maximum size of one event of a stream, in bytes; each piece counts with its overhead. */
export const maximumEventBytes = 256 * 1024;

/** What follows from a part of a response. */
export type ResponsePart =
    /** Complete events of a trusted stream, at least one. */
    | { readonly kind: "events"; readonly head: ResponseHead; readonly events: readonly StreamEvent[] }
    /** Bytes of a trusted response that is too long to be buffered. */
    | { readonly kind: "bytes"; readonly head: ResponseHead; readonly bytes: Buffer }
    /** The response names another request, so the connection carries what belongs to that one. */
    | { readonly kind: "foreign"; readonly reason: string }
    /** The rest of the response is of no use; only closing the connection ends it. */
    | { readonly kind: "unusable"; readonly reason: string };

/** How a response ended. */
export type ResponseEnd =
    /** `body`: the bytes that are not part of a `ResponsePart`. */
    | { readonly kind: "complete"; readonly head: ResponseHead; readonly body: Buffer }
    /** The replica responded with an error. */
    | {
          readonly kind: "failed";
          readonly head: ResponseHead;
          readonly body: Buffer;
          readonly reason: string;
      }
    | {
          readonly kind: Extract<AttemptOutcome, "refused">;
          readonly head: ResponseHead;
          readonly reason: string;
      }
    | { readonly kind: Extract<AttemptOutcome, "lost">; readonly reason: string };

export interface ReplicaResponseOptions {
    /** Id of the request; undefined if it has none. */
    readonly requestId: string | undefined;
    /** True if a successful response is a stream of events. */
    readonly isStream: boolean;
}

export class ReplicaResponse {
    private receivedHead: ResponseHead | undefined;
    private readonly splitter = EventSplitter.create();
    private readonly buffer = ByteCollector.create();
    private isRelayed = false;

    private constructor(private readonly options: ReplicaResponseOptions) {}

    public static create(options: ReplicaResponseOptions): ReplicaResponse {
        return new ReplicaResponse(options);
    }

    /** Undefined before the head has arrived. */
    public get head(): ResponseHead | undefined {
        return this.receivedHead;
    }

    /** Bytes that have been read and not been returned as a part. */
    public get heldBytes(): number {
        return this.buffer.length + this.splitter.partialEventBytes;
    }

    public readHead(head: ResponseHead): readonly ResponsePart[] {
        this.receivedHead = head;
        const isForOtherRequest = head.requestId !== undefined && head.requestId !== this.options.requestId;
        return isForOtherRequest ? [{ kind: "foreign", reason: "the response names another request" }] : [];
    }

    public readData(chunk: Buffer): readonly ResponsePart[] {
        const { head } = this;
        const trustedHead = head !== undefined && isTrustedSuccess(head) ? head : undefined;
        if (this.options.isStream && trustedHead !== undefined) {
            return this.readEvents(trustedHead, chunk);
        }
        if (this.isRelayed) {
            return [{ kind: "bytes", head: trustedHead!, bytes: chunk }];
        }
        this.buffer.add(chunk);
        if (this.buffer.chargedBytes <= maximumBufferedResponseBytes) {
            return [];
        }
        if (trustedHead === undefined) {
            const reason = `a response with status ${head?.status} exceeds ${maximumBufferedResponseBytes} bytes`;
            return [{ kind: "unusable", reason }];
        }
        this.isRelayed = true;
        return [{ kind: "bytes", head: trustedHead, bytes: this.buffer.take() }];
    }

    public readEnd(): ResponseEnd {
        const { head } = this;
        if (head === undefined) {
            return { kind: "lost", reason: "the response ended without a head" };
        }
        if (head.isStatedNotRun) {
            const reason = `the replica refused the request with status ${head.status}`;
            return { kind: "refused", head, reason };
        }
        if (isTrustedSuccess(head)) {
            return this.options.isStream && this.splitter.hasPartialEvent
                ? { kind: "lost", reason: "the stream ended inside an event" }
                : { kind: "complete", head, body: this.buffer.take() };
        }
        if (head.isSigned && head.status >= 300) {
            const reason = `the replica failed with status ${head.status}`;
            return { kind: "failed", head, body: this.buffer.take(), reason };
        }
        const reason = `the response with status ${head.status} is not signed by the replica`;
        return { kind: "lost", reason };
    }

    private readEvents(head: ResponseHead, chunk: Buffer): readonly ResponsePart[] {
        const events = this.splitter.push(chunk);
        const parts = events.length === 0 ? [] : [{ kind: "events", head, events } as const];
        return this.splitter.partialEventBytes > maximumEventBytes
            ? [...parts, { kind: "unusable", reason: `an event exceeds ${maximumEventBytes} bytes` }]
            : parts;
    }
}

/** True for a successful response that the replica has signed and that the caller can read. */
function isTrustedSuccess(head: ResponseHead): boolean {
    return (
        head.isSigned &&
        !head.isStatedNotRun &&
        !head.hasUnrequestedEncoding &&
        head.status >= 200 &&
        head.status < 300
    );
}
