/**
 * The entry instances that issue permits, as one of them sees it: those that said so recently. Covers entry instances that
 * start, stop, freeze or are cut off; views differ for a moment after each of these.
 */
import { hashIdentity } from "../core/identity-hashes.js";
import { rankByWeight } from "../core/rendezvous.js";
import type { IssuerRole } from "./permit-issuer.js";

/** Number of entry instances that issue permits for one replica. */
export const issuersPerReplica = 3;

/** Part of their share that entry instances issue that hear at most half of the registered ones. */
const minorityFraction = 1 / 4;

export interface PermitMembersOptions {
    /** Name of this entry instance. */
    readonly name: string;
    /** Time after which a silent entry instance no longer counts, in milliseconds. */
    readonly expiryMilliseconds: () => number;
    /** Number of entry instances that share the replicas, whether or not they are heard. */
    readonly registeredCount: () => number;
}

export class PermitMembers {
    private readonly heardAt = new Map<string, number>();
    /** Sorted. */
    private current: readonly string[] = [];
    private previous: readonly string[] = [];
    /** Order of `current` by replica. */
    private readonly orders = new Map<string, readonly string[]>();
    /** Local monotonic milliseconds. */
    private changedAt = Number.NEGATIVE_INFINITY;
    /** Local monotonic milliseconds since which this entry instance knows the others; undefined before, and while it stops. */
    private issuingSince: number | undefined;

    private constructor(private readonly options: PermitMembersOptions) {}

    public static create(options: PermitMembersOptions): PermitMembers {
        return new PermitMembers(options);
    }

    /** True if this entry instance issues permits: it has known the others for long enough to have heard of them. */
    public isIssuing(now: number): boolean {
        return (
            this.issuingSince !== undefined && now - this.issuingSince >= this.options.expiryMilliseconds()
        );
    }

    /** Records whether this entry instance knows the others and goes on. */
    public setAvailable(isAvailable: boolean, now: number): void {
        this.issuingSince = isAvailable ? (this.issuingSince ?? now) : undefined;
    }

    /** Records what another entry instance states of itself. */
    public record(name: string, isIssuing: boolean, now: number): void {
        if (isIssuing) {
            this.heardAt.set(name, now);
        } else {
            this.heardAt.delete(name);
        }
    }

    /** Returns the issuers for a replica in the order in which they are asked. */
    public issuersOf(replica: string, now: number): readonly string[] {
        this.update(now);
        const order = this.orders.get(replica) ?? orderFor(replica, this.current);
        this.orders.set(replica, order);
        return order;
    }

    /** Returns what this entry instance is among the issuers for a replica; undefined if it issues no permits. */
    public roleFor(replica: string, now: number): IssuerRole | undefined {
        const rank = this.issuersOf(replica, now).indexOf(this.options.name);
        if (rank < 0 || rank >= issuersPerReplica) {
            return undefined;
        }
        const isRecent = now - this.changedAt < this.options.expiryMilliseconds();
        const isHandover =
            rank === 0 && isRecent && orderFor(replica, this.previous)[0] !== this.options.name;
        return { rank, isHandover, strictFraction: this.strictFraction() };
    }

    /**
     * Fraction of the rate of strict questions that this entry instance issues as the first issuer: all of it while it hears
     * most of the registered ones, of which only one side of a partition can be; else a part of its side's share.
     */
    private strictFraction(): number {
        const heardFraction = this.current.length / Math.max(1, this.options.registeredCount());
        return heardFraction > 1 / 2 ? 1 : heardFraction * minorityFraction;
    }

    private update(now: number): void {
        const expiry = this.options.expiryMilliseconds();
        for (const [name, at] of this.heardAt) {
            if (now - at > expiry) {
                this.heardAt.delete(name);
            }
        }
        const own = this.isIssuing(now) ? [this.options.name] : [];
        const names = [...new Set([...own, ...this.heardAt.keys()])].sort();
        if (names.length !== this.current.length || names.some((name, at) => name !== this.current[at])) {
            const isLasting = now - this.changedAt >= expiry;
            // Changes in quick succession are compared with the last view that lasted.
            this.previous = isLasting ? this.current : this.previous;
            this.current = names;
            this.orders.clear();
            this.changedAt = now;
        }
    }
}

function orderFor(replica: string, names: readonly string[]): readonly string[] {
    return rankByWeight(names, name => Number.parseInt(hashIdentity([replica, name]), 16));
}
