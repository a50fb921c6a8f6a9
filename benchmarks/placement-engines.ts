/** Simulates engines and the weight store at the placer's interfaces, in virtual time. */
import type { EngineOrder, OrderResponse } from "../src/contracts/engines.js";
import type { EndpointReport, EngineState } from "../src/core/endpoints.js";
import type { Instance } from "../src/core/instances.js";
import type { ModelVersion } from "../src/core/replica-groups.js";
import type { VirtualLoop } from "./virtual-loop.js";

/** State that an engine assumed from `at` on. */
export interface EngineBelief {
    readonly at: number;
    readonly isAlive: boolean;
    readonly state: EngineState;
    readonly group?: string;
    readonly epoch: number;
    readonly leaving: boolean;
}

/** An order that an engine carried out. */
export interface ActedOrder {
    readonly at: number;
    readonly sender: string;
    readonly incarnation: number;
    readonly epoch: number;
}

/** Work that an engine accepted. */
export interface AcceptedWork {
    readonly at: number;
    readonly dispatchedAt: number;
    readonly instance: string;
    readonly group: string;
    readonly epoch: number;
    readonly members: readonly string[];
}

/** Weight store; sizes are in milliseconds at full speed, and all loads share the rate of `loadsAtFullRate` loads. */
export class FakeWeightStore {
    private readonly active = new Map<number, { remaining: number; readonly done: () => void }>();
    private updatedAt = 0;
    private next = 0;
    private timer = 0;
    /** Total requested weights, in milliseconds at full speed. */
    public requestedMilliseconds = 0;

    private constructor(
        private readonly loop: VirtualLoop,
        private readonly loadsAtFullRate: number,
    ) {}

    public static create(loop: VirtualLoop, loadsAtFullRate: number): FakeWeightStore {
        return new FakeWeightStore(loop, loadsAtFullRate);
    }

    public load(milliseconds: number, done: () => void): () => void {
        this.advance();
        const id = (this.next += 1);
        this.requestedMilliseconds += milliseconds;
        this.active.set(id, { remaining: milliseconds, done });
        this.schedule();
        return () => {
            this.advance();
            this.active.delete(id);
            this.schedule();
        };
    }

    private rate(): number {
        return Math.min(1, this.loadsAtFullRate / Math.max(1, this.active.size));
    }

    private advance(): void {
        const elapsed = (this.loop.now() - this.updatedAt) * this.rate();
        this.updatedAt = this.loop.now();
        this.active.forEach(load => (load.remaining -= elapsed));
    }

    private schedule(): void {
        const timer = (this.timer += 1);
        const shortest = Math.min(...[...this.active.values()].map(load => load.remaining));
        if (Number.isFinite(shortest)) {
            this.loop.after(Math.max(0, shortest) / this.rate() + 0.001, () => this.finish(timer));
        }
    }

    private finish(timer: number): void {
        if (timer !== this.timer) {
            return;
        }
        this.advance();
        const finished = [...this.active].filter(([, load]) => load.remaining <= 0.01);
        finished.forEach(([id]) => this.active.delete(id));
        this.schedule();
        finished.forEach(([, load]) => load.done());
    }
}

/** Behaviour of a fake engine. */
export interface FakeEngineOptions {
    readonly checksEpochs: boolean;
    /** Enters a group without having left the previous one; for mutants only. */
    readonly movesWithoutRelease: boolean;
    readonly coldLoadMilliseconds: number;
    readonly warmLoadMilliseconds: number;
    readonly slots: number;
    readonly startWarm?: ModelVersion;
}

/** One engine instance. */
export class FakeEngine {
    public readonly beliefs: EngineBelief[] = [];
    public readonly acted: ActedOrder[] = [];
    public pausedUntil = 0;
    public isAlive = true;
    public leaving = false;
    private incarnation = 1;
    private sequence = 0;
    private state: EngineState = "idle";
    private group: string | undefined;
    private epoch = 0;
    private highestEpoch = 0;
    private running = 0;
    private warm: ModelVersion[] = [];
    private cancelLoad: () => void = () => undefined;

    private constructor(
        public readonly instance: Instance,
        private readonly loop: VirtualLoop,
        private readonly weights: FakeWeightStore,
        private readonly options: FakeEngineOptions,
    ) {
        this.warm = options.startWarm === undefined ? [] : [options.startWarm];
        this.recordBelief();
    }

