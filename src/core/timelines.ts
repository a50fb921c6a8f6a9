/** A bounded ring of one process's events. */
import type { EventBody, TimelineEvent } from "./events.js";
import type { FailureDomainId } from "./failure-domains.js";
import type { HybridClock } from "./hybrid-times.js";

/** Names the process whose events are kept. */
export interface TimelineOptions {
    readonly process: string;
    readonly failureDomain: FailureDomainId;
    readonly clock: HybridClock;
    /** Events kept; older ones are dropped. */
    readonly capacity: number;
}

/** Events from one position on; `next` is the position to ask for next. */
export interface TimelinePage {
    readonly process: string;
    readonly next: number;
    readonly events: readonly TimelineEvent[];
}

/** Keeps the latest events of one process. */
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

    /** Returns the events that are still kept from position `after` on. */
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
