/** Who talks to whom and who has which duty, worked out by every daemon from its own view of the members. */
import { hashNumber, rankByRendezvous } from "./hashes.js";

/** Daemons of a failure domain that hold watches of the store. */
export const watchersPerFailureDomain = 2;
/** Daemons of a failure domain that hold the bridge to one other failure domain. */
export const bridgesPerFailureDomain = 2;
/** Members of a failure domain that other failure domains know. */
export const contactsPerFailureDomain = 8;
/** Peers that a daemon starts an exchange with in each round inside its failure domain. */
export const neighboursPerRound = 2;

/** The members of a failure domain that watch the store. */
export function watchersOf(failureDomain: string, members: readonly string[]): readonly string[] {
    return rankByRendezvous(`watch/${failureDomain}`, members).slice(0, watchersPerFailureDomain);
}

/** The members of `from` that hold its bridge to `to`. */
export function bridgesOf(from: string, to: string, members: readonly string[]): readonly string[] {
    return rankByRendezvous(`bridge/${from}/${to}`, members).slice(0, bridgesPerFailureDomain);
}

/** The members of a failure domain that the other failure domains learn of. */
export function contactsOf(failureDomain: string, members: readonly string[]): readonly string[] {
    return rankByRendezvous(`contact/${failureDomain}`, members).slice(0, contactsPerFailureDomain);
}

/**
 * The peers that `self` starts exchanges with: the next member on a ring in hash order, which joins all members, and one
 * about the square root of the ring further on, which keeps the paths short. Everyone is picked by equally many others,
 * so the load is even.
 */
export function neighboursOf(self: string, members: readonly string[]): readonly string[] {
    const others = members.filter(member => member !== self);
    if (others.length <= neighboursPerRound) {
        return others;
    }
    const ring = [...members].sort(
        (left, right) => hashNumber(left) - hashNumber(right) || (left < right ? -1 : 1),
    );
    const index = ring.indexOf(self);
    const stride = Math.max(2, Math.round(Math.sqrt(ring.length)));
    return [1, stride].map(step => ring[(index + step) % ring.length]!);
}

/** The member of another failure domain that `self` exchanges with over a bridge; undefined if none is known. */
export function bridgeTarget(self: string, members: readonly string[], epoch: number): string | undefined {
    return rankByRendezvous(`bridge/${self}/${epoch}`, members)[0];
}
