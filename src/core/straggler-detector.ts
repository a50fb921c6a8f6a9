/**
 * Detects replicas that are far slower than their peers. The gap between tokens of a replica is compared with that of
 * all replicas: a slow replica is discounted; a very slow, stalled or failing one is ejected, and returns to service
 * after a trial with one request.
 */

/** Ratio of the gap of a replica to the reference gap, by default the median, at which the replica is ejected. */
export const ejectionSlowdownRatio = 3.3;
/** Slowdowns up to this ratio are attributed to load and not discounted. */
export const toleratedSlowdownRatio = 1.5;
/** Consecutive failures after which a replica is ejected. */
export const failuresUntilEjection = 3;
/** Maximum fraction of replicas ejected at a time for slowness; one may always be ejected, the last one never. */
export const maximumEjectedFraction = 0.1;
/** Maximum fraction for replicas that fail; higher, because keeping a failing replica in service helps no request. */
export const maximumFailingFraction = 0.5;
/** Initial time out of service in milliseconds; doubled after each failed trial. */
export const initialEjectionMilliseconds = 5_000;
export const maximumEjectionMilliseconds = 60_000;
/** Time without tokens, in milliseconds, after which a replica with running requests counts as stalled. */
export const stallTimeoutMilliseconds = 2_000;

/** Number of gaps needed before the average gap of a replica is compared with the reference gap. */
const minimumGaps = 20;
/** Minimum weight of a new gap in the moving average. */
const minimumGapWeight = 0.05;
/** Time for which the reference gap is cached, in milliseconds. */
const referenceCacheMilliseconds = 250;

/** Requests that a replica may take: "full" all, "trial" one at a time, "ejected" none. */
export type ReplicaService = "full" | "trial" | "ejected";

interface ReplicaPace {
    gapMilliseconds: number;
    gaps: number;
    failures: number;
    lastProgressAt: number;
    running: number;
    ejectedUntil: number | undefined;
    ejectionMilliseconds: number;
}

/** Returns the gap in milliseconds with which all gaps are compared, 0 if there are none. */
export type ReferenceGapFunction = (gaps: readonly number[]) => number;

export const medianGap: ReferenceGapFunction = gaps => {
    const sorted = [...gaps].sort((left, right) => left - right);
    return sorted[(sorted.length - 1) >> 1] ?? 0;
};

/** The mean, as in "Surge: optimizations of parallel downloads"; among few replicas, one slow replica shifts it. */
export const meanGap: ReferenceGapFunction = gaps =>
    gaps.length === 0 ? 0 : gaps.reduce((sum, gap) => sum + gap, 0) / gaps.length;

/** Tracks the pace of the replicas of one model and ejects stragglers. */
export class StragglerDetector {
    private readonly replicas = new Map<string, ReplicaPace>();
    private referenceGap = 0;
    private referenceUntil = -Infinity;
    private ejectedCount = 0;

    private constructor(private readonly referenceOf: ReferenceGapFunction) {}

    public static create(referenceOf: ReferenceGapFunction = medianGap): StragglerDetector {
        return new StragglerDetector(referenceOf);
    }

    public recordStart(replica: string, now: number): void {
        const pace = this.paceOf(replica, now);
        if (pace.running === 0) {
            pace.lastProgressAt = now;
        }
        pace.running += 1;
    }

    /** Records a token; `gapMilliseconds` is the time since the previous token of the stream, if there was one. */
    public recordProgress(replica: string, gapMilliseconds: number | undefined, now: number): void {
        const pace = this.paceOf(replica, now);
        pace.lastProgressAt = now;
        pace.failures = 0;
        if (gapMilliseconds === undefined) {
            return;
        }
        pace.gaps += 1;
        const weight = Math.max(minimumGapWeight, 1 / pace.gaps);
        pace.gapMilliseconds += weight * (gapMilliseconds - pace.gapMilliseconds);
    }

    /** Records the end of a request; a successful trial returns the replica to service. */
    public recordEnd(replica: string, outcome: "finished" | "failed" | "abandoned", now: number): void {
        const pace = this.paceOf(replica, now);
        pace.running = Math.max(0, pace.running - 1);
        if (outcome === "failed") {
            pace.failures += 1;
        }
        if (pace.ejectedUntil !== undefined) {
            this.endTrial(replica, pace, outcome, now);
            return;
        }
        if (pace.failures >= failuresUntilEjection) {
            this.eject(pace, maximumFailingFraction, now);
        }
    }

