/**
 * Decides which callers' connections an ending process closes, and when it stops accepting further ones. Covers requests
 * that wait unread in the kernel, also after the event loop stood still: a connection is closed only if a read showed that
 * nothing waits on it.
 */

/**
 * Time without a byte and without an open request after which a connection is closed, in milliseconds; in this time a caller
 * that has just connected sends its request.
 */
const quietMilliseconds = 300;

/** What is known of one connection. */
export interface ConnectionState {
    /** Number of bytes read from it so far. */
    readonly bytesRead: number;
    /** True while a request on it is read or served, until its response has been handed to the kernel. */
    readonly hasOpenRequest: boolean;
}

/**
 * State of all connections right after input was polled; between two observations all input that was waiting at the first
 * one has been read, and at least one waiting connection has been accepted.
 */
export interface DrainObservation<Connection> {
    /** Local monotonic milliseconds. */
    readonly now: number;
    /** Number of connections accepted so far. */
    readonly acceptedConnections: number;
    readonly connections: ReadonlyMap<Connection, ConnectionState>;
}

export interface DrainStep<Connection> {
    /**
     * True if the last poll found no connection that waited to be accepted, which a close of the port would reset, and no
     * byte: reading takes time in which a connection may arrive.
     */
    readonly mayStopAccepting: boolean;
    /** Connections on which no request waits. */
    readonly quietConnections: readonly Connection[];
}

interface QuietConnection {
    readonly bytesRead: number;
    /** Local monotonic milliseconds. */
    readonly quietSince: number;
}

export class ConnectionDrain<Connection> {
    private acceptedConnections: number | undefined;
    private known: ReadonlyMap<Connection, QuietConnection> = new Map();

    private constructor() {}

    public static create<Connection>(): ConnectionDrain<Connection> {
        return new ConnectionDrain();
    }

    public observe({
        now,
        acceptedConnections,
        connections,
    }: DrainObservation<Connection>): DrainStep<Connection> {
        let mayStopAccepting = acceptedConnections === this.acceptedConnections;
        this.acceptedConnections = acceptedConnections;
        const known = new Map<Connection, QuietConnection>();
        for (const [connection, { bytesRead, hasOpenRequest }] of connections) {
            const previous = this.known.get(connection);
            const isUnchanged = previous?.bytesRead === bytesRead;
            const isQuiet = isUnchanged && !hasOpenRequest;
            mayStopAccepting &&= isUnchanged;
            known.set(connection, { bytesRead, quietSince: isQuiet ? previous.quietSince : now });
        }
        this.known = known;
        const isDue = ({ quietSince }: QuietConnection): boolean => now - quietSince >= quietMilliseconds;
        const quietConnections = [...known]
            .filter(([, state]) => isDue(state))
            .map(([connection]) => connection);
        return { mayStopAccepting, quietConnections };
    }
}