    public static create(
        instance: Instance,
        loop: VirtualLoop,
        weights: FakeWeightStore,
        options: FakeEngineOptions,
    ): FakeEngine {
        return new FakeEngine(instance, loop, weights, options);
    }

    public isResponding(): boolean {
        return this.isAlive && this.loop.now() >= this.pausedUntil;
    }

    public report(): EndpointReport {
        this.sequence += 1;
        const { incarnation, sequence, state, group, epoch, leaving, running, warm } = this;
        const load = { running, waiting: 0, slots: this.options.slots };
        return {
            instance: this.instance.id,
            incarnation,
            sequence,
            state,
            group,
            epoch,
            leaving,
            load,
            warm,
        };
    }

    public die(): void {
        this.cancelLoad();
        this.isAlive = false;
        this.recordBelief();
    }

    /** Restarts the engine with nothing in memory. */
    public restart(): void {
        this.cancelLoad();
        this.incarnation += 1;
        this.sequence = 0;
        this.isAlive = true;
        this.pausedUntil = 0;
        this.highestEpoch = 0;
        this.warm = [];
        this.become("idle", undefined, 0);
    }

    public pause(milliseconds: number): void {
        this.pausedUntil = Math.max(this.pausedUntil, this.loop.now() + milliseconds);
    }

    public leave(): void {
        this.leaving = true;
        this.recordBelief();
    }

    public order(order: EngineOrder, sender: string): OrderResponse {
        const isOld = this.options.checksEpochs && order.epoch < this.highestEpoch;
        const accepted = !isOld && this.apply(order);
        if (accepted) {
            this.highestEpoch = Math.max(this.highestEpoch, order.epoch);
            const { incarnation } = this;
            this.acted.push({ at: this.loop.now(), sender, incarnation, epoch: order.epoch });
        }
        return { accepted, report: this.report() };
    }

    /** Accepts work if group and epoch match; an engine that does not check epochs accepts work whenever it serves. */
    public accept(group: string, epoch: number, milliseconds: number): boolean {
        const matches = this.group === group && this.epoch === epoch;
        if (this.state !== "serving" || (this.options.checksEpochs && !matches)) {
            return false;
        }
        this.running += 1;
        const term = this.incarnation;
        this.loop.after(milliseconds, () => {
            if (term === this.incarnation && this.running > 0) {
                this.running -= 1;
            }
        });
        return true;
    }

    private apply(order: EngineOrder): boolean {
        switch (order.kind) {
            case "load":
                return this.applyLoad(order);
            case "serve":
                if (this.group !== order.group || this.state !== "ready") {
                    return this.group === order.group && this.state === "serving";
                }
                this.become("serving", order.group, order.epoch);
                return true;
            case "drain":
                if (this.group !== order.group || (this.state !== "serving" && this.state !== "draining")) {
                    return false;
                }
                this.become("draining", order.group, order.epoch);
                return true;
            case "release":
                if (this.group !== undefined && this.group !== order.group) {
                    return false;
                }
                this.cancelLoad();
                this.running = 0;
                this.become("idle", undefined, order.epoch);
                return true;
        }
    }

    private applyLoad(order: EngineOrder): boolean {
        if (this.group === order.group && this.epoch === order.epoch) {
            return true;
        }
        if (this.state !== "idle" && !this.options.movesWithoutRelease) {
            return false;
        }
        this.become("loading", order.group, order.epoch);
        const finish = (): void => {
            this.warm = [order.model];
            this.become("ready", order.group, order.epoch);
        };
        if (
            this.warm.some(held => held.model === order.model.model && held.version === order.model.version)
        ) {
            let isCancelled = false;
            this.cancelLoad = () => (isCancelled = true);
            this.loop.after(this.options.warmLoadMilliseconds, () => isCancelled || finish());
        } else {
            this.warm = [];
            this.cancelLoad = this.weights.load(this.options.coldLoadMilliseconds, finish);
        }
        return true;
    }

    private become(state: EngineState, group: string | undefined, epoch: number): void {
        this.state = state;
        this.group = group;
        this.epoch = epoch;
        if (state !== "loading") {
            this.cancelLoad = () => undefined;
        }
        this.recordBelief();
    }

    private recordBelief(): void {
        const { isAlive, state, group, epoch, leaving } = this;
        this.beliefs.push({ at: this.loop.now(), isAlive, state, group, epoch, leaving });
    }
}
