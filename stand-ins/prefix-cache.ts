/** Prefix cache with a limited number of blocks, whose events are published late and with gaps. */

const maximumEvents = 10_000;

/** A change of the cache; `visibleAt` is when readers can see it (local monotonic milliseconds). */
interface PublishedEvent {
    readonly sequence: number;
    readonly kind: "stored" | "evicted" | "cleared";
    readonly block: string;
    readonly visibleAt: number;
}

/** Limits and event faults of one cache. */
export interface PrefixCacheOptions {
    readonly maximumBlocks: number;
    readonly eventLagMilliseconds: number;
    /** Fraction of the events that is never published. */
    readonly lostEventFraction: number;
    readonly random: () => number;
}

/** Prefix cache of one engine instance with least-recently-used eviction. */
export class PrefixCache {
    private readonly options: PrefixCacheOptions;
    private readonly blocks = new Set<string>();
    private events: PublishedEvent[] = [];
    private sequence = 0;

    private constructor(options: PrefixCacheOptions) {
        this.options = options;
    }

    public static create(options: PrefixCacheOptions): PrefixCache {
        return new PrefixCache(options);
    }

    /** Caches a prompt's blocks; returns the number of leading blocks that were cached already. */
    public addBlocks(blocks: readonly string[], now: number): number {
        const missing = blocks.findIndex(block => !this.blocks.has(block));
        const hits = missing === -1 ? blocks.length : missing;
        blocks.forEach(block => this.store(block, now));
        return hits;
    }

    public clear(now: number): void {
        this.blocks.clear();
        this.publish("cleared", "", now);
    }

    public eventsAfter(sequence: number, now: number): readonly PublishedEvent[] {
        return this.events.filter(event => event.sequence > sequence && event.visibleAt <= now);
    }

    private store(block: string, now: number): void {
        if (!this.blocks.delete(block)) {
            this.publish("stored", block, now);
        }
        this.blocks.add(block);
        const [oldest] = this.blocks;
        if (oldest !== undefined && this.blocks.size > this.options.maximumBlocks) {
            this.blocks.delete(oldest);
            this.publish("evicted", oldest, now);
        }
    }

    private publish(kind: PublishedEvent["kind"], block: string, now: number): void {
        this.sequence += 1;
        if (this.options.random() >= this.options.lostEventFraction) {
            const visibleAt = now + this.options.eventLagMilliseconds;
            this.events.push({ sequence: this.sequence, kind, block, visibleAt });
        }
        if (this.events.length > maximumEvents) {
            this.events = this.events.slice(-maximumEvents / 2);
        }
    }
}
