/**
 * Finds what requests that crash replicas have in common, and quarantines it: such requests are refused before they reach a
 * replica. Covers two loads: a prompt segment that crashes each replica that begins to respond to a request with it, and one
 * request that crashes each replica that runs it and is repeated by its caller. Each further run would cost a replica and all
 * that runs on it. Sound requests are lost in the same crashes, so a trait counts as the cause only if none of its requests
 * completes anywhere.
 */
import type { StoredReport } from "./crash-causes.js";
import {
    findCauses,
    includesAll,
    kindOf,
    minimumCrashes,
    selectForSegments,
    traitsInCommon,
    traitsOf,
} from "./crash-causes.js";

/** Time for which a report of a crash counts against its request, in milliseconds: the request may be repeated slowly. */
const reportLifetimeMilliseconds = 600_000;
/** Time for which a complete response shows that its traits are sound, in milliseconds. */
const soundLifetimeMilliseconds = 60_000;
/**
 * Time for which a quarantine continues, in milliseconds: that of prompt segments after the last request with them, that
 * of a request after its start.
 */
export const quarantineMilliseconds = 60_000;
/** Factor by which each quarantine of one request lasts longer than the one before. */
const repeatedQuarantineFactor = 4;
/** Maximum time for which a request is quarantined, in milliseconds. */
const maximumQuarantineMilliseconds = 3_600_000;
/** Difference of the times at which entry instances date the start of one quarantine, in milliseconds. */
const startToleranceMilliseconds = 5_000;
/** Time for which reports and clearances are repeated in the messages to other entry instances, in milliseconds. */
const announcementMilliseconds = 15_000;
/** Time for which a clearance by another entry instance is not repeated, in milliseconds. */
const repeatedClearanceMilliseconds = 2_000;
/** Number of crashes of one request from which it is not retried, and from which other entry instances learn of it at once. */
const suspectCrashes = 2;
/** Time after a new report for which each tick looks for causes, in milliseconds; covers the confirmation. */
const evaluationMilliseconds = 1_000;
/** Interval between two deletions of expired reports, in milliseconds. */
const reportCheckIntervalMilliseconds = 1_000;
/** Maximum number of reports that are kept. */
const maximumReports = 512;
/** Maximum number of reports, clearances and quarantines in one message. */
const maximumAnnounced = 16;
/** Maximum number of traits that are remembered as sound. */
const maximumSoundTraits = 4_096;
/** Maximum number of quarantines, and of ended quarantines of requests that are remembered. */
const maximumQuarantines = 64;

/** A request that was lost in the crash of a replica. */
export interface CrashReport {
    /** Trait that identifies the request, the same for all attempts and for its repetitions by the caller. */
    readonly request: string;
    /** Identifies one start of the replica. */
    readonly start: string;
    /** Further traits of the request, without those that the reporter knows to be sound. */
    readonly traits: readonly string[];
    /** True if the replica had begun to respond and had sent no event. */
    readonly hasHead: boolean;
    /** Age of the report in milliseconds. */
    readonly age: number;
}

/** What entry instances tell each other about crashes; ages are in milliseconds. */
export interface CrashEvidence {
    readonly reports: readonly CrashReport[];
    /** Traits with a complete response, and its age. */
    readonly sound: readonly (readonly [trait: string, age: number])[];
    /** Quarantined traits, and the time since the sender last had a request with all of them, or since their start. */
    readonly quarantines: readonly (readonly [traits: readonly string[], age: number])[];
}

/** Evidence of an entry instance that knows of no crash. */
export const noCrashEvidence: CrashEvidence = { reports: [], sound: [], quarantines: [] };

/** What may cause a crash in a request. */
export interface CrashSubject {
    /** Trait that only this request and its repetitions have. */
    readonly request: string;
    /** Trait of the requests that differ from this one in their query or the statement of their prompt alone. */
    readonly resource: string;
    /** Segments of the prompt, which other requests may share. */
    readonly segments: readonly string[];
}

/** How far a response had progressed when the connection to its replica broke. */
export type CrashProgress =
    /** No head had arrived: the request may have waited. */
    | "none"
    /** A head had arrived, and no event. */
    | "head"
    /** The first event had just arrived. */
    | "begun"
    /** The response had progressed, so its prompt is sound; the request itself may still have crashed the replica. */
    | "advanced";

