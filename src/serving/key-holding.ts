/**
 * State machine of holding a leased key across restores of the store: a lease and a revision count only in the era in which
 * they were obtained, since a restored store gives lease ids and revisions out again.
 */
import type { LeaseCommand, LeaseEvent, PlacerLeaseOptions } from "../core/placer-lease.js";
import { PlacerLease } from "../core/placer-lease.js";

/** One uninterrupted hold of a key. */
export interface KeyHold {
    /** Era of the store in which the key was acquired. */
    readonly era: number;
    /** Store revision at which the key was acquired. */
    readonly revision: number;
}

/** A call to the store; `removeKey` deletes the key if its last change was at `expectedRevision`. */
export type HoldingCommand =
    | Exclude<LeaseCommand, { readonly kind: "revokeLease" }>
    | { readonly kind: "removeKey"; readonly expectedRevision: number };

/** Times are local monotonic milliseconds; `era` is the store's current one as this process knows it. */
export class KeyHolding {
    private readonly lease: PlacerLease;
    private acquiredRevision = 0;
    /** Era to which the lease and its revision belong; 0 before the store has stated one. */
    private leaseEra = 0;
    private isHeldAtRestore = false;

    private constructor(options: PlacerLeaseOptions) {
        this.lease = PlacerLease.create(options);
    }

    public static create(options: PlacerLeaseOptions): KeyHolding {
        return new KeyHolding(options);
    }

    /** The present hold; undefined while the key is not held, and from the moment a restore of the store is known. */
    public hold(era: number, now: number): KeyHold | undefined {
        const revision = this.acquiredRevision;
        return this.isHeld(now) && revision > 0 && this.leaseEra === era ? { era, revision } : undefined;
    }

    /** True if this process held the key when it learned of the store's present era. */
    public wasHeldAtRestore(era: number, now: number): boolean {
        this.followEra(era, now);
        return this.isHeldAtRestore;
    }

    /** Returns the calls that are due. */
    public tick(era: number, now: number): readonly HoldingCommand[] {
        this.followEra(era, now);
        return withoutRevocations(this.lease.tick(now));
    }

    /** Handles the response to a call. */
    public handle(event: LeaseEvent, era: number, now: number): readonly HoldingCommand[] {
        this.followEra(era, now);
        const wasHeld = this.isHeld(now);
        const commands = this.lease.handle(event, now);
        if (this.isHeld(now) && !wasHeld) {
            this.acquiredRevision = revisionOf(event);
        }
        return withoutRevocations(commands);
    }

    /** Releases the key for other processes. */
    public release(era: number, now: number): readonly HoldingCommand[] {
        const hold = this.hold(era, now);
        this.abandon(now);
        return hold === undefined ? [] : [{ kind: "removeKey", expectedRevision: hold.revision }];
    }

    /** Stops to rely on the hold, without a call; the key is read again at once. */
    public abandon(now: number): void {
        this.isHeldAtRestore = false;
        this.lease.forget(now);
    }

    private isHeld(now: number): boolean {
        return this.lease.heldUntil(now) !== undefined;
    }

    /** After a restore, leases of the older era have ended, and their ids may belong to other processes. */
    private followEra(era: number, now: number): void {
        if (era === this.leaseEra) {
            return;
        }
        if (this.leaseEra !== 0 || this.acquiredRevision > 0) {
            this.isHeldAtRestore = this.isHeld(now) && this.acquiredRevision > 0;
            this.acquiredRevision = 0;
            this.lease.forget(now);
        }
        this.leaseEra = era;
    }
}

/** Returns the revision of the key in the response that confirms its acquisition. */
function revisionOf(event: LeaseEvent): number {
    if (event.kind === "leaseClaimed") {
        const { outcome } = event;
        switch (outcome.kind) {
            case "swapped":
                return outcome.revision;
            case "conflict":
                return outcome.current?.modRevision ?? 0;
            default:
                return 0;
        }
    }
    const isRead = event.kind === "leaseRead" && event.result.success;
    return isRead ? (event.result.data.entries[0]?.modRevision ?? 0) : 0;
}

/**
 * Unused leases expire by themselves: a revocation by a process that does not know of a restore yet could end the lease of
 * another process, which was given the same id.
 */
function withoutRevocations(commands: readonly LeaseCommand[]): readonly HoldingCommand[] {
    return commands.flatMap(command => (command.kind === "revokeLease" ? [] : [command]));
}
