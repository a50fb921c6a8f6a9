/**
 * State that a placer keeps about the instances of its failure domain. Registrations lag, so they only determine which
 * instances to probe; the instances' own reports decide.
 */
import type { EngineStatus, FleetInstance } from "./fleets.js";

/** Minimum time without a report before an instance counts as dead and its group gets no new requests, in milliseconds. */
export const deadAfterMilliseconds = 300;
/** Minimum consecutive unanswered requests before an instance counts as dead; a single packet may be lost. */
const minimumUnansweredReports = 3;
/** Time without a report after which a registered instance no longer counts as paused, in milliseconds. */
const maximumPauseMilliseconds = 1_300;
/** Time without a report after which a leader without heartbeats has certainly ended, in milliseconds. */
const leaderEndedMilliseconds = 1_000;
/** Missed heartbeats, allowing for their delay, after which a registered instance or a member is asked for a report. */
const missedHeartbeats = 2;
/** Minimum missed heartbeats before a leader has certainly ended. */
const leaderEndedHeartbeats = 2;
/** Maximum age of an unanswered report request that still proves an instance has ended, in milliseconds. */
const maximumSilenceAgeMilliseconds = 250;
/** Time for which instances that are no longer registered are still asked for reports, in milliseconds. */
const unregisteredRetentionMilliseconds = 15_000;

/** Outcome of a report request. "refused": the address responds, but this instance does not run there. */
export type ReportOutcome =
    | { readonly kind: "answered"; readonly status: EngineStatus }
    | { readonly kind: "refused" }
    | { readonly kind: "silent" };

/** State that the placer keeps about one instance. */
export interface KnownInstance {
    readonly instance: FleetInstance;
    readonly isRegistered: boolean;
    /** Status in the instance's last report; undefined until it has sent one. */
    readonly status: EngineStatus | undefined;
    /** Local monotonic milliseconds at which the last answered report was requested. */
    readonly reportedAt: number;
    readonly silentSince: number | undefined;
    readonly unansweredReports: number;
    /** Time at which the last unanswered report was requested. */
    readonly lastUnansweredAt: number;
    /** True once the instance's process is known to have ended. */
    readonly isEnded: boolean;
    /** Time at which the present incarnation was first seen. */
    readonly appearedAt: number;
    /** Time of the instance's last new heartbeat. */
    readonly heartbeatAt: number;
    readonly unregisteredAt: number | undefined;
    /** True if the registration changed since the last report. */
    readonly needsReport: boolean;
}

/** Registry of the instances of one failure domain. */
export class InstanceRegistry {
    private readonly byId = new Map<string, KnownInstance>();

    private constructor(private readonly heartbeatMilliseconds: number) {}

    public static create(heartbeatMilliseconds: number): InstanceRegistry {
        return new InstanceRegistry(heartbeatMilliseconds);
    }

    public get all(): readonly KnownInstance[] {
        return [...this.byId.values()];
    }

    public get(id: string): KnownInstance | undefined {
        return this.byId.get(id);
    }

    /** Applies the present registrations and the recently expired ones, whose instances may still lead a group. */
    public applyRegistrations(
        registered: readonly FleetInstance[],
        expired: readonly FleetInstance[],
        now: number,
    ): void {
        const ids = new Set(registered.map(instance => instance.id));
        const unknown = expired.filter(instance => !this.byId.has(instance.id));
        unknown.forEach(instance => this.byId.set(instance.id, this.register(instance, now)));
        registered.forEach(instance => this.byId.set(instance.id, this.register(instance, now)));
        for (const known of this.all) {
            if (!ids.has(known.instance.id)) {
                this.unregister(known, now);
            }
        }
    }

    public applyReport(id: string, outcome: ReportOutcome, requestedAt: number): void {
        const known = this.byId.get(id);
        if (known === undefined || requestedAt < known.reportedAt) {
            return;
        }
        switch (outcome.kind) {
            case "answered":
                this.byId.set(id, {
                    ...known,
                    status: outcome.status,
                    reportedAt: requestedAt,
                    silentSince: undefined,
                    unansweredReports: 0,
                    isEnded: false,
                    needsReport: false,
                });
                return;
            case "refused":
                this.byId.set(id, { ...known, isEnded: true, needsReport: false });
                return;
            case "silent":
                this.byId.set(id, {
                    ...known,
                    silentSince: known.silentSince ?? requestedAt,
                    unansweredReports: known.unansweredReports + 1,
                    lastUnansweredAt: requestedAt,
                });
        }
    }

