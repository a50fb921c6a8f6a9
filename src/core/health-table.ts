/**
 * Health of endpoints from the probes of this process and its peers. Silence does not count as health: a report is
 * valid until the health deadline after its probe, whichever process made it, and a failed probe invalidates earlier
 * reports.
 */
import type { EndpointHealth, EndpointReport } from "./endpoints.js";
import type { FailureDomainId } from "./failure-domains.js";
import type { InstanceId } from "./instances.js";
import type { EndpointBody, SentLeaving } from "./mesh-messages.js";
import type { HeartbeatRecord } from "./heartbeat-table.js";
import { HeartbeatTable, compareEvidence } from "./heartbeat-table.js";

/** Time after the last evidence at which an endpoint is removed, in milliseconds. */
export const endpointExpiryMilliseconds = 60_000;
/** Time after which a "leaving" announcement that is not repeated expires, in milliseconds. */
export const leavingExpiryMilliseconds = 60_000;
/** Interval at which "leaving" is announced again while the instance list shows it, in milliseconds. */
export const leavingRepeatIntervalMilliseconds = 10_000;

/** Safety rules for evidence. Tests replace single rules to show that their checkers notice. */
export interface EvidenceRules {
    /** Orders two states of one subject; positive if the first is later. */
    readonly compare: typeof compareEvidence;
    /** Returns the local time until which a record counts as healthy. */
    readonly healthyUntil: (
        record: Pick<HeartbeatRecord<EndpointBody>, "failed" | "lastSeenAt">,
        healthMilliseconds: number,
    ) => number;
}

export const evidenceRules: EvidenceRules = {
    compare: compareEvidence,
    healthyUntil: ({ failed, lastSeenAt }, healthMilliseconds) =>
        failed ? lastSeenAt : lastSeenAt + healthMilliseconds,
};

interface LeavingAnnouncement {
    readonly incarnation: number;
    readonly announcedAt: number;
    readonly changedAt: number;
}

/** Converts the report of a probe into a record. */
export function toEndpointRecord(
    report: EndpointReport,
    home: FailureDomainId,
    lastSeenAt: number,
): HeartbeatRecord<EndpointBody> {
    const { instance, incarnation, sequence, state, group, epoch, leaving, load, warm } = report;
    return {
        id: instance,
        home,
        incarnation,
        sequence,
        failed: false,
        body: { state, group, epoch, leaving, slots: load.slots, warm },
        load: { running: load.running, waiting: load.waiting },
        lastSeenAt,
    };
}

function toReport(record: HeartbeatRecord<EndpointBody>): EndpointReport {
    const { state, group, epoch, leaving, slots, warm } = record.body;
    const { id: instance, incarnation, sequence } = record;
    const load = { ...record.load, slots };
    return { instance, incarnation, sequence, state, group, epoch, leaving, load, warm };
}

/** Holds the latest report of each endpoint, and the instances announced as leaving. */
export class HealthTable {
    public readonly endpoints: HeartbeatTable<EndpointBody>;
    private readonly leavings = new Map<InstanceId, LeavingAnnouncement>();

    private constructor(
        private readonly nextChange: () => number,
        private readonly rules: EvidenceRules,
    ) {
        const { compare } = rules;
        this.endpoints = HeartbeatTable.create({
            describe: body => JSON.stringify(body),
            nextChange,
            compare,
        });
    }

    public static create(nextChange: () => number, rules: EvidenceRules = evidenceRules): HealthTable {
        return new HealthTable(nextChange, rules);
    }

    /** Returns the latest health of an endpoint; after a failed probe, `healthyUntil` is in the past. */
    public health(instance: InstanceId, healthMilliseconds: number): EndpointHealth | undefined {
        const record = this.endpoints.get(instance);
        if (record === undefined) {
            return undefined;
        }
        const healthyUntil = this.rules.healthyUntil(record, healthMilliseconds);
        return { report: toReport(record), healthyUntil };
    }

    /**
     * True if the endpoint, the instance list or a peer announces it as leaving, and no later incarnation revokes this.
     */
    public isLeaving(instance: InstanceId): boolean {
        const record = this.endpoints.get(instance);
        const leaving = this.leavings.get(instance);
        if (record?.body.leaving === true) {
            return true;
        }
        if (leaving === undefined || record === undefined || leaving.incarnation === 0) {
            return leaving !== undefined;
        }
        return record.incarnation <= leaving.incarnation;
    }

    /** Records that an endpoint has not responded since a time; reports up to that time are no longer valid. */
    public observeFailure(instance: InstanceId, since: number, now: number, source: string): boolean {
        const record = this.endpoints.get(instance);
        if (record === undefined || record.lastSeenAt > since) {
            return false;
        }
        return this.endpoints.accept({ ...record, failed: true, lastSeenAt: now }, source);
    }

    /** Records that the instance list shows "leaving"; announced again at intervals while it does. */
    public observeLeaving(instance: InstanceId, now: number): void {
        const known = this.leavings.get(instance);
        if (known !== undefined && now - known.announcedAt < leavingRepeatIntervalMilliseconds) {
            return;
        }
        this.recordLeaving(instance, this.endpoints.get(instance)?.incarnation ?? 0, now);
    }

    /** Applies a "leaving" announcement of a peer. */
    public acceptLeaving(sent: SentLeaving, now: number): void {
        const announcedAt = now - sent.ageMilliseconds;
        const known = this.leavings.get(sent.instance);
        const isNew = known === undefined || sent.incarnation > known.incarnation;
        const isRepeat =
            known !== undefined && announcedAt - known.announcedAt >= leavingRepeatIntervalMilliseconds / 2;
        if (now - announcedAt < leavingExpiryMilliseconds && (isNew || isRepeat)) {
            this.recordLeaving(
                sent.instance,
                Math.max(sent.incarnation, known?.incarnation ?? 0),
                announcedAt,
            );
        }
    }

    public leavingsSince(change: number, now: number): readonly SentLeaving[] {
        return [...this.leavings]
            .filter(([, leaving]) => leaving.changedAt > change)
            .map(([instance, leaving]) => ({
                instance,
                incarnation: leaving.incarnation,
                ageMilliseconds: Math.max(0, now - leaving.announcedAt),
            }));
    }

    /** Binds "leaving" of an endpoint not yet observed to its first known incarnation, and removes expired entries. */
    public tick(now: number): void {
        for (const [instance, leaving] of this.leavings) {
            const incarnation = this.endpoints.get(instance)?.incarnation;
            if (now - leaving.announcedAt >= leavingExpiryMilliseconds) {
                this.leavings.delete(instance);
            } else if (leaving.incarnation === 0 && incarnation !== undefined) {
                this.recordLeaving(instance, incarnation, leaving.announcedAt);
            }
        }
        for (const record of this.endpoints.records) {
            if (now - record.lastSeenAt >= endpointExpiryMilliseconds) {
                this.endpoints.remove(record.id);
            }
        }
    }

    /** Makes every report stale, as needed after a pause of the process. */
    public expireAll(now: number, healthMilliseconds: number): void {
        this.endpoints.mapLastSeenAt(lastSeenAt => Math.min(lastSeenAt, now - healthMilliseconds));
    }

    private recordLeaving(instance: InstanceId, incarnation: number, announcedAt: number): void {
        this.leavings.set(instance, { incarnation, announcedAt, changedAt: this.nextChange() });
    }
}
