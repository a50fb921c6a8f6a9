/** Holds a key of the store with a lease for as long as this process runs and can reach the store. */
import type { Clock } from "../../contracts/clocks.js";
import type { KeyValueStore } from "../../contracts/key-value-stores.js";
import type { StoreEra } from "../../core/store-era.js";
import type { HoldingCommand, KeyHold } from "../../serving/key-holding.js";
import { KeyHolding } from "../../serving/key-holding.js";
import { createCallOptions, runLeaseCommand } from "../lease-commands.js";

export interface HeldKeyOptions {
    readonly key: string;
    /** Identifies this process and its start; the value of the key begins with it. */
    readonly holder: string;
    readonly leaseDurationMilliseconds: number;
    /** Interval at which the process of rank 0 checks whether the key is free, in milliseconds. */
    readonly checkIntervalMilliseconds: number;
    /** Returns whether the process that wrote the given value of the key is known to have ended. */
    readonly hasEnded: (value: string) => boolean;
    /** Returns false while the key is known to be held by another process. */
    readonly mayBeFree?: () => boolean;
    /** Position in the order in which processes should acquire the key; 0 is the first. */
    readonly rank: () => number;
    readonly store: KeyValueStore;
    readonly era: StoreEra;
    readonly clock: Clock;
}

export class HeldKey {
    private readonly holding: KeyHolding;

    private constructor(private readonly options: HeldKeyOptions) {
        this.holding = KeyHolding.create({
            leaseSeconds: () => options.leaseDurationMilliseconds / 1000,
            holder: options.holder,
            rank: options.rank,
            checkIntervalSeconds: () => options.checkIntervalMilliseconds / 1000,
            hasHolderEnded: options.hasEnded,
            mayBeFree: options.mayBeFree,
        });
    }

    public static create(options: HeldKeyOptions): HeldKey {
        return new HeldKey(options);
    }

    public get name(): string {
        return this.options.key;
    }

    /** Identifies this process and its start; values that it writes to the key begin with it. */
    public get holder(): string {
        return this.options.holder;
    }

    /** The present hold; undefined while the key is not held, and from the moment a restore of the store is known. */
    public get hold(): KeyHold | undefined {
        return this.holding.hold(this.era, this.now());
    }

    /** True if this process held the key when it learned of the store's present era. */
    public get wasHeldAtRestore(): boolean {
        return this.holding.wasHeldAtRestore(this.era, this.now());
    }

    /** Starts the lease calls that are due. */
    public tick(): void {
        this.run(this.holding.tick(this.era, this.now()));
    }

    /** Releases the key for other processes. */
    public release(): void {
        this.run(this.holding.release(this.era, this.now()));
    }

    /** Stops to rely on the hold, because it may have ended or another process has changed the key. */
    public abandon(): void {
        this.holding.abandon(this.now());
    }

    private run(commands: readonly HoldingCommand[]): void {
        for (const command of commands) {
            void this.runOne(command);
        }
    }

    private async runOne(command: HoldingCommand): Promise<void> {
        const { key, store } = this.options;
        if (command.kind === "removeKey") {
            const { expectedRevision } = command;
            const options = createCallOptions("lease", this.options);
            await store.compareAndSwap({ key, expectedRevision, value: undefined }, options);
            return;
        }
        const event = await runLeaseCommand(key, command, this.options);
        if (event !== undefined) {
            this.run(this.holding.handle(event, this.era, this.now()));
        }
    }

    private get era(): number {
        return this.options.era.current;
    }

    private now(): number {
        return this.options.clock.monotonicMilliseconds();
    }
}
