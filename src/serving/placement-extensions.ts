/**
 * Whether a placer whose lease lapsed may go on. Answers the load of instances that are lost while the store is away:
 * nobody can take the lease then, and waiting for the store would leave broken groups broken.
 */

/** Longest time for which a placer goes on without its lease, in milliseconds. */
export const longestExtensionMilliseconds = 8_000;
/** Time without own entry instances after which others place a failure domain, in milliseconds; longer than the above. */
export const foreignTakeoverMilliseconds = 12_000;
/** Age up to which a peer's last word counts, in milliseconds: a few of its datagrams. */
const heardMilliseconds = 350;

/** What is known of another entry instance of the same failure domain. */
export interface NeighbourView {
    /** Local monotonic milliseconds of its last datagram; undefined if there was none. */
    readonly heardAt: number | undefined;
    /** Time since it last reached the store, as it said then, in milliseconds. */
    readonly storeAge: number;
}

export interface ExtensionQuestion {
    readonly now: number;
    /** Local monotonic milliseconds at which the lease was last held. */
    readonly heldAt: number;
    /** Local monotonic milliseconds at which this process last reached the store. */
    readonly storeReachedAt: number;
    readonly leaseMilliseconds: number;
    /** Every other registered entry instance of the failure domain. */
    readonly neighbours: readonly NeighbourView[];
}

/**
 * True if nobody else can hold the lease: the others of the failure domain are all heard, and none of them has reached
 * the store for as long as a lease lives. Entry instances elsewhere wait longer than this lasts.
 */
export function mayGoOn(question: ExtensionQuestion): boolean {
    const { now, heldAt, storeReachedAt, leaseMilliseconds, neighbours } = question;
    if (now - heldAt > longestExtensionMilliseconds || now - storeReachedAt < leaseMilliseconds) {
        return false;
    }
    return neighbours.every(
        ({ heardAt, storeAge }) =>
            heardAt !== undefined && now - heardAt <= heardMilliseconds && storeAge >= leaseMilliseconds,
    );
}
