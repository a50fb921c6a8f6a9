/** Executes the commands of the entry core that concern engine streams, and passes on the events of these streams. */
import type { Subscription } from "rxjs";
import type { Clock } from "../../contracts/clocks.js";
import type { EngineDispatch, EngineEvent, Engines } from "../../contracts/engines.js";
import type { Instance } from "../../core/instances.js";
import type { RequestId } from "../../core/requests.js";

/** Time-out of a cancel order, in milliseconds. */
const cancelMilliseconds = 2_000;

/** Receives the events of an attempt's stream. */
export type TakeEngineEvent = (request: RequestId, attempt: number, event: EngineEvent) => void;

interface OpenStream {
    readonly attempt: number;
    readonly subscription: Subscription;
}

/** Holds at most one open stream for each request. */
export class StreamDriver {
    private readonly open = new Map<RequestId, OpenStream>();

    private constructor(
        private readonly engines: Engines,
        private readonly clock: Clock,
        private readonly handleEvent: TakeEngineEvent,
    ) {}

    public static create(engines: Engines, clock: Clock, handleEvent: TakeEngineEvent): StreamDriver {
        return new StreamDriver(engines, clock, handleEvent);
    }

    /** Opens the stream of an attempt; closes the connection of the request's earlier attempt, if any. */
    public begin(kind: "start" | "resume", dispatch: EngineDispatch): void {
        const { id } = dispatch.request;
        const { attempt } = dispatch;
        this.leave(id);
        const events = kind === "start" ? this.engines.start(dispatch) : this.engines.resume(dispatch);
        const subscription = events.subscribe(event => this.handleEvent(id, attempt, event));
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

    /** Closes the connection of a request, if one is open. */
    public leave(request: RequestId): void {
        this.open.get(request)?.subscription.unsubscribe();
        this.open.delete(request);
    }
}
