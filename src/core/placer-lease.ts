/**
 * The lease of one fabric domain. Placers compete for the key `placement-lease/<fabric domain>`, which its creator
 * attaches to a lease; its creator may act until the lease's deadline on its own monotonic clock.
 */
import type { Lease, ReadResponse, SwapOutcome } from "../contracts/key-value-stores.js";
import type { Result } from "./errors.js";

/** Commands of a lease to the store. `call` matches a response to its command. */
export type LeaseCommand =
    | { readonly kind: "readLease"; readonly call: number }
    | { readonly kind: "grantLease"; readonly call: number; readonly seconds: number }
    | {
          readonly kind: "claimLease";
          readonly call: number;
          readonly lease: string;
          readonly value: string;
          /** Revision of the key to take over; 0 if the key must be absent. */
          readonly expectedRevision: number;
      }
    | { readonly kind: "renewLease"; readonly call: number; readonly lease: string }
    | { readonly kind: "revokeLease"; readonly lease: string };

/** Responses to lease commands. */
export type LeaseEvent =
    | { readonly kind: "leaseRead"; readonly call: number; readonly result: Result<ReadResponse> }
    | { readonly kind: "leaseGranted"; readonly call: number; readonly result: Result<Lease> }
    | { readonly kind: "leaseClaimed"; readonly call: number; readonly outcome: SwapOutcome }
    | { readonly kind: "leaseRenewed"; readonly call: number; readonly result: Result<Lease> };

/** Options of a lease. */
export interface PlacerLeaseOptions {
    readonly leaseSeconds: () => number;
    /** Identifies this placer process and its current run; the value of the lease key is this and the id of the lease. */
    readonly holder: string;
    /** Rank of this placer among the candidates for this lease; 0 is the preferred one. */
    readonly rank: () => number;
    /**
     * Interval in seconds at which the placer of rank 0 checks whether the key is free; by default the lease duration.
     */
    readonly checkIntervalSeconds?: () => number;
    /**
     * Returns false while this process already knows, for example from a watch, that another placer holds the key; the key
     * is then not read. By default true.
     */
    readonly mayBeFree?: () => boolean;
    /** Returns true if the process that wrote a value of the key is known to have ended; by default never. */
    readonly hasHolderEnded?: (holder: string) => boolean;
}

const retryMilliseconds = 500;
/** Delay per rank before a placer checks a key that was released, in milliseconds: several calls of the store. */
const freedKeyDelayMilliseconds = 300;
const maximumIntervalFactor = 10;

/** State machine of one lease. */
export class PlacerLease {
    private phase: "idle" | "reading" | "granting" | "claiming" | "held" = "idle";
    private lease: Lease | undefined;
    private retryAt = 0;
    private renewAt = 0;
    private isRenewing = false;
    /** True while the key is known to be held by another placer. */
    private isKnownHeld = false;
    private call = 0;
    /** Revision of the key to take over; 0 if the key was absent. */
    private foundRevision = 0;

    private constructor(private readonly options: PlacerLeaseOptions) {}

    public static create(options: PlacerLeaseOptions): PlacerLease {
        return new PlacerLease(options);
    }

    /** Local monotonic milliseconds until which this placer may act, or undefined if it may not act at `now`. */
    public heldUntil(now: number): number | undefined {
        const deadline = this.lease?.deadline ?? 0;
        return this.phase === "held" && now < deadline ? deadline : undefined;
    }

    /** Reads the lease key or renews the lease, whichever is due. */
    public tick(now: number): readonly LeaseCommand[] {
        this.expireLease(now);
        if (this.phase === "idle" && now >= this.retryAt) {
            return this.checkKey(now);
        }
        if (this.phase === "held" && !this.isRenewing && now >= this.renewAt && this.lease !== undefined) {
            this.isRenewing = true;
            this.call += 1;
            return [{ kind: "renewLease", call: this.call, lease: this.lease.id }];
        }
        return [];
    }

    /** Handles a response; ignores responses to calls that are no longer awaited. */
    public handle(event: LeaseEvent, now: number): readonly LeaseCommand[] {
        this.expireLease(now);
        if (event.call !== this.call) {
            return [];
        }
        switch (event.kind) {
            case "leaseRead":
                return this.phase === "reading" ? this.handleRead(event.result, now) : [];
            case "leaseGranted":
                return this.phase === "granting" ? this.handleGranted(event.result, now) : [];
            case "leaseClaimed":
                return this.phase === "claiming" ? this.handleClaimed(event.outcome, now) : [];
            case "leaseRenewed":
                return this.phase === "held" ? this.handleRenewed(event.result, now) : [];
        }
    }

    /** Releases the lease, so that another placer need not wait until it expires. */
    public release(now: number): readonly LeaseCommand[] {
        const lease = this.lease;
        this.resetLease(now + retryMilliseconds);
        return lease === undefined ? [] : [{ kind: "revokeLease", lease: lease.id }];
    }

    /** Drops the lease without revoking it, because its id is no longer this placer's, and reads the key at once. */
    public forget(now: number): void {
        this.resetLease(now);
    }