/** Requests with all of these traits are refused. */
export interface Quarantine {
    /** Sorted. */
    readonly traits: readonly string[];
    /**
     * Local monotonic milliseconds from which the quarantine lasts: the last request with prompt segments, the start of the
     * quarantine of a request; undefined if only the store shows it.
     */
    readonly lastRequestAt: number | undefined;
}

/** Why a quarantine started. */
export type QuarantineCause =
    | {
          readonly kind: "crashes";
          readonly requests: readonly string[];
          readonly starts: readonly string[];
      }
    | { readonly kind: "announced"; readonly from: string };

export interface CrashAttributionOptions {
    readonly random: () => number;
    /** Time over which entry instances spread their clearances of a trait, in milliseconds. */
    readonly clearanceSpreadMilliseconds: () => number;
    readonly onQuarantine: (traits: readonly string[], cause: QuarantineCause) => void;
    /** Called when a quarantine ends; `isSound`: a request with one of its traits completed. */
    readonly onQuarantineEnd: (traits: readonly string[], isSound: boolean) => void;
    /** Called when there is something new that the other entry instances must learn at once. */
    readonly onChange: () => void;
}

interface StoredQuarantine {
    readonly traits: readonly string[];
    readonly startedAt: number;
    /** See `Quarantine`. */
    lastRequestAt: number | undefined;
    /** Time of `lastRequestAt` if this process had such a request; undefined if it had none. */
    lastOwnRequestAt: number | undefined;
}

/** A quarantine of a request that has ended without a complete response: one more crash starts it again. */
interface Trial {
    /** Number of quarantines that have ended. */
    readonly count: number;
    /** Start of the last one, in local monotonic milliseconds. */
    readonly startedAt: number;
}

export class CrashAttribution {
    private readonly reports = new Map<string, StoredReport>();
    private readonly reportsByTrait = new Map<string, Set<StoredReport>>();
    /** Time of the last complete response by trait. */
    private readonly soundAt = new Map<string, number>();
    private readonly quarantines = new Map<string, StoredQuarantine>();
    /** By the trait of a request. */
    private readonly trials = new Map<string, Trial>();
    /** Traits of other entry instances' reports that this one must clear, with the time at which it does. */
    private readonly clearancesDueAt = new Map<string, number>();
    /** Traits that were cleared, with the time until which this is announced. */
    private readonly announcedUntil = new Map<string, number>();

    /** Traits that another entry instance cleared, with the time until which this one does not repeat it. */
    private readonly heardUntil = new Map<string, number>();

    /** Local monotonic milliseconds until which each tick looks for causes. */
    private evaluateUntil = 0;
    /** Local monotonic milliseconds from which expired reports are deleted. */
    private nextReportCheckAt = 0;

    private constructor(private readonly options: CrashAttributionOptions) {}

    public static create(options: CrashAttributionOptions): CrashAttribution {
        return new CrashAttribution(options);
    }

    /** Present quarantines. */
    public current(now: number): readonly Quarantine[] {
        this.expire(now);
        return [...this.quarantines.values()];
    }

    /** Records that a response to a request is complete. */
    public recordSound(subject: CrashSubject, now: number): void {
        // Most requests are never lost, so only the soundness of segments is remembered before a crash.
        const isWatched = this.reports.size > 0 || this.quarantines.size > 0 || this.trials.size > 0;
        const own = isWatched ? [subject.request, subject.resource].filter(each => this.isKnown(each)) : [];
        for (const trait of [...own, ...subject.segments]) {
            const wasSound = this.isSound(trait, now);
            const isSuspect = this.needsClearance(trait);
            this.setSound(trait, now, now);
            if (!wasSound && isSuspect) {
                this.scheduleClearance(trait, now);
            }
        }
    }

