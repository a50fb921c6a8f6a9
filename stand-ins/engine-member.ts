/** State machine of an engine instance's group membership; performs no I/O. */
import type { EngineOrder } from "../src/contracts/engines.js";
import type { EngineState } from "../src/core/endpoints.js";
import type { ModelVersion } from "../src/core/replica-groups.js";

/** A received order; its deadline has been checked already. */
export type ReceivedOrder = Omit<EngineOrder, "deadline">;

/** Reason for refusing an order; undefined if it was accepted. */
export type RefusalReason = string | undefined;

/** Weight store with a limited number of concurrent loads, shared by all engines. */
export class WeightStore {
    private readonly channelFreeAt: number[];

    private constructor(loadsAtOnce: number) {
        this.channelFreeAt = new Array<number>(loadsAtOnce).fill(0);
    }

    public static create(loadsAtOnce: number): WeightStore {
        return new WeightStore(loadsAtOnce);
    }

    /** Queues a load; returns the time at which it is complete. */
    public load(milliseconds: number, now: number): number {
        const earliest = Math.min(...this.channelFreeAt);
        const channel = this.channelFreeAt.indexOf(earliest);
        const end = Math.max(now, earliest) + milliseconds;
        this.channelFreeAt[channel] = end;
        return end;
    }
}

/** Times and sizes of a member. */
export interface MemberOptions {
    readonly weights: WeightStore;
    readonly loadMilliseconds: number;
    readonly warmLoadMilliseconds: number;
    /** Number of model versions that fit into one instance's memory. */
    readonly warmVersions: number;
    /** True if orders with a stale fencing number are refused now. */
    readonly checksFencing: () => boolean;
}

/** An engine instance's own view of its group, epoch and model. */
export class EngineMember {
    public state: EngineState = "idle";
    public group: string | undefined;
    public epoch = 0;
    public members: readonly string[] = [];
    public model: ModelVersion | undefined;
    public warm: readonly ModelVersion[] = [];
    private readonly options: MemberOptions;
    /** Highest fencing number (epoch) accepted so far. */
    private highestEpoch = 0;
    private loadedAt = 0;

    private constructor(options: MemberOptions) {
        this.options = options;
    }

    public static create(options: MemberOptions): EngineMember {
        return new EngineMember(options);
    }

    /** Completes a load whose time has elapsed. */
    public step(now: number): void {
        if (this.state === "loading" && now >= this.loadedAt && this.model !== undefined) {
            this.state = "ready";
            this.keepWarm(this.model);
        }
    }

    public handleOrder(order: ReceivedOrder, now: number): RefusalReason {
        this.step(now);
        if (this.options.checksFencing() && order.epoch < this.highestEpoch) {
            return `order of epoch ${order.epoch} refused: epoch ${this.highestEpoch} was accepted before`;
        }
        const refusal = this.refusalReasonOf(order);
        if (refusal !== undefined) {
            return refusal;
        }
        this.highestEpoch = Math.max(this.highestEpoch, order.epoch);
        this.applyOrder(order, now);
        return undefined;
    }

    private refusalReasonOf(order: ReceivedOrder): RefusalReason {
        const isOwnGroup = order.group === this.group;
        switch (order.kind) {
            case "load":
                return this.state === "idle" || (isOwnGroup && this.state !== "draining")
                    ? undefined
                    : `order refused: the instance is in group ${this.group}, state ${this.state}`;
            case "serve":
                return isOwnGroup && (this.state === "ready" || this.state === "serving")
                    ? undefined
                    : `order refused: the instance is in group ${this.group}, state ${this.state}`;
            case "drain":
                return isOwnGroup ? undefined : `order refused: the instance is in group ${this.group}`;
            case "release":
                return isOwnGroup || this.state === "idle"
                    ? undefined
                    : `order refused: the instance is in group ${this.group}`;
        }
    }

    private applyOrder(order: ReceivedOrder, now: number): void {
        this.epoch = order.epoch;
        switch (order.kind) {
            case "load":
                this.startLoad(order, now);
                break;
            case "serve":
                this.state = "serving";
                this.members = order.members;
                break;
            case "drain":
                this.state = "draining";
                break;
            case "release":
                this.state = "idle";
                this.group = undefined;
                this.members = [];
                this.model = undefined;
                break;
        }
    }

    private startLoad(order: ReceivedOrder, now: number): void {
        const isRepeated =
            this.state === "loading" &&
            this.group === order.group &&
            isSameModelVersion(this.model, order.model);
        this.group = order.group;
        this.members = order.members;
        this.model = order.model;
        if (isRepeated) {
            return;
        }
        const isWarm = this.warm.some(version => isSameModelVersion(version, order.model));
        this.state = "loading";
        this.loadedAt = isWarm
            ? now + this.options.warmLoadMilliseconds
            : this.options.weights.load(this.options.loadMilliseconds, now);
    }

    private keepWarm(model: ModelVersion): void {
        const others = this.warm.filter(version => !isSameModelVersion(version, model));
        this.warm = [model, ...others].slice(0, this.options.warmVersions);
    }
}

function isSameModelVersion(left: ModelVersion | undefined, right: ModelVersion): boolean {
    return left?.model === right.model && left.version === right.version;
}
