/**
 * Request rates that replicas in need have stated, for all entry instances together. Covers a replica that takes fewer
 * requests than usual: each entry instance learns its limit, and the end of it, from the replica's responses or from the
 * first entry instance that received one.
 */
import { keepOnlyKeys } from "./collections.js";
import type { FleetInstance } from "./fleets.js";

/** Minimum rate that is kept to, in requests per second: without any request, the end of a limit would stay unknown. */
const minimumRequestsPerSecond = 0.2;
/** Time for which the end of a limit is announced, in milliseconds. */
const endAnnouncementMilliseconds = 15_000;
/** Maximum number of limits in one message; the most recently stated ones are announced. */
const maximumAnnounced = 64;

/** What entry instances tell each other about the limit of one replica. */
export interface LimitAnnouncement {
    readonly id: string;
    /** Start of the replica; undefined if the replica has not stated it. */
    readonly incarnation: number | undefined;
    /** Undefined once the limit has ended. */
    readonly requestsPerSecond: number | undefined;
    /** Time since the replica stated it, in milliseconds. */
    readonly age: number;
}

/** A response of a replica, with times in local monotonic milliseconds. */
export interface LimitStatement {
    /** Undefined if the response states no limit. */
    readonly requestsPerSecond: number | undefined;
    /** Time for which the replica stays cold, in milliseconds; undefined if the response does not state it. */
    readonly coldMilliseconds?: number | undefined;
    /** Time at which the request was sent. */
    readonly sentAt: number;
}

interface StatedLimit {
    readonly incarnation: number | undefined;
    readonly requestsPerSecond: number | undefined;
    /** Local monotonic milliseconds. */
    readonly statedAt: number;
}

export class RateLimits {
    private readonly limits = new Map<string, StatedLimit>();

    private constructor() {}

    public static create(): RateLimits {
        return new RateLimits();
    }

    /** Records what a response states; returns true if the replica has a new limit, another one, or none any more. */
    public record({ id, status }: FleetInstance, statement: LimitStatement, now: number): boolean {
        const { incarnation } = status;
        const before = this.limits.get(id);
        const isSameStart = before !== undefined && before.incarnation === incarnation;
        const limitBefore = isSameStart ? before.requestsPerSecond : undefined;
        const requestsPerSecond = withMinimum(statement.requestsPerSecond);
        // A response to an older request may have been overtaken by one that states the limit.
        const isOvertaken = isSameStart && statement.sentAt < before.statedAt;
        if (requestsPerSecond === undefined && (limitBefore === undefined || isOvertaken)) {
            return false;
        }
        this.limits.set(id, { incarnation, requestsPerSecond, statedAt: now });
        return requestsPerSecond !== limitBefore;
    }

    /** Applies what another entry instance has learnt, if it is newer. */
    public apply(announcements: readonly LimitAnnouncement[], now: number): void {
        for (const { id, incarnation, requestsPerSecond, age } of announcements) {
            const statedAt = now - age;
            const before = this.limits.get(id);
            if (before === undefined || before.statedAt < statedAt) {
                this.limits.set(id, {
                    incarnation,
                    requestsPerSecond: withMinimum(requestsPerSecond),
                    statedAt,
                });
            }
        }
    }

    /** Returns the rate in requests per second that a replica takes from all entry instances; undefined without a limit. */
    public rateOf({ id, status }: FleetInstance): number | undefined {
        const limit = this.limits.get(id);
        return limit !== undefined && limit.incarnation === status.incarnation
            ? limit.requestsPerSecond
            : undefined;
    }

    /** Returns the limits and their recent ends, for the other entry instances. */
    public announcement(now: number): readonly LimitAnnouncement[] {
        return [...this.limits]
            .filter(([, limit]) => {
                const isRecent = now - limit.statedAt < endAnnouncementMilliseconds;
                return limit.requestsPerSecond !== undefined || isRecent;
            })
            .sort(([, left], [, right]) => right.statedAt - left.statedAt)
            .slice(0, maximumAnnounced)
            .map(([id, { incarnation, requestsPerSecond, statedAt }]) => ({
                id,
                incarnation,
                requestsPerSecond,
                age: now - statedAt,
            }));
    }

    public retainReplicas(replicas: ReadonlySet<string>): void {
        keepOnlyKeys(this.limits, replicas);
    }
}

function withMinimum(requestsPerSecond: number | undefined): number | undefined {
    return requestsPerSecond === undefined
        ? undefined
        : Math.max(minimumRequestsPerSecond, requestsPerSecond);
}