    /** Returns a penalty factor for slowness and recent failures; 1 if the replica keeps up with its peers. */
    public slowdownOf(replica: string, now: number): number {
        const pace = this.replicas.get(replica);
        if (pace === undefined) {
            return 1;
        }
        const ratio = this.slowdownRatioOf(pace, now);
        return (ratio > toleratedSlowdownRatio ? ratio : 1) * (1 + pace.failures);
    }

    /** Returns how the replica may be used now; ejects it if it has become far too slow. */
    public serviceOf(replica: string, now: number): ReplicaService {
        const pace = this.replicas.get(replica);
        if (pace === undefined) {
            return "full";
        }
        if (pace.ejectedUntil === undefined && this.slowdownRatioOf(pace, now) >= ejectionSlowdownRatio) {
            this.eject(pace, maximumEjectedFraction, now);
        }
        if (pace.ejectedUntil === undefined) {
            return "full";
        }
        return now >= pace.ejectedUntil && pace.running === 0 ? "trial" : "ejected";
    }

    public removeReplica(replica: string): void {
        if (this.replicas.get(replica)?.ejectedUntil !== undefined) {
            this.ejectedCount -= 1;
        }
        this.replicas.delete(replica);
    }

    private endTrial(replica: string, pace: ReplicaPace, outcome: string, now: number): void {
        if (now < pace.ejectedUntil! || outcome === "abandoned") {
            return;
        }
        if (outcome === "failed" || this.slowdownRatioOf(pace, now) >= toleratedSlowdownRatio) {
            pace.ejectionMilliseconds = Math.min(2 * pace.ejectionMilliseconds, maximumEjectionMilliseconds);
            pace.ejectedUntil = now + pace.ejectionMilliseconds;
            restartMeasurement(pace);
            return;
        }
        this.ejectedCount -= 1;
        this.replicas.set(replica, { ...newPace(now), running: pace.running });
    }

    private eject(pace: ReplicaPace, fraction: number, now: number): void {
        const maximum = Math.max(1, Math.floor(this.replicas.size * fraction));
        if (this.ejectedCount >= maximum || this.replicas.size < 2) {
            return;
        }
        this.ejectedCount += 1;
        pace.ejectedUntil = now + pace.ejectionMilliseconds;
        restartMeasurement(pace);
    }

    private slowdownRatioOf(pace: ReplicaPace, now: number): number {
        const getReferenceGap = this.getReferenceGap(now);
        if (getReferenceGap <= 0) {
            return 1;
        }
        const silence = pace.running > 0 ? now - pace.lastProgressAt : 0;
        const silenceRatio = silence > stallTimeoutMilliseconds ? silence / getReferenceGap : 1;
        const paceRatio = pace.gaps >= minimumGaps ? pace.gapMilliseconds / getReferenceGap : 1;
        return Math.max(silenceRatio, paceRatio);
    }

    /** Returns the reference gap of the replicas in service, in milliseconds. */
    private getReferenceGap(now: number): number {
        if (now < this.referenceUntil) {
            return this.referenceGap;
        }
        const gaps = [...this.replicas.values()]
            .filter(pace => pace.gaps >= minimumGaps && pace.ejectedUntil === undefined)
            .map(pace => pace.gapMilliseconds);
        this.referenceGap = this.referenceOf(gaps);
        this.referenceUntil = now + referenceCacheMilliseconds;
        return this.referenceGap;
    }

    private paceOf(replica: string, now: number): ReplicaPace {
        let pace = this.replicas.get(replica);
        if (pace === undefined) {
            pace = newPace(now);
            this.replicas.set(replica, pace);
        }
        return pace;
    }
}

function newPace(now: number): ReplicaPace {
    return {
        gapMilliseconds: 0,
        gaps: 0,
        failures: 0,
        lastProgressAt: now,
        running: 0,
        ejectedUntil: undefined,
        ejectionMilliseconds: initialEjectionMilliseconds,
    };
}

/** Resets the measurement, so that a trial is judged only by its own gaps and failures. */
function restartMeasurement(pace: ReplicaPace): void {
    pace.gaps = 0;
    pace.gapMilliseconds = 0;
    pace.failures = 0;
}
