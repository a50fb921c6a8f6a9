/** What the sharing of short capacity knows of a request. */
import type { ReturnKind } from "./return-places.js";

export interface SharingSubject {
    /** Service and model, whose capacity is of no use to others. */
    readonly pool: string;
    readonly workspace: string;
    /** Key with which the caller authenticated; empty without one. */
    readonly callerKey: string;
    /** Urgency; 0 is the most urgent. */
    readonly rank: number;
    /** Kind of request: the name of its route. */
    readonly kind: string;
    /** Expected work of an engine, in milliseconds of a whole replica group. */
    readonly workMilliseconds: number;
    /** Last prompt segment that requests share; undefined if there is none. */
    readonly session: string | undefined;
    readonly returnKind: ReturnKind;
    /** Hash of what a caller repeats if it sends the same request again; calculated when it is needed. */
    readonly identity: () => string;
    /** Part of the recent requests that go after this one while capacity is short, from 0 to 1. */
    readonly precedence: number;
}

/** A request that arrives, before it is known whether it is a return. */
export type ArrivingRequest = Omit<SharingSubject, "returnKind" | "precedence">;
