/**
 * Decides which requests go first and which are refused while capacity is short. Covers overload by more requests than the
 * replica groups can begin in time, where each caller's chance would depend on the instant of its arrival only. While there
 * is room, requests are decided by their expected times alone.
 */
import type { Clock } from "../../contracts/clocks.js";
import type { Admission, AdmissionQuestion, RefusalCause } from "../group-admission.js";
import { decideAdmission } from "../group-admission.js";
import { RequestPrecedence } from "./request-precedence.js";
import { ReturnPlaces } from "./return-places.js";
import type { ReturnKind } from "./return-places.js";
import type { SharingAnnouncement } from "./sharing-datagram.js";
import type { ArrivingRequest, SharingSubject } from "./sharing-subject.js";

/** Time after a request that could not be served in time for which capacity counts as short, in milliseconds. */
const shortageMilliseconds = 3_000;
/**
 * Factor on the objective within which a promised request's first event must be expected to go first: a second refusal costs
 * its caller more than a late event.
 */
const promisedObjectiveFactor = 1.3;
/** Fraction of the time-out of a promised request's caller that its expected wait behind others may take. */
const promisedTimeoutFraction = 0.6;
/**
 * Part of the objective within which the request of the lowest precedence must be expected; the bar rises to the whole
 * objective for the highest one. A request that only just finds no free slot is below it.
 */
const lowestBar = 0.35;
/**
 * Precedence below which a return is promised only within `lowPromiseFraction` of the longest wait: otherwise workspaces beyond
 * their shares, which are refused most, would get most promises.
 */
const lowPrecedence = 0.3;
const lowPromiseFraction = 0.7;
/** Maximum number of pools of peers that are remembered. */
const maximumPools = 200;
/** Maximum Retry-After as a fraction of the caller's remaining time; callers honour no longer one. */
const maximumRetryAfterFraction = 1 / 3;

export interface FairSharingOptions {
    readonly clock: Clock;
    /** Returns a number in [0, 1). */
    readonly random: () => number;
    /** Called when a caller returns after a refusal and its request is decided. */
    readonly onReturn: (kind: Exclude<ReturnKind, "new">, outcome: "started" | "refused") => void;
    readonly onRefusal: (cause: RefusalCause, rank: number) => void;
}

export class FairSharing {
    private readonly places: ReturnPlaces;
    private readonly precedence = RequestPrecedence.create();
    /** Local monotonic milliseconds until which the capacity of a pool counts as short. */
    private readonly shortUntil = new Map<string, number>();
    /** The same by what the peers announced, which is not announced again. */
    private readonly shortUntilByPeers = new Map<string, number>();

    private constructor(private readonly options: FairSharingOptions) {
        this.places = ReturnPlaces.create(options.random);
    }

    public static create(options: FairSharingOptions): FairSharing {
        return new FairSharing(options);
    }

    /** Records a request that arrived, before its replica group is chosen. */
    public recordArrival(request: ArrivingRequest): SharingSubject {
        const now = this.now();
        const returnKind: ReturnKind = this.places.hasPlaces(now)
            ? this.places.recordArrival(request.identity(), now)
            : "new";
        this.precedence.recordArrival(request, returnKind, now);
        const precedence = this.isShort(request.pool)
            ? this.precedence.precedenceOf(request, returnKind, this.options.random(), now)
            : 1;
        return { ...request, returnKind, precedence };
    }

    /** Decides whether a request goes to a replica group now; changes no state, since a request is decided for several groups. */
    public readonly decide = (question: AdmissionQuestion): Admission => {
        const { subject } = question;
        if (subject === undefined || !this.isShort(subject.pool)) {
            return decideAdmission(question);
        }
        const { objectiveMilliseconds, urgentMilliseconds, hasFreeSlot } = question;
        if (subject.returnKind === "promised") {
            return decidePromised(question);
        }
        if (subject.returnKind === "early" && !hasFreeSlot) {
            return { ...refusalOf(question), cause: "share" };
        }
        const promised = this.places.upcomingCount(subject.pool, this.now()) * question.queueStepMilliseconds;
        const isInTime = urgentMilliseconds <= objectiveMilliseconds;
        const bar = (lowestBar + (1 - lowestBar) * subject.precedence) * objectiveMilliseconds;
        if (isInTime && !hasFreeSlot && urgentMilliseconds + promised > bar) {
            return { ...refusalOf(question), cause: "share" };
        }
        return decideAdmission(question);
    };