    /** Forgets all reports, and the silence since them, so that the instances are asked again. */
    public forgetReports(): void {
        for (const known of this.all) {
            this.byId.set(known.instance.id, {
                ...known,
                status: undefined,
                silentSince: undefined,
                unansweredReports: 0,
                lastUnansweredAt: 0,
                needsReport: true,
            });
        }
    }

    /** True if the instance no longer responds, so that its group cannot continue. */
    public isDead(known: KnownInstance, now: number): boolean {
        if (known.isEnded) {
            return true;
        }
        const { silentSince, unansweredReports: silentReports } = known;
        return (
            silentSince !== undefined &&
            silentReports >= minimumUnansweredReports &&
            now - silentSince >= deadAfterMilliseconds
        );
    }

    /** True if the instance is silent for so short a time that it may be sound: a process may pause and go on. */
    public mayBePaused(known: KnownInstance, now: number): boolean {
        const { silentSince, isEnded, isRegistered } = known;
        return (
            isRegistered &&
            !isEnded &&
            silentSince !== undefined &&
            now < silentSince + maximumPauseMilliseconds
        );
    }

    /**
     * True if the instance certainly leads no group for any caller, including callers that reach instances which this
     * process cannot reach. Its silence must be as recent as the other members' reports: after a network partition,
     * members reappear one after the other.
     */
    public hasCertainlyEnded(known: KnownInstance, now: number): boolean {
        if (known.isEnded) {
            return true;
        }
        const silentFor = known.lastUnansweredAt - (known.silentSince ?? known.lastUnansweredAt);
        const heartbeatAge = now - known.heartbeatAt;
        return (
            this.isDead(known, now) &&
            silentFor >= leaderEndedMilliseconds &&
            now - known.lastUnansweredAt <= maximumSilenceAgeMilliseconds &&
            heartbeatAge >= leaderEndedHeartbeats * this.heartbeatMilliseconds
        );
    }

    /** True if the instance's heartbeats have stopped, whether or not it still sends reports. */
    public hasMissedHeartbeat(known: KnownInstance, now: number): boolean {
        return now - known.heartbeatAt >= missedHeartbeats * this.heartbeatMilliseconds;
    }

    private register(instance: FleetInstance, now: number): KnownInstance {
        const before = this.byId.get(instance.id);
        const isNew = before === undefined || !isSameIncarnation(before, instance);
        if (isNew) {
            return {
                instance,
                isRegistered: true,
                status: undefined,
                reportedAt: 0,
                silentSince: undefined,
                unansweredReports: 0,
                lastUnansweredAt: 0,
                isEnded: false,
                appearedAt: now,
                heartbeatAt: now,
                unregisteredAt: undefined,
                needsReport: true,
            };
        }
        if (before.instance === instance && before.isRegistered) {
            return before;
        }
        const isChanged = JSON.stringify(before.instance.status) !== JSON.stringify(instance.status);
        const hasNewHeartbeat = before.instance.heartbeat !== instance.heartbeat || isChanged;
        return {
            ...before,
            instance,
            isRegistered: true,
            unregisteredAt: undefined,
            heartbeatAt: hasNewHeartbeat ? now : before.heartbeatAt,
            needsReport: before.needsReport || isChanged,
        };
    }

    private unregister(known: KnownInstance, now: number): void {
        const unregisteredAt = known.unregisteredAt ?? now;
        if (now - unregisteredAt > unregisteredRetentionMilliseconds && this.isDead(known, now)) {
            this.byId.delete(known.instance.id);
            return;
        }
        this.byId.set(known.instance.id, { ...known, isRegistered: false, unregisteredAt });
    }
}

function isSameIncarnation(before: KnownInstance, instance: FleetInstance): boolean {
    return (
        before.instance.address === instance.address &&
        before.instance.status.incarnation === instance.status.incarnation
    );
}
