/**
 * Members of the mesh, tracked by heartbeats with incarnations. The state of a member follows from the age of its
 * latest heartbeat, whichever process observed it: first suspect, then dead. A heartbeat that is relayed late keeps its
 * age, so it does not revive a member.
 */
import type { FailureDomainId } from "./failure-domains.js";
import type { MemberBody, MemberDeclaration, MemberId } from "./mesh-messages.js";
import type { Heartbeat, HeartbeatRecord } from "./heartbeat-table.js";
import { HeartbeatTable, compareEvidence } from "./heartbeat-table.js";

/** State of a member as this process judges it. */
export type MemberState = "live" | "leaving" | "suspect" | "dead" | "left";

/** A member with the state that this process judges it to have. */
export interface Member extends MemberBody {
    readonly id: MemberId;
    readonly incarnation: number;
    readonly judged: MemberState;
}

/** A change of a member's state. */
export interface MemberChange {
    readonly member: MemberId;
    readonly state: MemberState;
}

/** Age of the latest heartbeat at which a member of the same failure domain is suspect, in milliseconds. */
export const suspectTimeoutMilliseconds = 6_000;
/** Age of the latest heartbeat at which a member is declared dead, in milliseconds. */
export const deadTimeoutMilliseconds = 12_000;
/** Age of the latest heartbeat at which a member is removed, in milliseconds. */
export const memberExpiryMilliseconds = 30_000;
/** Factor on the age limits for members of other failure domains, whose heartbeats arrive more slowly. */
export const foreignAgeFactor = 2;
/** Maximum number of members; records of further members are rejected. */
export const maximumMembers = 2_000;

/** Identity of this process, and the dependencies of its membership. */
export interface MembershipOptions {
    readonly id: MemberId;
    readonly body: MemberBody;
    /** Higher at each start of the process. */
    readonly incarnation: number;
    readonly nextChange: () => number;
    readonly compare?: typeof compareEvidence;
}

/** Holds the members that this process knows, including itself. */
export class Membership {
    public readonly table: HeartbeatTable<MemberBody>;
    private readonly judged = new Map<MemberId, MemberState>();
    private incarnation: number;
    private sequence = 0;
    private body: MemberBody;

    private constructor(private readonly options: MembershipOptions) {
        this.incarnation = options.incarnation;
        this.body = options.body;
        this.table = HeartbeatTable.create({
            describe: body => JSON.stringify(body),
            nextChange: options.nextChange,
            compare: options.compare,
        });
    }

    public static create(options: MembershipOptions): Membership {
        return new Membership(options);
    }

    public get ownIncarnation(): number {
        return this.incarnation;
    }

    /** Emits a heartbeat of this process. */
    public emitHeartbeat(now: number): void {
        this.sequence += 1;
        const { id } = this.options;
        this.table.accept(
            {
                id,
                home: this.body.failureDomain,
                incarnation: this.incarnation,
                sequence: this.sequence,
                failed: false,
                body: this.body,
                load: { running: 0, waiting: 0 },
                lastSeenAt: now,
            },
            id,
        );
    }

    /** Declares that this process leaves, or has left. */
    public declareState(state: MemberDeclaration, now: number): void {
        this.body = { ...this.body, state };
        this.emitHeartbeat(now);
    }

    /** Applies a member's record. A record of this process from an earlier run raises the own incarnation above it. */
    public accept(record: HeartbeatRecord<MemberBody>, source: string, now: number): boolean {
        if (record.id === this.options.id) {
            this.refute(record, now);
            return false;
        }
        if (this.hasReachedAgeLimit(record, now, memberExpiryMilliseconds)) {
            return false;
        }
        if (this.table.size >= maximumMembers && this.table.get(record.id) === undefined) {
            return false;
        }
        return this.table.accept(record, source);
    }

    public acceptHeartbeat(pulse: Heartbeat, source: string): "taken" | "old" | "unknown" {
        return this.table.acceptHeartbeat(pulse, source);
    }

    /** Emits a heartbeat, removes members that have expired, and returns the changes of state since the last call. */
    public tick(now: number): readonly MemberChange[] {
        this.emitHeartbeat(now);
        for (const record of this.table.records) {
            if (this.hasReachedAgeLimit(record, now, memberExpiryMilliseconds)) {
                this.table.remove(record.id);
            }
        }
        return this.collectChanges(now);
    }

    /** Excludes a pause of this process from the ages of heartbeats: silence during the pause is no evidence. */
    public excludePause(gapMilliseconds: number): void {
        this.table.mapLastSeenAt(lastSeenAt => lastSeenAt + gapMilliseconds);
    }

    public stateOf(record: HeartbeatRecord<MemberBody>, now: number): MemberState {
        if (record.body.state === "left") {
            return "left";
        }
        if (this.hasReachedAgeLimit(record, now, deadTimeoutMilliseconds)) {
            return "dead";
        }
        if (this.hasReachedAgeLimit(record, now, suspectTimeoutMilliseconds)) {
            return "suspect";
        }
        return record.body.state;
    }

    public members(now: number): readonly Member[] {
        return this.table.records.map(record => ({
            ...record.body,
            id: record.id,
            incarnation: record.incarnation,
            judged: this.stateOf(record, now),
        }));
    }

    /** Returns the sorted ids of the live members of a failure domain, which may be assigned duties. */
    public liveIn(failureDomain: FailureDomainId, now: number): readonly MemberId[] {
        return this.table.records
            .filter(
                record => record.body.failureDomain === failureDomain && this.stateOf(record, now) === "live",
            )
            .map(record => record.id)
            .sort();
    }

    private refute(record: HeartbeatRecord<MemberBody>, now: number): void {
        const own = { incarnation: this.incarnation, sequence: this.sequence, failed: false };
        if (record.incarnation >= this.incarnation && compareEvidence(record, own) > 0) {
            this.incarnation = record.incarnation + 1;
            this.emitHeartbeat(now);
        }
    }

    private hasReachedAgeLimit(record: HeartbeatRecord<MemberBody>, now: number, limit: number): boolean {
        const isForeign = record.body.failureDomain !== this.options.body.failureDomain;
        return now - record.lastSeenAt >= limit * (isForeign ? foreignAgeFactor : 1);
    }

    private collectChanges(now: number): readonly MemberChange[] {
        const changes: MemberChange[] = [];
        for (const record of this.table.records) {
            const state = this.stateOf(record, now);
            if (this.judged.get(record.id) !== state) {
                this.judged.set(record.id, state);
                changes.push({ member: record.id, state });
            }
        }
        for (const id of [...this.judged.keys()].filter(known => this.table.get(known) === undefined)) {
            this.judged.delete(id);
        }
        return changes;
    }
}
