/**
 * Schedules the endpoints that this process probes. Every endpoint is probed by two live daemons of its failure domain,
 * selected by rendezvous hash and half an interval apart; if that failure domain has no live daemon, by two others.
 */
import type { EndpointHealth } from "./endpoints.js";
import type { FailureDomainId } from "./failure-domains.js";
import { hashNumber, rankByRendezvous } from "./hashes.js";
import type { Instance, InstanceId } from "./instances.js";
import type { MemberId } from "./mesh-messages.js";

/** Number of daemons that probe one endpoint. */
export const probersPerEndpoint = 2;
/** Time-out of a probe, in milliseconds. */
export const probeTimeoutMilliseconds = 1_500;
/** Initial delay before a failed probe is retried, in milliseconds; doubled with each consecutive failure. */
const initialRetryDelayMilliseconds = 300;
/** Consecutive failures after which an endpoint counts as failed. */
export const failuresUntilFailed = 2;
/** Maximum number of consecutive failures whose start times are kept. */
const maximumFailureTimes = 3;
/** Maximum delay between probes of an endpoint that keeps failing, in milliseconds. */
const maximumRetryDelayMilliseconds = 4_000;

/** Members, instances and health that a plan is computed from. */
export interface ProbeView {
    readonly self: MemberId;
    readonly failureDomain: FailureDomainId;
    readonly instances: readonly Instance[];
    readonly liveIn: (failureDomain: FailureDomainId) => readonly MemberId[];
    readonly liveAnywhere: () => readonly MemberId[];
    readonly health: (instance: InstanceId) => EndpointHealth | undefined;
    readonly healthMilliseconds: number;
}

interface ProbeDuty {
    readonly instance: Instance;
    /** 0 for the preferred prober, 1 for the second. */
    readonly rank: number;
    readonly nextAt: number;
    readonly failures: number;
    /** Local start times of the last failed probes. */
    readonly failureStartTimes: readonly number[];
    readonly isProbing: boolean;
}

/** Returns the daemons that probe an endpoint. */
export function probersOf(instance: Instance, view: ProbeView): readonly MemberId[] {
    const own = view.liveIn(instance.failureDomain);
    const candidates = own.length > 0 ? own : view.liveAnywhere();
    return rankByRendezvous(`probe/${instance.id}`, candidates).slice(0, probersPerEndpoint);
}

/** Holds the endpoints that this process has to probe. */
export class ProbePlan {
    private readonly duties = new Map<InstanceId, ProbeDuty>();
    private assignmentBasis = "";
    private assignedInstances: readonly Instance[] = [];
    private domains: readonly FailureDomainId[] = [];

    private constructor() {}

    public static create(): ProbePlan {
        return new ProbePlan();
    }

    public get size(): number {
        return this.duties.size;
    }

    /** Returns the instances to probe now, and marks their probes as in progress. */
    public takeDue(view: ProbeView, now: number): readonly Instance[] {
        this.assign(view, now);
        const takeDue = [...this.duties.values()].filter(duty => !duty.isProbing && duty.nextAt <= now);
        for (const duty of takeDue) {
            this.duties.set(duty.instance.id, { ...duty, isProbing: true });
        }
        return takeDue.map(duty => duty.instance);
    }

    /** Records a successful probe. */
    public recordSuccess(id: InstanceId, view: ProbeView, now: number): void {
        const duty = this.duties.get(id);
        if (duty !== undefined) {
            const nextAt = now + this.intervalMilliseconds(id, view);
            this.duties.set(id, { ...duty, isProbing: false, failures: 0, failureStartTimes: [], nextAt });
        }
    }

