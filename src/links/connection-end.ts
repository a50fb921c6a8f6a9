/**
 * Tells a connection that its peer closed from one that it reset. Node.js reports a normal end, and no error, if a reset
 * arrives together with the last bytes; only a write, even an empty one, fails then.
 */
import type { Socket } from "node:net";

/**
 * Calls `onResult` with whether the peer has reset the connection. Must be called in a listener of "end" that is
 * prepended, since Node.js ends the writable side in its own listeners.
 */
export function detectReset(socket: Socket, onResult: (isReset: boolean) => void): void {
    socket.write(Buffer.alloc(0), error => onResult(Boolean(error)));
}
