/**
 * Judges the links of this entry instance to replicas. Covers an entry instance that is cut off from the replicas while
 * callers, the store and the other entry instances reach it: its connections hang or are reset, or live on while new ones
 * fail. Replicas that have ended look the same, also several at the same moment, such as all of a fabric domain. Several
 * failures with nothing received since the first of them therefore only put the links in doubt; they count as lost when
 * replicas that are probed because of the doubt fail as well.
 */
import { keepOnlyKeys } from "./collections.js";
import type { FleetInstance } from "./fleets.js";

/** Number of replicas that must have failed, with nothing received in between, to doubt the links instead of the replicas. */
const minimumFailedReplicas = 2;
/** Time for which a replica counts as lost after its last failure, in milliseconds. */
const failureMemoryMilliseconds = 10_000;
/** Age up to which a response counts as evidence that a replica can be reached, in milliseconds. */
const reachedMilliseconds = 5_000;
/** Half of the pause after the first failure to connect to a replica, in milliseconds; it doubles with each further one. */
const reconnectStepMilliseconds = 250;
const maximumReconnectPauseMilliseconds = 4_000;
/** Interval between two rounds of probes while links are in doubt, in milliseconds. */
const probeIntervalMilliseconds = 500;
/** Number of replicas with failures that are probed in one round. */
const probesPerRound = 2;
/** Number of replicas without failures that are probed in one round, and that must fail before links count as lost. */
const witnessCount = 2;

/** "connect": no connection was established. "silence": a connection yielded no response, or was reset before it. */
export type LinkFailure = "connect" | "silence";

/**
 * "open": no doubt. "connectedOnly": open connections serve, new ones fail. "cutOff": nothing arrives from the replicas of
 * the service.
 */
export type LinkState = "open" | "connectedOnly" | "cutOff";

interface HeardReplica {
    readonly service: string;
    /** Local monotonic milliseconds of the last bytes received. */
    readonly at: number;
}

/** Local monotonic milliseconds of the first and the last failure. */
interface LinkFailures {
    readonly since: number;
    readonly lastAt: number;
}

interface ConnectFailures {
    /** Local monotonic milliseconds of the last one. */
    readonly lastAt: number;
    readonly count: number;
    /** True if a connection to another replica was established meanwhile, so that only this replica is concerned. */
    readonly isIsolated: boolean;
}

type LinkInstance = Pick<FleetInstance, "id" | "service" | "fabricDomain">;
type ReplicaIdentity = Pick<FleetInstance, "id" | "service">;

export class ReplicaReach {
    private readonly heard = new Map<string, HeardReplica>();
    /** Local monotonic milliseconds of the last bytes from any replica of a service. */
    private readonly lastHeardAt = new Map<string, number>();
    /** Failures of each replica since bytes last arrived from it, by service and replica. */
    private readonly failures = new Map<string, Map<string, LinkFailures>>();
    /** Replicas to which no connection could be established since the last one; open connections may live on. */
    private readonly connectFailures = new Map<string, ConnectFailures>();
    /** Replicas without failures that were probed since bytes last arrived from their service, by service. */
    private readonly witnesses = new Map<string, Set<string>>();
    /** Replicas without failures that were probed since the last connection was established. */
    private readonly connectWitnesses = new Set<string>();
    /** Services whose probed witnesses failed as well, until bytes arrive from one of their replicas. */
    private readonly confirmedCuts = new Set<string>();
    /** True if witnesses could not be connected to either, until a connection is established. */
    private areConnectionsLost = false;
    private nextProbeAt = 0;

    private constructor(private readonly random: () => number) {}

    /** `random` returns a number in [0, 1). */
    public static create(random: () => number): ReplicaReach {
        return new ReplicaReach(random);
    }

    /** Records that bytes arrived from a replica. */
    public recordHeard({ id, service }: ReplicaIdentity, now: number): void {
        this.heard.set(id, { service, at: now });
        this.lastHeardAt.set(service, now);
        this.failures.get(service)?.delete(id);
        this.endDoubt(service);
    }

    /** Records that a new connection to a replica was established. */
    public recordConnected(connected: string): void {
        this.connectFailures.delete(connected);
        this.connectWitnesses.clear();
        this.areConnectionsLost = false;
        for (const [id, failures] of this.connectFailures) {
            if (!failures.isIsolated) {
                this.connectFailures.set(id, { ...failures, isIsolated: true });
            }
        }
    }

