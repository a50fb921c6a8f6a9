/** Hybrid logical clock: wall time that never goes back and that passes every time it has seen. */
import type { HybridTime } from "./events.js";

/** Orders two hybrid times; negative if `left` is earlier. */
export function compareHybridTimes(left: HybridTime, right: HybridTime): number {
    return left.wallMilliseconds - right.wallMilliseconds || left.counter - right.counter;
}

/** Gives times that rise strictly. */
export class HybridClock {
    private last: HybridTime = { wallMilliseconds: 0, counter: 0 };

    private constructor(private readonly wallMilliseconds: () => number) {}

    public static create(wallMilliseconds: () => number): HybridClock {
        return new HybridClock(wallMilliseconds);
    }

    /** Time of a local event. */
    public next(): HybridTime {
        const wall = Math.floor(this.wallMilliseconds());
        if (wall > this.last.wallMilliseconds) {
            this.last = { wallMilliseconds: wall, counter: 0 };
        } else {
            this.last = { ...this.last, counter: this.last.counter + 1 };
        }
        return this.last;
    }

    /** Takes note of a time that came with a message, so that later local events come after it. */
    public observe(seen: HybridTime): void {
        if (compareHybridTimes(seen, this.last) > 0) {
            this.last = seen;
        }
    }
}
