/**
 * Chooses the entry instance that runs a request instead of one that cannot reach the replicas. Covers the callers of an
 * entry instance that is cut off; and most of a failure domain being cut off, when the requests are spread over all entry
 * instances that still receive responses.
 */

/** Time for which an entry instance gets no forwarded requests after one failed, in milliseconds. */
const failurePauseMilliseconds = 1_000;

/** A registered entry instance to which requests can be forwarded. */
export interface ForwardingPeer {
    readonly name: string;
    /** Host and port. */
    readonly address: string;
    /** Proves to the entry instance that the sender can read its registration. */
    readonly secret: string;
}

export interface PeerQuestion {
    readonly service: string;
    /** Names of the entry instances that this request was forwarded to before. */
    readonly triedPeers: ReadonlySet<string>;
    /** Number of replicas of the service that the entry instance must have received responses from. */
    readonly minimumReached: number;
}

interface PeerReach {
    readonly reached: ReadonlyMap<string, number>;
    /** Local monotonic milliseconds. */
    readonly statedAt: number;
}

export interface ForwardingPeersOptions {
    /** Returns a number in [0, 1). */
    readonly random: () => number;
    /** Maximum age of a statement, in milliseconds. */
    readonly expiryMilliseconds: () => number;
}

export class ForwardingPeers {
    private peers: readonly ForwardingPeer[] = [];
    private readonly reachByName = new Map<string, PeerReach>();
    private readonly failedAt = new Map<string, number>();
    private readonly inFlight = new Map<string, number>();

    private constructor(private readonly options: ForwardingPeersOptions) {}

    public static create(options: ForwardingPeersOptions): ForwardingPeers {
        return new ForwardingPeers(options);
    }

    /** Sets the other registered entry instances. */
    public setPeers(peers: readonly ForwardingPeer[]): void {
        this.peers = peers;
    }

    /** Number of other registered entry instances. */
    public get count(): number {
        return this.peers.length;
    }

    /** Records from how many replicas of each service an entry instance has received responses recently. */
    public recordReach(name: string, reached: ReadonlyMap<string, number>, now: number): void {
        this.reachByName.set(name, { reached, statedAt: now });
    }

    public recordFailure(name: string, now: number): void {
        this.failedAt.set(name, now);
    }

    public start(name: string): void {
        this.inFlight.set(name, (this.inFlight.get(name) ?? 0) + 1);
    }

    public end(name: string): void {
        this.inFlight.set(name, Math.max(0, (this.inFlight.get(name) ?? 0) - 1));
    }

    /** Returns the largest number of replicas of a service that another entry instance reaches. */
    public mostReached(service: string, now: number): number {
        const counts = this.peers.map(({ name }) => this.reachedBy(name, service, now));
        return Math.max(0, ...counts);
    }

    /** Chooses the less busy of two random entry instances that reach the replicas; undefined if there is none. */
    public choose(question: PeerQuestion, now: number): ForwardingPeer | undefined {
        const { service, triedPeers, minimumReached } = question;
        const able = this.peers.filter(({ name }) => {
            const failedAt = this.failedAt.get(name) ?? Number.NEGATIVE_INFINITY;
            const isAvailable = now - failedAt >= failurePauseMilliseconds && !triedPeers.has(name);
            return isAvailable && this.reachedBy(name, service, now) >= minimumReached;
        });
        const pick = (): ForwardingPeer | undefined => able[Math.floor(this.options.random() * able.length)];
        const [first, second] = [pick(), pick()];
        if (first === undefined || second === undefined) {
            return undefined;
        }
        const loadOf = ({ name }: ForwardingPeer): number => this.inFlight.get(name) ?? 0;
        return loadOf(second) < loadOf(first) ? second : first;
    }

    /** Returns the number of replicas of a service that an entry instance stated to reach; 0 if that is too long ago. */
    private reachedBy(name: string, service: string, now: number): number {
        const reach = this.reachByName.get(name);
        const isFresh = reach !== undefined && now - reach.statedAt <= this.options.expiryMilliseconds();
        return isFresh ? (reach.reached.get(service) ?? 0) : 0;
    }
}
