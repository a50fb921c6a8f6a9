/**
 * Finds the prompt segments whose requests crash replicas, and quarantines them: their requests are refused before they
 * reach a replica. Each of these requests, and each retry, would cost a replica and the streams that run on it. Sound
 * requests are lost in the same crashes, so a segment counts as the cause only if none of its requests completes anywhere.
 */

/** Time for which a report of a crash counts, in milliseconds. */
const reportLifetimeMilliseconds = 60_000;
/** Time for which a complete response shows that its segments are sound, in milliseconds. */
const soundLifetimeMilliseconds = 60_000;
/** Time for which a quarantine continues after the last request with its segments, in milliseconds. */
export const quarantineMilliseconds = 60_000;
/** Time for which reports and clearances are repeated in the messages to other entry instances, in milliseconds. */
const announcementMilliseconds = 15_000;
/** Time for which a clearance by another entry instance is not repeated, in milliseconds. */
const repeatedClearanceMilliseconds = 2_000;
/** Minimum number of requests, of starts of replicas and of moments of crashes that are blamed on a segment. */
const minimumCrashes = 3;
/** Minimum fraction of the crashes between the first and the last one that are blamed on a segment. */
const minimumFraction = 1 / 3;
/** Minimum time between two crashes that count as different moments, in milliseconds: a failure domain ends at once. */
const minimumMomentGapMilliseconds = 100;
/** Age of the first report from which a quarantine may start, in milliseconds: the time for clearances to arrive. */
const confirmationMilliseconds = 300;
/** Time after a new report for which each tick looks for causes, in milliseconds; covers the confirmation. */
const evaluationMilliseconds = 1_000;
/** Maximum number of reports that are kept. */
const maximumReports = 256;
/** Maximum number of reports, clearances and quarantines in one message. */
const maximumAnnounced = 16;
/** Maximum number of segments that are remembered as sound. */
const maximumSoundSegments = 4_096;
/** Maximum number of quarantines. */
const maximumQuarantines = 64;

/** A request that was lost in the crash of a replica before its response had progressed. */
export interface CrashReport {
    /** Id of the request, the same for all its attempts. */
    readonly request: string;
    /** Identifies one start of the replica. */
    readonly start: string;
    /** Segments of the request that the reporter does not know to be sound. */
    readonly segments: readonly string[];
    /** True if the replica had begun to respond and had sent no event. */
    readonly hasHead: boolean;
    /** Age of the report in milliseconds. */
    readonly age: number;
}

/** What entry instances tell each other about crashes; ages are in milliseconds. */
export interface CrashEvidence {
    readonly reports: readonly CrashReport[];
    /** Segments with a complete response, and its age. */
    readonly sound: readonly (readonly [segment: string, age: number])[];
    /** Quarantined segments, and the time since the sender last had a request with all of them. */
    readonly quarantines: readonly (readonly [segments: readonly string[], age: number])[];
}

/** Evidence of an entry instance that knows of no crash. */
export const noCrashEvidence: CrashEvidence = { reports: [], sound: [], quarantines: [] };

/** A request with its prompt segments. */
export interface SegmentedRequest {
    readonly request: string;
    readonly segments: readonly string[];
}

/** Requests with all of these segments are refused. */
export interface Quarantine {
    /** Sorted. */
    readonly segments: readonly string[];
    /**
     * Local monotonic milliseconds of the last request with all segments; undefined if neither this process nor a peer is
     * known to have had one.
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
    /** Time over which entry instances spread their clearances of a segment, in milliseconds. */
    readonly clearanceSpreadMilliseconds: () => number;
    readonly onQuarantine: (segments: readonly string[], cause: QuarantineCause) => void;
    /** Called when a quarantine ends; `isSound`: a request with one of its segments completed. */
    readonly onQuarantineEnd: (segments: readonly string[], isSound: boolean) => void;
    /** Called when there is something new to announce. */
    readonly onChange: () => void;
}

interface StoredReport extends Omit<CrashReport, "age"> {
    readonly at: number;
    readonly isOwn: boolean;
}

interface StoredQuarantine {
    readonly segments: readonly string[];
    readonly startedAt: number;
    /** Time of the last such request that this process or a peer had; undefined if none is known. */
    lastRequestAt: number | undefined;
    /** Time of the last such request that this process had; undefined if it had none. */
    lastOwnRequestAt: number | undefined;
}

/** Involvement of one segment in crashes. */
interface Involvement {
    readonly segment: string;
    readonly requests: ReadonlySet<string>;
    /** Time of the first report by start of a replica. */
    readonly starts: ReadonlyMap<string, number>;
    readonly hasOwnReport: boolean;
}

