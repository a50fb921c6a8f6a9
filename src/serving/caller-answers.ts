/** The answer to one caller: a replica's own, passed on unchanged, or one of this system's. */
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { AnswerHead } from "./wire.js";

/** Body of an answer that this system gives itself. */
export interface OwnAnswer {
    readonly message: string;
    readonly outcome: string;
}

export class CallerAnswer {
    private isCloseDelimited = false;
    private begunAt: number | undefined;

    private constructor(
        private readonly response: ServerResponse,
        private readonly isStopping: () => boolean,
    ) {}

    /** `isStopping`: true while connections are not to be used again. */
    public static create(response: ServerResponse, isStopping: () => boolean): CallerAnswer {
        return new CallerAnswer(response, isStopping);
    }

    public get hasBegun(): boolean {
        return this.response.headersSent;
    }

    /** Local monotonic milliseconds at which a replica's answer began to be passed on. */
    public get firstByteAt(): number | undefined {
        return this.begunAt;
    }

    /** Passes on the head of a replica's answer; only the first one counts. */
    public begin(head: AnswerHead, length: number | undefined, now: number): void {
        if (this.hasBegun) {
            return;
        }
        this.begunAt = now;
        const headers = [...head.headers];
        if (!head.isFramed) {
            // Whether such an answer is whole shows only in how its connection ends, so the caller's ends likewise.
            this.isCloseDelimited = true;
            this.response.shouldKeepAlive = false;
            this.response.useChunkedEncodingByDefault = false;
        } else if (length !== undefined) {
            headers.push("Content-Length", String(length));
        }
        if (this.isStopping() && head.isFramed) {
            headers.push("Connection", "close");
        }
        this.response.sendDate = false;
        this.response.writeHead(head.status, headers);
    }

    /** Returns false if the caller reads more slowly than bytes come. */
    public write(bytes: Buffer): boolean {
        return this.response.write(bytes);
    }

    public end(bytes?: Buffer): void {
        this.response.end(bytes);
    }

    /** Answers in this system's own name. */
    public refuse(status: number, error: OwnAnswer, headers: readonly string[]): void {
        const body = Buffer.from(JSON.stringify({ error }));
        const close = this.isStopping() ? ["Connection", "close"] : [];
        const length = ["Content-Length", String(body.length)];
        this.response.writeHead(status, [
            "Content-Type",
            "application/json",
            ...length,
            ...headers,
            ...close,
        ]);
        this.response.end(body);
    }

    /** Ends the caller's connection so that its answer does not look whole. */
    public cut(): void {
        const socket = this.response.socket as Socket | undefined;
        if (this.isCloseDelimited && socket) {
            // A plain close would look like the end of such an answer.
            socket.resetAndDestroy();
        } else {
            this.response.destroy();
        }
    }
}
