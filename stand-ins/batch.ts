/** Continuous batch of a replica group's leader: limited slots, prefill, priorities, and one token per step. */
import { blocksOf } from "../src/core/prefix-blocks.js";
import { hashText, nextToken } from "./answer-tokens.js";
import type { PrefixCache } from "./prefix-cache.js";

/** A request for the batch; times are local monotonic milliseconds. */
export interface BatchRequest {
    readonly id: string;
    readonly attempt: number;
    readonly prompt: string;
    readonly fromOffset: number;
    /** Offset at which the answer ends, in tokens. */
    readonly endOffset: number;
    /** Lower numbers are admitted first. */
    readonly priority: number;
    readonly deadline: number;
}

/** One request's generated tokens. */
export interface BatchStream {
    readonly request: BatchRequest;
    readonly tokens: string[];
    readonly arrivalNumber: number;
    /** The latest attempt that has read the stream. */
    readerAttempt: number;
    state: "waiting" | "running" | "finished" | "dropped";
    textHash: number;
    /** Time at which prefill ends and the first token can be generated. */
    firstTokenAt: number;
    /** Time at which the stream is dropped for lack of a reader; undefined while it has one. */
    expiresAt: number | undefined;
}

/** Times and sizes of a batch. */
export interface BatchOptions {
    readonly slots: number;
    readonly maximumWaiting: number;
    readonly tokenMilliseconds: number;
    readonly prefillMillisecondsPerBlock: number;
    readonly resumeMilliseconds: number;
    readonly cache: PrefixCache;
    readonly now: () => number;
    /** Factor by which prefill and token times are multiplied. */
    readonly slowness: () => number;
    /** False while a member of the group is missing; no tokens are generated then. */
    readonly canRun: () => boolean;
    /** Called when a stream has new tokens or has ended. */
    readonly onChange: (stream: BatchStream) => void;
}

/** All streams of one engine instance. */
export class Batch {
    private readonly options: BatchOptions;
    private readonly streams = new Map<string, BatchStream>();
    private timer: NodeJS.Timeout | undefined;
    private arrivalCount = 0;

    private constructor(options: BatchOptions) {
        this.options = options;
    }

    public static create(options: BatchOptions): Batch {
        return new Batch(options);
    }

    public find(id: string): BatchStream | undefined {
        return this.streams.get(id);
    }

    public isFull(): boolean {
        return this.count("waiting") >= this.options.maximumWaiting;
    }

    public running(): number {
        return this.count("running");
    }

    public waiting(): number {
        return this.count("waiting");
    }

    public start(request: BatchRequest): BatchStream {
        this.drop(request.id);
        this.arrivalCount += 1;
        const stream: BatchStream = {
            request,
            tokens: [],
            arrivalNumber: this.arrivalCount,
            readerAttempt: request.attempt,
            state: "waiting",
            textHash: hashText(request.prompt),
            firstTokenAt: 0,
            expiresAt: undefined,
        };
        this.streams.set(request.id, stream);
        this.admit();
        this.schedule();
        return stream;
    }

    /** Drops a stream on behalf of an attempt, unless a later attempt reads it. */
    public cancel(id: string, attempt: number): void {
        if ((this.streams.get(id)?.readerAttempt ?? 0) <= attempt) {
            this.drop(id);
        }
    }

    /** Ends a stream; none of it can be read afterwards. */
    public drop(id: string): void {
        const stream = this.streams.get(id);
        if (stream !== undefined) {
            this.streams.delete(id);
            stream.state = "dropped";
            this.options.onChange(stream);
        }
    }

    public dropAll(): void {
        [...this.streams.keys()].forEach(id => this.drop(id));
        clearTimeout(this.timer);
        this.timer = undefined;
    }

    /** Records whether a stream has a reader. */
    public setHasReader(stream: BatchStream, isRead: boolean): void {
        stream.expiresAt = isRead ? undefined : this.options.now() + this.options.resumeMilliseconds;
        this.schedule();
    }

    private schedule(): void {
        if (this.timer === undefined && this.streams.size > 0) {
            const milliseconds = this.options.tokenMilliseconds * this.options.slowness();
            this.timer = setTimeout(() => this.step(), milliseconds);
        }
    }

    private step(): void {
        this.timer = undefined;
        const now = this.options.now();
        this.dropExpired(now);
        if (this.options.canRun()) {
            this.admit();
            this.generate(now);
        }
        this.schedule();
    }

    private dropExpired(now: number): void {
        for (const stream of [...this.streams.values()]) {
            const isLate = now >= stream.request.deadline && stream.state !== "finished";
            if (isLate || (stream.expiresAt !== undefined && now >= stream.expiresAt)) {
                this.drop(stream.request.id);
            }
        }
    }

    private admit(): void {
        const waiting = [...this.streams.values()].filter(stream => stream.state === "waiting");
        waiting.sort(
            (left, right) =>
                left.request.priority - right.request.priority || left.arrivalNumber - right.arrivalNumber,
        );
        const free = Math.max(0, this.options.slots - this.running());
        waiting.slice(0, free).forEach(stream => this.prefill(stream));
    }

    private prefill(stream: BatchStream): void {
        const now = this.options.now();
        const blocks = blocksOf(stream.request.prompt, Infinity);
        const missing = blocks.length - this.options.cache.addBlocks(blocks, now);
        stream.state = "running";
        stream.firstTokenAt =
            now + missing * this.options.prefillMillisecondsPerBlock * this.options.slowness();
    }

    private generate(now: number): void {
        for (const stream of this.streams.values()) {
            if (stream.state === "running" && now >= stream.firstTokenAt) {
                this.addToken(stream);
                this.options.onChange(stream);
            }
        }
    }

    private addToken(stream: BatchStream): void {
        const { fromOffset, endOffset } = stream.request;
        if (fromOffset + stream.tokens.length < endOffset) {
            const token = nextToken(stream.textHash);
            stream.textHash = hashText(token, stream.textHash);
            stream.tokens.push(token);
        }
        if (fromOffset + stream.tokens.length >= endOffset) {
            stream.state = "finished";
        }
    }

    private count(state: BatchStream["state"]): number {
        return [...this.streams.values()].filter(stream => stream.state === state).length;
    }
}