    public recordFailure({ id, service }: ReplicaIdentity, failure: LinkFailure, now: number): void {
        const ofService = this.failures.get(service) ?? new Map<string, LinkFailures>();
        this.failures.set(service, ofService);
        const before = ofService.get(id);
        const since = before !== undefined && isRecent(before, now) ? before.since : now;
        ofService.set(id, { since, lastAt: now });
        if (failure === "connect") {
            const earlier = this.connectFailures.get(id) ?? { count: 0, isIsolated: false };
            this.connectFailures.set(id, { ...earlier, count: earlier.count + 1, lastAt: now });
        }
        this.confirmLoss(service, now);
    }

    /** Judges the links to the replicas of a service. */
    public stateOf(service: string, now: number): LinkState {
        const heardAt = this.heardAtOf(service);
        // A service with few requests shows nothing itself while the links to another one are cut.
        const isCutOff = [...this.failures.keys()].some(each => {
            const cutAt = this.cutOffSince(each, now);
            return cutAt !== undefined && heardAt < cutAt;
        });
        if (isCutOff) {
            return "cutOff";
        }
        const failed = this.sharedConnectFailures(now);
        return this.areConnectionsLost && failed.length >= minimumFailedReplicas ? "connectedOnly" : "open";
    }

    /** True while failures suggest that the links to a service are lost, whether or not probes have confirmed it. */
    public isInDoubt(service: string, now: number): boolean {
        return (
            this.unansweredFailures(service, now).length >= minimumFailedReplicas ||
            this.sharedConnectFailures(now).length >= minimumFailedReplicas ||
            this.stateOf(service, now) !== "open"
        );
    }

    /** True if a request to a replica has failed, and nothing has arrived from it since. */
    public isLost({ id, service }: ReplicaIdentity, now: number): boolean {
        const failures = this.failures.get(service)?.get(id);
        return failures !== undefined && isRecent(failures, now);
    }

    /** True if any replica of a service is lost. */
    public hasLost(service: string, now: number): boolean {
        return this.recentFailures(service, now).length > 0;
    }

    /** True if no connection to a replica could be established, for a pause that grows with each failure. */
    public isUnconnectable(instance: Pick<FleetInstance, "id">, now: number): boolean {
        const failures = this.connectFailures.get(instance.id);
        if (failures === undefined) {
            return false;
        }
        const pause = Math.min(
            maximumReconnectPauseMilliseconds,
            2 ** failures.count * reconnectStepMilliseconds,
        );
        return now - failures.lastAt < pause;
    }

    /** Local monotonic milliseconds at which the next probes are due; Infinity while no links are in doubt. */
    public nextProbesAt(now: number): number {
        const isAnyInDoubt = [...this.failures.keys()].some(service => this.isInDoubt(service, now));
        return isAnyInDoubt ? this.nextProbeAt : Infinity;
    }

    /** Returns the number of replicas of each service from which bytes arrived recently. */
    public reachedCounts(now: number): ReadonlyMap<string, number> {
        const counts = new Map<string, number>();
        for (const [id, { service, at }] of this.heard) {
            const isReached = now - at < reachedMilliseconds && !this.isLost({ id, service }, now);
            counts.set(service, (counts.get(service) ?? 0) + (isReached ? 1 : 0));
        }
        return counts;
    }

    /**
     * Returns the replicas to probe now: some of those with failures, and others of each service, which show whether the
     * links are lost or those with failures have ended.
     */
    public takeProbes<T extends LinkInstance>(instances: Iterable<T>, now: number): readonly T[] {
        if (now < this.nextProbeAt) {
            return [];
        }
        if (this.failures.size === 0 && this.connectFailures.size === 0) {
            return [];
        }
        const all = [...instances];
        const doubtful = [...new Set(all.map(({ service }) => service))].filter(service =>
            this.isInDoubt(service, now),
        );
        if (doubtful.length === 0) {
            return [];
        }
        this.nextProbeAt = now + probeIntervalMilliseconds;
        const candidates = all
            .filter(({ service }) => doubtful.includes(service))
            .map(instance => ({ instance, order: this.random() }))
            .sort((left, right) => left.order - right.order)
            .map(({ instance }) => instance);
        const failed = candidates.filter(each => this.isLost(each, now)).slice(0, probesPerRound);
        const others = doubtful.flatMap(service =>
            this.takeWitnesses(
                service,
                candidates.filter(each => each.service === service),
                now,
            ),
        );
        return [...failed, ...others];
    }