    /** Records that a request is sent to a replica group for the first time. */
    public recordStart(subject: SharingSubject, isDeferred: boolean): void {
        const now = this.now();
        this.places.recordStart(subject.pool, now);
        this.precedence.recordStart(subject, now);
        if (isDeferred) {
            this.recordShortage(subject.pool, now);
        }
        if (subject.returnKind === "early") {
            this.places.release(subject.identity());
        }
        if (subject.returnKind !== "new") {
            this.options.onReturn(subject.returnKind, "started");
        }
    }

    /**
     * Records that a request is refused; returns its Retry-After in milliseconds. `remainingMilliseconds`: time until the
     * caller's own deadline.
     */
    public recordRefusal(
        subject: SharingSubject,
        cause: RefusalCause,
        remainingMilliseconds: number,
    ): number {
        const now = this.now();
        this.options.onRefusal(cause, subject.rank);
        if (subject.returnKind !== "new") {
            this.options.onReturn(subject.returnKind, "refused");
        }
        if (cause === "late") {
            this.recordShortage(subject.pool, now);
        }
        this.precedence.recordRefusal(subject, now);
        const maximumWait = maximumRetryAfterFraction * Math.max(0, remainingMilliseconds);
        const kept = subject.returnKind === "early" ? this.places.placeOf(subject.identity()) : undefined;
        const { dueAt } =
            kept ??
            this.places.book(subject.pool, subject.identity(), {
                maximumWaitMilliseconds: maximumWait,
                maximumPromisedMilliseconds:
                    subject.precedence < lowPrecedence ? lowPromiseFraction * maximumWait : maximumWait,
                now,
            });
        return Math.min(maximumWait, Math.max(0, dueAt - now));
    }

    /** What the peers need to know; empty while there is room. */
    public announcement(): SharingAnnouncement {
        const now = this.now();
        const shortPools = [...this.shortUntil].filter(([, until]) => now < until).map(([pool]) => pool);
        return {
            shortPools,
            places: this.places.announcement(now),
            usage: this.precedence.announcedUsage(shortPools, now),
            sessions: shortPools.length === 0 ? [] : this.precedence.announcedSessions(now),
        };
    }

    /** `expiresAt`: local monotonic milliseconds until which the announcement of a peer counts. */
    public applyPeer(peer: string, announcement: SharingAnnouncement, expiresAt: number): void {
        const { shortPools, places, usage, sessions } = announcement;
        const now = this.now();
        this.places.applyPeer(peer, places, now);
        this.precedence.applyPeer(peer, usage, sessions, now);
        for (const pool of shortPools) {
            if (this.shortUntilByPeers.size < maximumPools || this.shortUntilByPeers.has(pool)) {
                this.shortUntilByPeers.set(pool, Math.max(expiresAt, this.shortUntilByPeers.get(pool) ?? 0));
            }
        }
    }

    private isShort(pool: string): boolean {
        const until = [this.shortUntil.get(pool), this.shortUntilByPeers.get(pool)];
        return this.now() < Math.max(...until.map(each => each ?? Number.NEGATIVE_INFINITY));
    }

    private recordShortage(pool: string, now: number): void {
        this.shortUntil.set(pool, now + shortageMilliseconds);
    }

    private now(): number {
        return this.options.clock.monotonicMilliseconds();
    }
}

function decidePromised(question: AdmissionQuestion): Admission {
    const { urgentMilliseconds, deferredMilliseconds, objectiveMilliseconds } = question;
    if (urgentMilliseconds <= promisedObjectiveFactor * objectiveMilliseconds) {
        return { kind: "urgent" };
    }
    if (deferredMilliseconds <= promisedTimeoutFraction * question.firstEventTimeoutMilliseconds) {
        return { kind: "deferred" };
    }
    return refusalOf(question);
}

function refusalOf({
    deferredMilliseconds,
    objectiveMilliseconds,
}: AdmissionQuestion): Extract<Admission, { readonly kind: "refused" }> {
    return {
        kind: "refused",
        retryAfterMilliseconds: Math.max(0, deferredMilliseconds - Math.max(0, objectiveMilliseconds)),
    };
}