export class CrashAttribution {
    private readonly reports = new Map<string, StoredReport>();
    /** Time of the last complete response by segment. */
    private readonly soundAt = new Map<string, number>();
    private readonly quarantines = new Map<string, StoredQuarantine>();
    /** Segments of other entry instances' reports that this one must clear, with the time at which it does. */
    private readonly clearancesDueAt = new Map<string, number>();
    /** Segments that were cleared, with the time until which this is announced. */
    private readonly announcedUntil = new Map<string, number>();

    /** Segments that another entry instance cleared, with the time until which this one does not repeat it. */
    private readonly heardUntil = new Map<string, number>();

    /** Local monotonic milliseconds until which each tick looks for causes. */
    private evaluateUntil = 0;

    private constructor(private readonly options: CrashAttributionOptions) {}

    public static create(options: CrashAttributionOptions): CrashAttribution {
        return new CrashAttribution(options);
    }

    /** Present quarantines. */
    public current(now: number): readonly Quarantine[] {
        this.expire(now);
        return [...this.quarantines.values()];
    }

    /** Records that a response to a request with these segments is complete. */
    public recordSound(segments: readonly string[], now: number): void {
        for (const segment of segments) {
            const wasSound = this.isSound(segment, now);
            this.setSound(segment, now, now);
            if (!wasSound && this.isReported(segment)) {
                this.scheduleClearance(segment, now);
            }
        }
    }

    /** Records that a start of a replica broke its connections before the response to the request had progressed. */
    public recordCrash(
        { request, segments }: SegmentedRequest,
        start: string,
        hasHead: boolean,
        now: number,
    ): void {
        const suspects = segments.filter(segment => !this.isSound(segment, now));
        if (suspects.length > 0) {
            this.addReport({ request, start, segments: suspects, hasHead, at: now, isOwn: true }, now);
            this.options.onChange();
        }
    }

    /** True if a request has all segments of a quarantine; the quarantine then continues. */
    public recordRequest(segments: readonly string[], now: number): boolean {
        const quarantine = this.findQuarantine(segments, now);
        if (quarantine === undefined) {
            return false;
        }
        quarantine.lastRequestAt = now;
        quarantine.lastOwnRequestAt = now;
        return true;
    }

    public isQuarantined(segments: readonly string[], now: number): boolean {
        return this.findQuarantine(segments, now) !== undefined;
    }

    /**
     * True if other requests with one of the segments were lost in crashes: another attempt could crash a further
     * replica.
     */
    public isSuspect({ request, segments }: SegmentedRequest, now: number): boolean {
        if (segments.length === 0 || this.reports.size === 0) {
            return false;
        }
        const suspects = segments.filter(segment => !this.isSound(segment, now));
        return this.countedReports(now).some(
            report =>
                report.request !== request && report.segments.some(segment => suspects.includes(segment)),
        );
    }

    /** What this process announces to the others. */
    public announcement(now: number): CrashEvidence {
        this.expire(now);
        const reports = [...this.reports.values()]
            .filter(({ isOwn, at }) => isOwn && now - at < announcementMilliseconds)
            .map(({ request, start, segments, hasHead, at }) => ({
                request,
                start,
                segments: segments.filter(segment => !this.isSound(segment, now)),
                hasHead,
                age: Math.round(now - at),
            }))
            .filter(({ segments }) => segments.length > 0)
            .slice(-maximumAnnounced);
        const sound = [...this.announcedUntil.keys()]
            .slice(-maximumAnnounced)
            .map(segment => [segment, Math.round(now - (this.soundAt.get(segment) ?? now))] as const);
        const quarantines = [...this.quarantines.values()].flatMap(({ segments, lastOwnRequestAt }) =>
            lastOwnRequestAt === undefined ? [] : [[segments, Math.round(now - lastOwnRequestAt)] as const],
        );
        return { reports, sound, quarantines: quarantines.slice(-maximumAnnounced) };
    }

    /** Applies what another entry instance announced. */
    public apply(from: string, { reports, sound, quarantines }: CrashEvidence, now: number): void {
        for (const [segment, age] of sound) {
            if (age < soundLifetimeMilliseconds) {
                this.clearancesDueAt.delete(segment);
                this.heardUntil.set(segment, now + repeatedClearanceMilliseconds);
                this.setSound(segment, now - Math.max(0, age), now);
            }
        }
        for (const { age, ...report } of reports) {
            if (age <= reportLifetimeMilliseconds) {
                this.addReport({ ...report, at: now - Math.max(0, age), isOwn: false }, now);
                this.clearIfSound(report.segments, now);
            }
        }
        for (const [segments, age] of quarantines) {
            this.adopt(segments, now - Math.max(0, age), from, now);
        }
    }

