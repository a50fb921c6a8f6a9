/**
 * Health of endpoints from probes, one's own and those of peers. Silence is not health: a report counts until the
 * health deadline after its probe, wherever it was made, and a failed probe voids the reports up to it.
 */
import type { EndpointHealth, EndpointReport } from "./endpoints.js";
import type { FailureDomainId } from "./failure-domains.js";
import type { InstanceId } from "./instances.js";
import type { EndpointBody, SentLeaving } from "./membership-messages.js";
import type { PulsedRecord } from "./membership-pulses.js";
import { PulsedTable, compareEvidence } from "./membership-pulses.js";

/** Time after the last evidence at which an endpoint is forgotten, in milliseconds. */
export const endpointForgetMilliseconds = 60_000;
/** Time after which a "leaving" that nobody repeats is forgotten, in milliseconds. */
export const leavingForgetMilliseconds = 60_000;
/** Time after which one who still sees "leaving" in the instance list says so again, in milliseconds. */
export const leavingRepeatMilliseconds = 10_000;

/** The safety rules of evidence. Tests replace single rules, to see that their checkers notice. */
export interface EvidenceRules {
    /** Orders two states of one thing; positive if the first is later. */
    readonly compare: typeof compareEvidence;
    /** Local time until which a record counts as health. */
    readonly healthyUntil: (
        record: Pick<PulsedRecord<EndpointBody>, "failed" | "heardAt">,
        healthMilliseconds: number,
    ) => number;
}

export const evidenceRules: EvidenceRules = {
    compare: compareEvidence,
    healthyUntil: ({ failed, heardAt }, healthMilliseconds) =>
        failed ? heardAt : heardAt + healthMilliseconds,
};

interface Leaving {
    readonly incarnation: number;
    readonly heardAt: number;
    readonly changedAt: number;
}

/** Turns a probe's report into a record. */
export function toEndpointRecord(
    report: EndpointReport,
    home: FailureDomainId,
    heardAt: number,
): PulsedRecord<EndpointBody> {
    const { instance, incarnation, sequence, state, group, epoch, leaving, load, warm } = report;
    return {
        id: instance,
        home,
        incarnation,
        sequence,
        failed: false,
        body: { state, group, epoch, leaving, slots: load.slots, warm },
        load: { running: load.running, waiting: load.waiting },
        heardAt,
    };
}

function toReport(record: PulsedRecord<EndpointBody>): EndpointReport {
    const { state, group, epoch, leaving, slots, warm } = record.body;
    const { id: instance, incarnation, sequence } = record;
    const load = { ...record.load, slots };
    return { instance, incarnation, sequence, state, group, epoch, leaving, load, warm };
}

/** Holds the latest report of each endpoint, and which instances are said to be leaving. */
export class HealthTable {
    public readonly endpoints: PulsedTable<EndpointBody>;
    private readonly leavings = new Map<InstanceId, Leaving>();

    private constructor(
        private readonly nextChange: () => number,
        private readonly rules: EvidenceRules,
    ) {
        const { compare } = rules;
        this.endpoints = PulsedTable.create({ describe: body => JSON.stringify(body), nextChange, compare });
    }

    public static create(nextChange: () => number, rules: EvidenceRules = evidenceRules): HealthTable {
        return new HealthTable(nextChange, rules);
    }

    /** Latest health of an endpoint; `healthyUntil` has passed once it failed a probe. */
    public health(instance: InstanceId, healthMilliseconds: number): EndpointHealth | undefined {
        const record = this.endpoints.get(instance);
        if (record === undefined) {
            return undefined;
        }
        const healthyUntil = this.rules.healthyUntil(record, healthMilliseconds);
        return { report: toReport(record), healthyUntil };
    }

    /** True if the endpoint itself, the instance list or a peer says so, and no later incarnation took it back. */
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

    /** Notes that an endpoint has not answered since a time; reports from before it no longer count. */
    public observeFailure(instance: InstanceId, since: number, now: number, source: string): boolean {
        const record = this.endpoints.get(instance);
        if (record === undefined || record.heardAt > since) {
            return false;
        }
        return this.endpoints.accept({ ...record, failed: true, heardAt: now }, source);
    }

    /** Notes that the instance list says "leaving"; repeated while it does. */
    public observeLeaving(instance: InstanceId, now: number): void {
        const known = this.leavings.get(instance);
        if (known !== undefined && now - known.heardAt < leavingRepeatMilliseconds) {
            return;
        }
        this.noteLeaving(instance, this.endpoints.get(instance)?.incarnation ?? 0, now);
    }

    /** Takes what a peer has heard. */
    public acceptLeaving(sent: SentLeaving, now: number): void {
        const heardAt = now - sent.ageMilliseconds;
        const known = this.leavings.get(sent.instance);
        const isNews = known === undefined || sent.incarnation > known.incarnation;
        const isRepeat = known !== undefined && heardAt - known.heardAt >= leavingRepeatMilliseconds / 2;
        if (now - heardAt < leavingForgetMilliseconds && (isNews || isRepeat)) {
            this.noteLeaving(sent.instance, Math.max(sent.incarnation, known?.incarnation ?? 0), heardAt);
        }
    }

    public leavingsSince(change: number, now: number): readonly SentLeaving[] {
        return [...this.leavings]
            .filter(([, leaving]) => leaving.changedAt > change)
            .map(([instance, leaving]) => ({
                instance,
                incarnation: leaving.incarnation,
                ageMilliseconds: Math.max(0, now - leaving.heardAt),
            }));
    }

    /** Binds a "leaving" of an endpoint not yet seen to its first incarnation, and forgets what is old. */
    public tick(now: number): void {
        for (const [instance, leaving] of this.leavings) {
            const incarnation = this.endpoints.get(instance)?.incarnation;
            if (now - leaving.heardAt >= leavingForgetMilliseconds) {
                this.leavings.delete(instance);
            } else if (leaving.incarnation === 0 && incarnation !== undefined) {
                this.noteLeaving(instance, incarnation, leaving.heardAt);
            }
        }
        for (const record of this.endpoints.records) {
            if (now - record.heardAt >= endpointForgetMilliseconds) {
                this.endpoints.remove(record.id);
            }
        }
    }

    /** Makes every report stale, as after a pause of the process. */
    public expireAll(now: number, healthMilliseconds: number): void {
        this.endpoints.mapHeardAt(heardAt => Math.min(heardAt, now - healthMilliseconds));
    }

    private noteLeaving(instance: InstanceId, incarnation: number, heardAt: number): void {
        this.leavings.set(instance, { incarnation, heardAt, changedAt: this.nextChange() });
    }
}