    /** Reads the key, unless it is known to be held; once it may be free, placers check it in the order of their ranks. */
    private checkKey(now: number): readonly LeaseCommand[] {
        if (this.options.mayBeFree?.() === false) {
            this.isKnownHeld = true;
            return [];
        }
        if (this.isKnownHeld) {
            this.isKnownHeld = false;
            this.retryAt =
                now + Math.min(maximumIntervalFactor, this.options.rank()) * freedKeyDelayMilliseconds;
            if (now < this.retryAt) {
                return [];
            }
        }
        return this.readLeaseKey();
    }

    private readLeaseKey(): readonly LeaseCommand[] {
        this.phase = "reading";
        this.call += 1;
        return [{ kind: "readLease", call: this.call }];
    }

    private handleRead(result: Result<ReadResponse>, now: number): readonly LeaseCommand[] {
        if (!result.success) {
            return this.resetLease(now + this.checkIntervalMilliseconds());
        }
        const found = result.data.entries[0];
        if (this.isOwnClaim(found?.value)) {
            return this.startHolding(now);
        }
        if (found !== undefined && !this.hasHolderEnded(found.value)) {
            return this.yieldTo(now);
        }
        this.foundRevision = found?.modRevision ?? 0;
        return this.lease === undefined ? this.grant() : this.claim(this.lease);
    }

    /** True if the key has the value that this placer writes with its present lease. */
    private isOwnClaim(value: string | undefined): boolean {
        return this.lease !== undefined && value === this.valueWith(this.lease);
    }

    /** True if the hold in which a value was written has ended; a hold of this placer with another lease has. */
    private hasHolderEnded(value: string): boolean {
        const { holder, hasHolderEnded } = this.options;
        return value.startsWith(`${holder} `) || hasHolderEnded?.(value) === true;
    }

    private valueWith(lease: Lease): string {
        return `${this.options.holder} ${lease.id}`;
    }

    private grant(): readonly LeaseCommand[] {
        this.phase = "granting";
        this.call += 1;
        return [{ kind: "grantLease", call: this.call, seconds: this.options.leaseSeconds() }];
    }

    private handleGranted(result: Result<Lease>, now: number): readonly LeaseCommand[] {
        if (!result.success) {
            return this.resetLease(now + this.checkIntervalMilliseconds());
        }
        this.lease = result.data;
        return this.claim(result.data);
    }

    private claim(lease: Lease): readonly LeaseCommand[] {
        this.phase = "claiming";
        this.call += 1;
        const { foundRevision: expectedRevision } = this;
        const value = this.valueWith(lease);
        return [{ kind: "claimLease", call: this.call, lease: lease.id, value, expectedRevision }];
    }

    private handleClaimed(outcome: SwapOutcome, now: number): readonly LeaseCommand[] {
        switch (outcome.kind) {
            case "swapped":
                return this.startHolding(now);
            case "conflict":
                return this.isOwnClaim(outcome.current?.value) ? this.startHolding(now) : this.yieldTo(now);
            case "ambiguous":
                return this.readLeaseKey();
            case "notSent":
                this.phase = "idle";
                this.retryAt = now + retryMilliseconds;
                return [];
        }
    }

    private handleRenewed(result: Result<Lease>, now: number): readonly LeaseCommand[] {
        this.isRenewing = false;
        if (result.success) {
            this.lease = result.data;
            this.renewAt = now + this.renewalIntervalMilliseconds();
        } else if (result.fault.code === "notFound") {
            this.resetLease(now);
        } else {
            this.renewAt = now + retryMilliseconds;
        }
        return [];
    }

    private startHolding(now: number): readonly LeaseCommand[] {
        this.phase = "held";
        this.isRenewing = false;
        this.renewAt = now + this.renewalIntervalMilliseconds();
        return [];
    }

    /** Releases an unused lease if another placer holds the key, and checks the key again later. */
    private yieldTo(now: number): readonly LeaseCommand[] {
        const commands = this.release(now);
        this.retryAt = now + this.checkIntervalMilliseconds();
        return commands;
    }

    private resetLease(retryAt: number): readonly LeaseCommand[] {
        this.phase = "idle";
        this.lease = undefined;
        this.isRenewing = false;
        this.call += 1;
        this.retryAt = retryAt;
        return [];
    }

    private expireLease(now: number): void {
        if (this.lease !== undefined && now >= this.lease.deadline) {
            this.resetLease(now);
        }
    }

    /**
     * Returns the interval between checks of the key in milliseconds; it grows with the rank to keep the number of
     * store calls low.
     */
    private checkIntervalMilliseconds(): number {
        return Math.min(maximumIntervalFactor, this.options.rank() + 1) * this.baseIntervalMilliseconds();
    }

    private baseIntervalMilliseconds(): number {
        const { checkIntervalSeconds: lookSeconds, leaseSeconds } = this.options;
        return (lookSeconds ?? leaseSeconds)() * 1_000;
    }

    /**
     * Returns the interval between renewals in milliseconds: a third of the lease duration, or the base check interval
     * if that is shorter, so that most of the lease duration remains at each renewal.
     */
    private renewalIntervalMilliseconds(): number {
        return Math.min(this.leaseMilliseconds() / 3, this.baseIntervalMilliseconds());
    }

    private leaseMilliseconds(): number {
        return this.options.leaseSeconds() * 1_000;
    }
}
