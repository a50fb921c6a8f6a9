/** Executes the commands of a store follower: reads and watches of one prefix. */
import type { Subscription } from "rxjs";
import type { Clock } from "../contracts/clocks.js";
import type {
    KeyValueStore,
    ReadResponse,
    StorePosition,
    StorePriority,
    WatchEvent,
} from "../contracts/key-value-stores.js";
import type { FollowerCommand, FollowerTimes } from "../core/store-follower.js";
import { StoreFollower } from "../core/store-follower.js";
import type { Fault } from "../core/errors.js";
import { toFault } from "../core/errors.js";

/** Options of `PrefixFollower`. */
export interface PrefixFollowerOptions {
    readonly prefix: string;
    readonly priority: StorePriority;
    readonly store: KeyValueStore;
    readonly clock: Clock;
    readonly random: () => number;
    readonly watching: boolean;
    readonly times?: FollowerTimes;
    /** Receives a read; `startedAt` is the monotonic time at which the read was requested, in milliseconds. */
    readonly onRead: (response: ReadResponse, startedAt: number) => void;
    readonly onWatch: (event: WatchEvent) => void;
    readonly onFault: (fault: Fault) => void;
}

/** Follows one prefix until closed; the owner calls `tick` periodically. */
export class PrefixFollower {
    private readonly storeFollower: StoreFollower;
    private watch: Subscription | undefined;
    private listStartedAt = 0;
    private isClosed = false;

    private constructor(private readonly options: PrefixFollowerOptions) {
        const { watching, random, times } = options;
        this.storeFollower = StoreFollower.create({ watching, random, times, now: this.now() });
    }

    public static create(options: PrefixFollowerOptions): PrefixFollower {
        return new PrefixFollower(options);
    }

    public get isWatching(): boolean {
        return this.storeFollower.isWatching;
    }

    /**
     * Starts due calls; `confirmedAt` is the monotonic time at which the held state was last known to be the latest.
     */
    public tick(watching: boolean, confirmedAt: number | undefined): void {
        if (this.isClosed) {
            return;
        }
        const now = this.now();
        this.runCommands(this.storeFollower.step({ kind: "mode", watching }, now));
        this.runCommands(this.storeFollower.step({ kind: "tick", confirmedAt }, now));
    }

    public close(): void {
        this.isClosed = true;
        this.watch?.unsubscribe();
    }

    private now(): number {
        return this.options.clock.monotonicMilliseconds();
    }

    private runCommands(commands: readonly FollowerCommand[]): void {
        for (const command of commands) {
            this.runCommand(command);
        }
    }

    private runCommand(command: FollowerCommand): void {
        switch (command.kind) {
            case "list":
                void this.list(command.attempt, command.deadline);
                break;
            case "watch":
                this.openWatch(command.attempt, command.from);
                break;
            case "unwatch":
                this.watch?.unsubscribe();
                this.watch = undefined;
                break;
            case "apply":
                this.options.onRead(command.answer, this.listStartedAt);
                break;
            case "applyWatch":
                this.options.onWatch(command.event);
                break;
        }
    }

    private async list(attempt: number, deadline: number): Promise<void> {
        const { store, prefix, priority, times } = this.options;
        this.listStartedAt = this.now();
        const responseDeadline = this.listStartedAt + (times?.responseTimeoutMilliseconds ?? Infinity);
        const response = await store.list(prefix, { deadline, responseDeadline, priority });
        if (this.isClosed) {
            return;
        }
        if (!response.success) {
            this.options.onFault(response.fault);
        }
        this.runCommands(this.storeFollower.step({ kind: "listed", attempt, answer: response }, this.now()));
    }

    private openWatch(attempt: number, from: StorePosition): void {
        const handleEvent = (event: WatchEvent) => {
            if (event.kind === "gap") {
                this.options.onFault(event.fault);
            }
            this.runCommands(this.storeFollower.step({ kind: "watched", attempt, event }, this.now()));
        };
        this.watch = this.options.store.watch(this.options.prefix, from).subscribe({
            next: handleEvent,
            error: (thrown: unknown) => handleEvent({ kind: "gap", fault: toFault(thrown, "store") }),
            complete: () => handleEvent({ kind: "gap", fault: createWatchEndedFault(this.options.prefix) }),
        });
    }
}

function createWatchEndedFault(prefix: string): Fault {
    return { code: "storeUnavailable", message: `watch of "${prefix}" ended`, step: "store", notRun: true };
}
