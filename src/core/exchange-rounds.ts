/** Selects the peers of each exchange round and tracks, per peer, the changes that both sides have received. */
import { hashNumber } from "./hashes.js";
import type { ConfigurationDigest } from "./configuration-updates.js";
import type { FailureDomainId } from "./failure-domains.js";
import type { MemberId, PeerExchange } from "./mesh-messages.js";
import type { MessagePosition } from "./mesh-exchange.js";
import { bridgeTarget, bridgesOf, neighboursOf } from "./mesh-topology.js";
import type { Member } from "./membership.js";

/** Interval between exchanges with a neighbour, in milliseconds. */
export const roundIntervalMilliseconds = 1_000;
/** Interval between exchanges over a bridge, in milliseconds. */
export const bridgeIntervalMilliseconds = 2_000;
/** Mean interval between attempts to reach an address without a known live member, in milliseconds. */
export const contactIntervalMilliseconds = 3_000;
/** Time-out of an exchange, in milliseconds. */
export const exchangeTimeoutMilliseconds = 2_000;
/** Interval after which a bridge selects another member at its far end, in milliseconds. */
const bridgeEpochMilliseconds = 60_000;
/** Time for which an address is avoided after a failed exchange, in milliseconds. */
const failedAddressAvoidanceMilliseconds = 3_000;
/** Time without an exchange after which the position of an address is removed, in milliseconds. */
const positionExpiryMilliseconds = 180_000;

interface PeerPosition {
    readonly peer: MemberId | undefined;
    readonly failureDomain: FailureDomainId | undefined;
    readonly incarnation: number;
    /** Own change number up to which the peer has received everything. */
    readonly sentThrough: number;
    /** The peer's change number up to which this process has received everything. */
    readonly receivedThrough: number;
    readonly wantedByPeer: readonly number[];
    readonly wanted: readonly number[];
    readonly configuration: ConfigurationDigest | undefined;
    /** Deadline of the exchange in progress. */
    readonly pendingUntil: number | undefined;
    readonly avoidUntil: number;
    readonly usedAt: number;
}

const initialPosition: PeerPosition = {
    peer: undefined,
    failureDomain: undefined,
    incarnation: 0,
    sentThrough: 0,
    receivedThrough: 0,
    wantedByPeer: [],
    wanted: [],
    configuration: undefined,
    pendingUntil: undefined,
    avoidUntil: 0,
    usedAt: 0,
};

/** Input for the selection of a round's peers. */
export interface RoundView {
    readonly self: Member;
    readonly members: readonly Member[];
    /** Addresses of entry instances and seeds, whether or not a member is known there. */
    readonly contacts: readonly string[];
    readonly random: () => number;
}

/** Schedules the exchanges that this process starts, and holds their positions. */
export class ExchangeRounds {
    private readonly positions = new Map<string, PeerPosition>();
    private nextBridgeAt = 0;
    private nextContactAt = 0;

    private constructor() {}

    public static create(): ExchangeRounds {
        return new ExchangeRounds();
    }

    /** Returns the addresses to start an exchange with now. */
    public targets(view: RoundView, now: number): readonly string[] {
        const addresses = [...this.neighbours(view, now)];
        if (now >= this.nextBridgeAt) {
            this.nextBridgeAt = now + bridgeIntervalMilliseconds;
            addresses.push(...this.bridges(view, now));
        }
        if (now >= this.nextContactAt) {
            this.nextContactAt = now + contactIntervalMilliseconds * (0.75 + view.random() / 2);
            addresses.push(...this.addressesWithoutLiveMember(view, now));
        }
        this.removeExpiredPositions(now);
        return [...new Set(addresses)].filter(
            address => address !== view.self.address && !this.isPending(address, now),
        );
    }

    /** Marks an exchange as started, and returns the position after which its request continues. */
    public begin(address: string, now: number): MessagePosition {
        const position = this.positions.get(address) ?? initialPosition;
        const pendingUntil = now + exchangeTimeoutMilliseconds;
        this.positions.set(address, { ...position, pendingUntil, usedAt: now, wanted: [], wantedByPeer: [] });
        return {
            peer: position.peer ?? "",
            failureDomain: position.failureDomain,
            since: position.sentThrough,
            acknowledged: position.receivedThrough,
            acknowledgedIncarnation: position.incarnation,
            wantedByPeer: position.wantedByPeer,
            wanted: position.wanted,
            configuration: position.configuration,
        };
    }

    /** Returns the local time at which the exchange in progress started. */
    public exchangeStartedAt(address: string): number | undefined {
        return this.positions.get(address)?.usedAt;
    }