    /**
     * Takes over a quarantine from a peer or the store. `lastRequestAt`: time of the last request that the peer had;
     * undefined if it is not known, then a quarantine that is known already does not last longer.
     */
    public adopt(
        segments: readonly string[],
        lastRequestAt: number | undefined,
        from: string,
        now: number,
    ): void {
        this.clearIfSound(segments, now);
        const suspects = segments.filter(segment => !this.isSound(segment, now));
        const hasExpired = lastRequestAt !== undefined && now - lastRequestAt >= quarantineMilliseconds;
        if (suspects.length === 0 || hasExpired) {
            return;
        }
        const known = this.findQuarantine(suspects, now);
        if (known === undefined) {
            const quarantine = { startedAt: now, lastRequestAt, lastOwnRequestAt: undefined };
            this.start({ segments: suspects, ...quarantine }, { kind: "announced", from });
        } else if (lastRequestAt !== undefined) {
            known.lastRequestAt = Math.max(known.lastRequestAt ?? lastRequestAt, lastRequestAt);
        }
    }

    /** Starts and ends quarantines, and announces clearances that are due. */
    public tick(now: number): void {
        this.expire(now);
        for (const [segment, dueAt] of this.clearancesDueAt) {
            if (now >= dueAt) {
                this.clearancesDueAt.delete(segment);
                this.announcedUntil.set(segment, now + announcementMilliseconds);
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
        if (known === undefined || (report.hasHead && !known.hasHead)) {
            this.reports.set(key, report);
            this.evaluateUntil = now + evaluationMilliseconds;
        }
        if (this.reports.size > maximumReports) {
            this.reports.delete(this.reports.keys().next().value!);
        }
    }

    private findQuarantine(segments: readonly string[], now: number): StoredQuarantine | undefined {
        if (this.quarantines.size === 0 || segments.length === 0) {
            return undefined;
        }
        this.expire(now);
        return [...this.quarantines.values()].find(quarantine => includesAll(segments, quarantine.segments));
    }

    /**
     * Returns the reports that may show a cause: not those of replicas whose crash a quarantine explains, and of those
     * replicas that had begun to respond to a request only the reports of such requests.
     */
    private countedReports(now: number): readonly StoredReport[] {
        const reports = [...this.reports.values()].filter(({ at }) => now - at < reportLifetimeMilliseconds);
        const quarantines = [...this.quarantines.values()];
        const explained = new Set(
            reports
                .filter(report =>
                    quarantines.some(quarantine => includesAll(report.segments, quarantine.segments)),
                )
                .map(({ start }) => start),
        );
        const begun = new Set(reports.filter(({ hasHead }) => hasHead).map(({ start }) => start));
        return reports.filter(
            ({ start, hasHead }) => !explained.has(start) && (hasHead || !begun.has(start)),
        );
    }

    /** Starts the quarantines for which there is enough evidence, the one with the most requests first. */
    private evaluate(now: number): void {
        if (this.reports.size < minimumCrashes) {
            return;
        }
        for (;;) {
            const counted = this.countedReports(now);
            const crashTimes = [...firstTimesOf(counted).values()];
            const causes = this.involvements(counted, now).filter(each => isCause(each, crashTimes, now));
            const [first] = causes.sort((left, right) => right.requests.size - left.requests.size);
            if (first === undefined || this.quarantines.size >= maximumQuarantines) {
                return;
            }
            const segments = causes
                .filter(({ requests }) => includesAll([...requests], [...first.requests]))
                .map(({ segment }) => segment);
            // If each process announced it, the number of datagrams would grow with the square of the processes.
            if (this.quarantines.has(keyOf(segments))) {
                return;
            }
            const lastOwnRequestAt = first.hasOwnReport ? now : undefined;
            this.start(
                { segments, startedAt: now, lastRequestAt: now, lastOwnRequestAt },
                { kind: "crashes", requests: [...first.requests], starts: [...first.starts.keys()] },
            );
            if (first.hasOwnReport) {
                this.options.onChange();
            }
        }
    }

    private involvements(counted: readonly StoredReport[], now: number): readonly Involvement[] {
        const segments = new Set(counted.flatMap(report => report.segments));
        const suspects = [...segments].filter(segment => !this.isSound(segment, now));
        return suspects.map(segment => {
            const reports = counted.filter(report => report.segments.includes(segment));
            return {
                segment,
                requests: new Set(reports.map(({ request }) => request)),
                starts: firstTimesOf(reports),
                hasOwnReport: reports.some(({ isOwn }) => isOwn),
            };
        });
    }

    private start(quarantine: StoredQuarantine, cause: QuarantineCause): void {
        if (this.quarantines.size < maximumQuarantines) {
            const segments = [...quarantine.segments].sort();
            this.quarantines.set(keyOf(segments), { ...quarantine, segments });
            this.options.onQuarantine(segments, cause);
        }
    }

    private setSound(segment: string, at: number, now: number): void {
        const latest = Math.max(at, this.soundAt.get(segment) ?? at);
        this.soundAt.delete(segment);
        this.soundAt.set(segment, latest);
        if (this.soundAt.size > maximumSoundSegments) {
            this.soundAt.delete(this.soundAt.keys().next().value!);
        }
        for (const [key, { segments }] of this.quarantines) {
            if (segments.includes(segment)) {
                this.quarantines.delete(key);
                this.evaluateUntil = now + evaluationMilliseconds;
                this.options.onQuarantineEnd(segments, true);
            }
        }
    }

    private isSound(segment: string, now: number): boolean {
        const at = this.soundAt.get(segment);
        return at !== undefined && now - at < soundLifetimeMilliseconds;
    }

    private isReported(segment: string): boolean {
        const isIn = ({ segments }: { readonly segments: readonly string[] }): boolean =>
            segments.includes(segment);
        return [...this.reports.values()].some(isIn) || [...this.quarantines.values()].some(isIn);
    }

    private clearIfSound(segments: readonly string[], now: number): void {
        segments
            .filter(segment => this.isSound(segment, now))
            .forEach(segment => this.scheduleClearance(segment, now));
    }

    private scheduleClearance(segment: string, now: number): void {
        const isKnown = [this.clearancesDueAt, this.announcedUntil, this.heardUntil].some(each =>
            each.has(segment),
        );
        if (!isKnown) {
            const spread = this.options.clearanceSpreadMilliseconds();
            this.clearancesDueAt.set(segment, now + this.options.random() * spread);
        }
    }

    private expire(now: number): void {
        for (const [key, { at }] of this.reports) {
            if (now - at >= reportLifetimeMilliseconds) {
                this.reports.delete(key);
            }
        }
        for (const [segment, until] of this.announcedUntil) {
            if (now >= until || !this.isSound(segment, now)) {
                this.announcedUntil.delete(segment);
            }
        }
        for (const [segment, until] of this.heardUntil) {
            if (now >= until) {
                this.heardUntil.delete(segment);
            }
        }
        for (const [key, { segments, startedAt, lastRequestAt }] of this.quarantines) {
            if (now - (lastRequestAt ?? startedAt) >= quarantineMilliseconds) {
                this.quarantines.delete(key);
                this.options.onQuarantineEnd(segments, false);
            }
        }
    }
}

/** `crashTimes`: times of all crashes for which no cause is known. */
function isCause({ requests, starts }: Involvement, crashTimes: readonly number[], now: number): boolean {
    const times = [...starts.values()];
    const [first, last] = [Math.min(...times), Math.max(...times)];
    const moments = countMoments(times);
    const allMoments = countMoments(crashTimes.filter(at => at >= first && at <= last));
    return (
        requests.size >= minimumCrashes &&
        moments >= minimumCrashes &&
        moments >= minimumFraction * allMoments &&
        now - first >= confirmationMilliseconds
    );
}

/** Returns the time of the first report by start of a replica. */
function firstTimesOf(reports: readonly StoredReport[]): ReadonlyMap<string, number> {
    const times = new Map<string, number>();
    reports.forEach(({ start, at }) => times.set(start, Math.min(at, times.get(start) ?? at)));
    return times;
}

function countMoments(times: readonly number[]): number {
    let moments = 0;
    let lastMomentAt = -Infinity;
    for (const at of [...times].sort((left, right) => left - right)) {
        if (at - lastMomentAt >= minimumMomentGapMilliseconds) {
            moments += 1;
            lastMomentAt = at;
        }
    }
    return moments;
}

function includesAll(items: readonly string[], required: readonly string[]): boolean {
    return required.every(each => items.includes(each));
}

function keyOf(segments: readonly string[]): string {
    return [...segments].sort().join("+");
}