    /** Records that a start of a replica broke its connections before the response to the request was complete. */
    public recordCrash(subject: CrashSubject, start: string, progress: CrashProgress, now: number): void {
        const shared = progress === "advanced" ? [] : subject.segments;
        const traits = [subject.resource, ...shared].filter(trait => !this.isSound(trait, now));
        const { request } = subject;
        if (this.isSound(request, now) && traits.length === 0) {
            return;
        }
        const hasHead = progress === "head";
        this.addReport({ request, start, traits, hasHead, at: now, isOwn: true }, now);
        const hasSuspectSegment = traits.some(trait => kindOf(trait) === "segment");
        const isRepeated = [request, subject.resource].some(trait => this.crashesOf(trait) >= suspectCrashes);
        if (hasSuspectSegment || isRepeated) {
            this.options.onChange();
        }
    }

    /**
     * Returns the local monotonic milliseconds at which a quarantine of the request ends if there are no further requests;
     * undefined if it is not quarantined. A quarantine of prompt segments continues with each request.
     */
    public recordRequest(subject: CrashSubject, now: number): number | undefined {
        const quarantine = this.findQuarantine(subject, now);
        if (quarantine === undefined) {
            return undefined;
        }
        if (isOfSegments(quarantine)) {
            quarantine.lastRequestAt = now;
        }
        quarantine.lastOwnRequestAt = quarantine.lastRequestAt;
        return this.endOf(quarantine);
    }

    public isQuarantined(subject: CrashSubject, now: number): boolean {
        return this.findQuarantine(subject, now) !== undefined;
    }

    /**
     * True if another attempt of a request that was just lost could crash a further replica: it has crashed several already,
     * or other requests with one of its prompt segments were lost in crashes.
     */
    public isSuspect(subject: CrashSubject, now: number): boolean {
        if (this.reports.size === 0) {
            return false;
        }
        const { request, resource, segments } = subject;
        const isRepeated = [request, resource].some(
            trait =>
                !this.isSound(trait, now) &&
                (this.trials.has(trait) || this.crashesOf(trait) >= suspectCrashes),
        );
        if (isRepeated) {
            return true;
        }
        const suspects = segments.filter(segment => !this.isSound(segment, now));
        return (
            suspects.length > 0 &&
            selectForSegments(this.unexplainedReports(now), now).some(
                report => report.request !== request && report.traits.some(trait => suspects.includes(trait)),
            )
        );
    }

    /** What this process announces to the others. */
    public announcement(now: number): CrashEvidence {
        this.expire(now);
        const reports = [...this.reports.values()]
            .filter(({ isOwn, at }) => isOwn && now - at < announcementMilliseconds)
            .map(({ request, start, traits, hasHead, at }) => ({
                request,
                start,
                traits: traits.filter(trait => !this.isSound(trait, now)),
                hasHead,
                age: Math.round(now - at),
            }))
            .filter(({ request, traits }) => traits.length > 0 || !this.isSound(request, now));
        // If there are too many, those of requests that are lost again and again come first.
        const crashes = (report: CrashReport): number =>
            Math.min(suspectCrashes, this.crashesOf(report.request));
        const announced = [...reports]
            .sort((left, right) => crashes(right) - crashes(left) || left.age - right.age)
            .slice(0, maximumAnnounced);
        const sound = [...this.announcedUntil.keys()]
            .slice(-maximumAnnounced)
            .map(trait => [trait, Math.round(now - (this.soundAt.get(trait) ?? now))] as const);
        const quarantines = [...this.quarantines.values()].flatMap(({ traits, lastOwnRequestAt }) =>
            lastOwnRequestAt === undefined ? [] : [[traits, Math.round(now - lastOwnRequestAt)] as const],
        );
        return { reports: announced, sound, quarantines: quarantines.slice(-maximumAnnounced) };
    }

    /** Applies what another entry instance announced. */
    public apply(from: string, { reports, sound, quarantines }: CrashEvidence, now: number): void {
        for (const [trait, age] of sound) {
            if (age < soundLifetimeMilliseconds) {
                this.clearancesDueAt.delete(trait);
                this.heardUntil.set(trait, now + repeatedClearanceMilliseconds);
                this.setSound(trait, now - Math.max(0, age), now);
            }
        }
        for (const { age, ...report } of reports) {
            if (age <= announcementMilliseconds) {
                this.addReport({ ...report, at: now - Math.max(0, age), isOwn: false }, now);
                this.clearIfSound([report.request, ...report.traits], now);
            }
        }
        for (const [traits, age] of quarantines) {
            this.adopt(traits, now - Math.max(0, age), from, now);
        }
    }

