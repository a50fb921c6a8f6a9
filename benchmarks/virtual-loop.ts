/** A seeded event loop in virtual time, shared by all experiments. */

interface ScheduledAction {
    readonly at: number;
    readonly order: number;
    readonly action: () => void;
}

/** Runs actions in order of virtual time (milliseconds); at equal times, in the order in which they were scheduled. */
export class VirtualLoop {
    private time = 0;
    private scheduled = 0;
    private readonly heap: ScheduledAction[] = [];

    private constructor() {}

    public static create(): VirtualLoop {
        return new VirtualLoop();
    }

    /** Present virtual time in milliseconds. */
    public now(): number {
        return this.time;
    }

    /** Schedules `action` at the given time, or at the present time if the given one has passed. */
    public at(time: number, action: () => void): void {
        this.push({ at: Math.max(time, this.time), order: this.scheduled, action });
        this.scheduled += 1;
    }

    /** Schedules `action` after the given milliseconds. */
    public after(milliseconds: number, action: () => void): void {
        this.at(this.time + milliseconds, action);
    }

    /** Runs `action` every `milliseconds` until it returns false. */
    public every(milliseconds: number, action: () => boolean | void): void {
        this.after(milliseconds, () => {
            if (action() !== false) {
                this.every(milliseconds, action);
            }
        });
    }

    /** Runs all actions up to and including `end`, then sets the time to `end`. */
    public runUntil(end: number): void {
        while (this.step(end)) {
            // Each step runs one action.
        }
        this.time = Math.max(this.time, end);
    }

    /** Runs all actions up to and including `end` and lets promises settle after each action. */
    public async runUntilSettled(end: number): Promise<void> {
        await settlePromises();
        while (this.step(end)) {
            await settlePromises();
        }
        this.time = Math.max(this.time, end);
    }

    /** Runs the next action if its time is not after `end`; returns false if there is none. */
    public step(end: number): boolean {
        const next = this.heap[0];
        if (next === undefined || next.at > end) {
            return false;
        }
        this.pop();
        this.time = next.at;
        next.action();
        return true;
    }

    private push(item: ScheduledAction): void {
        this.heap.push(item);
        let index = this.heap.length - 1;
        while (index > 0) {
            const parent = (index - 1) >> 1;
            if (!isBefore(this.heap[index]!, this.heap[parent]!)) {
                return;
            }
            this.exchange(index, parent);
            index = parent;
        }
    }

    private pop(): void {
        const last = this.heap.pop();
        if (last === undefined || this.heap.length === 0) {
            return;
        }
        this.heap[0] = last;
        this.sinkRoot();
    }

    private sinkRoot(): void {
        let index = 0;
        for (;;) {
            const left = index * 2 + 1;
            const right = left + 1;
            let first = index;
            if (left < this.heap.length && isBefore(this.heap[left]!, this.heap[first]!)) {
                first = left;
            }
            if (right < this.heap.length && isBefore(this.heap[right]!, this.heap[first]!)) {
                first = right;
            }
            if (first === index) {
                return;
            }
            this.exchange(index, first);
            index = first;
        }
    }

    private exchange(left: number, right: number): void {
        const previous = this.heap[left]!;
        this.heap[left] = this.heap[right]!;
        this.heap[right] = previous;
    }
}

// Longer than any chain of promises between two timers.
const microtasksPerAction = 12;

async function settlePromises(): Promise<void> {
    for (let count = 0; count < microtasksPerAction; count += 1) {
        await Promise.resolve();
    }
}

function isBefore(left: ScheduledAction, right: ScheduledAction): boolean {
    return left.at < right.at || (left.at === right.at && left.order < right.order);
}