    /** Returns replicas of a service that have not failed, from fabric domains without failures if there are any. */
    private takeWitnesses<T extends LinkInstance>(
        service: string,
        replicas: readonly T[],
        now: number,
    ): readonly T[] {
        const lost = replicas.filter(each => this.isLost(each, now));
        const others = replicas.filter(each => !lost.includes(each));
        if (others.length === 0) {
            this.confirmedCuts.add(service);
            this.areConnectionsLost ||= lost.every(
                ({ id }) => this.connectFailures.get(id)?.isIsolated === false,
            );
            return [];
        }
        const lostDomains = new Set(lost.map(({ fabricDomain }) => fabricDomain));
        const [elsewhere, beside] = [
            others.filter(({ fabricDomain }) => !lostDomains.has(fabricDomain)),
            others.filter(({ fabricDomain }) => lostDomains.has(fabricDomain)),
        ];
        const taken = [...elsewhere, ...beside].slice(0, witnessCount);
        const witnesses = this.witnesses.get(service) ?? new Set<string>();
        for (const { id } of taken) {
            witnesses.add(id);
            this.connectWitnesses.add(id);
        }
        this.witnesses.set(service, witnesses);
        return taken;
    }

    public retainReplicas(replicas: ReadonlySet<string>): void {
        keepOnlyKeys(this.heard, replicas);
        keepOnlyKeys(this.connectFailures, replicas);
        this.failures.forEach(ofService => keepOnlyKeys(ofService, replicas));
    }

    /** Returns the time from which nothing arrived from the service if its links are lost; else undefined. */
    private cutOffSince(service: string, now: number): number | undefined {
        const unanswered = this.unansweredFailures(service, now);
        const isCut = this.confirmedCuts.has(service) && unanswered.length >= minimumFailedReplicas;
        return isCut ? Math.min(...unanswered.map(([, failures]) => failures.since)) : undefined;
    }

    /** Records that links are lost if enough of the replicas that were probed as witnesses have failed. */
    private confirmLoss(service: string, now: number): void {
        const witnesses = this.witnesses.get(service);
        const failed = this.unansweredFailures(service, now).filter(([id]) => witnesses?.has(id) === true);
        if (failed.length >= witnessCount) {
            this.confirmedCuts.add(service);
        }
        const unconnected = this.sharedConnectFailures(now).filter(id => this.connectWitnesses.has(id));
        this.areConnectionsLost ||= unconnected.length >= witnessCount;
    }

    /** Returns the recent failures of a service's replicas since bytes last arrived from any of them. */
    private unansweredFailures(
        service: string,
        now: number,
    ): readonly (readonly [id: string, failures: LinkFailures])[] {
        const heardAt = this.heardAtOf(service);
        return [...(this.failures.get(service) ?? [])].filter(
            ([, failures]) => isRecent(failures, now) && failures.since > heardAt,
        );
    }

    /** Returns the replicas to which no connection could be established since the last one to any replica. */
    private sharedConnectFailures(now: number): readonly string[] {
        return [...this.connectFailures]
            .filter(([, failures]) => !failures.isIsolated && isRecent(failures, now))
            .map(([id]) => id);
    }

    private endDoubt(service: string): void {
        this.witnesses.delete(service);
        this.confirmedCuts.delete(service);
    }

    private heardAtOf(service: string): number {
        return this.lastHeardAt.get(service) ?? Number.NEGATIVE_INFINITY;
    }

    private recentFailures(service: string, now: number): readonly LinkFailures[] {
        const all = [...(this.failures.get(service)?.values() ?? [])];
        return all.filter(failures => isRecent(failures, now));
    }
}

function isRecent({ lastAt }: Pick<LinkFailures, "lastAt">, now: number): boolean {
    return now - lastAt < failureMemoryMilliseconds;
}