    /**
     * Takes over a quarantine from a peer or the store. `lastRequestAt`: the time from which it lasts for the peer;
     * undefined if it is not known, then a quarantine that is known already does not last longer.
     */
    public adopt(
        traits: readonly string[],
        lastRequestAt: number | undefined,
        from: string,
        now: number,
    ): void {
        traits.filter(trait => this.isSound(trait, now)).forEach(trait => this.scheduleClearance(trait, now));
        const suspects = traits.filter(trait => !this.isSound(trait, now));
        const hasExpired = lastRequestAt !== undefined && now - lastRequestAt >= this.lifetimeOf(suspects);
        if (suspects.length === 0 || hasExpired || this.hasEnded(suspects, lastRequestAt)) {
            return;
        }
        const known = this.findQuarantineOf(suspects, now);
        if (known === undefined) {
            const quarantine = { startedAt: now, lastRequestAt, lastOwnRequestAt: undefined };
            this.start({ traits: suspects, ...quarantine }, { kind: "announced", from });
        } else if (lastRequestAt !== undefined && isOfSegments(known)) {
            known.lastRequestAt = Math.max(known.lastRequestAt ?? lastRequestAt, lastRequestAt);
        }
    }

    /** Starts and ends quarantines, and announces clearances that are due. */
    public tick(now: number): void {
        this.expire(now);
        for (const [trait, dueAt] of this.clearancesDueAt) {
            if (now >= dueAt) {
                this.clearancesDueAt.delete(trait);
                this.announcedUntil.set(trait, now + announcementMilliseconds);
                this.options.onChange();
            }
        }
        if (now < this.evaluateUntil) {
            this.evaluate(now);
        }
    }

    private addReport(report: StoredReport, now: number): void {
        const key = `${report.request} ${report.start}`;
        const known = this.reports.get(key);
        if (known !== undefined && (!report.hasHead || known.hasHead)) {
            return;
        }
        this.deleteReport(key);
        this.reports.set(key, report);
        for (const trait of traitsOf(report)) {
            const involved = (this.reportsByTrait.get(trait) ?? new Set()).add(report);
            this.reportsByTrait.set(trait, involved);
            if (involved.size >= minimumCrashes) {
                this.evaluateUntil = now + evaluationMilliseconds;
            }
        }
        if (this.reports.size > maximumReports) {
            this.deleteReport(this.reports.keys().next().value!);
        }
        this.restartTrial(report, now);
    }

    private deleteReport(key: string): void {
        const report = this.reports.get(key);
        if (report === undefined) {
            return;
        }
        this.reports.delete(key);
        for (const trait of traitsOf(report)) {
            const others = this.reportsByTrait.get(trait);
            others?.delete(report);
            if (others?.size === 0) {
                this.reportsByTrait.delete(trait);
            }
        }
    }

    /** Quarantines a request again that crashed a replica after its quarantine had ended. */
    private restartTrial({ request, traits, start, at, isOwn }: StoredReport, now: number): void {
        const trait = [request, ...traits].find(each => {
            const trial = this.trials.get(each);
            return trial !== undefined && at > trial.startedAt + startToleranceMilliseconds;
        });
        if (trait === undefined || this.isSound(trait, now) || this.quarantines.has(trait)) {
            return;
        }
        const lastOwnRequestAt = isOwn ? now : undefined;
        this.start(
            { traits: [trait], startedAt: now, lastRequestAt: now, lastOwnRequestAt },
            { kind: "crashes", requests: [request], starts: [start] },
        );
        if (isOwn) {
            this.options.onChange();
        }
    }

    /** Number of starts of replicas that were lost with a trait since its last complete response. */
    private crashesOf(trait: string): number {
        const reports = this.reportsByTrait.get(trait);
        if (reports === undefined) {
            return 0;
        }
        const counted = [...reports].filter(report => this.isAfterSound(trait, report));
        return new Set(counted.map(({ start }) => start)).size;
    }

