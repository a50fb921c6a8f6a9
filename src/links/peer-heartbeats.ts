/**
 * Heartbeats as protobuf columns: keys of six bytes, sequence numbers whose lowest bit is the failed flag, and loads only
 * if any of them is above zero.
 */
import { create } from "@bufbuild/protobuf";
import type { SentHeartbeat } from "../core/mesh-messages.js";
import * as wire from "../generated/peers_pb.js";

const bytesPerKey = 6;
/** Unit of ages on the wire. */
const ageUnitMilliseconds = 10;

/** Encodes 48-bit keys as six bytes each, big-endian. */
export function encodeKeys(keys: readonly number[]): Uint8Array {
    const bytes = Buffer.alloc(keys.length * bytesPerKey);
    keys.forEach((key, index) => bytes.writeUIntBE(key, index * bytesPerKey, bytesPerKey));
    return bytes;
}

/** Decodes 48-bit keys; an incomplete key at the end is dropped. */
export function decodeKeys(bytes: Uint8Array): readonly number[] {
    const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
    const count = Math.floor(buffer.length / bytesPerKey);
    return Array.from({ length: count }, (_, index) => buffer.readUIntBE(index * bytesPerKey, bytesPerKey));
}

export function encodeHeartbeats(heartbeats: readonly SentHeartbeat[]): wire.Pulses | undefined {
    if (heartbeats.length === 0) {
        return undefined;
    }
    const hasLoad = heartbeats.some(heartbeat => heartbeat.load.running > 0 || heartbeat.load.waiting > 0);
    return create(wire.PulsesSchema, {
        keys: encodeKeys(heartbeats.map(heartbeat => heartbeat.key)),
        sequences: heartbeats.map(
            heartbeat => BigInt(heartbeat.sequence) * 2n + (heartbeat.failed ? 1n : 0n),
        ),
        running: hasLoad ? heartbeats.map(heartbeat => heartbeat.load.running) : [],
        waiting: hasLoad ? heartbeats.map(heartbeat => heartbeat.load.waiting) : [],
        ages: heartbeats.map(heartbeat => Math.ceil(heartbeat.ageMilliseconds / ageUnitMilliseconds)),
    });
}

/** Decodes heartbeats; one without a sequence number or an age is dropped. */
export function decodeHeartbeats(heartbeats: wire.Pulses | undefined): readonly SentHeartbeat[] {
    if (heartbeats === undefined) {
        return [];
    }
    const { sequences, running, waiting, ages } = heartbeats;
    return decodeKeys(heartbeats.keys).flatMap((key, index) => {
        const sequence = sequences[index];
        const age = ages[index];
        if (sequence === undefined || age === undefined) {
            return [];
        }
        return {
            key,
            sequence: Number(sequence / 2n),
            failed: sequence % 2n === 1n,
            load: { running: running[index] ?? 0, waiting: waiting[index] ?? 0 },
            ageMilliseconds: age * ageUnitMilliseconds,
        };
    });
}
