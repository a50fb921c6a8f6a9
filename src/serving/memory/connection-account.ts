/**
 * The account of the connections of one port: whether a further one is accepted, and which one is closed for it. Covers crowds
 * of connections that send nothing or stop half-way: a connection with an open request is never closed for one that has just
 * come, and one that has not sent a request yet is closed before one that has.
 */

/** Time for which a connection that has sent a request is kept idle at least, in milliseconds; its next request may be under way. */
const minimumIdleMilliseconds = 500;

interface ConnectionState {
    openRequests: number;
    hasSentRequest: boolean;
    /** Local monotonic milliseconds. */
    idleSince: number;
}

/** `closed`: the connection that is closed for the new one, if any. */
export type Acceptance<Connection> =
    { readonly kind: "accepted"; readonly closed: Connection | undefined } | { readonly kind: "refused" };

export class ConnectionAccount<Connection> {
    private readonly connections = new Map<Connection, ConnectionState>();

    private constructor(
        private readonly maximum: number,
        private readonly onRefused: () => void,
    ) {}

    /** `onRefused`: called when a connection is refused because each other one has an open request. */
    public static create<Connection>(
        maximum: number,
        onRefused: () => void = () => undefined,
    ): ConnectionAccount<Connection> {
        return new ConnectionAccount(maximum, onRefused);
    }

    public get count(): number {
        return this.connections.size;
    }

    public accept(connection: Connection, now: number): Acceptance<Connection> {
        let closed: Connection | undefined;
        if (this.connections.size >= this.maximum) {
            closed = this.chooseIdle(now);
            if (closed === undefined) {
                this.onRefused();
                return { kind: "refused" };
            }
            this.connections.delete(closed);
        }
        this.connections.set(connection, { openRequests: 0, hasSentRequest: false, idleSince: now });
        return { kind: "accepted", closed };
    }

    public startRequest(connection: Connection): void {
        const state = this.connections.get(connection);
        if (state !== undefined) {
            state.openRequests += 1;
            state.hasSentRequest = true;
        }
    }

    public endRequest(connection: Connection, now: number): void {
        const state = this.connections.get(connection);
        if (state !== undefined) {
            state.openRequests -= 1;
            state.idleSince = now;
        }
    }

    public remove(connection: Connection): void {
        this.connections.delete(connection);
    }

    private chooseIdle(now: number): Connection | undefined {
        let chosen: readonly [Connection, ConnectionState] | undefined;
        for (const entry of this.connections) {
            const [, state] = entry;
            const isIdle =
                state.openRequests === 0 &&
                (!state.hasSentRequest || now - state.idleSince >= minimumIdleMilliseconds);
            if (isIdle && (chosen === undefined || isEarlier(state, chosen[1]))) {
                chosen = entry;
            }
        }
        return chosen?.[0];
    }
}

function isEarlier(left: ConnectionState, right: ConnectionState): boolean {
    return left.hasSentRequest === right.hasSentRequest
        ? left.idleSince < right.idleSince
        : !left.hasSentRequest;
}