    /**
     * Records a failed probe. If the endpoint now counts as failed, returns the time since which it has not responded
     * to this process; a response to another prober after that time is still valid.
     */
    public recordFailure(id: InstanceId, startedAt: number, now: number): number | undefined {
        const duty = this.duties.get(id);
        if (duty === undefined) {
            return undefined;
        }
        const failures = duty.failures + 1;
        const failureStartTimes = [...duty.failureStartTimes, startedAt].slice(-maximumFailureTimes);
        const delay = Math.min(
            maximumRetryDelayMilliseconds,
            initialRetryDelayMilliseconds * 2 ** Math.min(failures - 1, 10),
        );
        this.duties.set(id, {
            ...duty,
            isProbing: false,
            failures,
            failureStartTimes,
            nextAt: now + delay,
        });
        return failures >= failuresUntilFailed ? failureStartTimes[0] : undefined;
    }

    /**
     * Makes the next probe of an endpoint due immediately, if this process probes the endpoint. Called when a stream or
     * a peer indicates a problem.
     */
    public expedite(id: InstanceId, now: number): void {
        const duty = this.duties.get(id);
        if (duty !== undefined) {
            this.duties.set(id, { ...duty, nextAt: Math.min(duty.nextAt, now) });
        }
    }

    private assign(view: ProbeView, now: number): void {
        const isSameList = view.instances === this.assignedInstances;
        if (!isSameList) {
            this.assignedInstances = view.instances;
            this.domains = [...new Set(view.instances.map(instance => instance.failureDomain))];
        }
        const assignmentBasis = describeMembers(this.domains, view);
        if (assignmentBasis === this.assignmentBasis && isSameList) {
            return;
        }
        this.assignmentBasis = assignmentBasis;
        const endpoints = view.instances.filter(instance => canBeProbed(instance, view));
        const kept = new Set<InstanceId>();
        for (const instance of endpoints) {
            const rank = probersOf(instance, view).indexOf(view.self);
            if (rank >= 0) {
                kept.add(instance.id);
                this.assignEndpoint(instance, rank, view, now);
            }
        }
        for (const id of [...this.duties.keys()].filter(known => !kept.has(known))) {
            this.duties.delete(id);
        }
    }

    private assignEndpoint(instance: Instance, rank: number, view: ProbeView, now: number): void {
        const known = this.duties.get(instance.id);
        const isSame = known?.instance.address === instance.address && known.rank === rank;
        const nextAt = isSame ? known.nextAt : now + firstDelayMilliseconds(instance, rank, view);
        this.duties.set(instance.id, {
            instance,
            rank,
            nextAt,
            failures: isSame ? known.failures : 0,
            failureStartTimes: isSame ? known.failureStartTimes : [],
            isProbing: isSame && known.isProbing,
        });
    }

    /** Returns the probe interval in milliseconds; leaders, which have slots, are probed twice as often as others. */
    private intervalMilliseconds(id: InstanceId, view: ProbeView): number {
        const isLeader = (view.health(id)?.report.load.slots ?? 0) > 0;
        return view.healthMilliseconds / (isLeader ? 4 : 2);
    }
}

/**
 * Returns the delay of the first probe in milliseconds: short for an endpoint without health, otherwise spread by hash
 * over half the health deadline, with the two probers half of that interval apart.
 */
function firstDelayMilliseconds(instance: Instance, rank: number, view: ProbeView): number {
    if (view.health(instance.id) === undefined) {
        return (hashNumber(instance.id) % 200) + rank * 200;
    }
    const interval = view.healthMilliseconds / 2;
    return ((hashNumber(instance.id) / 2 ** 32 + rank / probersPerEndpoint) % 1) * interval;
}

/**
 * Returns true if this process may probe an instance. Entry instances are not probed; live daemons of the instance's
 * failure domain exclude the daemons of all others.
 */
function canBeProbed(instance: Instance, view: ProbeView): boolean {
    const isOwn = instance.failureDomain === view.failureDomain;
    return instance.role !== "entry" && (isOwn || view.liveIn(instance.failureDomain).length === 0);
}

function describeMembers(domains: readonly FailureDomainId[], view: ProbeView): string {
    const members = domains.map(domain => view.liveIn(domain).join(","));
    const anywhere = members.includes("") ? view.liveAnywhere().join(",") : "";
    return [...members, anywhere].join("\n");
}
