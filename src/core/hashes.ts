/** Fast non-cryptographic hashes, rendezvous hashing on them, and hashes that callers cannot forge. */
import { createHash } from "node:crypto";
import xxhash from "xxhash-wasm";

const hasher = await xxhash();

/** XXH64 of a text, as 16 hexadecimal digits. */
export function hashText(text: string): string {
    return hasher.h64ToString(text);
}

/** Length of the hash of an identity, in hexadecimal digits. */
const identityLength = 16;

/** Start of the SHA-256 of parts and a body: no caller can make a request that is taken for another caller's. */
export function hashIdentity(
    parts: readonly (string | number | undefined)[],
    body: Uint8Array | string = "",
): string {
    const hash = createHash("sha256").update(JSON.stringify(parts)).update(body);
    return hash.digest("hex").slice(0, identityLength);
}

/** XXH32 of a text, as an unsigned number. */
export function hashNumber(text: string): number {
    return hasher.h32(text) >>> 0;
}

/** Orders candidates by their rendezvous weight for a key, the highest first. */
export function rankByRendezvous(key: string, candidates: readonly string[]): readonly string[] {
    const weighted = candidates.map(candidate => ({
        candidate,
        weight: hashNumber(`${key}\u0000${candidate}`),
    }));
    weighted.sort((left, right) => right.weight - left.weight || (left.candidate < right.candidate ? -1 : 1));
    return weighted.map(entry => entry.candidate);
}

/** An incremental XXH64; `digest` may be called at any point. */
export interface TextHash {
    /** Adds UTF-8 bytes. */
    readonly update: (bytes: Uint8Array) => void;
    /** Returns the hash so far, as 16 hexadecimal digits. */
    readonly digest: () => string;
}

/** Creates an incremental XXH64 of a text that is supplied in chunks of UTF-8. */
export function createTextHash(): TextHash {
    const hash = hasher.create64();
    return {
        update: bytes => {
            hash.update(bytes);
        },
        digest: () => hash.digest().toString(16).padStart(16, "0"),
    };
}
