/**
 * Hands the bytes of a caller's connection to Node's HTTP parser one request at a time. Node parses all requests that it has
 * read; requests that a caller sends ahead would take memory without limit while an earlier one is being answered.
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { ReadHold } from "./read-hold.js";

/** Ends a head, and a body in chunks without trailers. */
const blankLine = "\r\n\r\n";
/** Bytes read ahead from which on the connection is not read; below, a caller that leaves is still noticed. */
const maximumReadAheadBytes = 4 * 1024;

export interface RequestGateOptions {
    /** Called with the number of bytes read ahead of the open request. */
    readonly onReadAhead: (socket: Socket, bytes: number) => void;
    /** Called with the number of bytes of a head that is not complete, 0 once it is. */
    readonly onPartialHead: (socket: Socket, bytes: number) => void;
    /** Pace of the requests that are sent ahead on one connection. */
    readonly createPace: () => AheadPace;
}

export interface AheadPace {
    /** Records a request that was sent ahead. */
    readonly record: () => void;
    /** Returns for how many milliseconds the next one is to wait, at least; 0 if it may be read. */
    readonly deferralMilliseconds: () => number;
}

type Listener = (...values: unknown[]) => void;

export class RequestGate {
    private ahead: Buffer[] = [];
    private aheadBytes = 0;
    private headBytes = 0;
    private message: IncomingMessage | undefined;
    /** Bytes of the open request's body that have been handed over. */
    private bodyBytes = 0;
    private isFeeding = false;
    private pace: AheadPace | undefined;
    private deferral: NodeJS.Timeout | undefined;

    private constructor(
        private readonly socket: Socket,
        private readonly parse: Listener,
        private readonly options: RequestGateOptions,
    ) {}

    /** Puts a gate before the parser on each connection of `server`; must be called before it listens. */
    public static install(server: Server, options: RequestGateOptions): void {
        const gates = new WeakMap<Socket, RequestGate>();
        server.on("connection", (socket: Socket) => {
            const parse = socket.listeners("data").at(-1) as Listener | undefined;
            if (parse === undefined || socket.destroyed) {
                return;
            }
            const gate = new RequestGate(socket, parse, options);
            const flowListeners = (["pause", "resume"] as const).map(
                event => [event, socket.listeners(event) as Listener[]] as const,
            );
            socket.removeListener("data", parse);
            // The listener makes Node hand over the bytes instead of having its parser read them, and drops the listeners
            // that stop and start the reading itself.
            socket.on("data", (chunk: Buffer) => gate.receive(chunk));
            for (const [event, listeners] of flowListeners) {
                const kept = socket.listeners(event);
                listeners.filter(each => !kept.includes(each)).forEach(each => socket.on(event, each));
            }
            gates.set(socket, gate);
        });
        server.prependListener("request", (message: IncomingMessage, response: ServerResponse) =>
            gates.get(message.socket)?.open(message, response),
        );
    }

    private open(message: IncomingMessage, response: ServerResponse): void {
        this.message = message;
        this.bodyBytes = 0;
        this.setHeadBytes(0);
        response.once("close", () => {
            if (this.message === message) {
                this.message = undefined;
                this.feedAhead();
            }
        });
    }

    /** Hands over the next request that was sent ahead, at its pace: it costs its sender nothing to send many. */
    private feedAhead(): void {
        if (this.ahead.length === 0 || this.deferral !== undefined) {
            return;
        }
        this.pace ??= this.options.createPace();
        const milliseconds = this.isClosed ? 0 : this.pace.deferralMilliseconds();
        if (milliseconds > 0) {
            this.deferral = setTimeout(() => {
                this.deferral = undefined;
                this.feedAhead();
            }, milliseconds);
            return;
        }
        this.pace.record();
        this.feed();
    }

    private receive(chunk: Buffer): void {
        this.ahead.push(chunk);
        this.aheadBytes += chunk.length;
        this.feed();
    }

    private feed(): void {
        if (this.isFeeding) {
            return;
        }
        if (this.deferral !== undefined && !this.isClosed) {
            this.applyHold();
            return;
        }
        this.isFeeding = true;
        while (this.ahead.length > 0 && this.message?.complete !== true && !this.isClosed) {
            this.feedPiece(this.takePiece());
        }
        this.isFeeding = false;
        if (this.isClosed) {
            this.ahead = [];
            this.aheadBytes = 0;
        }
        this.options.onReadAhead(this.socket, this.aheadBytes);
        this.applyHold();
    }

    private get isClosed(): boolean {
        return this.socket.destroyed || this.socket.writableEnded;
    }

    /** Takes bytes up to the end of the request, or up to a place where it may end. */
    private takePiece(): Buffer {
        const [first] = this.ahead;
        const length = this.pieceLength(first!);
        const piece = first!.subarray(0, length);
        if (length === first!.length) {
            this.ahead.shift();
        } else {
            this.ahead[0] = first!.subarray(length);
        }
        this.aheadBytes -= length;
        return piece;
    }

    private pieceLength(bytes: Buffer): number {
        const stated = this.message?.headers["content-length"];
        if (stated !== undefined) {
            return Math.max(1, Math.min(bytes.length, Number(stated) - this.bodyBytes));
        }
        const end = bytes.indexOf(blankLine, 0, "latin1");
        return end < 0 ? bytes.length : end + blankLine.length;
    }

    private feedPiece(piece: Buffer): void {
        const isInBody = this.message !== undefined;
        if (isInBody) {
            this.bodyBytes += piece.length;
        } else {
            this.setHeadBytes(this.headBytes + piece.length);
        }
        this.parse.call(this.socket, piece);
    }

    private setHeadBytes(bytes: number): void {
        if (bytes !== this.headBytes) {
            this.headBytes = bytes;
            this.options.onPartialHead(this.socket, bytes);
        }
    }

    private applyHold(): void {
        const hold = ReadHold.of(this.socket);
        if (this.aheadBytes > maximumReadAheadBytes) {
            hold.pause("readAhead");
        } else {
            hold.resume("readAhead");
        }
    }
}
