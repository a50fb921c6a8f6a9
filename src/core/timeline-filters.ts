/** Merges and filters the events of several processes. */
import type { EventBody, TimelineEvent } from "./events.js";
import { compareHybridTimes } from "./hybrid-clock.js";

/** Field values that an event must have; an absent field matches every event. */
export interface TimelineFilter {
    readonly request?: string;
    readonly team?: string;
    readonly group?: string;
    readonly instance?: string;
    readonly process?: string;
}

const bodyFields = ["request", "team", "group", "instance"] as const;

/** Orders the events of any number of processes by hybrid time, then by process. */
export function mergeTimelines(timelines: readonly (readonly TimelineEvent[])[]): readonly TimelineEvent[] {
    const events = timelines.flat();
    return events.sort(
        (left, right) => compareHybridTimes(left.at, right.at) || (left.process < right.process ? -1 : 1),
    );
}

/** Returns the events that match every field of the filter. */
export function filterTimeline(
    events: readonly TimelineEvent[],
    filter: TimelineFilter,
): readonly TimelineEvent[] {
    return events.filter(event => matches(event, filter));
}

function matches(event: TimelineEvent, filter: TimelineFilter): boolean {
    if (filter.process !== undefined && filter.process !== event.process) {
        return false;
    }
    const fields = eventFields(event.body);
    return bodyFields.every(name => filter[name] === undefined || filter[name] === fields[name]);
}

/** Returns the fields of an event's body, except for its kind. */
export function eventFields(body: EventBody): Readonly<Record<string, unknown>> {
    return Object.fromEntries(Object.entries(body).filter(([name]) => name !== "kind"));
}
