/**
 * Issues permits for requests to replicas that limit their rate. Covers a limit that holds for all entry instances together
 * and may be far below one request per second for each: a fixed share would be of no use to an entry instance that has all
 * the load, and what each may send at once would add up to a burst. For each replica one entry instance, the first issuer,
 * issues permits at the full rate to whoever asks, in the order of the questions.
 *
 * Entry instances that see each other start, freeze or be cut off at different times may use different issuers for a while.
 * Therefore issuers of a lower rank, and a first issuer that has just become the first, issue at fractions of the rate that
 * add up to less than half of it.
 */

/** Fractions of the rate at which issuers of the ranks 0, 1 and 2 issue permits. */
const rateFractions: readonly number[] = [1, 1 / 4, 1 / 8];
/** Fraction of the rate at which an entry instance issues permits that has just become the first issuer. */
const handoverRateFraction = 1 / 4;
/** Number of permits that a first issuer issues at once after a pause. */
const firstIssuerBurst = 2;

export interface PermitQuestion {
    /** Identifies one start of a replica. */
    readonly replica: string;
    /** Rate that the replica takes from all entry instances together. */
    readonly requestsPerSecond: number;
    /** Time for which the request can wait for its permit, in milliseconds. */
    readonly patienceMilliseconds: number;
    /** True if the replica crashes above its rate, so that entry instances that are cut off from most others issue less. */
    readonly isStrict?: boolean | undefined;
}

/** What an entry instance is among the issuers of permits for one replica. */
export interface IssuerRole {
    /** Position among the issuers; 0 is the first. */
    readonly rank: number;
    /** True if it was not the first issuer a moment ago. */
    readonly isHandover: boolean;
    /** Fraction of the rate of strict questions that it issues, by the part of the other entry instances that it hears. */
    readonly strictFraction?: number;
}

export type PermitReply =
    /** The request may be sent after `delayMilliseconds`; the next permit starts after `nextMilliseconds`. */
    | { readonly kind: "granted"; readonly delayMilliseconds: number; readonly nextMilliseconds: number }
    /** The next permit starts after `nextMilliseconds`, too late for the request. */
    | { readonly kind: "denied"; readonly nextMilliseconds: number }
    /** This entry instance issues no permits for the replica. */
    | { readonly kind: "unavailable" };

/** Time from which the next permit counts, and the interval of the permits before it. */
interface Schedule {
    /** Local monotonic milliseconds. */
    readonly nextAt: number;
    readonly intervalMilliseconds: number;
}

export class PermitIssuer {
    private readonly schedules = new Map<string, Schedule>();

    private constructor() {}

    public static create(): PermitIssuer {
        return new PermitIssuer();
    }

    /** Answers a question; `now` is in local monotonic milliseconds. */
    public issue(
        question: PermitQuestion,
        { rank, isHandover, strictFraction = 1 }: IssuerRole,
        now: number,
    ): PermitReply {
        const reachedFraction = question.isStrict === true ? strictFraction : 1;
        const isFirst = rank === 0 && !isHandover && reachedFraction === 1;
        const fraction = rank === 0 && isHandover ? handoverRateFraction : rateFractions[rank];
        if (fraction === undefined) {
            return { kind: "unavailable" };
        }
        const intervalMilliseconds = 1_000 / (question.requestsPerSecond * fraction * reachedFraction);
        const toleranceMilliseconds = (isFirst ? firstIssuerBurst - 1 : 0) * intervalMilliseconds;
        const nextAt = Math.max(now, this.nextAt(question.replica, intervalMilliseconds, now));
        const delayMilliseconds = Math.max(0, nextAt - toleranceMilliseconds - now);
        if (delayMilliseconds > question.patienceMilliseconds) {
            this.schedules.set(question.replica, { nextAt, intervalMilliseconds });
            return { kind: "denied", nextMilliseconds: delayMilliseconds };
        }
        const following = nextAt + intervalMilliseconds;
        this.schedules.set(question.replica, { nextAt: following, intervalMilliseconds });
        const nextMilliseconds = Math.max(0, following - toleranceMilliseconds - now);
        return { kind: "granted", delayMilliseconds, nextMilliseconds };
    }

    /** Forgets replicas for which no permit was asked for a while. */
    public removeIdle(now: number): void {
        for (const [replica, { nextAt, intervalMilliseconds }] of this.schedules) {
            if (nextAt + intervalMilliseconds < now) {
                this.schedules.delete(replica);
            }
        }
    }

    /** Returns the time from which the next permit counts; a changed rate changes the wait in proportion. */
    private nextAt(replica: string, intervalMilliseconds: number, now: number): number {
        const before = this.schedules.get(replica);
        if (before === undefined) {
            return now;
        }
        const wait = Math.max(0, before.nextAt - now);
        return now + (wait * intervalMilliseconds) / before.intervalMilliseconds;
    }
}
