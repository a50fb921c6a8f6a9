/**
 * Spreads large datagrams to many peers over time. Covers machines with slow links in large deployments: a configuration that
 * goes to all of them at once overruns the queue of the link, which drops what comes last, the datagrams to the same peers
 * each time.
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

/** Bytes that the queue of a link may still hold; what was sent beyond them has been dropped and delays nothing. */
const maximumQueuedBytes = 128 * 1024;
/** Places beyond which those without a waiting datagram are forgotten. */
const maximumPlaces = 2_048;
/** Minimum time between two departures, in milliseconds. */
const minimumIntervalMilliseconds = 10;

/** Times are local monotonic milliseconds. */
export class DatagramPacer {
    private availableBytes: number;
    /** Waiting datagram of each address; the address that was served last is at the end. */
    private readonly places = new Map<string, Datagram | undefined>();

    private constructor(
        private readonly options: PaceOptions,
        private filledAt: number,
    ) {
        this.availableBytes = options.burstBytes;
    }

    public static create(options: PaceOptions, now: number): DatagramPacer {
        return new DatagramPacer(options, now);
    }

    /** Adds a datagram. It takes the place of a waiting one to the same address, which it makes obsolete. */
    public add(datagram: Datagram): void {
        this.places.set(datagram.address, datagram);
        if (this.places.size > maximumPlaces) {
            const free = [...this.places].filter(([, waiting]) => waiting === undefined);
            free.forEach(([address]) => this.places.delete(address));
        }
    }

    /** Counts a datagram that was sent without waiting. */
    public recordSent(bytes: number, now: number): void {
        this.fill(now);
        this.availableBytes = Math.max(-maximumQueuedBytes, this.availableBytes - bytes);
    }

    /** Removes and returns the datagrams that may be sent now. */
    public take(now: number): readonly Datagram[] {
        this.fill(now);
        const taken: Datagram[] = [];
        for (const [address, datagram] of [...this.places]) {
            if (this.availableBytes <= 0) {
                break;
            }
            if (datagram !== undefined) {
                this.places.delete(address);
                this.places.set(address, undefined);
                taken.push(datagram);
                this.availableBytes -= Buffer.byteLength(datagram.text);
            }
        }
        return taken;
    }

    /** Time at which further datagrams may be sent; Infinity if none waits. */
    public nextAt(now: number): number {
        if ([...this.places.values()].every(datagram => datagram === undefined)) {
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
