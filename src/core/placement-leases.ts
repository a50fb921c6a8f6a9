/**
 * The lease of one fabric domain. Placers compete for the key `placement-lease/<fabric domain>`, which its creator
 * attaches to a lease; whoever created it may act until its own monotonic deadline passes.
 */
import type { Lease, ReadAnswer, SwapOutcome } from "../contracts/key-value-stores.js";
import type { Result } from "./errors.js";

/** What the lease needs done. `call` ties an answer to its question. */
export type LeaseCommand =
    | { readonly kind: "readLease"; readonly call: number }
    | { readonly kind: "grantLease"; readonly call: number; readonly seconds: number }
    | {
          readonly kind: "claimLease";
          readonly call: number;
          readonly lease: string;
          readonly value: string;
          /** Revision of the key that is taken over; 0 if it must not be there. */
          readonly expectedRevision: number;
      }
    | { readonly kind: "renewLease"; readonly call: number; readonly lease: string }
    | { readonly kind: "revokeLease"; readonly lease: string };

/** Answers to lease commands. */
export type LeaseEvent =
    | { readonly kind: "leaseRead"; readonly call: number; readonly result: Result<ReadAnswer> }
    | { readonly kind: "leaseGranted"; readonly call: number; readonly result: Result<Lease> }
    | { readonly kind: "leaseClaimed"; readonly call: number; readonly outcome: SwapOutcome }
    | { readonly kind: "leaseRenewed"; readonly call: number; readonly result: Result<Lease> };

/** Options of a lease. */
export interface PlacerLeaseOptions {
    readonly leaseSeconds: () => number;
    /** Names this placer process and start; the value of the lease key. */
    readonly holder: string;
    /** Place of this placer in the order in which placers should take this lease; 0 is the first. */
    readonly rank: () => number;
    /** Seconds after which the first in rank looks again whether the key is free; by default the lease's life. */
    readonly lookSeconds?: () => number;
    /** Tells of a key's value whether the process that wrote it is known to have ended; by default of none. */
    readonly hasEnded?: (holder: string) => boolean;
}

const retryMilliseconds = 500;
const longestLookLeases = 10;

/** State machine of one lease. */
export class PlacerLease {
    private phase: "out" | "looking" | "granting" | "claiming" | "held" = "out";
    private lease: Lease | undefined;
    private tryAt = 0;
    private renewAt = 0;
    private isRenewing = false;
    private call = 0;
    /** Revision of the key that is to be taken over, 0 if there was none. */
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

    /** Starts what is due: looking for the lease, or renewing it. */
    public tick(now: number): readonly LeaseCommand[] {
        this.lapse(now);
        if (this.phase === "out" && now >= this.tryAt) {
            return this.look();
        }
        if (this.phase === "held" && !this.isRenewing && now >= this.renewAt && this.lease !== undefined) {
            this.isRenewing = true;
            this.call += 1;
            return [{ kind: "renewLease", call: this.call, lease: this.lease.id }];
        }
        return [];
    }

    /** Takes an answer; answers to calls that are no longer awaited are dropped. */
    public handle(event: LeaseEvent, now: number): readonly LeaseCommand[] {
        this.lapse(now);
        if (event.call !== this.call) {
            return [];
        }
        switch (event.kind) {
            case "leaseRead":
                return this.phase === "looking" ? this.handleRead(event.result, now) : [];
            case "leaseGranted":
                return this.phase === "granting" ? this.handleGranted(event.result, now) : [];
            case "leaseClaimed":
                return this.phase === "claiming" ? this.handleClaimed(event.outcome, now) : [];
            case "leaseRenewed":
                return this.phase === "held" ? this.handleRenewed(event.result, now) : [];
        }
    }

    /** Gives the lease up, so that another placer need not wait for it to lapse. */
    public drop(now: number): readonly LeaseCommand[] {
        const lease = this.lease;
        this.leave(now + retryMilliseconds);
        return lease === undefined ? [] : [{ kind: "revokeLease", lease: lease.id }];
    }

