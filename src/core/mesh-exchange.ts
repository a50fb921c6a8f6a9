/**
 * Builds the messages that a process exchanges with its peers and applies those that it receives. The request and the
 * response of an exchange carry the changes since the last exchange with the same peer. The initiator keeps the
 * positions of both sides, so a lost response only causes changes to be sent again.
 */
import type { ConfigurationChange, ConfigurationDigest } from "./configuration-updates.js";
import type { ConfigurationFollower } from "./configuration-follower.js";
import type { FailureDomainId } from "./failure-domains.js";
import { hashNumber } from "./hashes.js";
import type { HealthTable } from "./health-table.js";
import { endpointExpiryMilliseconds } from "./health-table.js";
import type {
    EndpointBody,
    MemberBody,
    MemberId,
    PeerExchange,
    SentHeartbeat,
    SentRecord,
} from "./mesh-messages.js";
import type { Heartbeat, HeartbeatRecord } from "./heartbeat-table.js";
import { contactsOf } from "./mesh-topology.js";
import type { PlacementTable, Usage, UsageTable } from "./mesh-values.js";
import type { Membership } from "./membership.js";

/** Maximum number of endpoints of other failure domains whose health a failure domain tracks. */
export const maximumForeignEndpoints = 256;
/** Maximum size of the mesh, in members, at which usage of single processes crosses failure domains. */
export const maximumMembersForForeignUsage = 24;

/** Tables that exchanges read and update. */
export interface ExchangeTables {
    readonly self: MemberId;
    readonly failureDomain: FailureDomainId;
    readonly membership: Membership;
    readonly health: HealthTable;
    readonly usages: UsageTable;
    readonly crashEvidence: UsageTable;
    readonly placements: PlacementTable;
    readonly configuration: ConfigurationFollower;
    /** Returns the current change number. */
    readonly change: () => number;
    /** Returns the local time at which the configuration was last confirmed; undefined if never. */
    readonly confirmedAt: () => number | undefined;
    readonly confirm: (at: number) => void;
    /** Counts the endpoints in the instance list outside a failure domain. */
    readonly endpointsOutside: (failureDomain: FailureDomainId) => number;
}

/** Receiver of a message, and the change numbers after which the message continues. */
export interface MessagePosition {
    readonly peer: MemberId;
    readonly failureDomain: FailureDomainId | undefined;
    readonly since: number;
    readonly acknowledged: number;
    readonly acknowledgedIncarnation: number;
    /** Heartbeat keys whose bodies the peer requests (`wantedByPeer`) and this process requests (`wanted`). */
    readonly wantedByPeer: readonly number[];
    readonly wanted: readonly number[];
    /** The peer's last received configuration digest. */
    readonly configuration: ConfigurationDigest | undefined;
}

/** Effects of applying a message; `unknownKeys` are heartbeat keys without a held body. */
export interface ExchangeEffects {
    readonly unknownKeys: readonly number[];
    readonly configuration: ConfigurationChange | undefined;
    readonly endpointsChanged: boolean;
    readonly usagesChanged: boolean;
    readonly crashEvidenceChanged: boolean;
    readonly placementsChanged: boolean;
}

function toSent<Body>(record: HeartbeatRecord<Body>, now: number): SentRecord<Body> {
    const { lastSeenAt, ...rest } = record;
    return { ...rest, ageMilliseconds: Math.max(0, now - lastSeenAt) };
}

function fromSent<Body>(sent: SentRecord<Body>, now: number): HeartbeatRecord<Body> {
    const { ageMilliseconds, ...rest } = sent;
    return { ...rest, lastSeenAt: now - ageMilliseconds };
}

function toSentHeartbeat(pulse: Heartbeat, now: number): SentHeartbeat {
    const { lastSeenAt, ...rest } = pulse;
    return { ...rest, ageMilliseconds: Math.max(0, now - lastSeenAt) };
}

function fromSentHeartbeat(sent: SentHeartbeat, now: number): Heartbeat {
    const { ageMilliseconds, ...rest } = sent;
    return { ...rest, lastSeenAt: now - ageMilliseconds };
}

/** Builds the message for a peer with the changes after its position. */
export function buildMessage(tables: ExchangeTables, position: MessagePosition, now: number): PeerExchange {
    const { peer, since } = position;
    const select = createSelectors(tables, position, now);
    const members = tables.membership.table.changesSince(since, peer, select.member);
    const endpoints = tables.health.endpoints.changesSince(since, peer, select.endpoint);
    const wantedMembers = tables.membership.table.recordsOf(position.wantedByPeer);
    const wantedEndpoints = tables.health.endpoints.recordsOf(position.wantedByPeer);
    const confirmedAt = tables.confirmedAt();
    return {
        sender: tables.self,
        incarnation: tables.membership.ownIncarnation,
        failureDomain: tables.failureDomain,
        change: tables.change(),
        acknowledged: position.acknowledged,
        acknowledgedIncarnation: position.acknowledgedIncarnation,
        members: [...wantedMembers, ...members.records].map(record => toSent(record, now)),
        endpoints: [...wantedEndpoints, ...endpoints.records].map(record => toSent(record, now)),
        memberPulses: members.pulses.map(pulse => toSentHeartbeat(pulse, now)),
        endpointPulses: endpoints.pulses.map(pulse => toSentHeartbeat(pulse, now)),
        wanted: position.wanted,
        configuration: tables.configuration.digest,
        confirmedAgeMilliseconds: confirmedAt === undefined ? undefined : Math.max(0, now - confirmedAt),
        configurationUpdate: position.configuration && tables.configuration.updateFor(position.configuration),
        placements: tables.placements.changesSince(since),
        leavings: tables.health.leavingsSince(since, now),
        usages: tables.usages.changesSince(since, peer, now, select.usage),
        crashEvidence: tables.crashEvidence.changesSince(since, peer, now, select.crashEvidence),
    };
}

