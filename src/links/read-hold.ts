/**
 * Stops the reading of a connection, so that what its sender sends waits at the sender. Node's HTTP classes resume a connection
 * by themselves, and pausing a message instead would let its pieces pile up, whose number its buffer does not limit.
 */
import type { Socket } from "node:net";

/** Why a connection is paused: its reader has no room, more requests were sent ahead, or the rest of a message is not wanted. */
export type PauseReason = "reader" | "readAhead" | "refused";

const holds = new WeakMap<Socket, ReadHold>();

export class ReadHold {
    private readonly pauses = new Set<PauseReason>();
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

    public pause(reason: PauseReason = "reader"): void {
        this.pauses.add(reason);
        this.stop();
    }

    public resume(reason: PauseReason = "reader"): void {
        if (this.pauses.delete(reason)) {
            this.startUnlessHeld();
        }
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

    /** Ends every hold that concerns one message, for the next use of the connection. */
    public clear(): void {
        clearTimeout(this.deferral);
        this.deferral = undefined;
        this.pauses.delete("reader");
        this.startUnlessHeld();
    }

    private get isHeld(): boolean {
        return this.pauses.size > 0 || this.deferral !== undefined;
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
