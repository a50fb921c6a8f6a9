/** Reads the body of a message within the account of the process's memory and at its pace. */
import type { IncomingMessage } from "node:http";
import type { Clock } from "../../contracts/clocks.js";
import { ByteCollector } from "../../links/byte-collector.js";
import { ReadHold } from "../../links/read-hold.js";
import type { SharedReadPace } from "../read-pace.js";
import { ReadPace } from "../read-pace.js";
import type { ClosureReason, Holding, ProcessMemory } from "./process-memory.js";

/** Size up to which a body needs no reservation, in bytes. */
const unreservedBodyBytes = 64 * 1024;
/** Interval between two questions for a reservation, in milliseconds. */
const reservationIntervalMilliseconds = 20;
/** Memory of a request besides its head and body, in bytes. */
const requestBytes = 4 * 1024;
/** Memory of one header field besides its text, which is held twice, in bytes. */
const fieldBytes = 64;
/** Bytes that count as one piece of work when they are read to be discarded. */
const discardedPieceBytes = 256;

export interface MeteredBodyOptions {
    readonly message: IncomingMessage;
    readonly purpose: "request" | "forwarded";
    readonly memory: ProcessMemory;
    readonly readPace: SharedReadPace;
    readonly clock: Clock;
    readonly maximumBytes: number;
    /** Size of what has been collected, as the maximum limits it. */
    readonly sizeOf: (bytes: ByteCollector) => number;
    readonly onComplete: (body: Buffer | undefined) => void;
    readonly onTooLong: () => void;
    /** The account has closed the message. */
    readonly onClosed: (reason: ClosureReason) => void;
}

export class MeteredBody {
    private readonly bytes = ByteCollector.create();
    private readonly pace: ReadPace;
    private readonly headBytes: number;
    private readonly holding: Holding;
    private hold: ReadHold | undefined;
    /** Length of the complete body. */
    private bodyBytes = 0;
    private isDiscarding = false;
    private hasReservation = false;

    private constructor(private readonly options: MeteredBodyOptions) {
        const { message, memory, purpose } = options;
        this.pace = ReadPace.create(options.readPace, this.now());
        this.headBytes = headMemoryBytes(message);
        this.holding = memory.open(purpose, reason => {
            this.discard();
            options.onClosed(reason);
        });
        message.on("data", (chunk: Buffer) => this.receive(chunk));
        message.once("end", () => this.complete());
        message.once("close", () => this.hold?.clear());
        memory.record(this.holding, this.headBytes, 0);
    }

    /** Starts to read; the holding lasts until `end`. */
    public static start(options: MeteredBodyOptions): MeteredBody {
        return new MeteredBody(options);
    }

    /** Gives back the memory of the request. */
    public end(): void {
        this.options.memory.end(this.holding);
    }

    /** Records the bytes of replicas' responses that the request holds besides its body. */
    public recordBuffered(bytes: number): void {
        this.options.memory.record(this.holding, this.headBytes + this.bodyBytes + bytes, 0);
    }

    /** Discards what has been read, and reads the rest, if at all, only to discard it. */
    public discard(): void {
        this.isDiscarding = true;
        this.bytes.clear();
        this.end();
    }

    private now(): number {
        return this.options.clock.monotonicMilliseconds();
    }

    private receive(chunk: Buffer): void {
        const { memory, maximumBytes, sizeOf, onTooLong } = this.options;
        if (this.isDiscarding) {
            this.pace.record(Math.ceil(chunk.length / discardedPieceBytes));
            this.defer();
            return;
        }
        this.pace.record(1);
        this.bytes.add(chunk);
        if (sizeOf(this.bytes) > maximumBytes) {
            this.discard();
            onTooLong();
            return;
        }
        memory.record(this.holding, this.headBytes + this.bytes.length, chunk.length);
        this.defer();
    }

    private complete(): void {
        if (!this.isDiscarding) {
            this.bodyBytes = this.bytes.length;
            this.options.memory.protect(this.holding);
            this.options.onComplete(this.bytes.length === 0 ? undefined : this.bytes.take());
        }
    }

    private defer(): void {
        const remaining = (): number =>
            Math.max(this.pace.deferralMilliseconds(this.now()), this.reservationMilliseconds());
        if (this.hold !== undefined || remaining() > 0) {
            this.hold ??= ReadHold.of(this.options.message.socket);
            this.hold.deferWhile(remaining);
        }
    }

    /** Asks for room for the whole body; returns for how long to wait before the next question. */
    private reservationMilliseconds(): number {
        const { message, memory, maximumBytes } = this.options;
        if (this.isDiscarding || this.hasReservation || this.bytes.length <= unreservedBodyBytes) {
            return 0;
        }
        const statedLength = message.headers["content-length"];
        const bodyBytes =
            statedLength === undefined ? maximumBytes : Math.min(Number(statedLength), maximumBytes);
        this.hasReservation = memory.reserve(this.holding, this.headBytes + bodyBytes);
        if (!this.hasReservation) {
            return reservationIntervalMilliseconds;
        }
        if (statedLength !== undefined) {
            this.bytes.expect(bodyBytes);
        }
        return 0;
    }
}

/** Memory that the head of a message takes, in bytes. */
function headMemoryBytes({ rawHeaders }: IncomingMessage): number {
    const textBytes = rawHeaders.reduce((sum, text) => sum + text.length, 0);
    return requestBytes + 2 * textBytes + fieldBytes * (rawHeaders.length / 2);
}
