/**
 * A fake model engine in virtual time: a continuous batch with limited slots, chunked prefill, a prefix cache and
 * priorities among waiting requests (running ones are never pre-empted).
 */
import type { CacheEvent } from "../../src/contracts/engines.js";
import type { EndpointLoad } from "../../src/core/endpoints.js";
import { blockTokens } from "../../src/core/prefix-blocks.js";
import type { VirtualLoop } from "../virtual-loop.js";

/** Times in milliseconds and sizes of a fake engine. */
export interface EngineShape {
    readonly slots: number;
    readonly stepMilliseconds: number;
    readonly stepMillisecondsPerRequest: number;
    readonly prefillMillisecondsPerToken: number;
    /** Maximum prompt tokens processed in one step. */
    readonly prefillTokensPerStep: number;
    /** Blocks that the prefix cache holds. */
    readonly cacheBlocks: number;
}

export const defaultShape: EngineShape = {
    slots: 96,
    stepMilliseconds: 18,
    stepMillisecondsPerRequest: 0.15,
    prefillMillisecondsPerToken: 0.02,
    prefillTokensPerStep: 512,
    cacheBlocks: 2_000,
};

/** A request at an engine. */
export interface EngineWork {
    readonly id: string;
    readonly priority: number;
    readonly promptTokens: number;
    readonly blocks: readonly string[];
    readonly outputTokens: number;
    readonly onToken: (now: number) => void;
    readonly onEnd: (now: number, finished: boolean) => void;
}

interface RunningWork {
    readonly work: EngineWork;
    prefillLeft: number;
    generated: number;
}

/** One fake engine (the leader of a replica). */
export class FakeEngine {
    /** Factor on all step times; a straggler has one above 1. */
    public slowdown = 1;
    public hitTokens = 0;
    public promptTokens = 0;
    public generatedTokens = 0;
    /** Integral of occupied slots over time, in slot-milliseconds. */
    public busySlots = 0;
    private running: RunningWork[] = [];
    private waiting: EngineWork[] = [];
    private isStepping = false;
    private isDown = false;
    private accountedAt = 0;
    private readonly cache = new Map<string, true>();
    private readonly events: CacheEvent[] = [];

    private constructor(
        private readonly loop: VirtualLoop,
        public readonly shape: EngineShape,
    ) {}

    public static create(loop: VirtualLoop, shape: EngineShape = defaultShape): FakeEngine {
        return new FakeEngine(loop, shape);
    }

    public get load(): EndpointLoad {
        return { running: this.running.length, waiting: this.waiting.length, slots: this.shape.slots };
    }

    public get freeSlots(): number {
        return Math.max(0, this.shape.slots - this.running.length - this.waiting.length);
    }

    /** Returns the cache events after a sequence number. */
    public cacheEventsAfter(sequence: number): readonly CacheEvent[] {
        return this.events.slice(sequence);
    }

    public submit(work: EngineWork): void {
        if (this.isDown) {
            work.onEnd(this.loop.now(), false);
            return;
        }
        this.waiting.push(work);
        this.fill();
        this.step();
    }

    /** Fails all requests, and every new request until `restore` is called. */
    public fail(): void {
        this.isDown = true;
        const lost = [...this.running.map(running => running.work), ...this.waiting];
        this.account();
        this.running = [];
        this.waiting = [];
        for (const work of lost) {
            work.onEnd(this.loop.now(), false);
        }
    }

    public restore(): void {
        this.isDown = false;
    }

    /** Updates `busySlots` to the present time. */
    public account(): void {
        this.busySlots += this.running.length * (this.loop.now() - this.accountedAt);
        this.accountedAt = this.loop.now();
    }

    private fill(): void {
        while (this.waiting.length > 0 && this.running.length < this.shape.slots) {
            this.account();
            const work = this.takeWaiting();
            const prefillLeft = Math.max(1, work.promptTokens - this.useCache(work));
            this.promptTokens += work.promptTokens;
            this.running.push({ work, prefillLeft, generated: 0 });
        }
    }

    private takeWaiting(): EngineWork {
        let first = 0;
        for (let index = 1; index < this.waiting.length; index += 1) {
            if (this.waiting[index]!.priority < this.waiting[first]!.priority) {
                first = index;
            }
        }
        return this.waiting.splice(first, 1)[0]!;
    }

    private step(): void {
        if (this.isStepping || this.running.length === 0) {
            return;
        }
        this.isStepping = true;
        const prefilled = this.prefill();
        const { stepMilliseconds, stepMillisecondsPerRequest, prefillMillisecondsPerToken } = this.shape;
        const time =
            stepMilliseconds +
            stepMillisecondsPerRequest * this.running.length +
            prefillMillisecondsPerToken * prefilled;
        const ready = this.running.filter(running => running.prefillLeft === 0);
        this.loop.after(time * this.slowdown, () => {
            this.isStepping = false;
            this.emit(ready);
            this.fill();
            this.step();
        });
    }

    /** Processes prompts by priority, then in order of arrival; returns the number of processed tokens. */
    private prefill(): number {
        let remaining = this.shape.prefillTokensPerStep;
        const prompts = this.running.filter(running => running.prefillLeft > 0);
        prompts.sort((first, second) => first.work.priority - second.work.priority);
        for (const running of prompts) {
            const done = Math.min(remaining, running.prefillLeft);
            running.prefillLeft -= done;
            remaining -= done;
        }
        return this.shape.prefillTokensPerStep - remaining;
    }

    private emit(ready: readonly RunningWork[]): void {
        if (this.isDown) {
            return;
        }
        const now = this.loop.now();
        let hasEnded = false;
        for (const running of ready) {
            running.generated += 1;
            this.generatedTokens += 1;
            running.work.onToken(now);
            hasEnded ||= running.generated >= running.work.outputTokens;
        }
        if (hasEnded) {
            this.endFinished(now);
        }
    }

    private endFinished(now: number): void {
        this.account();
        const ended = this.running.filter(running => running.generated >= running.work.outputTokens);
        this.running = this.running.filter(running => running.generated < running.work.outputTokens);
        for (const running of ended) {
            running.work.onEnd(now, true);
        }
    }

    /** Returns the prompt tokens that need no prefill, and stores the prompt's blocks. */
    private useCache(work: EngineWork): number {
        let matched = 0;
        while (matched < work.blocks.length && this.cache.has(work.blocks[matched]!)) {
            matched += 1;
        }
        for (const block of work.blocks) {
            this.store(block);
        }
        this.hitTokens += matched * blockTokens;
        return matched * blockTokens;
    }

    private store(block: string): void {
        if (!this.cache.delete(block)) {
            this.events.push({ sequence: this.events.length + 1, kind: "stored", block });
        }
        this.cache.set(block, true);
        if (this.cache.size > this.shape.cacheBlocks) {
            const oldest = this.cache.keys().next().value!;
            this.cache.delete(oldest);
            this.events.push({ sequence: this.events.length + 1, kind: "evicted", block: oldest });
        }
    }
}