    private look(): readonly LeaseCommand[] {
        this.phase = "looking";
        this.call += 1;
        return [{ kind: "readLease", call: this.call }];
    }

    private handleRead(result: Result<ReadAnswer>, now: number): readonly LeaseCommand[] {
        if (!result.success) {
            return this.leave(now + this.lookMilliseconds());
        }
        const found = result.data.entries[0];
        if (found?.value === this.options.holder && this.lease !== undefined) {
            return this.hold(now);
        }
        if (found !== undefined && this.options.hasEnded?.(found.value) !== true) {
            return this.yieldTo(now);
        }
        this.foundRevision = found?.modRevision ?? 0;
        return this.lease === undefined ? this.grant() : this.claim(this.lease);
    }

    private grant(): readonly LeaseCommand[] {
        this.phase = "granting";
        this.call += 1;
        return [{ kind: "grantLease", call: this.call, seconds: this.options.leaseSeconds() }];
    }

    private handleGranted(result: Result<Lease>, now: number): readonly LeaseCommand[] {
        if (!result.success) {
            return this.leave(now + this.lookMilliseconds());
        }
        this.lease = result.data;
        return this.claim(result.data);
    }

    private claim(lease: Lease): readonly LeaseCommand[] {
        this.phase = "claiming";
        this.call += 1;
        const { foundRevision: expectedRevision } = this;
        const value = this.options.holder;
        return [{ kind: "claimLease", call: this.call, lease: lease.id, value, expectedRevision }];
    }

    private handleClaimed(outcome: SwapOutcome, now: number): readonly LeaseCommand[] {
        switch (outcome.kind) {
            case "swapped":
                return this.hold(now);
            case "conflict":
                return outcome.current?.value === this.options.holder ? this.hold(now) : this.yieldTo(now);
            case "ambiguous":
                return this.look();
            case "notSent":
                this.phase = "out";
                this.tryAt = now + retryMilliseconds;
                return [];
        }
    }

    private handleRenewed(result: Result<Lease>, now: number): readonly LeaseCommand[] {
        this.isRenewing = false;
        if (result.success) {
            this.lease = result.data;
            this.renewAt = now + this.renewMilliseconds();
        } else if (result.fault.code === "notFound") {
            this.leave(now);
        } else {
            this.renewAt = now + retryMilliseconds;
        }
        return [];
    }

    private hold(now: number): readonly LeaseCommand[] {
        this.phase = "held";
        this.isRenewing = false;
        this.renewAt = now + this.renewMilliseconds();
        return [];
    }

    /** Another placer holds the key: gives an unused lease back and looks again later. */
    private yieldTo(now: number): readonly LeaseCommand[] {
        const commands = this.drop(now);
        this.tryAt = now + this.lookMilliseconds();
        return commands;
    }

    private leave(tryAt: number): readonly LeaseCommand[] {
        this.phase = "out";
        this.lease = undefined;
        this.isRenewing = false;
        this.call += 1;
        this.tryAt = tryAt;
        return [];
    }

    private lapse(now: number): void {
        if (this.lease !== undefined && now >= this.lease.deadline) {
            this.leave(now);
        }
    }

    /** The first in rank looks often; the others more rarely, so that the store's calls stay few. */
    private lookMilliseconds(): number {
        return Math.min(longestLookLeases, this.options.rank() + 1) * this.baseLookMilliseconds();
    }

    private baseLookMilliseconds(): number {
        const { lookSeconds, leaseSeconds } = this.options;
        return (lookSeconds ?? leaseSeconds)() * 1_000;
    }

    /** A lease that others look for more often than it lapses is renewed as often, so that most of its life is left. */
    private renewMilliseconds(): number {
        return Math.min(this.leaseMilliseconds() / 3, this.baseLookMilliseconds());
    }

    private leaseMilliseconds(): number {
        return this.options.leaseSeconds() * 1_000;
    }
}
