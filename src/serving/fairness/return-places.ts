/**
 * Places of refused callers that return. Covers overload in which all refused callers would return at once and be refused
 * again: each Retry-After names a place in the part of the capacity that this entry instance expects to serve, and a
 * caller that returns is recognised by what it sends, also at other entry instances, which learn of it by datagram.
 */

/** Minimum Retry-After of a place, in milliseconds. */
const minimumWaitMilliseconds = 200;
/**
 * Fraction of the requests that this process starts that is promised to returning callers; the rest is for new ones. If all
 * returning callers went first, nearly all requests would be served at their second try only (docs/design/fair-sharing.md).
 */
const promisedFraction = 0.5;
/** Time constant of the rate at which requests are started, in milliseconds. */
const rateMilliseconds = 4_000;
/** Maximum interval between two places while no requests are started, in milliseconds. */
const maximumIntervalMilliseconds = 1_000;
/**
 * Start of the window in which callers without a place return, as a fraction of the longest wait. They have the most time
 * to meet free capacity if they return late.
 */
const unpromisedWindowStart = 0.6;
/** Time after its place for which a caller that returns is still recognised, in milliseconds. */
const graceMilliseconds = 1_500;
/** Part of its wait by which a caller may return too early and still be taken for a caller that honours its place. */
const earlyToleranceFraction = 0.2;
/** Time within which places that fall due count as load, in milliseconds; about a latency objective. */
const upcomingMilliseconds = 300;
/** Maximum number of places that this process remembers; further callers are not recognised. */
const maximumPlaces = 2_000;
/** Maximum number of places in one datagram, the promised ones that fall due first. */
const maximumAnnouncedPlaces = 24;
/** Maximum number of places that are kept of one peer. */
const maximumPlacesOfPeer = 2 * maximumAnnouncedPlaces;

/** The time at which a refused caller is expected back. Times are local monotonic milliseconds. */
export interface ReturnPlace {
    readonly bookedAt: number;
    readonly dueAt: number;
    /** True if the place is part of the capacity that this process promises to returning callers. */
    readonly isPromised: boolean;
}

/** A place as one entry instance announces it; durations are in milliseconds. */
export interface AnnouncedPlace {
    readonly identity: string;
    readonly waitedMilliseconds: number;
    /** Negative if the place has fallen due. */
    readonly dueInMilliseconds: number;
    readonly isPromised: boolean;
}

/**
 * How an arriving request relates to an earlier refusal of the same request. "promised": it returns to a part of the capacity
 * that was promised to it. "unpromised": all of that was promised to others. "early": it ignores its Retry-After.
 */
export type ReturnKind = "new" | "promised" | "unpromised" | "early";

/** What the place of a refused request depends on. */
export interface PlaceRequest {
    /** Longest wait that the caller honours. */
    readonly maximumWaitMilliseconds: number;
    /** Longest wait until a return that is promised a part of the capacity. */
    readonly maximumPromisedMilliseconds: number;
    /** Local monotonic milliseconds. */
    readonly now: number;
}

interface OwnPlace extends ReturnPlace {
    readonly pool: string;
}

interface PoolRate {
    starts: number;
    updatedAt: number;
    lastPlaceAt: number;
}

export class ReturnPlaces {
    /** Places of this process by the identity of the request, the earliest first. */
    private readonly own = new Map<string, readonly OwnPlace[]>();
    private readonly ofPeers = new Map<string, ReadonlyMap<string, readonly ReturnPlace[]>>();
    /** Places of peers that were used here, by identity. */
    private readonly used = new Map<string, readonly ReturnPlace[]>();
    private readonly rates = new Map<string, PoolRate>();
    private nextCleanupAt = 0;

    private constructor(private readonly random: () => number) {}

    public static create(random: () => number): ReturnPlaces {
        return new ReturnPlaces(random);
    }

    /** True if a request may be a return, so that its identity is needed. */
    public hasPlaces(now: number): boolean {
        this.removeExpired(now);
        return this.own.size > 0 || this.ofPeers.size > 0;
    }

    /** Records that a request of a pool was sent to a replica. */
    public recordStart(pool: string, now: number): void {
        const rate = this.rateOf(pool, now);
        decay(rate, now);
        rate.starts += 1;
    }

    /** Returns how a request relates to earlier refusals; a return uses its place up. */
    public recordArrival(identity: string, now: number): ReturnKind {
        const own = this.own.get(identity) ?? [];
        const ofPeers = this.unusedOfPeers(identity);
        const place = [...own, ...ofPeers].sort((left, right) => left.dueAt - right.dueAt)[0];
        if (place === undefined || now > place.dueAt + graceMilliseconds) {
            return "new";
        }
        const tolerance = earlyToleranceFraction * (place.dueAt - place.bookedAt);
        if (now < place.dueAt - tolerance) {
            return "early";
        }
        if (own.some(each => each === place)) {
            this.removeOwn(identity, place);
        } else {
            this.used.set(identity, [...(this.used.get(identity) ?? []), place]);
        }
        return place.isPromised ? "promised" : "unpromised";
    }

    /** Returns the place of this process that a caller still has; it is kept if the caller returns too early. */
    public placeOf(identity: string): ReturnPlace | undefined {
        return this.own.get(identity)?.[0];
    }

    /** Forgets a place whose request was served before it fell due. */
    public release(identity: string): void {
        const [place] = this.own.get(identity) ?? [];
        if (place !== undefined) {
            this.removeOwn(identity, place);
        }
    }

