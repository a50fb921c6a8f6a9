/** Simulated engines in virtual time, over links that lose, delay, duplicate and reorder events. */
import type { VirtualLoop } from "../../benchmarks/virtual-loop.js";
import type { EngineEvent } from "../../src/contracts/engines.js";
import type { Fault } from "../../src/core/errors.js";
import { hashText } from "../../src/core/hashes.js";

const tokenMilliseconds = 20;

/** Callbacks for the events of one subscription; `attempt` is the attempt of the subscriber. */
export interface Subscriber {
    readonly request: string;
    readonly attempt: number;
    readonly handleEvent: (request: string, attempt: number, event: EngineEvent) => void;
    readonly handleClose: (attempt: number) => void;
}

/** Settings of engines and their links. */
export interface EngineOptions {
    readonly loop: VirtualLoop;
    readonly random: () => number;
    /** Probability of each kind of fault, for each event. */
    readonly faultRate: () => number;
    readonly tokens: number;
}

interface Stream {
    readonly request: string;
    readonly start: number;
    readonly prefix: string;
    readonly tokens: string[];
    subscribers: Subscriber[];
    isStalled: boolean;
    isClosed: boolean;
}

/** Text of a token: its request, offset and engine, and the hash of the whole text before it. */
export function tokenText(request: string, offset: number, engine: number, before: string): string {
    return `${request}.${offset}.${engine}.${hashText(before)} `;
}

const streamNotFoundFault: Fault = {
    code: "notFound",
    message: "stream does not exist",
    step: "stream",
    notRun: false,
};
const engineDownFault: Fault = {
    code: "endpointFailed",
    message: "engine is down",
    step: "stream",
    notRun: true,
};

/** A simulated engine with its streams. */
export class SimulatedEngine {
    private readonly streams = new Map<string, Stream>();
    public downUntil = -1;
    public starts = 0;

    private constructor(
        private readonly index: number,
        private readonly options: EngineOptions,
    ) {}

    public static create(index: number, options: EngineOptions): SimulatedEngine {
        return new SimulatedEngine(index, options);
    }

    public start(subscriber: Subscriber, delivered: string, fromOffset: number): void {
        if (this.isDown()) {
            this.runAfterDelay(() => this.fail(subscriber, engineDownFault));
            return;
        }
        this.starts += 1;
        this.cancel(subscriber.request);
        const stream: Stream = {
            request: subscriber.request,
            start: fromOffset,
            prefix: delivered,
            tokens: [],
            subscribers: [subscriber],
            isStalled: false,
            isClosed: false,
        };
        this.streams.set(subscriber.request, stream);
        this.emit(stream, subscriber, { kind: "accepted" });
        this.generate(stream);
    }

    public resume(subscriber: Subscriber, fromOffset: number): void {
        const stream = this.streams.get(subscriber.request);
        if (this.isDown() || stream === undefined || fromOffset < stream.start) {
            this.runAfterDelay(() => this.fail(subscriber, streamNotFoundFault));
            return;
        }
        stream.subscribers.push(subscriber);
        for (let offset = fromOffset; offset < stream.start + stream.tokens.length; offset += 1) {
            this.emitToken(stream, subscriber, offset);
        }
        this.emitEnd(stream, subscriber);
    }

    public detach(subscriber: Subscriber): void {
        const stream = this.streams.get(subscriber.request);
        if (stream !== undefined) {
            stream.subscribers = stream.subscribers.filter(other => other !== subscriber);
        }
    }

    public cancel(request: string): void {
        const stream = this.streams.get(request);
        if (stream !== undefined) {
            this.close(stream);
        }
    }

    public crash(milliseconds: number): void {
        this.downUntil = this.options.loop.now() + milliseconds;
        [...this.streams.values()].forEach(stream => this.close(stream));
    }

    public stall(): void {
        this.streams.forEach(stream => (stream.isStalled = true));
    }

    private isDown(): boolean {
        return this.options.loop.now() < this.downUntil;
    }

    private generate(stream: Stream): void {
        this.options.loop.after(tokenMilliseconds, () => {
            if (stream.isClosed || stream.isStalled) {
                return;
            }
            const offset = stream.start + stream.tokens.length;
            if (offset >= this.options.tokens) {
                stream.subscribers.forEach(subscriber => this.emitEnd(stream, subscriber));
                return;
            }
            const before = stream.prefix + stream.tokens.join("");
            stream.tokens.push(tokenText(stream.request, offset, this.index, before));
            stream.subscribers.forEach(subscriber => this.emitToken(stream, subscriber, offset));
            this.generate(stream);
        });
    }

    private close(stream: Stream): void {
        stream.isClosed = true;
        this.streams.delete(stream.request);
        const { subscribers } = stream;
        this.runAfterDelay(() =>
            subscribers.forEach(subscriber => subscriber.handleClose(subscriber.attempt)),
        );
    }

    private emitToken(stream: Stream, subscriber: Subscriber, offset: number): void {
        const text = stream.tokens[offset - stream.start]!;
        this.emit(stream, subscriber, { kind: "token", offset, text });
    }

    private emitEnd(stream: Stream, subscriber: Subscriber): void {
        if (stream.start + stream.tokens.length >= this.options.tokens) {
            const nextOffset = this.options.tokens;
            this.emit(stream, subscriber, { kind: "finished", reason: "stop", nextOffset });
        }
    }

    private emit(stream: Stream, subscriber: Subscriber, event: EngineEvent): void {
        if (this.isFaulty()) {
            return;
        }
        const copies = this.isFaulty() ? 2 : 1;
        for (let copy = 0; copy < copies; copy += 1) {
            const delayMilliseconds = this.isFaulty() ? this.options.random() * 400 : 0;
            const { request, attempt } = subscriber;
            this.options.loop.after(1 + delayMilliseconds, () =>
                subscriber.handleEvent(request, attempt, event),
            );
        }
        if (this.isFaulty()) {
            this.emitForeign(stream, subscriber);
        }
        if (this.isFaulty() && this.options.random() < 0.2) {
            this.runAfterDelay(() => subscriber.handleClose(subscriber.attempt));
        }
    }

    private emitForeign(stream: Stream, subscriber: Subscriber): void {
        const offset = stream.start + stream.tokens.length;
        const text = tokenText("foreign", offset, this.index, "");
        const event: EngineEvent = { kind: "token", offset, text };
        this.runAfterDelay(() => subscriber.handleEvent("foreign", subscriber.attempt, event));
    }

    private fail(subscriber: Subscriber, fault: Fault): void {
        subscriber.handleEvent(subscriber.request, subscriber.attempt, { kind: "failed", fault });
    }

    private runAfterDelay(action: () => void): void {
        this.options.loop.after(1 + this.options.random() * 5, action);
    }

    private isFaulty(): boolean {
        return this.options.random() < this.options.faultRate();
    }
}
