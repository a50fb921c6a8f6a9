/** Which instances a placer asks for their report, and when: only those of which something has to be known. */
import type { FleetInstance } from "./fleets.js";
import { formationReportMilliseconds } from "./group-formations.js";
import type { KnownInstance, KnownInstances } from "./known-instances.js";

/** Time between two reports of an instance that does not answer, in milliseconds. */
const silentReportMilliseconds = 100;
/** The same once it is dead, and of one that answers though its heartbeats are missing. */
const deadReportMilliseconds = 1_000;

export class ReportSchedule {
    private readonly nextAt = new Map<string, number>();
    private readonly hastened = new Set<string>();
    /** Instances whose end would free others. */
    private readonly awaited = new Set<string>();

    private constructor(private readonly book: KnownInstances) {}

    public static create(book: KnownInstances): ReportSchedule {
        return new ReportSchedule(book);
    }

    /** Has an instance asked at the next look. */
    public hasten(id: string): void {
        this.nextAt.delete(id);
        this.hastened.add(id);
    }

    /** Has an instance asked often until the next look, since its end would free others. */
    public await(id: string): void {
        this.awaited.add(id);
    }

    /** Returns the instances to ask now; `forming` are members whose next state is waited for. */
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
        const isWanted =
            isUnsettled(known) ||
            known.isEnded ||
            forming.has(id) ||
            this.hastened.has(id) ||
            this.awaited.has(id) ||
            (isOfUse(known) && this.book.hasMissedHeartbeat(known, now));
        return isWanted && now >= (this.nextAt.get(id) ?? 0);
    }

    private pauseAfter(known: KnownInstance, isForming: boolean, wasHastened: boolean, now: number): number {
        if (isForming) {
            return formationReportMilliseconds;
        }
        // Whether an instance that was asked out of turn answers is not known yet.
        const isOpen = wasHastened || isUnsettled(known);
        const isSettled = this.book.isDead(known, now) || !isOpen;
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
