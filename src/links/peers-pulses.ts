/** Pulses as columns: keys of six bytes, sequences with the failed bit, loads only where there are any. */
import { create } from "@bufbuild/protobuf";
import type { SentPulse } from "../core/membership-messages.js";
import * as wire from "../generated/peers_pb.js";

const bytesPerKey = 6;
/** Unit of ages on the wire, in milliseconds. */
const ageUnitMilliseconds = 10;

/** Writes keys of 48 bits. */
export function encodeKeys(keys: readonly number[]): Uint8Array {
    const bytes = Buffer.alloc(keys.length * bytesPerKey);
    keys.forEach((key, index) => bytes.writeUIntBE(key, index * bytesPerKey, bytesPerKey));
    return bytes;
}

/** Reads keys of 48 bits; a part of a key at the end is dropped. */
export function decodeKeys(bytes: Uint8Array): readonly number[] {
    const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
    const count = Math.floor(buffer.length / bytesPerKey);
    return Array.from({ length: count }, (_, index) => buffer.readUIntBE(index * bytesPerKey, bytesPerKey));
}

export function encodePulses(pulses: readonly SentPulse[]): wire.Pulses | undefined {
    if (pulses.length === 0) {
        return undefined;
    }
    const hasLoad = pulses.some(pulse => pulse.load.running > 0 || pulse.load.waiting > 0);
    return create(wire.PulsesSchema, {
        keys: encodeKeys(pulses.map(pulse => pulse.key)),
        sequences: pulses.map(pulse => BigInt(pulse.sequence) * 2n + (pulse.failed ? 1n : 0n)),
        running: hasLoad ? pulses.map(pulse => pulse.load.running) : [],
        waiting: hasLoad ? pulses.map(pulse => pulse.load.waiting) : [],
        ages: pulses.map(pulse => Math.ceil(pulse.ageMilliseconds / ageUnitMilliseconds)),
    });
}

/** Reads pulses; a pulse without sequence or age is dropped. */
export function decodePulses(pulses: wire.Pulses | undefined): readonly SentPulse[] {
    if (pulses === undefined) {
        return [];
    }
    const { sequences, running, waiting, ages } = pulses;
    return decodeKeys(pulses.keys).flatMap((key, index) => {
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