interface Selectors {
    readonly member: (record: HeartbeatRecord<MemberBody>) => boolean;
    readonly endpoint: (record: HeartbeatRecord<EndpointBody>) => boolean;
    readonly usage: (usage: Usage) => boolean;
    readonly crashEvidence: (evidence: Usage) => boolean;
}

/**
 * Selects what a message carries: everything within the failure domain; over a bridge to another one, only what the own
 * failure domain observed itself; to a peer whose failure domain is not yet known, only the record of this process.
 */
function createSelectors(tables: ExchangeTables, position: MessagePosition, now: number): Selectors {
    const { failureDomain: target } = position;
    if (target === undefined) {
        return {
            member: record => record.id === tables.self,
            endpoint: () => false,
            usage: () => false,
            crashEvidence: () => false,
        };
    }
    if (target === tables.failureDomain) {
        return { member: () => true, endpoint: () => true, usage: () => true, crashEvidence: () => true };
    }
    const own = tables.failureDomain;
    const contacts = new Set(contactsOf(own, tables.membership.liveIn(own, now)));
    const fraction = maximumForeignEndpoints / Math.max(1, tables.endpointsOutside(target));
    const carriesUsage = tables.membership.table.size <= maximumMembersForForeignUsage;
    return {
        member: record =>
            record.home === own &&
            (contacts.has(record.id) || record.id === tables.self || record.body.state === "left"),
        endpoint: record => record.home === own && carriesEndpoint(record, target, fraction),
        usage: usage => usage.home === own && carriesUsage,
        crashEvidence: evidence => evidence.home === own,
    };
}

/**
 * Limits foreign endpoints in a large mesh: a failure domain tracks only some foreign groups, each with all members.
 */
function carriesEndpoint(record: HeartbeatRecord<EndpointBody>, target: string, fraction: number): boolean {
    if (fraction >= 1) {
        return true;
    }
    const { group } = record.body;
    return group !== undefined && hashNumber(`${target}\u0000${group}`) < fraction * 2 ** 32;
}

/** Applies a peer's message to the tables. */
export function applyMessage(tables: ExchangeTables, message: PeerExchange, now: number): ExchangeEffects {
    const { sender } = message;
    for (const sent of message.members) {
        tables.membership.accept(fromSent(sent, now), sender, now);
    }
    const acceptedEndpoints = message.endpoints.filter(sent => applyEndpoint(tables, sent, sender, now));
    const memberKeys = message.memberPulses.filter(
        sent => tables.membership.acceptHeartbeat(fromSentHeartbeat(sent, now), sender) === "unknown",
    );
    const outcomes = message.endpointPulses.map(sent =>
        tables.health.endpoints.acceptHeartbeat(fromSentHeartbeat(sent, now), sender),
    );
    const endpointKeys = message.endpointPulses.filter((_, index) => outcomes[index] === "unknown");
    for (const leaving of message.leavings) {
        tables.health.acceptLeaving(leaving, now);
    }
    const acceptedUsages = message.usages.filter(({ ageMilliseconds, ...usage }) =>
        tables.usages.accept({ ...usage, publishedAt: now - ageMilliseconds }, now),
    );
    const acceptedEvidence = message.crashEvidence.filter(({ ageMilliseconds, ...evidence }) =>
        tables.crashEvidence.accept({ ...evidence, publishedAt: now - ageMilliseconds }, now),
    );
    const acceptedPlacements = message.placements.filter(entry => tables.placements.accept(entry));
    return {
        unknownKeys: [...memberKeys, ...endpointKeys].map(sent => sent.key),
        configuration: applyConfiguration(tables, message, now),
        endpointsChanged:
            acceptedEndpoints.length > 0 || outcomes.includes("taken") || message.leavings.length > 0,
        usagesChanged: acceptedUsages.length > 0,
        crashEvidenceChanged: acceptedEvidence.length > 0,
        placementsChanged: acceptedPlacements.length > 0,
    };
}

function applyEndpoint(
    tables: ExchangeTables,
    sent: SentRecord<EndpointBody>,
    source: MemberId,
    now: number,
): boolean {
    if (sent.ageMilliseconds >= endpointExpiryMilliseconds) {
        return false;
    }
    return tables.health.endpoints.accept(fromSent(sent, now), source);
}

function applyConfiguration(
    tables: ExchangeTables,
    message: PeerExchange,
    now: number,
): ConfigurationChange | undefined {
    const { configuration } = tables;
    const update = message.configurationUpdate;
    const change = update === undefined ? undefined : configuration.applyUpdate(update);
    configuration.applyDigest(message.configuration);
    const age = message.confirmedAgeMilliseconds;
    const own = configuration.digest;
    if (age !== undefined && own.revision > 0 && own.hash === message.configuration.hash) {
        tables.confirm(now - age);
    }
    return change;
}
