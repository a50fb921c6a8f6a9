/** Holds a key of the store by a lease, as long as this process runs and reaches the store. */
import type { Clock } from "../../contracts/clocks.js";
import type { KeyValueStore } from "../../contracts/key-value-stores.js";
import type { LeaseCommand, LeaseEvent } from "../../core/placement-leases.js";
import { PlacerLease } from "../../core/placement-leases.js";
import { runLeaseCommand } from "../lease-commands.js";

export interface HeldKeyOptions {
    readonly key: string;
    /** Names this process and its start; no other process writes the same value. */
    readonly value: string;
    readonly leaseMilliseconds: number;
    /** Time after which the first in rank looks again whether the key is free, in milliseconds. */
    readonly lookMilliseconds: number;
    /** Tells of the key's value whether the process that wrote it is known to have ended. */
    readonly hasEnded: (value: string) => boolean;
    /** Place in the order in which processes should take the key; 0 is the first. */
    readonly rank: () => number;
    readonly store: KeyValueStore;
    readonly clock: Clock;
}

export class HeldKey {
    private readonly lease: PlacerLease;
    private takenAtRevision = 0;

    private constructor(private readonly options: HeldKeyOptions) {
        this.lease = PlacerLease.create({
            leaseSeconds: () => options.leaseMilliseconds / 1000,
            holder: options.value,
            rank: options.rank,
            lookSeconds: () => options.lookMilliseconds / 1000,
            hasEnded: options.hasEnded,
        });
    }

    public static create(options: HeldKeyOptions): HeldKey {
        return new HeldKey(options);
    }

    /** Store revision at which the key was taken; undefined while it is not held. It rises with each holder. */
    public get term(): number | undefined {
        const { clock } = this.options;
        const isHeld = this.lease.heldUntil(clock.monotonicMilliseconds()) !== undefined;
        return isHeld && this.takenAtRevision > 0 ? this.takenAtRevision : undefined;
    }

    /** Starts what is due. */
    public tick(): void {
        this.run(this.lease.tick(this.options.clock.monotonicMilliseconds()));
    }

    /** Gives the key up. */
    public drop(): void {
        this.run(this.lease.drop(this.options.clock.monotonicMilliseconds()));
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
            this.noteRevision(event);
            this.run(this.lease.handle(event, clock.monotonicMilliseconds()));
        }
    }

    private noteRevision(event: LeaseEvent): void {
        if (event.kind === "leaseClaimed" && event.outcome.kind === "swapped") {
            this.takenAtRevision = event.outcome.revision;
        }
        const read =
            event.kind === "leaseRead" && event.result.success ? event.result.data.entries[0] : undefined;
        if (read?.value === this.options.value) {
            this.takenAtRevision = read.modRevision;
        }
    }
}
