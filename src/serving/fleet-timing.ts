/**
 * Intervals at which entry instances call the store and each other, by the number of entry instances. They keep the load
 * of a growing deployment in check: the total of calls and datagrams grows more slowly than the number of pairs.
 */
import type { RelayTiming } from "./store-relay/change-relay.js";

/** Minimum pause between two watch calls, in which changes are batched, in milliseconds. */
const minimumWatchPauseMilliseconds = 800;
/** Pause between watch calls per entry instance, in milliseconds: 25 calls per second over all of them. */
const watchPauseMillisecondsPerEntry = 40;
/**
 * Maximum pause between watch calls, as a fraction of the time until a leaving instance must get no more requests; peers
 * announce leaving instances as well.
 */
const watchPauseFractionOfLeaving = 0.65;
/**
 * Maximum pause as a fraction of the time until a configuration must be in force; reading a large one takes time too. Peers
 * announce new versions as well.
 */
const watchPauseFractionOfConfiguration = 0.65;
/** Maximum pause between two watch calls of a relay, in milliseconds. */
const maximumRelayPauseMilliseconds = 800;
/** Pause between two watch calls of a relay as a fraction of the shortest bound; its changes travel once more. */
const relayPauseFraction = 0.3;
/** Maximum pause as a fraction of the time until an evacuated failure domain must get no more requests. */
const watchPauseFractionOfEvacuation = 0.65;
/** Maximum wait of a watch call as a fraction of the tolerance, within which a dead call is noticed and the state reread. */
const watchTimeoutFractionOfTolerance = 0.6;
/** Minimum interval between datagrams to entry instances of the same failure domain, in milliseconds. */
const minimumPeerIntervalMilliseconds = 100;
/** Interval between datagrams to the same failure domain per entry instance, in milliseconds. */
const peerIntervalMillisecondsPerEntry = 4.5;
/** Minimum interval between reads of the entry instances' addresses, in milliseconds. */
const minimumPeerReadIntervalMilliseconds = 4_000;
/** Interval between reads of the addresses per entry instance, in milliseconds. */
const peerReadIntervalMillisecondsPerEntry = 150;
/** Spread of first probes per entry instance beyond `maximumUnspreadEntries`, in milliseconds. */
const probeSpreadMillisecondsPerEntry = 4;
/** Number of entry instances that may all probe the members of a silent group at once. */
const maximumUnspreadEntries = 10;
/** Maximum spread of first probes, in milliseconds: a datagram that names the silent member arrives earlier. */
const maximumProbeSpreadMilliseconds = 200;
/** Maximum entry instances at which each request may choose among all groups, and each watches the store itself. */
const maximumEntriesWithFreshLoads = 10;
/**
 * Groups among which a request chooses beyond `maximumEntriesWithFreshLoads` entry instances: a choice of two balances
 * loads even if they are known late.
 */
const groupOptionsWithStaleLoads = 2;
/**
 * Datagrams to the own failure domain per datagram to others, beyond `maximumEntriesWithFreshLoads` entry instances: most
 * requests stay in their own domain.
 */
const nearDatagramsPerFarDatagram = 3;
/** Missed datagram intervals after which the last state of an entry instance expires. */
const maximumMissedIntervals = 3.5;

/** Bounds of the deployment that the intervals must keep, in milliseconds. */
export interface TimingBounds {
    /** Time from the store's response to the operators until a configuration must be in force. */
    readonly configurationMilliseconds: number;
    /** Time from an instance's announcement that it leaves until it must get no more requests. */
    readonly leavingMilliseconds: number;
    /** Time from the store's response to the operators until an evacuated failure domain must get no more requests. */
    readonly evacuationMilliseconds?: number;
    /** Time after a disruption of its connections in which an entry instance may still act on old state. */
    readonly toleranceMilliseconds: number;
}

export interface FleetTiming extends RelayTiming {
    /** Interval between two datagrams to the own failure domain. */
    readonly peerIntervalMilliseconds: number;
    /** Number of datagrams to the own failure domain per datagram that also goes to the other ones. */
    readonly datagramsPerFarDatagram: number;
    /** Interval between two reads of the entry instances' addresses. */
    readonly peerReadIntervalMilliseconds: number;
    /** Maximum number of groups among which one request chooses. */
    readonly maximumGroupOptions: number;
    /** True if the datagrams alone tell the loads in time, so that no news of single changes is sent. */
    readonly areLoadsFresh: boolean;
    /** Time over which entry instances spread their first probes of the members of a silent group. */
    readonly probeSpreadMilliseconds: number;
}

/** Returns the intervals for each of `entries` entry instances. */
export function fleetTimingOf(entries: number, bounds: TimingBounds): FleetTiming {
    const intervalMilliseconds = Math.max(
        minimumPeerIntervalMilliseconds,
        entries * peerIntervalMillisecondsPerEntry,
    );
    const maximumPauseMilliseconds = Math.min(
        watchPauseFractionOfLeaving * bounds.leavingMilliseconds,
        watchPauseFractionOfConfiguration * bounds.configurationMilliseconds,
        watchPauseFractionOfEvacuation * (bounds.evacuationMilliseconds ?? Number.POSITIVE_INFINITY),
    );
    const shortestBound = Math.min(bounds.leavingMilliseconds, bounds.configurationMilliseconds);
    const datagramsPerFar = entries <= maximumEntriesWithFreshLoads ? 1 : nearDatagramsPerFarDatagram;
    return {
        isRelayed: entries > maximumEntriesWithFreshLoads,
        watchPauseMilliseconds: Math.min(
            Math.max(minimumWatchPauseMilliseconds, entries * watchPauseMillisecondsPerEntry),
            maximumPauseMilliseconds,
        ),
        relayPauseMilliseconds: Math.min(maximumRelayPauseMilliseconds, relayPauseFraction * shortestBound),
        maximumStateAgeMilliseconds: maximumPauseMilliseconds,
        watchTimeoutMilliseconds: Math.round(watchTimeoutFractionOfTolerance * bounds.toleranceMilliseconds),
        peerIntervalMilliseconds: intervalMilliseconds,
        datagramsPerFarDatagram: datagramsPerFar,
        peerReadIntervalMilliseconds: Math.max(
            minimumPeerReadIntervalMilliseconds,
            entries * peerReadIntervalMillisecondsPerEntry,
        ),
        maximumGroupOptions:
            entries <= maximumEntriesWithFreshLoads ? Number.POSITIVE_INFINITY : groupOptionsWithStaleLoads,
        areLoadsFresh: entries <= maximumEntriesWithFreshLoads,
        probeSpreadMilliseconds: Math.min(
            maximumProbeSpreadMilliseconds,
            Math.max(0, entries - maximumUnspreadEntries) * probeSpreadMillisecondsPerEntry,
        ),
        peerExpiryMilliseconds: maximumMissedIntervals * datagramsPerFar * intervalMilliseconds,
    };
}
