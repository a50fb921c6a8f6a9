/** Hashes that identify requests; no caller can make a request that is taken for another caller's. */
import { createHash } from "node:crypto";

/** Length of the hash, in hexadecimal digits. */
const identityLength = 16;

/** Start of the SHA-256 of the parts of an identity and a body. */
export function hashIdentity(
    parts: readonly (string | number | undefined)[],
    body: Uint8Array | string = "",
): string {
    const hash = createHash("sha256").update(JSON.stringify(parts)).update(body);
    return hash.digest("hex").slice(0, identityLength);
}