    /** Records a response; the bodies of `unknownKeys` are requested in the next exchange. */
    public finish(
        address: string,
        request: PeerExchange,
        response: PeerExchange,
        unknownKeys: readonly number[],
        now: number,
    ): void {
        const position = this.positions.get(address) ?? initialPosition;
        const isSameProcess =
            position.peer === response.sender && position.incarnation === response.incarnation;
        // A first request carries all records only if the peer's failure domain was known when it was built; otherwise
        // it carries only the record of this process.
        const wasWhole = position.failureDomain !== undefined && position.sentThrough === 0;
        const isSameDomain = position.failureDomain === response.failureDomain;
        this.positions.set(address, {
            peer: response.sender,
            failureDomain: response.failureDomain,
            incarnation: response.incarnation,
            sentThrough: isSameProcess || (wasWhole && isSameDomain) ? request.change : 0,
            receivedThrough: response.change,
            wantedByPeer: response.wanted,
            wanted: unknownKeys,
            configuration: response.configuration,
            pendingUntil: undefined,
            avoidUntil: 0,
            usedAt: now,
        });
    }

    /** Records a failed exchange; the change numbers are kept, so that changes that may be lost are sent again. */
    public fail(address: string, now: number): void {
        const position = this.positions.get(address) ?? initialPosition;
        const avoidUntil = now + failedAddressAvoidanceMilliseconds;
        this.positions.set(address, { ...position, pendingUntil: undefined, avoidUntil, usedAt: now });
    }

    private neighbours(view: RoundView, now: number): readonly string[] {
        const reachable = view.members.filter(
            member =>
                member.failureDomain === view.self.failureDomain &&
                (member.id === view.self.id || this.isReachable(member, now)),
        );
        return addressesOf(
            neighboursOf(
                view.self.id,
                reachable.map(member => member.id),
            ),
            reachable,
        );
    }

    private bridges(view: RoundView, now: number): readonly string[] {
        const { failureDomain: own, id: self } = view.self;
        const live = view.members.filter(member => member.judged === "live");
        const ownIds = live.filter(member => member.failureDomain === own).map(member => member.id);
        const domains = new Set(view.members.map(member => member.failureDomain));
        domains.delete(own);
        return [...domains].flatMap(domain => {
            if (!bridgesOf(own, domain, ownIds).includes(self)) {
                return [];
            }
            const reachable = view.members.filter(
                member => member.failureDomain === domain && this.isReachable(member, now),
            );
            const epoch = Math.floor(now / bridgeEpochMilliseconds);
            const target = bridgeTarget(
                self,
                reachable.map(member => member.id),
                epoch,
            );
            return target === undefined ? [] : addressesOf([target], reachable);
        });
    }

    /**
     * Selects an address without a known live member, to discover members and heal partitions; up to 3 addresses while
     * this process knows no other live member.
     */
    private addressesWithoutLiveMember(view: RoundView, now: number): readonly string[] {
        const known = new Set(
            view.members.filter(member => isResponsive(member)).map(member => member.address),
        );
        const silent = [...new Set([...view.contacts, ...view.members.map(member => member.address)])].filter(
            address => !known.has(address) && address !== view.self.address,
        );
        const isAlone = known.size <= 1;
        const picked = Math.floor(view.random() * silent.length);
        return isAlone ? this.rotated(silent, picked, now).slice(0, 3) : silent.slice(picked, picked + 1);
    }

    private rotated(addresses: readonly string[], by: number, now: number): readonly string[] {
        const order = [...addresses.slice(by), ...addresses.slice(0, by)];
        return order.filter(address => (this.positions.get(address)?.avoidUntil ?? 0) <= now);
    }

    private isReachable(member: Member, now: number): boolean {
        return isResponsive(member) && (this.positions.get(member.address)?.avoidUntil ?? 0) <= now;
    }

    private isPending(address: string, now: number): boolean {
        const pendingUntil = this.positions.get(address)?.pendingUntil;
        return pendingUntil !== undefined && now < pendingUntil;
    }

    private removeExpiredPositions(now: number): void {
        for (const [address, position] of this.positions) {
            if (now - position.usedAt >= positionExpiryMilliseconds) {
                this.positions.delete(address);
            }
        }
    }
}

function isResponsive(member: Member): boolean {
    return member.judged === "live" || member.judged === "suspect" || member.judged === "leaving";
}

function addressesOf(ids: readonly string[], members: readonly Member[]): readonly string[] {
    return ids.flatMap(id => members.find(member => member.id === id)?.address ?? []);
}

/**
 * Returns the delay of a process's first round in milliseconds, so that processes started together do not synchronize.
 */
export function firstRoundDelayMilliseconds(id: string): number {
    return hashNumber(`round/${id}`) % roundIntervalMilliseconds;
}
