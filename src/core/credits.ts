/**
 * Division of a replica's slots among entry processes. Each replica is used by a few entries, ranked by rendezvous
 * hash, and every one of these has a guaranteed number of slots: its credit.
 */
import { rankByRendezvous } from "./hashes.js";

/** Fewest slots that an entry should have at a replica; with more entries each replica serves a subset. */
export const minimumCredit = 4;

/** Returns how many of `entries` use a replica with this number of slots; at least one. */
export function entriesPerReplica(slots: number, entries: number): number {
    const most = Math.max(1, Math.floor(slots / minimumCredit));
    return Math.max(1, Math.min(entries, most));
}

/** Returns the slots that `entry` may count on at a replica; the credits of all entries add up to `slots`. */
export function creditOf(entry: string, replica: string, slots: number, entries: readonly string[]): number {
    if (!entries.includes(entry)) {
        return creditOf(entry, replica, slots, [...entries, entry]);
    }
    const users = entriesPerReplica(slots, entries.length);
    const rank = rankByRendezvous(replica, entries).indexOf(entry);
    if (rank >= users) {
        return 0;
    }
    const whole = Math.floor(slots / users);
    return whole + (rank < slots % users ? 1 : 0);
}
