/** Ring buffer of the latest events of one process. */
import type { EventBody, TimelineEvent } from "./events.js";
import type { FailureDomainId } from "./failure-domains.js";
import type { HybridClock } from "./hybrid-clock.js";

/** The process whose events are recorded, and the clock and the capacity of its timeline. */
export interface TimelineOptions {
    readonly process: string;
    readonly failureDomain: FailureDomainId;
    readonly clock: HybridClock;
    /** Maximum number of events kept; older events are dropped. */
    readonly capacity: number;
}

/** Events from one position on. `next` is the position to request next. */
export interface TimelinePage {
    readonly process: string;
    readonly next: number;
    readonly events: readonly TimelineEvent[];
}

/** The latest events of one process, in a ring buffer. */
export class Timeline {
    private readonly events: TimelineEvent[] = [];
    private recorded = 0;

    private constructor(private readonly options: TimelineOptions) {}

    public static create(options: TimelineOptions): Timeline {
        return new Timeline(options);
    }

    public record(body: EventBody): TimelineEvent {
        const { process, failureDomain, clock, capacity } = this.options;
        const event = { at: clock.next(), process, failureDomain, body };
        this.events[this.recorded % capacity] = event;
        this.recorded += 1;
        return event;
    }

    /** Returns the events from position `after` on that are still kept. */
    public page(after: number): TimelinePage {
        const { process, capacity } = this.options;
        const first = Math.max(0, after, this.recorded - capacity);
        const events: TimelineEvent[] = [];
        for (let position = first; position < this.recorded; position += 1) {
            events.push(this.events[position % capacity]!);
        }
        return { process, next: this.recorded, events };
    }
}