    private isAfterSound(trait: string, { at }: StoredReport): boolean {
        return at > (this.soundAt.get(trait) ?? -Infinity);
    }

    private isKnown(trait: string): boolean {
        const isQuarantined = this.quarantines.has(trait);
        return isQuarantined || this.trials.has(trait) || this.reportsByTrait.has(trait);
    }

    private findQuarantine(subject: CrashSubject, now: number): StoredQuarantine | undefined {
        if (this.quarantines.size === 0) {
            return undefined;
        }
        return this.findQuarantineOf([subject.request, subject.resource, ...subject.segments], now);
    }

    private findQuarantineOf(traits: readonly string[], now: number): StoredQuarantine | undefined {
        this.expire(now);
        return [...this.quarantines.values()].find(quarantine => includesAll(traits, quarantine.traits));
    }

    /**
     * Returns the reports that may show a cause: not those of replicas whose crash a quarantine of prompt segments explains,
     * and of those whose crash a quarantined request explains only the reports of that request, which may share a
     * segment with others that crash replicas.
     */
    private unexplainedReports(now: number): readonly StoredReport[] {
        const reports = [...this.reports.values()].filter(({ at }) => now - at < reportLifetimeMilliseconds);
        if (this.quarantines.size === 0) {
            return reports;
        }
        const quarantines = [...this.quarantines.values()];
        const matches = (report: StoredReport, quarantine: StoredQuarantine): boolean =>
            includesAll(traitsOf(report), quarantine.traits);
        const bySegments = new Set<string>();
        const byRequest = new Set<string>();
        const quarantined = new Set<StoredReport>();
        for (const report of reports) {
            const quarantine = quarantines.find(each => matches(report, each));
            if (quarantine === undefined) {
                continue;
            }
            if (isOfSegments(quarantine)) {
                bySegments.add(report.start);
            } else {
                byRequest.add(report.start);
                quarantined.add(report);
            }
        }
        return reports.filter(
            report =>
                !bySegments.has(report.start) && (!byRequest.has(report.start) || quarantined.has(report)),
        );
    }

    /** Starts the quarantines for which there is enough evidence, the narrowest one first. */
    private evaluate(now: number): void {
        if (this.reports.size < minimumCrashes) {
            return;
        }
        for (;;) {
            const unexplained = this.unexplainedReports(now);
            const isUnsound = (trait: string, report: StoredReport): boolean =>
                !this.isSound(trait, now) && this.isAfterSound(trait, report);
            const causes = findCauses(unexplained, isUnsound, now).filter(
                ({ trait }) => !this.quarantines.has(trait),
            );
            const [first] = causes;
            if (first === undefined || this.quarantines.size >= maximumQuarantines) {
                return;
            }
            const traits = traitsInCommon(first, causes);
            // If each process announced it, the number of datagrams would grow with the square of the processes.
            if (this.quarantines.has(keyOf(traits))) {
                return;
            }
            const lastOwnRequestAt = first.hasOwnReport ? now : undefined;
            this.start(
                { traits, startedAt: now, lastRequestAt: now, lastOwnRequestAt },
                { kind: "crashes", requests: [...first.requests], starts: [...first.starts.keys()] },
            );
            if (first.hasOwnReport) {
                this.options.onChange();
            }
        }
    }

    private start(quarantine: StoredQuarantine, cause: QuarantineCause): void {
        if (this.quarantines.size < maximumQuarantines) {
            const traits = [...quarantine.traits].sort();
            this.quarantines.set(keyOf(traits), { ...quarantine, traits });
            this.options.onQuarantine(traits, cause);
        }
    }

    private setSound(trait: string, at: number, now: number): void {
        const latest = Math.max(at, this.soundAt.get(trait) ?? at);
        this.soundAt.delete(trait);
        this.soundAt.set(trait, latest);
        this.trials.delete(trait);
        if (this.soundAt.size > maximumSoundTraits) {
            this.soundAt.delete(this.soundAt.keys().next().value!);
        }
        for (const [key, { traits }] of this.quarantines) {
            if (traits.includes(trait)) {
                this.quarantines.delete(key);
                this.evaluateUntil = now + evaluationMilliseconds;
                this.options.onQuarantineEnd(traits, true);
            }
        }
    }

