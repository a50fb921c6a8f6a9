/**
 * How often entry instances talk to the store and to each other, by how many there are. Answers the load of a growing
 * deployment: the whole of the calls and datagrams grows more slowly than the number of pairs of instances.
 */

/** Pause in which changes gather between two watch calls, at few entry instances, in milliseconds. */
const shortestGatherMilliseconds = 800;
/** What each entry instance adds to that pause, in milliseconds: 40 calls a second over all of them. */
const gatherMillisecondsPerEntry = 25;
/** Longest such pause as a part of the time in which a leaving instance must get no more requests. */
const gatherPartOfLeaving = 0.5;
/** The same of the time in which a configuration must be in force: a large one takes time to be read as well. */
const gatherPartOfConfiguration = 0.4;
/** Longest wait of a watch call as a part of the tolerance: a dead one is noticed, and the state read anew, within it. */
const watchPartOfTolerance = 0.6;
/** Time between two datagrams to the entry instances of the own failure domain, at few of them, in milliseconds. */
const shortestPeerMilliseconds = 100;
/** What each entry instance adds to that time, in milliseconds. */
const peerMillisecondsPerEntry = 4.5;
/** Time between two reads of the entry instances' addresses, at few of them, in milliseconds. */
const shortestPeerReadMilliseconds = 4_000;
/** What each entry instance adds to that time, in milliseconds. */
const peerReadMillisecondsPerEntry = 150;
/** What each entry instance beyond the first few adds to the time over which they spread their questions, in milliseconds. */
const spreadMillisecondsPerEntry = 4;
/** Entry instances that may all ask the members of a silent group at once. */
const unspreadEntries = 10;
/** Longest such time, in milliseconds: a datagram that names the silent member is there before. */
const longestSpreadMilliseconds = 200;
/** Entry instances up to which each request may choose among all groups. */
const freshEntries = 10;
/** Groups among which a request chooses where there are more: two of many keep loads even though they are known late. */
const staleOptions = 2;
/** Datagrams to the own failure domain for one to the others, where there are more: most requests stay in their own. */
const nearPerFar = 3;
/** Datagrams after which a silent entry instance is no longer heard. */
const heardIntervals = 3.5;

/** Bounds of the deployment that the pace must keep, in milliseconds. */
export interface PaceBounds {
    /** Time from the store's answer to the operators until a configuration must be in force. */
    readonly configurationMilliseconds: number;
    /** Time from an instance's notice that it leaves until it must get no more requests. */
    readonly leavingMilliseconds: number;
    /** Time after a disruption of its connections in which an entry instance may still act on old state. */
    readonly toleranceMilliseconds: number;
}

export interface FleetPace {
    readonly gatherMilliseconds: number;
    /** Longest wait of one watch call at the store. */
    readonly watchMilliseconds: number;
    /** Time between two datagrams to the own failure domain. */
    readonly peerMilliseconds: number;
    /** Every how manieth datagram goes to the other failure domains, too. */
    readonly farEvery: number;
    readonly peerReadMilliseconds: number;
    /** Most groups among which one request chooses. */
    readonly mostOptions: number;
    /** Time over which entry instances spread their first questions to the members of a silent group. */
    readonly questionSpreadMilliseconds: number;
    /** Age up to which a peer's last word counts. */
    readonly heardMilliseconds: number;
}

/** Returns the pace of each of `entries` entry instances. */
export function paceOf(entries: number, bounds: PaceBounds): FleetPace {
    const peerMilliseconds = Math.max(shortestPeerMilliseconds, entries * peerMillisecondsPerEntry);
    const gatherMilliseconds = Math.min(
        Math.max(shortestGatherMilliseconds, entries * gatherMillisecondsPerEntry),
        gatherPartOfLeaving * bounds.leavingMilliseconds,
        gatherPartOfConfiguration * bounds.configurationMilliseconds,
    );
    const farEvery = entries <= freshEntries ? 1 : nearPerFar;
    return {
        gatherMilliseconds,
        watchMilliseconds: Math.round(watchPartOfTolerance * bounds.toleranceMilliseconds),
        peerMilliseconds,
        farEvery,
        peerReadMilliseconds: Math.max(shortestPeerReadMilliseconds, entries * peerReadMillisecondsPerEntry),
        mostOptions: entries <= freshEntries ? Number.POSITIVE_INFINITY : staleOptions,
        questionSpreadMilliseconds: Math.min(
            longestSpreadMilliseconds,
            Math.max(0, entries - unspreadEntries) * spreadMillisecondsPerEntry,
        ),
        heardMilliseconds: heardIntervals * farEvery * peerMilliseconds,
    };
}
