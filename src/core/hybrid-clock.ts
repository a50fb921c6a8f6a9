/** Hybrid logical clock: wall time that never goes back and that is always later than every time it has observed. */
import type { HybridTime } from "./events.js";

/** Compares two hybrid times; negative if `left` is earlier. */
export function compareHybridTimes(left: HybridTime, right: HybridTime): number {
    return left.wallMilliseconds - right.wallMilliseconds || left.counter - right.counter;
}

/** A clock whose times increase strictly. */
export class HybridClock {
    private last: HybridTime = { wallMilliseconds: 0, counter: 0 };

    private constructor(private readonly wallMilliseconds: () => number) {}

    public static create(wallMilliseconds: () => number): HybridClock {
        return new HybridClock(wallMilliseconds);
    }

    /** Returns the time of a local event. */
    public next(): HybridTime {
        const wall = Math.floor(this.wallMilliseconds());
        if (wall > this.last.wallMilliseconds) {
            this.last = { wallMilliseconds: wall, counter: 0 };
        } else {
            this.last = { ...this.last, counter: this.last.counter + 1 };
        }
        return this.last;
    }

    /** Records a time that was received with a message, so that later local events are ordered after it. */
    public observe(seen: HybridTime): void {
        if (compareHybridTimes(seen, this.last) > 0) {
            this.last = seen;
        }
    }
}
