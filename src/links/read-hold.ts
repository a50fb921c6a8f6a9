/**
 * Stops the reading of a connection, so that what its sender sends waits at the sender. Node's HTTP classes resume a connection
 * by themselves, and pausing a message instead would let its pieces pile up, whose number its buffer does not limit.
 */
import type { Socket } from "node:net";

const holds = new WeakMap<Socket, ReadHold>();

export class ReadHold {
    /** True while the reader has no room for more. */
    private isPaused = false;
    /** Timer of the next check whether a deferral may end; undefined while reading is not deferred. */
    private deferral: NodeJS.Timeout | undefined;
    /** True if Node's HTTP classes wanted to read on. */
    private isResumeWanted = false;

    private constructor(
        private readonly socket: Socket,
        private readonly resumeSocket: () => Socket,
    ) {}

    /** Returns the hold of a connection; all holds of one connection are the same. */
    public static of(socket: Socket): ReadHold {
        let hold = holds.get(socket);
        if (hold === undefined) {
            const created = new ReadHold(socket, socket.resume.bind(socket));
            socket.resume = () => created.handleResume();
            socket.once("close", () => created.clear());
            hold = created;
            holds.set(socket, hold);
        }
        return hold;
    }

    public pause(): void {
        this.isPaused = true;
        this.stop();
    }

    public resume(): void {
        this.isPaused = false;
        this.startUnlessHeld();
    }

    /** Defers reading as long as `remaining` returns more than 0 milliseconds, after which it is asked again. */
    public deferWhile(remaining: () => number): void {
        if (this.deferral !== undefined) {
            return;
        }
        const milliseconds = remaining();
        if (milliseconds > 0) {
            this.stop();
            this.deferral = setTimeout(() => {
                this.deferral = undefined;
                this.deferWhile(remaining);
                this.startUnlessHeld();
            }, milliseconds);
        }
    }

    /** Ends every hold, for the next use of the connection. */
    public clear(): void {
        clearTimeout(this.deferral);
        this.deferral = undefined;
        this.isPaused = false;
        this.startUnlessHeld();
    }

    private get isHeld(): boolean {
        return this.isPaused || this.deferral !== undefined;
    }

    private handleResume(): Socket {
        if (this.isHeld) {
            this.isResumeWanted = true;
            return this.socket;
        }
        return this.resumeSocket();
    }

    private stop(): void {
        if (!this.socket.isPaused()) {
            this.isResumeWanted = true;
            this.socket.pause();
        }
    }

    private startUnlessHeld(): void {
        if (!this.isHeld && this.isResumeWanted && !this.socket.destroyed) {
            this.isResumeWanted = false;
            this.resumeSocket();
        }
    }
}
