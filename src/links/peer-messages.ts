/** Protobuf encoding of gossip exchanges between peers. */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import type { ConfigurationUpdate } from "../core/configuration-updates.js";
import type { Result } from "../core/errors.js";
import { fail, succeed } from "../core/errors.js";
import type { EngineState } from "../core/endpoints.js";
import type {
    EndpointBody,
    MemberBody,
    MemberDeclaration,
    MemberRole,
    PeerExchange,
    SentRecord,
} from "../core/mesh-messages.js";
import type { SentUsage } from "../core/mesh-messages.js";
import * as wire from "../generated/peers_pb.js";
import { decodeKeys, decodeHeartbeats, encodeKeys, encodeHeartbeats } from "./peer-heartbeats.js";

const roles: Readonly<Record<MemberRole, wire.Role>> = {
    entry: wire.Role.ENTRY,
    placer: wire.Role.PLACER,
};

const declarations: Readonly<Record<MemberDeclaration, wire.Declaration>> = {
    live: wire.Declaration.LIVE,
    leaving: wire.Declaration.LEAVING,
    left: wire.Declaration.LEFT,
};

const engineStates: Readonly<Record<EngineState, wire.EngineState>> = {
    idle: wire.EngineState.IDLE,
    loading: wire.EngineState.LOADING,
    ready: wire.EngineState.READY,
    serving: wire.EngineState.SERVING,
    draining: wire.EngineState.DRAINING,
};

function findNameByValue<Name extends string>(
    table: Readonly<Record<Name, number>>,
    value: number,
): Name | undefined {
    return (Object.keys(table) as Name[]).find(name => table[name] === value);
}

function toWholeMilliseconds(milliseconds: number): bigint {
    return BigInt(Math.ceil(milliseconds));
}

function encodeEvidence(record: SentRecord<unknown>): wire.Evidence {
    return create(wire.EvidenceSchema, {
        id: record.id,
        home: record.home,
        incarnation: BigInt(record.incarnation),
        sequence: BigInt(record.sequence),
        failed: record.failed,
        running: record.load.running,
        waiting: record.load.waiting,
        age: toWholeMilliseconds(record.ageMilliseconds),
    });
}

function decodeEvidence<Body>(evidence: wire.Evidence, body: Body): SentRecord<Body> {
    return {
        id: evidence.id,
        home: evidence.home,
        incarnation: Number(evidence.incarnation),
        sequence: Number(evidence.sequence),
        failed: evidence.failed,
        body,
        load: { running: evidence.running, waiting: evidence.waiting },
        ageMilliseconds: Number(evidence.age),
    };
}

function encodeMember(record: SentRecord<MemberBody>): wire.Member {
    const { address, failureDomain, instance, role, state } = record.body;
    return create(wire.MemberSchema, {
        evidence: encodeEvidence(record),
        address,
        failureDomain,
        instance,
        role: roles[role],
        declaration: declarations[state],
    });
}

/** Decodes a member; one with a role or state that is unknown to this version is skipped. */
function decodeMember(member: wire.Member): readonly SentRecord<MemberBody>[] {
    const { evidence, address, failureDomain, instance } = member;
    const role = findNameByValue(roles, member.role);
    const state = findNameByValue(declarations, member.declaration);
    if (evidence === undefined || role === undefined || state === undefined) {
        return [];
    }
    return [decodeEvidence(evidence, { address, failureDomain, instance, role, state })];
}

function encodeEndpoint(record: SentRecord<EndpointBody>): wire.Endpoint {
    const { state, group, epoch, leaving, slots, warm } = record.body;
    return create(wire.EndpointSchema, {
        evidence: encodeEvidence(record),
        state: engineStates[state],
        group,
        epoch: BigInt(epoch),
        leaving,
        slots,
        warm: warm.map(({ model, version }) => ({ model, version })),
    });
}

function decodeEndpoint(endpoint: wire.Endpoint): readonly SentRecord<EndpointBody>[] {
    const { evidence, group, leaving, slots } = endpoint;
    const state = findNameByValue(engineStates, endpoint.state);
    if (evidence === undefined || state === undefined) {
        return [];
    }
    const warm = endpoint.warm.map(({ model, version }) => ({ model, version }));
    return [decodeEvidence(evidence, { state, group, epoch: Number(endpoint.epoch), leaving, slots, warm })];
}

function encodeUpdate(update: ConfigurationUpdate): wire.ConfigurationUpdate {
    return create(wire.ConfigurationUpdateSchema, {
        from: BigInt(update.from),
        revision: BigInt(update.revision),
        entries: update.entries.map(entry => ({
            path: entry.path,
            text: entry.text,
            modRevision: BigInt(entry.modRevision),
            createRevision: BigInt(entry.createRevision),
            standingText: entry.standing?.text,
            standingRevision: BigInt(entry.standing?.modRevision ?? 0),
        })),
        deletions: update.deletions.map(({ path, revision }) => ({ path, revision: BigInt(revision) })),
    });
}

