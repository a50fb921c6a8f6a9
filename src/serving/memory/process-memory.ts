/**
 * Keeps the account of a process's memory: follows responses that their callers have yet to read, carries out the account's
 * closures, and shows them in logs and metrics.
 */
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Clock } from "../../contracts/clocks.js";
import type { PartLogger } from "../../links/logs.js";
import type { ServingMetrics } from "../serving-metrics.js";
import type { Closure, ClosureReason, Holding, MemoryPurpose } from "./memory-account.js";
import { MemoryAccount } from "./memory-account.js";

/** Interval between two checks of the account, in milliseconds. */
const checkIntervalMilliseconds = 100;
/** Lines on closed callers per second; further ones are counted in one line. */
const maximumLinesPerSecond = 10;
const millisecondsPerSecond = 1_000;

const purposes: readonly MemoryPurpose[] = ["partialHead", "readAhead", "request", "response", "forwarded"];

export interface ProcessMemoryOptions {
    readonly budgetBytes: number;
    readonly clock: Clock;
    readonly log: PartLogger;
    readonly metrics: ServingMetrics;
}

interface FollowedResponse {
    readonly socket: Socket | undefined;
    holding: Holding | undefined;
    /** Bytes that the kernel has taken on the connection. */
    takenBytes: number;
}

export class ProcessMemory {
    private readonly account: MemoryAccount;
    private readonly responses = new Map<ServerResponse, FollowedResponse>();
    private readonly timer: NodeJS.Timeout;
    private linesSince = Number.NEGATIVE_INFINITY;
    private lineCount = 0;

    private constructor(private readonly options: ProcessMemoryOptions) {
        this.account = MemoryAccount.create(options.budgetBytes);
        this.timer = setInterval(() => this.check(), checkIntervalMilliseconds);
        this.timer.unref();
    }

    public static create(options: ProcessMemoryOptions): ProcessMemory {
        return new ProcessMemory(options);
    }

    /** True if new requests are to be refused, since nothing that may be closed holds memory. */
    public get isFull(): boolean {
        return this.account.isOverBudget;
    }

    public open(purpose: MemoryPurpose, close: Holding["close"]): Holding {
        return this.account.open(purpose, this.now(), close);
    }

    /** Sets the bytes that are held, and closes what the account decides on if they exceed the budget. */
    public record(holding: Holding, bytes: number, movedBytes: number): void {
        this.account.record(holding, bytes, movedBytes, this.now());
        if (this.account.isOverBudget) {
            this.carryOut(this.account.takeClosures(this.now()));
        }
    }

    /** Asks for room up to `bytes` in total; a holding that is not granted it asks again. */
    public reserve(holding: Holding, bytes: number): boolean {
        return this.account.reserve(holding, bytes, this.now());
    }

    /** Protects a holding whose request is complete from being closed. */
    public protect(holding: Holding): void {
        this.account.protect(holding);
    }

    public end(holding: Holding): void {
        this.account.end(holding);
    }

    /** Follows what a response holds until it closes. */
    public follow(response: ServerResponse): void {
        const socket = response.socket ?? undefined;
        this.responses.set(response, { socket, holding: undefined, takenBytes: 0 });
        response.once("close", () => {
            const followed = this.responses.get(response);
            this.responses.delete(response);
            if (followed?.holding !== undefined) {
                this.account.end(followed.holding);
            }
        });
    }

    /** Closes the request that makes the least progress, for a connection that finds no room; false if there is none. */
    public closeStalled(): boolean {
        const closure = this.account.takeStalled(this.now());
        this.carryOut(closure === undefined ? [] : [closure]);
        return closure !== undefined;
    }

    /** Records a caller that was closed. */
    public recordClosure(reason: string, fields: Readonly<Record<string, unknown>>): void {
        this.options.metrics.closedCallers.inc({ reason });
        const now = this.now();
        if (now - this.linesSince >= millisecondsPerSecond) {
            const skipped = this.lineCount - maximumLinesPerSecond;
            if (skipped > 0) {
                this.options.log.warn("further callers closed", { count: skipped });
            }
            this.linesSince = now;
            this.lineCount = 0;
        }
        this.lineCount += 1;
        if (this.lineCount <= maximumLinesPerSecond) {
            this.options.log.warn("caller closed", { reason, ...fields });
        }
    }

    public close(): void {
        clearInterval(this.timer);
    }

    private now(): number {
        return this.options.clock.monotonicMilliseconds();
    }

    private check(): void {
        for (const [response, followed] of this.responses) {
            this.followResponse(response, followed);
        }
        this.carryOut(this.account.takeClosures(this.now()));
        for (const purpose of purposes) {
            this.options.metrics.heldBytes.set({ purpose }, this.account.bytesOf(purpose));
        }
    }

    private followResponse(response: ServerResponse, followed: FollowedResponse): void {
        const bytes = response.writableLength;
        const { socket } = followed;
        if (bytes === 0) {
            if (followed.holding !== undefined) {
                this.account.end(followed.holding);
                followed.holding = undefined;
            }
            return;
        }
        followed.holding ??= this.open("response", () => response.destroy());
        const takenBytes = socket === undefined ? 0 : socket.bytesWritten - socket.writableLength;
        const movedBytes = Math.max(0, takenBytes - followed.takenBytes);
        followed.takenBytes = takenBytes;
        this.account.record(followed.holding, bytes, movedBytes, this.now());
    }

    private carryOut(closures: readonly Closure[]): void {
        for (const { holding, reason } of closures) {
            this.recordClosure(reason, { purpose: holding.purpose, bytes: holding.bytes });
            holding.close(reason);
        }
    }
}

/** Retry-After of a request for which there was no memory, in seconds, spread at random so that callers don't return together. */
export function memoryRetryAfterSeconds(random: () => number): string {
    return (0.5 + random()).toFixed(2);
}

export type { ClosureReason, Holding };