    private isSound(trait: string, now: number): boolean {
        const at = this.soundAt.get(trait);
        return at !== undefined && now - at < soundLifetimeMilliseconds;
    }

    /** True if other entry instances may blame a trait, also if this one knows that it is sound. */
    private needsClearance(trait: string): boolean {
        const isQuarantined = [...this.quarantines.values()].some(({ traits }) => traits.includes(trait));
        const minimum = kindOf(trait) === "segment" ? 1 : suspectCrashes;
        const reports = [...(this.reportsByTrait.get(trait) ?? [])];
        const starts = new Set(reports.map(({ start }) => start));
        return isQuarantined || this.trials.has(trait) || starts.size >= minimum;
    }

    private clearIfSound(traits: readonly string[], now: number): void {
        traits
            .filter(trait => this.isSound(trait, now) && this.needsClearance(trait))
            .forEach(trait => this.scheduleClearance(trait, now));
    }

    private scheduleClearance(trait: string, now: number): void {
        const isPending = [this.clearancesDueAt, this.announcedUntil, this.heardUntil].some(each =>
            each.has(trait),
        );
        if (!isPending) {
            const spread = this.options.clearanceSpreadMilliseconds();
            this.clearancesDueAt.set(trait, now + this.options.random() * spread);
        }
    }

    private lifetimeOf(traits: readonly string[]): number {
        const trial = traits.length === 1 ? this.trials.get(traits[0]!) : undefined;
        return Math.min(
            maximumQuarantineMilliseconds,
            quarantineMilliseconds * repeatedQuarantineFactor ** (trial?.count ?? 0),
        );
    }

    private endOf({ traits, startedAt, lastRequestAt }: StoredQuarantine): number {
        return (lastRequestAt ?? startedAt) + this.lifetimeOf(traits);
    }

    /** True if this process has already ended the quarantine of a request that a peer still has. */
    private hasEnded(traits: readonly string[], startedAt: number | undefined): boolean {
        const trial = traits.length === 1 ? this.trials.get(traits[0]!) : undefined;
        return (
            trial !== undefined &&
            (startedAt === undefined || startedAt <= trial.startedAt + startToleranceMilliseconds)
        );
    }

    private expire(now: number): void {
        if (now >= this.nextReportCheckAt) {
            this.nextReportCheckAt = now + reportCheckIntervalMilliseconds;
            const expired = [...this.reports].filter(([, { at }]) => now - at >= reportLifetimeMilliseconds);
            expired.forEach(([key]) => this.deleteReport(key));
        }
        for (const [trait, until] of this.announcedUntil) {
            if (now >= until || !this.isSound(trait, now)) {
                this.announcedUntil.delete(trait);
            }
        }
        for (const [trait, until] of this.heardUntil) {
            if (now >= until) {
                this.heardUntil.delete(trait);
            }
        }
        for (const [key, quarantine] of this.quarantines) {
            if (now >= this.endOf(quarantine)) {
                this.quarantines.delete(key);
                this.beginTrial(quarantine);
                this.options.onQuarantineEnd(quarantine.traits, false);
            }
        }
    }

    /** Lets a request run again after its quarantine; its former crashes no longer count. */
    private beginTrial(quarantine: StoredQuarantine): void {
        const [trait] = quarantine.traits;
        if (trait === undefined || isOfSegments(quarantine)) {
            return;
        }
        const count = (this.trials.get(trait)?.count ?? 0) + 1;
        this.trials.delete(trait);
        this.trials.set(trait, { count, startedAt: quarantine.lastRequestAt ?? quarantine.startedAt });
        if (this.trials.size > maximumQuarantines) {
            this.trials.delete(this.trials.keys().next().value!);
        }
        for (const [key, report] of this.reports) {
            if (traitsOf(report).includes(trait)) {
                this.deleteReport(key);
            }
        }
    }
}

function isOfSegments({ traits }: StoredQuarantine): boolean {
    return traits.every(trait => kindOf(trait) === "segment");
}

function keyOf(traits: readonly string[]): string {
    return [...traits].sort().join("+");
}
