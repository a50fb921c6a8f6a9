/**
 * How often entry instances talk to the store and to each other, by how many there are. Answers the load of a growing
 * deployment: the whole of the calls and datagrams grows more slowly than the number of pairs of instances.
 */

/** Pause in which registrations gather between two watch calls, at few entry instances, in milliseconds. */
const shortestGatherMilliseconds = 400;
/** Longest such pause, in milliseconds: leaving instances get no requests after a few seconds. */
const longestGatherMilliseconds = 1_000;
/** What each entry instance adds to that pause, in milliseconds. */
const gatherMillisecondsPerEntry = 20;
/** Time between two datagrams to the other entry instances, at few of them, in milliseconds. */
const shortestPeerMilliseconds = 100;
/** What each entry instance adds to that time, in milliseconds. */
const peerMillisecondsPerEntry = 12;
/** Time between two reads of the entry instances' addresses, at few of them, in milliseconds. */
const shortestPeerReadMilliseconds = 4_000;
/** What each entry instance adds to that time, in milliseconds. */
const peerReadMillisecondsPerEntry = 150;
/** Datagrams after which a silent entry instance is no longer heard. */
const heardIntervals = 3.5;

export interface FleetPace {
    readonly gatherMilliseconds: number;
    readonly peerMilliseconds: number;
    readonly peerReadMilliseconds: number;
    /** Age up to which a peer's last word counts. */
    readonly heardMilliseconds: number;
}

/** Returns the pace of each of `entries` entry instances. */
export function paceOf(entries: number): FleetPace {
    const peerMilliseconds = Math.max(shortestPeerMilliseconds, entries * peerMillisecondsPerEntry);
    const gatherMilliseconds = Math.max(shortestGatherMilliseconds, entries * gatherMillisecondsPerEntry);
    return {
        gatherMilliseconds: Math.min(longestGatherMilliseconds, gatherMilliseconds),
        peerMilliseconds,
        peerReadMilliseconds: Math.max(shortestPeerReadMilliseconds, entries * peerReadMillisecondsPerEntry),
        heardMilliseconds: heardIntervals * peerMilliseconds,
    };
}
