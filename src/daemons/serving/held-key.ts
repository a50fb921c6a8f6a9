/** Holds a key of the store with a lease for as long as this process runs and can reach the store. */
import type { Clock } from "../../contracts/clocks.js";
import type { KeyValueStore } from "../../contracts/key-value-stores.js";
import type { LeaseCommand, LeaseEvent } from "../../core/placer-lease.js";
import { PlacerLease } from "../../core/placer-lease.js";
import { runLeaseCommand } from "../lease-commands.js";

export interface HeldKeyOptions {
    readonly key: string;
    /** Identifies this process and its start; no other process writes this value. */
    readonly value: string;
    readonly leaseDurationMilliseconds: number;
    /** Interval at which the process of rank 0 checks whether the key is free, in milliseconds. */
    readonly checkIntervalMilliseconds: number;
    /** Returns whether the process that wrote the given value of the key is known to have ended. */
    readonly hasEnded: (value: string) => boolean;
    /** Position in the order in which processes should acquire the key; 0 is the first. */
    readonly rank: () => number;
    readonly store: KeyValueStore;
    readonly clock: Clock;
}

export class HeldKey {
    private readonly lease: PlacerLease;
    private acquiredRevision = 0;

    private constructor(private readonly options: HeldKeyOptions) {
        this.lease = PlacerLease.create({
            leaseSeconds: () => options.leaseDurationMilliseconds / 1000,
            holder: options.value,
            rank: options.rank,
            checkIntervalSeconds: () => options.checkIntervalMilliseconds / 1000,
            hasHolderEnded: options.hasEnded,
        });
    }

    public static create(options: HeldKeyOptions): HeldKey {
        return new HeldKey(options);
    }

    /** Store revision at which the key was acquired; undefined while the key is not held. Rises with each holder. */
    public get term(): number | undefined {
        const { clock } = this.options;
        const isHeld = this.lease.heldUntil(clock.monotonicMilliseconds()) !== undefined;
        return isHeld && this.acquiredRevision > 0 ? this.acquiredRevision : undefined;
    }

    /** Starts the lease calls that are due. */
    public tick(): void {
        this.run(this.lease.tick(this.options.clock.monotonicMilliseconds()));
    }

    /** Releases the key. */
    public release(): void {
        this.run(this.lease.release(this.options.clock.monotonicMilliseconds()));
    }

    private run(commands: readonly LeaseCommand[]): void {
        for (const command of commands) {
            void this.runOne(command);
        }
    }

    private async runOne(command: LeaseCommand): Promise<void> {
        const { key, clock } = this.options;
        const event = await runLeaseCommand(key, command, this.options);
        if (event !== undefined) {
            this.trackRevision(event);
            this.run(this.lease.handle(event, clock.monotonicMilliseconds()));
        }
    }

    private trackRevision(event: LeaseEvent): void {
        if (event.kind === "leaseClaimed" && event.outcome.kind === "swapped") {
            this.acquiredRevision = event.outcome.revision;
        }
        const entry =
            event.kind === "leaseRead" && event.result.success ? event.result.data.entries[0] : undefined;
        if (entry?.value === this.options.value) {
            this.acquiredRevision = entry.modRevision;
        }
    }
}
