/** Schedules the report requests of a placer, which go only to instances whose present state matters. */
import type { FleetInstance } from "./fleets.js";
import { groupKey } from "./fleets.js";
import type { KnownInstance, InstanceRegistry } from "./instance-registry.js";

/** Interval between report requests to an instance that does not respond, in milliseconds. */
const silentReportIntervalMilliseconds = 100;
/** Interval for silent instances that may go on, in milliseconds. */
const pausedReportIntervalMilliseconds = 200;
/** Interval for dead instances, and for those that respond although their heartbeats are missing, in milliseconds. */
const deadReportIntervalMilliseconds = 1_000;
/** Interval for instances that have ended and are no longer registered, in milliseconds; a new start registers itself. */
const endedReportIntervalMilliseconds = 5_000;

/** What the choice of the instances to ask depends on, beside what is known of them. */
export interface ReportContext {
    /** Members whose next state a formation awaits, with the interval between requests in milliseconds. */
    readonly forming: ReadonlyMap<string, number>;
    /**
     * Local monotonic milliseconds at which this process last received an event of a stream from the group with a key, 0 if
     * never.
     */
    readonly lastEventOf: (key: string) => number;
}

export class ReportSchedule {
    private readonly nextAt = new Map<string, number>();
    private readonly expedited = new Set<string>();
    /** Instances whose end would free other instances. */
    private readonly prioritized = new Set<string>();

    private constructor(private readonly registry: InstanceRegistry) {}

    public static create(registry: InstanceRegistry): ReportSchedule {
        return new ReportSchedule(registry);
    }

    /** Schedules a report request to an instance for the next step. */
    public expedite(id: string): void {
        this.nextAt.delete(id);
        this.expedited.add(id);
    }

    /** Brings the next request to an instance forward that did not answer the one of `requestedAt`. */
    public repeatAfterSilence(id: string, requestedAt: number): void {
        const repeatAt = requestedAt + silentReportIntervalMilliseconds;
        this.nextAt.set(id, Math.min(repeatAt, this.nextAt.get(id) ?? repeatAt));
    }

    /** Keeps requests to an instance frequent until the next step, since its end would free other instances. */
    public prioritize(id: string): void {
        this.prioritized.add(id);
    }

    /** Returns the instances to request reports from now. */
    public takeDue(context: ReportContext, now: number): readonly FleetInstance[] {
        const { forming } = context;
        const due = this.registry.all.filter(known => this.isDue(known, context, now));
        for (const known of due) {
            const { id } = known.instance;
            const wasExpedited = this.expedited.delete(id);
            this.nextAt.set(id, now + this.intervalAfter(known, forming.get(id), wasExpedited, now));
        }
        this.prioritized.clear();
        return due.map(known => known.instance);
    }

    private isDue(known: KnownInstance, { forming, lastEventOf }: ReportContext, now: number): boolean {
        const { id } = known.instance;
        const isRequested =
            isUnsettled(known) ||
            known.isEnded ||
            forming.has(id) ||
            this.expedited.has(id) ||
            this.prioritized.has(id) ||
            (isRelevant(known) &&
                this.registry.hasMissedHeartbeat(known, now) &&
                now >= lastEventOfGroup(known, lastEventOf) + deadReportIntervalMilliseconds);
        return isRequested && now >= (this.nextAt.get(id) ?? 0);
    }

    private intervalAfter(
        known: KnownInstance,
        formingInterval: number | undefined,
        wasExpedited: boolean,
        now: number,
    ): number {
        if (formingInterval !== undefined) {
            return formingInterval;
        }
        // It is not known yet whether an instance whose report request was expedited responds.
        const isUnresolved = wasExpedited || isUnsettled(known);
        const isSettled = this.registry.isDead(known, now) || !isUnresolved;
        const isPrioritized = this.prioritized.has(known.instance.id);
        if (!isSettled || isPrioritized) {
            return silentReportIntervalMilliseconds;
        }
        if (this.registry.mayBePaused(known, now)) {
            return pausedReportIntervalMilliseconds;
        }
        const hasEnded = this.registry.isDead(known, now) && !known.isRegistered;
        return hasEnded ? endedReportIntervalMilliseconds : deadReportIntervalMilliseconds;
    }
}

function isUnsettled(known: KnownInstance): boolean {
    return known.status === undefined || known.silentSince !== undefined || known.needsReport;
}

function isRelevant(known: KnownInstance): boolean {
    return known.isRegistered || known.status?.membership !== undefined;
}

/**
 * A group sends events only while all its members work, so each event says as much as a report from every member. A leaving
 * member may stop listening, and thereby its leader, while events of earlier requests still arrive.
 */
function lastEventOfGroup(
    { instance, status }: KnownInstance,
    lastEventOf: ReportContext["lastEventOf"],
): number {
    const membership = status?.membership;
    const isServing = membership?.state === "ready" || membership?.state === "open";
    return isServing && !instance.isLeaving ? lastEventOf(groupKey(membership)) : -Infinity;
}
