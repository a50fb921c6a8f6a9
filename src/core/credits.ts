/**
 * Divides the slots of a replica among entry processes. A few entry processes, ranked by rendezvous hashing, use each
 * replica, and each of them has a guaranteed number of slots there: its credit.
 */
import { rankByRendezvous } from "./hashes.js";

/** Minimum number of slots per entry process at a replica; with more entry processes, each replica serves a subset. */
export const minimumSlotsPerEntry = 4;

/** Returns how many of `entries` entry processes use a replica with this number of slots; at least one. */
export function entriesPerReplica(slots: number, entries: number): number {
    const maximumUsers = Math.max(1, Math.floor(slots / minimumSlotsPerEntry));
    return Math.max(1, Math.min(entries, maximumUsers));
}

/** Returns the guaranteed slots of `entry` at a replica; the credits of all entry processes add up to `slots`. */
export function slotCreditOf(
    entry: string,
    replica: string,
    slots: number,
    entries: readonly string[],
): number {
    if (!entries.includes(entry)) {
        return slotCreditOf(entry, replica, slots, [...entries, entry]);
    }
    const users = entriesPerReplica(slots, entries.length);
    const rank = rankByRendezvous(replica, entries).indexOf(entry);
    if (rank >= users) {
        return 0;
    }
    const evenShare = Math.floor(slots / users);
    return evenShare + (rank < slots % users ? 1 : 0);
}
