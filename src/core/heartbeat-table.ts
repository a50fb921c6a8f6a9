/**
 * A table of subjects that emit heartbeats: members and endpoints. The body of a record, which the subject states about
 * itself, changes rarely and is sent whole; a later heartbeat with the same body is sent as a short key and a sequence
 * number. Records are ordered by (incarnation, sequence, failed), and each carries the local time of its evidence, so
 * an old record that is relayed late never looks new.
 */
import { hashText } from "./hashes.js";

/** Load of a subject in running and waiting requests; zero for subjects without load. */
export interface HeartbeatLoad {
    readonly running: number;
    readonly waiting: number;
}

/** Latest known state of one subject. */
export interface HeartbeatRecord<Body> {
    readonly id: string;
    /** Failure domain of the process that observed the subject directly. */
    readonly home: string;
    readonly incarnation: number;
    readonly sequence: number;
    /** True if the subject did not respond after `sequence`. */
    readonly failed: boolean;
    readonly body: Body;
    readonly load: HeartbeatLoad;
    /** Local monotonic milliseconds of the heartbeat, or of its failure. */
    readonly lastSeenAt: number;
}

/** A later heartbeat of a subject whose body is known; `key` is a hash of id, incarnation and body. */
export interface Heartbeat {
    readonly key: number;
    readonly sequence: number;
    readonly failed: boolean;
    readonly load: HeartbeatLoad;
    readonly lastSeenAt: number;
}

interface HeldRecord<Body> {
    readonly record: HeartbeatRecord<Body>;
    readonly key: number;
    readonly source: string;
    /** Local change number of the record's last change, and of its body's last change. */
    readonly changedAt: number;
    readonly bodyChangedAt: number;
}

/** Changes of a table: whole records where the body is new to the peer, heartbeats elsewhere. */
export interface TableChanges<Body> {
    readonly records: readonly HeartbeatRecord<Body>[];
    readonly pulses: readonly Heartbeat[];
}

/** Options of a table. */
export interface HeartbeatTableOptions<Body> {
    /** Returns a text that is equal for equal bodies. */
    readonly describe: (body: Body) => string;
    /** Orders two states of one subject; positive if the first is later. */
    readonly compare?: typeof compareEvidence;
    /** Returns the next change number; change numbers increase across all tables of the process. */
    readonly nextChange: () => number;
}

/** Hexadecimal digits of a key: 48 bits, so that keys are safe integers and rarely collide. */
const keyDigits = 12;

/** Orders two states of one subject; positive if `left` is later. */
export function compareEvidence(
    left: Pick<HeartbeatRecord<unknown>, "incarnation" | "sequence" | "failed">,
    right: Pick<HeartbeatRecord<unknown>, "incarnation" | "sequence" | "failed">,
): number {
    return (
        left.incarnation - right.incarnation ||
        left.sequence - right.sequence ||
        Number(left.failed) - Number(right.failed)
    );
}

/** Holds the latest record of each subject. */
export class HeartbeatTable<Body> {
    private readonly held = new Map<string, HeldRecord<Body>>();
    private readonly idsByKey = new Map<number, string>();

    private readonly compare: typeof compareEvidence;

    private constructor(private readonly options: HeartbeatTableOptions<Body>) {
        this.compare = options.compare ?? compareEvidence;
    }

    public static create<Body>(options: HeartbeatTableOptions<Body>): HeartbeatTable<Body> {
        return new HeartbeatTable(options);
    }

    public get(id: string): HeartbeatRecord<Body> | undefined {
        return this.held.get(id)?.record;
    }

    public get records(): readonly HeartbeatRecord<Body>[] {
        return [...this.held.values()].map(entry => entry.record);
    }

    public get size(): number {
        return this.held.size;
    }

    /** Stores a record if it is later than the held one; returns whether it was stored. */
    public accept(record: HeartbeatRecord<Body>, source: string): boolean {
        const known = this.held.get(record.id);
        if (known !== undefined && this.compare(record, known.record) <= 0) {
            return false;
        }
        const isSameBody =
            known?.record.body === record.body && known.record.incarnation === record.incarnation;
        const key = isSameBody ? known.key : this.keyOf(record);
        const changedAt = this.options.nextChange();
        const bodyChangedAt = known?.key === key ? known.bodyChangedAt : changedAt;
        if (known !== undefined && known.key !== key) {
            this.idsByKey.delete(known.key);
        }
        this.held.set(record.id, { record, key, source, changedAt, bodyChangedAt });
        this.idsByKey.set(key, record.id);
        return true;
    }

    /** Applies a heartbeat; returns "unknown" if no body is held for its key. */
    public acceptHeartbeat(pulse: Heartbeat, source: string): "taken" | "old" | "unknown" {
        const id = this.idsByKey.get(pulse.key);
        const known = id === undefined ? undefined : this.held.get(id);
        if (known === undefined) {
            return "unknown";
        }
        const { sequence, failed, load, lastSeenAt } = pulse;
        const isAccepted = this.accept({ ...known.record, sequence, failed, load, lastSeenAt }, source);
        return isAccepted ? "taken" : "old";
    }

    /**
     * Returns the records that changed after a change number, without those received from the peer itself. For 0,
     * returns all records, because the peer may have restarted and lost what it sent before.
     */
    public changesSince(
        change: number,
        peer: string,
        select: (record: HeartbeatRecord<Body>) => boolean,
    ): TableChanges<Body> {
        const records: HeartbeatRecord<Body>[] = [];
        const pulses: Heartbeat[] = [];
        for (const entry of this.held.values()) {
            const isFromPeer = change > 0 && entry.source === peer;
            if (entry.changedAt <= change || isFromPeer || !select(entry.record)) {
                continue;
            }
            if (entry.bodyChangedAt > change) {
                records.push(entry.record);
            } else {
                pulses.push(toHeartbeat(entry));
            }
        }
        return { records, pulses };
    }

    /** Returns the held records with the given keys. */
    public recordsOf(keys: readonly number[]): readonly HeartbeatRecord<Body>[] {
        return keys.flatMap(key => {
            const id = this.idsByKey.get(key);
            const entry = id === undefined ? undefined : this.held.get(id);
            return entry === undefined ? [] : [entry.record];
        });
    }

    public remove(id: string): void {
        const entry = this.held.get(id);
        if (entry !== undefined) {
            this.idsByKey.delete(entry.key);
            this.held.delete(id);
        }
    }

    /** Changes the time of evidence of every record; the order of records is not affected. */
    public mapLastSeenAt(change: (lastSeenAt: number) => number): void {
        for (const [id, entry] of this.held) {
            const record = { ...entry.record, lastSeenAt: change(entry.record.lastSeenAt) };
            this.held.set(id, { ...entry, record });
        }
    }

    private keyOf(record: HeartbeatRecord<Body>): number {
        const text = `${record.id}\u0000${record.incarnation}\u0000${this.options.describe(record.body)}`;
        return Number.parseInt(hashText(text).slice(0, keyDigits), 16);
    }
}

function toHeartbeat<Body>({ key, record }: HeldRecord<Body>): Heartbeat {
    const { sequence, failed, load, lastSeenAt } = record;
    return { key, sequence, failed, load, lastSeenAt };
}