    /** Books a place for a refused request. */
    public book(pool: string, identity: string, request: PlaceRequest): ReturnPlace {
        this.removeExpired(request.now);
        const place = { pool, ...this.findPlace(pool, request) };
        if (this.own.size < maximumPlaces) {
            this.own.set(
                identity,
                [...(this.own.get(identity) ?? []), place].sort((left, right) => left.dueAt - right.dueAt),
            );
        }
        return place;
    }

    /** Number of promised places of a pool that fall due within about one latency objective, or have just done so. */
    public upcomingCount(pool: string, now: number): number {
        let count = 0;
        for (const places of this.own.values()) {
            for (const place of places) {
                const isUpcoming =
                    place.dueAt <= now + upcomingMilliseconds && now <= place.dueAt + upcomingMilliseconds;
                count += isUpcoming && place.isPromised && place.pool === pool ? 1 : 0;
            }
        }
        return count;
    }

    /** Places of this process for the peers, the promised ones and those that fall due first. */
    public announcement(now: number): readonly AnnouncedPlace[] {
        this.removeExpired(now);
        const places = [...this.own].flatMap(([identity, each]) =>
            each.map(place => ({ identity, ...place })),
        );
        return places
            .sort(
                (left, right) =>
                    Number(right.isPromised) - Number(left.isPromised) || left.dueAt - right.dueAt,
            )
            .slice(0, maximumAnnouncedPlaces)
            .map(({ identity, bookedAt, dueAt, isPromised }) => ({
                isPromised,
                identity,
                waitedMilliseconds: Math.round(now - bookedAt),
                dueInMilliseconds: Math.round(dueAt - now),
            }));
    }

    /** Replaces the known places of a peer. */
    public applyPeer(peer: string, announced: readonly AnnouncedPlace[], now: number): void {
        const places = new Map<string, readonly ReturnPlace[]>();
        for (const each of announced.slice(0, maximumPlacesOfPeer)) {
            const { identity, waitedMilliseconds, dueInMilliseconds, isPromised } = each;
            const place = {
                bookedAt: now - waitedMilliseconds,
                dueAt: now + dueInMilliseconds,
                isPromised,
            };
            places.set(identity, [...(places.get(identity) ?? []), place]);
        }
        if (places.size === 0) {
            this.ofPeers.delete(peer);
        } else {
            this.ofPeers.set(peer, places);
        }
    }

    private findPlace(pool: string, request: PlaceRequest): ReturnPlace {
        const { maximumWaitMilliseconds, maximumPromisedMilliseconds, now } = request;
        const rate = this.rateOf(pool, now);
        decay(rate, now);
        const startsPerMillisecond = (rate.starts / rateMilliseconds) * promisedFraction;
        const interval = Math.min(maximumIntervalMilliseconds, 1 / startsPerMillisecond);
        const earliest = now + minimumWaitMilliseconds;
        const dueAt = Math.max(earliest + this.random() * interval, rate.lastPlaceAt + interval);
        if (dueAt <= now + maximumPromisedMilliseconds) {
            rate.lastPlaceAt = dueAt;
            return { bookedAt: now, dueAt, isPromised: true };
        }
        const fraction = unpromisedWindowStart + (1 - unpromisedWindowStart) * this.random();
        return { bookedAt: now, dueAt: now + fraction * maximumWaitMilliseconds, isPromised: false };
    }

    /** Places of peers for an identity without as many as were used here, the earliest first. */
    private unusedOfPeers(identity: string): readonly ReturnPlace[] {
        const places = [...this.ofPeers.values()].flatMap(each => each.get(identity) ?? []);
        const usedCount = this.used.get(identity)?.length ?? 0;
        return places.sort((left, right) => left.dueAt - right.dueAt).slice(usedCount);
    }

    private removeOwn(identity: string, place: ReturnPlace): void {
        const remaining = (this.own.get(identity) ?? []).filter(each => each !== place);
        if (remaining.length === 0) {
            this.own.delete(identity);
        } else {
            this.own.set(identity, remaining);
        }
    }

    private removeExpired(now: number): void {
        if (now < this.nextCleanupAt) {
            return;
        }
        this.nextCleanupAt = now + upcomingMilliseconds;
        removeExpiredPlaces(this.own, now);
        // A used place stays known until the datagrams of its peer can no longer name it.
        removeExpiredPlaces(this.used, now - graceMilliseconds);
        for (const [peer, places] of this.ofPeers) {
            if ([...places.values()].flat().every(place => isExpired(place, now))) {
                this.ofPeers.delete(peer);
            }
        }
    }

    private rateOf(pool: string, now: number): PoolRate {
        const rate = this.rates.get(pool) ?? { starts: 0, updatedAt: now, lastPlaceAt: now };
        this.rates.set(pool, rate);
        return rate;
    }
}

function decay(rate: PoolRate, now: number): void {
    rate.starts *= Math.exp((rate.updatedAt - now) / rateMilliseconds);
    rate.updatedAt = now;
}

function isExpired({ dueAt }: ReturnPlace, now: number): boolean {
    return now > dueAt + graceMilliseconds;
}

function removeExpiredPlaces<Place extends ReturnPlace>(
    places: Map<string, readonly Place[]>,
    now: number,
): void {
    for (const [identity, each] of places) {
        const remaining = each.filter(place => !isExpired(place, now));
        if (remaining.length === 0) {
            places.delete(identity);
        } else {
            places.set(identity, remaining);
        }
    }
}
