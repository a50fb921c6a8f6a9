/**
 * Spreads the datagrams of an entry instance over time. Covers machines with slow links in large deployments: a state or a
 * large configuration that goes to all peers at once overruns the queue of the link, which drops what comes last, the
 * datagrams to the same peers each time.
 */

export interface Datagram {
    /** Host and port. */
    readonly address: string;
    readonly text: string;
}

export interface PaceOptions {
    readonly bytesPerMillisecond: number;
    /** Bytes that are sent at once after a pause. */
    readonly burstBytes: number;
}

/** Places beyond which those without a waiting datagram are forgotten. */
const maximumPlaces = 2_048;
/** Minimum time between two departures, in milliseconds. */
const minimumIntervalMilliseconds = 10;

/** Times are local monotonic milliseconds. */
export class DatagramPacer {
    private availableBytes: number;
    /** Waiting datagrams by what they replace, the one whose place was served last at the end; the urgent ones leave first. */
    private readonly urgent = new Map<string, Datagram | undefined>();
    private readonly others = new Map<string, Datagram | undefined>();

    private constructor(
        private readonly options: PaceOptions,
        private filledAt: number,
    ) {
        this.availableBytes = options.burstBytes;
    }

    public static create(options: PaceOptions, now: number): DatagramPacer {
        return new DatagramPacer(options, now);
    }

    /** Adds a datagram. It takes the place of a waiting one to the same address of the same kind, which it makes obsolete. */
    public add(kind: string, datagram: Datagram, isUrgent: boolean): void {
        const places = isUrgent ? this.urgent : this.others;
        places.set(`${kind} ${datagram.address}`, datagram);
        if (places.size > maximumPlaces) {
            const free = [...places].filter(([, waiting]) => waiting === undefined);
            free.forEach(([key]) => places.delete(key));
        }
    }

    /** Counts a datagram that was sent without waiting. */
    public recordSent(bytes: number, now: number): void {
        this.fill(now);
        this.availableBytes -= bytes;
    }

    /** Removes and returns the datagrams that may be sent now. */
    public take(now: number): readonly Datagram[] {
        this.fill(now);
        const taken: Datagram[] = [];
        for (const places of [this.urgent, this.others]) {
            for (const [key, datagram] of [...places]) {
                if (datagram === undefined) {
                    continue;
                }
                if (this.availableBytes <= 0) {
                    return taken;
                }
                places.delete(key);
                places.set(key, undefined);
                taken.push(datagram);
                this.availableBytes -= Buffer.byteLength(datagram.text);
            }
        }
        return taken;
    }

    /** Time at which further datagrams may be sent; Infinity if none waits. */
    public nextAt(now: number): number {
        const isWaiting = [this.urgent, this.others].some(places =>
            [...places.values()].some(datagram => datagram !== undefined),
        );
        if (!isWaiting) {
            return Number.POSITIVE_INFINITY;
        }
        const missingBytes = Math.max(0, -this.availableBytes);
        return now + Math.max(minimumIntervalMilliseconds, missingBytes / this.options.bytesPerMillisecond);
    }

    private fill(now: number): void {
        const { bytesPerMillisecond, burstBytes } = this.options;
        const added = Math.max(0, now - this.filledAt) * bytesPerMillisecond;
        this.availableBytes = Math.min(burstBytes, this.availableBytes + added);
        this.filledAt = now;
    }
}
