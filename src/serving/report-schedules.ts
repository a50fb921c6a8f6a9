/** Schedules the report requests of a placer, which go only to instances whose present state matters. */
import type { FleetInstance } from "./fleets.js";
import { formationReportMilliseconds } from "./group-formations.js";
import type { KnownInstance, KnownInstances } from "./known-instances.js";

/** Interval between report requests to an instance that does not respond, in milliseconds. */
const silentReportMilliseconds = 100;
/** Interval for dead instances, and for those that respond although their heartbeats are missing, in milliseconds. */
const deadReportMilliseconds = 1_000;

export class ReportSchedule {
    private readonly nextAt = new Map<string, number>();
    private readonly hastened = new Set<string>();
    /** Instances whose end would free other instances. */
    private readonly awaited = new Set<string>();

    private constructor(private readonly book: KnownInstances) {}

    public static create(book: KnownInstances): ReportSchedule {
        return new ReportSchedule(book);
    }

    /** Schedules a report request to an instance for the next step. */
    public hasten(id: string): void {
        this.nextAt.delete(id);
        this.hastened.add(id);
    }

    /** Keeps requests to an instance frequent until the next step, since its end would free other instances. */
    public await(id: string): void {
        this.awaited.add(id);
    }

    /** Returns the instances to request reports from now; `forming` are members whose next state a formation awaits. */
    public takeDue(forming: ReadonlySet<string>, now: number): readonly FleetInstance[] {
        const due = this.book.all.filter(known => this.isDue(known, forming, now));
        for (const known of due) {
            const { id } = known.instance;
            const wasHastened = this.hastened.delete(id);
            this.nextAt.set(id, now + this.pauseAfter(known, forming.has(id), wasHastened, now));
        }
        this.awaited.clear();
        return due.map(known => known.instance);
    }

    private isDue(known: KnownInstance, forming: ReadonlySet<string>, now: number): boolean {
        const { id } = known.instance;
        const isRequested =
            isUnsettled(known) ||
            known.isEnded ||
            forming.has(id) ||
            this.hastened.has(id) ||
            this.awaited.has(id) ||
            (isOfUse(known) && this.book.hasMissedHeartbeat(known, now));
        return isRequested && now >= (this.nextAt.get(id) ?? 0);
    }

    private pauseAfter(known: KnownInstance, isForming: boolean, wasHastened: boolean, now: number): number {
        if (isForming) {
            return formationReportMilliseconds;
        }
        // It is not known yet whether an instance that was asked ahead of schedule responds.
        const isUnresolved = wasHastened || isUnsettled(known);
        const isSettled = this.book.isDead(known, now) || !isUnresolved;
        const isAwaited = this.awaited.has(known.instance.id);
        return isSettled && !isAwaited ? deadReportMilliseconds : silentReportMilliseconds;
    }
}

function isUnsettled(known: KnownInstance): boolean {
    return known.status === undefined || known.silentSince !== undefined || known.needsReport;
}

function isOfUse(known: KnownInstance): boolean {
    return known.isRegistered || known.status?.membership !== undefined;
}
