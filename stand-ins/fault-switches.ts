/** Injected faults: each is active for a target until its deadline (local monotonic milliseconds). */

/** An active fault of one target. */
export interface ActiveFault {
    /** An instance, a service, a failure or fabric domain, a process, or a component ("platform", "engines"). */
    readonly target: string;
    readonly fault: string;
    readonly deadline: number;
    /** Duration that the fault takes as a parameter, for example a delay. */
    readonly milliseconds?: number;
    /** Text that the fault takes as a parameter, for example a part of a path. */
    readonly text?: string;
}

/** Called when a fault is switched on and when it ends. */
export type FaultListener = (fault: ActiveFault, on: boolean) => void;

/** The active faults of all stand-ins. */
export class FaultSwitches {
    private readonly now: () => number;
    private readonly faults: ActiveFault[] = [];
    private readonly listeners: FaultListener[] = [];
    private readonly timers = new Set<NodeJS.Timeout>();

    private constructor(now: () => number) {
        this.now = now;
    }

    public static create(now: () => number): FaultSwitches {
        return new FaultSwitches(now);
    }

    public onChange(listener: FaultListener): void {
        this.listeners.push(listener);
    }

    /** Switches a fault on; replaces an active one with equal target and name. */
    public switchOn(fault: ActiveFault): void {
        this.remove(fault.target, fault.fault);
        this.faults.push(fault);
        this.notifyListeners(fault, true);
        if (Number.isFinite(fault.deadline)) {
            this.scheduleEnd(fault);
        }
    }

    /** Ends a fault before its deadline. */
    public switchOff(target: string, fault: string): void {
        const removed = this.remove(target, fault);
        if (removed !== undefined) {
            this.notifyListeners(removed, false);
        }
    }

    /** Returns the active fault of any of the targets in `names`, if there is one. */
    public find(names: readonly string[], fault: string): ActiveFault | undefined {
        return this.faults.find(on => on.fault === fault && names.includes(on.target));
    }

    public isOn(names: readonly string[], fault: string): boolean {
        return this.find(names, fault) !== undefined;
    }

    public list(): readonly ActiveFault[] {
        return this.faults;
    }

    public close(): void {
        this.timers.forEach(timer => clearTimeout(timer));
    }

    private scheduleEnd(fault: ActiveFault): void {
        const timer = setTimeout(
            () => {
                this.timers.delete(timer);
                if (this.faults.includes(fault)) {
                    this.switchOff(fault.target, fault.fault);
                }
            },
            Math.max(0, fault.deadline - this.now()),
        );
        this.timers.add(timer);
    }

    private remove(target: string, fault: string): ActiveFault | undefined {
        const index = this.faults.findIndex(on => on.target === target && on.fault === fault);
        return index === -1 ? undefined : this.faults.splice(index, 1)[0];
    }

    private notifyListeners(fault: ActiveFault, on: boolean): void {
        this.listeners.forEach(listener => listener(fault, on));
    }
}
