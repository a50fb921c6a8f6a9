/** Paces the watch of the store by a change relay, and passes the store's responses on to other entry instances. */
import type { Clock } from "../../contracts/clocks.js";
import type { KeyValueEntry, StorePosition } from "../../contracts/key-value-stores.js";
import type { Fault } from "../../core/errors.js";
import type { ReceivedMark, RelayedChanges, StateAge } from "../../serving/store-relay/change-relay.js";
import { ChangeRelay } from "../../serving/store-relay/change-relay.js";
import type { ChangeRelayOptions } from "../../serving/store-relay/change-relay.js";
import type { FedWatch, ProgressEvent, WatchFeed } from "../../serving/store-relay/watch-feed.js";

export interface RelayedWatchFeedOptions extends ChangeRelayOptions {
    readonly clock: Clock;
    readonly send: (
        receivers: readonly string[],
        changes: RelayedChanges,
        marks: ReadonlyMap<string, ReceivedMark>,
    ) => void;
    /** Called when a call of this process failed after which its watch keeps its position. */
    readonly onFault: (fault: Fault) => void;
    /** Called when a relay states that it could not reach the store at `at`, in local monotonic milliseconds. */
    readonly onRelayFault: (at: number) => void;
    /** Called with each step of the watch. */
    readonly onStep: (step: "poll" | "relayed") => void;
}

export class RelayedWatchFeed implements WatchFeed {
    private readonly relay: ChangeRelay;
    private watch: FedWatch | undefined;
    /** Starts the next call of the watch; undefined while the store has not answered the latest one. */
    private startCall: ((waitMilliseconds: number) => void) | undefined;
    private timer: NodeJS.Timeout | undefined;

    private constructor(private readonly options: RelayedWatchFeedOptions) {
        this.relay = ChangeRelay.create(options);
    }

    public static create(options: RelayedWatchFeedOptions): RelayedWatchFeed {
        return new RelayedWatchFeed(options);
    }

    public begin(watch: FedWatch): () => void {
        this.relay.begin(this.now());
        this.watch = watch;
        this.startCall = undefined;
        return () => {
            if (this.watch === watch) {
                this.watch = undefined;
                this.startCall = undefined;
                clearTimeout(this.timer);
            }
        };
    }

    public nextCall(): Promise<number> {
        return new Promise(resolve => {
            this.startCall = resolve;
            this.schedule();
        });
    }

    public recordEntries(era: number | undefined, entries: readonly KeyValueEntry[]): void {
        this.relay.recordEntries(era, entries);
    }

    public recordResponse(after: StorePosition, event: ProgressEvent): void {
        const now = this.now();
        const response = this.relay.recordResponse(after, event, now);
        const receivers = this.relay.receivers(now);
        if (response !== undefined && receivers.length > 0) {
            this.options.send(receivers, response.changes, response.marks);
        }
    }

    public recordFault(fault: Fault, isUnanswered: boolean): boolean {
        this.relay.recordFault(this.now());
        const isKept = isUnanswered && this.options.timing().isRelayed;
        if (isKept) {
            this.options.onFault(fault);
        }
        return isKept;
    }

    /** Position of the watch; undefined while there is none. */
    public get position(): StorePosition | undefined {
        return this.watch?.position();
    }

    public get stateAge(): StateAge {
        return this.relay.stateAge(this.now());
    }

    /** Records an entry instance of the same failure domain that accepts relayed changes, and its latest datagram. */
    public recordPeer(name: string, mark: ReceivedMark): void {
        this.relay.recordPeer(name, mark, this.now());
    }

    /** Records whether the store answered the latest call of another entry instance. */
    public recordServed(name: string, isServed: boolean): void {
        this.relay.recordServed(name, isServed);
    }

    /** False if the latest call of this process to the store failed. */
    public get isServed(): boolean {
        return this.relay.isServed;
    }

    /**
     * Applies changes from a relay. `knownAt`: a time, in local monotonic milliseconds, up to which they hold all changes;
     * undefined if none is proved.
     */
    public handleChanges(changes: RelayedChanges, knownAt: number | undefined): void {
        const now = this.now();
        if (changes.faultAge !== undefined) {
            this.options.onRelayFault(now - changes.faultAge);
        }
        const { watch } = this;
        if (watch === undefined) {
            return;
        }
        const outcome = this.relay.apply(changes, knownAt, watch.position(), now);
        if (outcome.kind === "poll") {
            this.call();
        } else if (outcome.kind === "event") {
            this.options.onStep("relayed");
            watch.onRelayed(outcome.event);
        }
    }

    /** Makes the next call when it is due; relayed changes put it off meanwhile. */
    private schedule(): void {
        clearTimeout(this.timer);
        const now = this.now();
        const remaining = this.relay.pollDueAt(now) - now;
        if (remaining <= 0) {
            this.call();
            return;
        }
        this.timer = setTimeout(() => this.schedule(), remaining);
        this.timer.unref();
    }

    private call(): void {
        const { startCall } = this;
        if (startCall !== undefined) {
            clearTimeout(this.timer);
            this.startCall = undefined;
            this.options.onStep("poll");
            startCall(this.relay.beginCall(this.now()));
        }
    }

    private now(): number {
        return this.options.clock.monotonicMilliseconds();
    }
}
