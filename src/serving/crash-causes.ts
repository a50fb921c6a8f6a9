/**
 * Decides, by pure functions, which traits of requests are the cause of crashes of replicas. Covers one request that its caller
 * repeats, and a segment of prompts that many requests share, while sound requests are lost in the same crashes and replicas
 * crash for other reasons as well.
 */

/** Time for which a report of a crash counts against prompt segments, in milliseconds. */
const segmentReportLifetimeMilliseconds = 60_000;
/** Minimum number of starts of replicas that are blamed on a trait. */
export const minimumCrashes = 3;
/** Minimum time between two crashes that count as different moments, in milliseconds: a failure domain ends at once. */
const minimumMomentGapMilliseconds = 100;
/** Age of the first report from which a quarantine may start, in milliseconds: the time for clearances to arrive. */
const confirmationMilliseconds = 300;
/** Prefixes of the traits that are no prompt segment; the ids of segments have none. */
const requestPrefix = "request:";
const resourcePrefix = "resource:";

/** What a trait stands for: one request, requests with the same path, caller and body, or a segment of prompts. */
export type TraitKind = "request" | "resource" | "segment";

/** Evidence that is needed to blame a trait, beside `minimumCrashes` starts of replicas. */
interface BlameRule {
    /** Minimum number of different requests. */
    readonly requests: number;
    /** Minimum number of moments at which replicas crashed. */
    readonly moments: number;
    /** Minimum fraction of all moments between the first and the last crash. */
    readonly fraction: number;
}

const blameRules: Readonly<Record<TraitKind, BlameRule>> = {
    // A request is at one replica at a time, so that three losses of one sound request are rare.
    request: { requests: 1, moments: 2, fraction: 0 },
    resource: { requests: 3, moments: 2, fraction: 0 },
    segment: { requests: 3, moments: 3, fraction: 1 / 3 },
};

/** A request that was lost in the crash of a replica, as it is kept. */
export interface StoredReport {
    /** Trait that identifies the request. */
    readonly request: string;
    /** Identifies one start of the replica. */
    readonly start: string;
    /** Further traits of the request. */
    readonly traits: readonly string[];
    /** True if the replica had begun to respond and had sent no event. */
    readonly hasHead: boolean;
    /** Local monotonic milliseconds. */
    readonly at: number;
    /** True if this process had the request. */
    readonly isOwn: boolean;
}

/** Involvement of one trait in crashes. */
export interface Involvement {
    readonly trait: string;
    readonly requests: ReadonlySet<string>;
    /** Time of the first report by start of a replica. */
    readonly starts: ReadonlyMap<string, number>;
    readonly hasOwnReport: boolean;
}

/** Returns the trait of one request; `hash` identifies its method, host, target, caller, prompt and body. */
export function requestTrait(hash: string): string {
    return `${requestPrefix}${hash}`;
}

/** Returns the trait of requests that differ in their query or the statement of their prompt alone. */
export function resourceTrait(hash: string): string {
    return `${resourcePrefix}${hash}`;
}

export function kindOf(trait: string): TraitKind {
    if (trait.startsWith(requestPrefix)) {
        return "request";
    }
    return trait.startsWith(resourcePrefix) ? "resource" : "segment";
}

export function traitsOf({ request, traits }: StoredReport): readonly string[] {
    return [request, ...traits];
}

/**
 * Returns the causes of crashes, the narrowest one first. `reports`: those of crashes without a known cause; `isUnsound`: false
 * if a request with the trait has completed since the report.
 */
export function findCauses(
    reports: readonly StoredReport[],
    isUnsound: (trait: string, report: StoredReport) => boolean,
    now: number,
): readonly Involvement[] {
    const forSegments = selectForSegments(reports, now);
    const crashTimes = [...firstTimesOf(forSegments).values()];
    return [
        ...involvementsIn(reports, isUnsound).filter(({ trait }) => kindOf(trait) !== "segment"),
        ...involvementsIn(forSegments, isUnsound).filter(({ trait }) => kindOf(trait) === "segment"),
    ]
        .filter(each => isCause(each, crashTimes, now))
        .sort(compareCauses);
}

/** Returns the traits that requests must have to be refused because of `cause`: segments that only occurred together, all of them. */
export function traitsInCommon(cause: Involvement, causes: readonly Involvement[]): readonly string[] {
    if (kindOf(cause.trait) !== "segment") {
        return [cause.trait];
    }
    return causes
        .filter(({ requests }) => includesAll([...requests], [...cause.requests]))
        .map(({ trait }) => trait);
}

function involvementsIn(
    reports: readonly StoredReport[],
    isUnsound: (trait: string, report: StoredReport) => boolean,
): readonly Involvement[] {
    const byTrait = new Map<string, StoredReport[]>();
    for (const report of reports) {
        for (const trait of traitsOf(report).filter(each => isUnsound(each, report))) {
            const involved = byTrait.get(trait) ?? [];
            involved.push(report);
            byTrait.set(trait, involved);
        }
    }
    const repeated = [...byTrait].filter(([, involved]) => involved.length >= minimumCrashes);
    return repeated.map(([trait, involved]) => ({
        trait,
        requests: new Set(involved.map(({ request }) => request)),
        starts: firstTimesOf(involved),
        hasOwnReport: involved.some(({ isOwn }) => isOwn),
    }));
}

/**
 * Selects the reports that count against prompt segments: of the replicas that had begun to respond to a request only the
 * reports of such requests.
 */
export function selectForSegments(reports: readonly StoredReport[], now: number): readonly StoredReport[] {
    const recent = reports.filter(
        ({ at, traits }) =>
            now - at < segmentReportLifetimeMilliseconds && traits.some(trait => kindOf(trait) === "segment"),
    );
    const begun = new Set(recent.filter(({ hasHead }) => hasHead).map(({ start }) => start));
    return recent.filter(({ start, hasHead }) => hasHead || !begun.has(start));
}

/** Orders causes from the narrowest to the widest kind, and then by the number of crashes. */
function compareCauses(left: Involvement, right: Involvement): number {
    const order: readonly TraitKind[] = ["request", "resource", "segment"];
    const byKind = order.indexOf(kindOf(left.trait)) - order.indexOf(kindOf(right.trait));
    return byKind || right.requests.size - left.requests.size || right.starts.size - left.starts.size;
}

/** `crashTimes`: times of all crashes for which no cause is known and that may be due to a prompt segment. */
function isCause(
    { trait, requests, starts }: Involvement,
    crashTimes: readonly number[],
    now: number,
): boolean {
    const rule = blameRules[kindOf(trait)];
    const times = [...starts.values()];
    const [first, last] = [Math.min(...times), Math.max(...times)];
    const moments = countMoments(times);
    const allMoments = countMoments(crashTimes.filter(at => at >= first && at <= last));
    return (
        starts.size >= minimumCrashes &&
        requests.size >= rule.requests &&
        moments >= rule.moments &&
        moments >= rule.fraction * allMoments &&
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

export function includesAll(items: readonly string[], required: readonly string[]): boolean {
    return required.every(each => items.includes(each));
}
