/** Fast non-cryptographic hashes, and rendezvous hashing on them. */
import xxhash from "xxhash-wasm";
import { rankByWeight } from "./rendezvous.js";

const hasher = await xxhash();

/** XXH64 of a text, as 16 hexadecimal digits. */
export function hashText(text: string): string {
    return hasher.h64ToString(text);
}

/** XXH32 of a text, as an unsigned number. */
export function hashNumber(text: string): number {
    return hasher.h32(text) >>> 0;
}

/** Orders candidates by their rendezvous weight for a key, the highest first. */
export function rankByRendezvous(key: string, candidates: readonly string[]): readonly string[] {
    return rankByWeight(candidates, candidate => hashNumber(`${key}\u0000${candidate}`));
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
