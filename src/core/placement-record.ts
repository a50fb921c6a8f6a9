/**
 * A lease holder's view of the stored placement. At most one call is in progress, and no decision is based on a value
 * that may have been replaced. An ambiguous write is resolved by reading: the value read is in force, whoever wrote it.
 */
import type { KeyValueEntry, ReadResponse, SwapOutcome } from "../contracts/key-value-stores.js";
import type { Fault, Result } from "./errors.js";
import type { FabricDomainId } from "./failure-domains.js";
import type { PlacerCommand } from "./placement-messages.js";
import type { FabricPlacement, PlacedGroup } from "./fabric-placement.js";
import {
    createFabricPlacement,
    formatFabricPlacement,
    safeParseFabricPlacement,
} from "./fabric-placement.js";

/** A placement that the key-value service holds. */
interface StoredPlacement {
    readonly placement: FabricPlacement;
    readonly revision: number;
}

const retryMilliseconds = 500;

/** State machine of the value `placement/<fabric domain>` for one lease term. */
export class PlacementRecord {
    private stored: StoredPlacement | undefined;
    private proposed: FabricPlacement | undefined;
    private awaitedCall: number | undefined;
    private retryAt = 0;
    private hasOwnWrite = false;

    private constructor(private readonly fabricDomain: FabricDomainId) {}

    public static create(fabricDomain: FabricDomainId): PlacementRecord {
        return new PlacementRecord(fabricDomain);
    }

    public get placement(): FabricPlacement | undefined {
        return this.stored?.placement;
    }

    /** True once a write of this holder is stored, so that no earlier write can still take effect. */
    public get isFenced(): boolean {
        return this.hasOwnWrite;
    }

    /** True if a new call may be started at `now`. */
    public isIdle(now: number): boolean {
        return this.awaitedCall === undefined && now >= this.retryAt;
    }

    /** True while a call, possibly a write, is in progress; no order may be based on the known value meanwhile. */
    public get isBusy(): boolean {
        return this.awaitedCall !== undefined;
    }

    public read(call: number): PlacerCommand {
        this.awaitedCall = call;
        return { kind: "readPlacement", call };
    }

    /** Proposes the next value; the swap must be sent before `notAfter`. */
    public swap(call: number, next: FabricPlacement, notAfter: number): PlacerCommand {
        this.awaitedCall = call;
        this.proposed = next;
        const expectedRevision = this.stored?.revision ?? 0;
        return {
            kind: "swapPlacement",
            call,
            expectedRevision,
            value: formatFabricPlacement(next),
            notAfter,
        };
    }

    public handleRead(call: number, result: Result<ReadResponse>, now: number): readonly PlacerCommand[] {
        if (call !== this.awaitedCall) {
            return [];
        }
        this.awaitedCall = undefined;
        return result.success ? this.adopt(result.data.entries[0], now) : this.retry(result.fault, now);
    }

    public handleSwapped(call: number, outcome: SwapOutcome, now: number): readonly PlacerCommand[] {
        const next = this.proposed;
        if (call !== this.awaitedCall || next === undefined) {
            return [];
        }
        this.awaitedCall = undefined;
        this.proposed = undefined;
        switch (outcome.kind) {
            case "swapped":
                this.hasOwnWrite = true;
                return this.replace({ placement: next, revision: outcome.revision });
            case "conflict":
                this.hasOwnWrite = false;
                return this.adopt(outcome.current, now);
            case "ambiguous":
                this.hasOwnWrite = false;
                this.stored = undefined;
                return this.retry(outcome.fault, now);
            case "notSent":
                return this.retry(outcome.fault, now);
        }
    }

    /** Adopts a value that was read. An invalid value is not overwritten: nothing is decided until it is corrected. */
    private adopt(entry: KeyValueEntry | undefined, now: number): readonly PlacerCommand[] {
        if (entry === undefined) {
            return this.replace({ placement: createFabricPlacement(this.fabricDomain), revision: 0 });
        }
        const parsed = safeParseFabricPlacement(entry.value);
        if (!parsed.success) {
            this.stored = undefined;
            return this.retry(parsed.fault, now);
        }
        return this.replace({ placement: parsed.data, revision: entry.modRevision });
    }

    private retry(fault: Fault, now: number): readonly PlacerCommand[] {
        this.retryAt = now + retryMilliseconds;
        return [{ kind: "record", body: { kind: "storeFailed", code: fault.code } }];
    }

    private replace(next: StoredPlacement): readonly PlacerCommand[] {
        const before = this.stored?.placement;
        this.stored = next;
        return before === undefined ? [] : createGroupEvents(before, next.placement);
    }
}

/** Returns a command to record an event for every group that changed. */
function createGroupEvents(before: FabricPlacement, after: FabricPlacement): readonly PlacerCommand[] {
    const known = new Map(before.groups.map(group => [group.id, group.epoch]));
    const changed = after.groups.filter(group => known.get(group.id) !== group.epoch);
    const current = new Set(after.groups.map(group => group.id));
    const removed = before.groups.filter(group => !current.has(group.id));
    const dissolved = removed.map((group): PlacedGroup => ({ ...group, state: "dissolved" }));
    return [...changed, ...dissolved].map(({ id, epoch, state }) => ({
        kind: "record",
        body: { kind: "groupChanged", group: id, epoch, state },
    }));
}
