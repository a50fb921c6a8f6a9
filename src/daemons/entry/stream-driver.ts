/** Executes the commands of the entry core that concern engine streams, and passes on the events of these streams. */
import type { Subscription } from "rxjs";
import type { Clock } from "../../contracts/clocks.js";
import type { EngineDispatch, EngineEvent, Engines } from "../../contracts/engines.js";
import type { Instance } from "../../core/instances.js";
import type { RequestId } from "../../core/requests.js";

/** Time-out of a cancel order, in milliseconds. */
const cancelTimeoutMilliseconds = 2_000;

/** Receives the events of an attempt's stream. */
export type EngineEventHandler = (request: RequestId, attempt: number, event: EngineEvent) => void;

interface OpenStream {
    readonly attempt: number;
    readonly subscription: Subscription;
}

/** Holds at most one open stream for each request. */
export class StreamDriver {
    private readonly openStreams = new Map<RequestId, OpenStream>();

    private constructor(
        private readonly engines: Engines,
        private readonly clock: Clock,
        private readonly handleEvent: EngineEventHandler,
    ) {}

    public static create(engines: Engines, clock: Clock, handleEvent: EngineEventHandler): StreamDriver {
        return new StreamDriver(engines, clock, handleEvent);
    }

    /** Opens the stream of an attempt; closes the connection of the request's earlier attempt, if any. */
    public openStream(kind: "start" | "resume", dispatch: EngineDispatch): void {
        const { id } = dispatch.request;
        const { attempt } = dispatch;
        this.closeConnection(id);
        const events = kind === "start" ? this.engines.start(dispatch) : this.engines.resume(dispatch);
        const subscription = events.subscribe(event => this.handleEvent(id, attempt, event));
        this.openStreams.set(id, { attempt, subscription });
    }

    /** Closes the connection of an attempt; the engine keeps the stream. */
    public detach(request: RequestId, attempt: number): void {
        if (this.openStreams.get(request)?.attempt === attempt) {
            this.closeConnection(request);
        }
    }

    /** Closes the connection of an attempt and ends the stream on the engine. */
    public cancel(request: RequestId, attempt: number, leader: Instance): void {
        this.detach(request, attempt);
        const deadline = this.clock.monotonicMilliseconds() + cancelTimeoutMilliseconds;
        void this.engines.cancel(leader, request, attempt, deadline);
    }

    /** Closes the connection of a request, if one is open. */
    public closeConnection(request: RequestId): void {
        this.openStreams.get(request)?.subscription.unsubscribe();
        this.openStreams.delete(request);
    }
}
