/** Carries out the entry core's commands about engines' streams, and feeds their events back. */
import type { Subscription } from "rxjs";
import type { Clock } from "../../contracts/clocks.js";
import type { EngineDispatch, EngineEvent, Engines } from "../../contracts/engines.js";
import type { Instance } from "../../core/instances.js";
import type { RequestId } from "../../core/requests.js";

/** Deadline of a cancel order, in milliseconds from now. */
const cancelMilliseconds = 2_000;

/** Where the events of streams go. */
export type TakeEngineEvent = (request: RequestId, attempt: number, event: EngineEvent) => void;

interface OpenStream {
    readonly attempt: number;
    readonly subscription: Subscription;
}

/** At most one open stream for each request. */
export class StreamDriver {
    private readonly open = new Map<RequestId, OpenStream>();

    private constructor(
        private readonly engines: Engines,
        private readonly clock: Clock,
        private readonly takeEvent: TakeEngineEvent,
    ) {}

    public static create(engines: Engines, clock: Clock, takeEvent: TakeEngineEvent): StreamDriver {
        return new StreamDriver(engines, clock, takeEvent);
    }

    /** Opens the stream of an attempt; the stream of an earlier one is left. */
    public begin(kind: "start" | "resume", dispatch: EngineDispatch): void {
        const { id } = dispatch.request;
        const { attempt } = dispatch;
        this.leave(id);
        const events = kind === "start" ? this.engines.start(dispatch) : this.engines.resume(dispatch);
        const subscription = events.subscribe(event => this.takeEvent(id, attempt, event));
        this.open.set(id, { attempt, subscription });
    }

    /** Closes the connection of an attempt; the engine keeps the stream. */
    public detach(request: RequestId, attempt: number): void {
        if (this.open.get(request)?.attempt === attempt) {
            this.leave(request);
        }
    }

    /** Closes the connection of an attempt and ends the stream on the engine. */
    public cancel(request: RequestId, attempt: number, leader: Instance): void {
        this.detach(request, attempt);
        const deadline = this.clock.monotonicMilliseconds() + cancelMilliseconds;
        void this.engines.cancel(leader, request, attempt, deadline);
    }

    /** Forgets a request that has ended. */
    public leave(request: RequestId): void {
        this.open.get(request)?.subscription.unsubscribe();
        this.open.delete(request);
    }
}
