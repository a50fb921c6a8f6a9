/**
 * Members of the mesh: heartbeats with incarnations, suspicion before death. A member is judged by the age of its last
 * heartbeat, wherever it was seen; an old heartbeat that is relayed late is old and brings nobody back.
 */
import type { FailureDomainId } from "./failure-domains.js";
import type { MemberBody, MemberDeclaration, MemberId } from "./membership-messages.js";
import type { Pulse, PulsedRecord } from "./membership-pulses.js";
import { PulsedTable, compareEvidence } from "./membership-pulses.js";

/** What this process thinks of a member. */
export type MemberState = "live" | "leaving" | "suspect" | "dead" | "left";

/** A member as others see it. */
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

/** Age of a heartbeat at which a member of the own failure domain is suspect, in milliseconds. */
export const suspectMilliseconds = 6_000;
/** Age at which it is dead. */
export const deadMilliseconds = 12_000;
/** Age at which it is forgotten. */
export const forgetMilliseconds = 30_000;
/** Members of other failure domains are heard of more slowly: their ages count by this factor. */
export const foreignAgeFactor = 2;
/** Members kept at most; the youngest heartbeats win. */
export const maxMembers = 2_000;

/** Who this process is. */
export interface MembershipOptions {
    readonly id: MemberId;
    readonly body: MemberBody;
    /** Higher at each start of the process. */
    readonly incarnation: number;
    readonly nextChange: () => number;
    readonly compare?: typeof compareEvidence;
}

/** Holds the members that this process knows, itself among them. */
export class Membership {
    public readonly table: PulsedTable<MemberBody>;
    private readonly judged = new Map<MemberId, MemberState>();
    private incarnation: number;
    private sequence = 0;
    private body: MemberBody;

    private constructor(private readonly options: MembershipOptions) {
        this.incarnation = options.incarnation;
        this.body = options.body;
        this.table = PulsedTable.create({
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

    /** Puts out a heartbeat of this process. */
    public beat(now: number): void {
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
                heardAt: now,
            },
            id,
        );
    }

    /** Declares that this process leaves, or has left. */
    public declare(state: MemberDeclaration, now: number): void {
        this.body = { ...this.body, state };
        this.beat(now);
    }

    /** Takes a member's record; one of this very process from an earlier life raises its incarnation. */
    public accept(record: PulsedRecord<MemberBody>, source: string, now: number): boolean {
        if (record.id === this.options.id) {
            this.refute(record, now);
            return false;
        }
        if (this.ageLimitReached(record, now, forgetMilliseconds)) {
            return false;
        }
        if (this.table.size >= maxMembers && this.table.get(record.id) === undefined) {
            return false;
        }
        return this.table.accept(record, source);
    }

    public acceptPulse(pulse: Pulse, source: string): "taken" | "old" | "unknown" {
        return this.table.acceptPulse(pulse, source);
    }

    /** Forgets members that have been silent for long, and returns the changes of state since the last call. */
    public tick(now: number): readonly MemberChange[] {
        this.beat(now);
        for (const record of this.table.records) {
            if (this.ageLimitReached(record, now, forgetMilliseconds)) {
                this.table.remove(record.id);
            }
        }
        return this.collectChanges(now);
    }

    /** After a pause of this process, silence says nothing about the others: their ages start anew. */
    public forgivePause(gapMilliseconds: number): void {
        this.table.mapHeardAt(heardAt => heardAt + gapMilliseconds);
    }

    public stateOf(record: PulsedRecord<MemberBody>, now: number): MemberState {
        if (record.body.state === "left") {
            return "left";
        }
        if (this.ageLimitReached(record, now, deadMilliseconds)) {
            return "dead";
        }
        if (this.ageLimitReached(record, now, suspectMilliseconds)) {
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

    /** Ids of the members of a failure domain that may have duties, in order. */
    public liveIn(failureDomain: FailureDomainId, now: number): readonly MemberId[] {
        return this.table.records
            .filter(
                record => record.body.failureDomain === failureDomain && this.stateOf(record, now) === "live",
            )
            .map(record => record.id)
            .sort();
    }

    private refute(record: PulsedRecord<MemberBody>, now: number): void {
        const own = { incarnation: this.incarnation, sequence: this.sequence, failed: false };
        if (record.incarnation >= this.incarnation && compareEvidence(record, own) > 0) {
            this.incarnation = record.incarnation + 1;
            this.beat(now);
        }
    }

    private ageLimitReached(record: PulsedRecord<MemberBody>, now: number, limit: number): boolean {
        const isForeign = record.body.failureDomain !== this.options.body.failureDomain;
        return now - record.heardAt >= limit * (isForeign ? foreignAgeFactor : 1);
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