function decodeUpdate(update: wire.ConfigurationUpdate): ConfigurationUpdate {
    return {
        from: Number(update.from),
        revision: Number(update.revision),
        entries: update.entries.map(entry => ({
            path: entry.path,
            text: entry.text,
            modRevision: Number(entry.modRevision),
            createRevision: Number(entry.createRevision),
            standing:
                entry.standingText === undefined
                    ? undefined
                    : { text: entry.standingText, modRevision: Number(entry.standingRevision) },
        })),
        deletions: update.deletions.map(({ path, revision }) => ({ path, revision: Number(revision) })),
    };
}

function toWire(exchange: PeerExchange): wire.Exchange {
    const { configuration, confirmedAgeMilliseconds: age, configurationUpdate: update } = exchange;
    return create(wire.ExchangeSchema, {
        sender: exchange.sender,
        incarnation: BigInt(exchange.incarnation),
        failureDomain: exchange.failureDomain,
        change: BigInt(exchange.change),
        acknowledged: BigInt(exchange.acknowledged),
        acknowledgedIncarnation: BigInt(exchange.acknowledgedIncarnation),
        members: exchange.members.map(encodeMember),
        endpoints: exchange.endpoints.map(encodeEndpoint),
        memberPulses: encodeHeartbeats(exchange.memberPulses),
        endpointPulses: encodeHeartbeats(exchange.endpointPulses),
        wanted: encodeKeys(exchange.wanted),
        configuration: { ...configuration, revision: BigInt(configuration.revision) },
        confirmedAge: age === undefined ? undefined : toWholeMilliseconds(age),
        configurationUpdate: update && encodeUpdate(update),
        placements: exchange.placements.map(entry => ({ ...entry, modRevision: BigInt(entry.modRevision) })),
        leavings: exchange.leavings.map(({ instance, incarnation, ageMilliseconds }) => ({
            instance,
            incarnation: BigInt(incarnation),
            age: toWholeMilliseconds(ageMilliseconds),
        })),
        usages: exchange.usages.map(encodeUsage),
        crashEvidence: exchange.crashEvidence.map(encodeUsage),
    });
}

function fromWire(message: wire.Exchange): PeerExchange {
    const { configuration, confirmedAge, configurationUpdate } = message;
    return {
        sender: message.sender,
        incarnation: Number(message.incarnation),
        failureDomain: message.failureDomain,
        change: Number(message.change),
        acknowledged: Number(message.acknowledged),
        acknowledgedIncarnation: Number(message.acknowledgedIncarnation),
        members: message.members.flatMap(decodeMember),
        endpoints: message.endpoints.flatMap(decodeEndpoint),
        memberPulses: decodeHeartbeats(message.memberPulses),
        endpointPulses: decodeHeartbeats(message.endpointPulses),
        wanted: decodeKeys(message.wanted),
        configuration: {
            revision: Number(configuration?.revision ?? 0n),
            hash: configuration?.hash ?? "",
            standingHash: configuration?.standingHash ?? "",
        },
        confirmedAgeMilliseconds: confirmedAge === undefined ? undefined : Number(confirmedAge),
        configurationUpdate: configurationUpdate && decodeUpdate(configurationUpdate),
        placements: message.placements.map(({ key, modRevision, text }) => ({
            key,
            modRevision: Number(modRevision),
            text,
        })),
        leavings: message.leavings.map(({ instance, incarnation, age }) => ({
            instance,
            incarnation: Number(incarnation),
            ageMilliseconds: Number(age),
        })),
        usages: message.usages.map(decodeUsage),
        crashEvidence: message.crashEvidence.map(decodeUsage),
    };
}

export function encodeExchange(exchange: PeerExchange): Uint8Array {
    return toBinary(wire.ExchangeSchema, toWire(exchange));
}

/** Decodes an exchange; invalid bytes give a fault. */
export function decodeExchange(bytes: Uint8Array): Result<PeerExchange> {
    try {
        return succeed(fromWire(fromBinary(wire.ExchangeSchema, bytes)));
    } catch {
        const message = "the message of a peer is not a valid exchange";
        return fail({ code: "invalidRequest", message, step: "gossip", notRun: true });
    }
}

function encodeUsage(usage: SentUsage) {
    return {
        process: usage.process,
        home: usage.home,
        incarnation: BigInt(usage.incarnation),
        sequence: BigInt(usage.sequence),
        payload: usage.payload,
        age: toWholeMilliseconds(usage.ageMilliseconds),
    };
}

function decodeUsage(usage: wire.Usage): SentUsage {
    return {
        process: usage.process,
        home: usage.home,
        incarnation: Number(usage.incarnation),
        sequence: Number(usage.sequence),
        payload: usage.payload,
        ageMilliseconds: Number(usage.age),
    };
}
