/** Paces the watch of the store by a change relay, and passes the store's responses on to other entry instances. */
import type { Clock } from "../../contracts/clocks.js";
import type { StorePosition } from "../../contracts/key-value-stores.js";
import type { RelayedChanges, StateAge } from "../../serving/store-relay/change-relay.js";
import { ChangeRelay } from "../../serving/store-relay/change-relay.js";
import type { ChangeRelayOptions } from "../../serving/store-relay/change-relay.js";
import type { FeedStep, ProgressEvent, WatchFeed } from "../../serving/store-relay/watch-feed.js";

export interface RelayedWatchFeedOptions extends ChangeRelayOptions {
    readonly clock: Clock;
    readonly send: (receivers: readonly string[], changes: RelayedChanges) => void;
    /** Called when a relay states that it could not reach the store at `at`, in local monotonic milliseconds. */
    readonly onRelayFault: (at: number) => void;
    /** Called with each step of the watch. */
    readonly onStep: (step: FeedStep["kind"]) => void;
}

interface WaitingWatch {
    readonly position: StorePosition;
    readonly resolve: (step: FeedStep) => void;
}

export class RelayedWatchFeed implements WatchFeed {
    private readonly relay: ChangeRelay;
    private waiting: WaitingWatch | undefined;
    private timer: NodeJS.Timeout | undefined;

    private constructor(private readonly options: RelayedWatchFeedOptions) {
        this.relay = ChangeRelay.create(options);
    }

    public static create(options: RelayedWatchFeedOptions): RelayedWatchFeed {
        return new RelayedWatchFeed(options);
    }

    public next(position: StorePosition, isNew: boolean): Promise<FeedStep> {
        if (isNew) {
            this.relay.begin(this.now());
        }
        return new Promise(resolve => {
            this.waiting = { position, resolve };
            this.schedule();
        });
    }

    public recordResponse(after: StorePosition, event: ProgressEvent): void {
        const now = this.now();
        const changes = this.relay.recordResponse(after, event, now);
        const receivers = this.relay.receivers(now);
        if (receivers.length > 0) {
            this.options.send(receivers, changes);
        }
    }

    public recordFault(): void {
        this.relay.recordFault(this.now());
    }

    public get continuesAfterFault(): boolean {
        return this.relay.followsRelays(this.now());
    }

    public get stateAge(): StateAge {
        return this.relay.stateAge(this.now());
    }

    /** Records an entry instance of the same failure domain that accepts relayed changes. */
    public recordPeer(name: string): void {
        this.relay.recordPeer(name, this.now());
    }

    public handleChanges(changes: RelayedChanges): void {
        const now = this.now();
        if (changes.faultAge !== undefined) {
            this.options.onRelayFault(now - changes.faultAge);
        }
        const { waiting } = this;
        if (waiting === undefined) {
            return;
        }
        const outcome = this.relay.apply(changes, waiting.position, now);
        if (outcome.kind === "poll") {
            this.finish({ kind: "poll", waitMilliseconds: this.relay.pollWaitMilliseconds(now) });
        } else if (outcome.kind === "event") {
            this.finish({ kind: "relayed", event: outcome.event });
        }
    }

    /** Ends the wait of the watch at the time of its next call, which relayed changes put off. */
    private schedule(): void {
        clearTimeout(this.timer);
        const now = this.now();
        const remaining = this.relay.pollDueAt(now) - now;
        if (remaining <= 0) {
            this.finish({ kind: "poll", waitMilliseconds: this.relay.pollWaitMilliseconds(now) });
            return;
        }
        this.timer = setTimeout(() => this.schedule(), remaining);
        this.timer.unref();
    }

    private finish(step: FeedStep): void {
        clearTimeout(this.timer);
        const { waiting } = this;
        this.waiting = undefined;
        if (waiting !== undefined) {
            this.options.onStep(step.kind);
            waiting.resolve(step);
        }
    }

    private now(): number {
        return this.options.clock.monotonicMilliseconds();
    }
}
