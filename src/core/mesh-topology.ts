/** Peers and duties of each daemon, which every daemon computes from its own view of the members. */
import { hashNumber, rankByRendezvous } from "./hashes.js";

/** Number of daemons of a failure domain that watch the store. */
export const watchersPerFailureDomain = 2;
/** Number of daemons of a failure domain that maintain the bridge to another failure domain. */
export const bridgesPerFailureDomain = 2;
/** Number of members of a failure domain that are known to other failure domains. */
export const contactsPerFailureDomain = 8;
/** Number of peers in its failure domain that a daemon starts an exchange with in each round. */
export const neighboursPerRound = 2;

/** Returns the members of a failure domain that watch the store. */
export function watchersOf(failureDomain: string, members: readonly string[]): readonly string[] {
    return rankByRendezvous(`watch/${failureDomain}`, members).slice(0, watchersPerFailureDomain);
}

/** Returns the members of `from` that maintain its bridge to `to`. */
export function bridgesOf(from: string, to: string, members: readonly string[]): readonly string[] {
    return rankByRendezvous(`bridge/${from}/${to}`, members).slice(0, bridgesPerFailureDomain);
}

/** Returns the members of a failure domain that are announced to other failure domains. */
export function contactsOf(failureDomain: string, members: readonly string[]): readonly string[] {
    return rankByRendezvous(`contact/${failureDomain}`, members).slice(0, contactsPerFailureDomain);
}

/**
 * Returns the peers that `self` starts exchanges with: the next member on a ring in hash order, which connects all
 * members, and the member at a distance of about the square root of the ring size, which keeps paths short. Every
 * member is selected by the same number of others, so the load is even.
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

/** Returns the member of another failure domain at the far end of a bridge; undefined if none is known. */
export function bridgeTarget(self: string, members: readonly string[], epoch: number): string | undefined {
    return rankByRendezvous(`bridge/${self}/${epoch}`, members)[0];
}
