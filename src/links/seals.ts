/**
 * Authenticated encryption ("sealing") by AES-256-GCM. A sealed text is `<key id>.<base64url of nonce, tag and
 * ciphertext>`, with the key id as authenticated data. Keys can be rotated: the first key seals, every key opens.
 */
import { createCipheriv, createDecipheriv, randomBytes } from "node:crypto";
import type { OpenSeal, Seal } from "../core/resume-tokens.js";

const nonceBytes = 12;
const tagBytes = 16;
const secretBytes = 32;

/** One key. The secret must never be logged. */
export interface SealKey {
    /** Letters, digits, "-" and "_" only. */
    readonly id: string;
    /** Key of AES-256: 32 bytes. */
    readonly secret: Uint8Array;
}

/** Functions that seal and open texts with one set of keys. */
export interface Seals {
    readonly seal: Seal;
    readonly open: OpenSeal;
}

/** Creates seals from keys, the current key first; throws a RangeError for unusable keys. */
export function createSeals(keys: readonly SealKey[]): Seals {
    const [currentKey] = keys;
    if (currentKey === undefined) {
        throw new RangeError("no seal key is configured; at least one is needed");
    }
    for (const key of keys) {
        if (key.secret.length !== secretBytes || !/^[\w-]+$/.test(key.id)) {
            throw new RangeError(
                `seal key "${key.id}" must have an id of letters, digits, "-" and "_", and a secret of ${secretBytes} bytes`,
            );
        }
    }
    return {
        seal: text => sealWith(currentKey, text),
        open: sealed => openWith(keys, sealed),
    };
}

function sealWith(key: SealKey, text: string): string {
    const nonce = randomBytes(nonceBytes);
    const cipher = createCipheriv("aes-256-gcm", key.secret, nonce);
    cipher.setAAD(Buffer.from(key.id));
    const ciphertext = Buffer.concat([cipher.update(text, "utf8"), cipher.final()]);
    const sealed = Buffer.concat([nonce, cipher.getAuthTag(), ciphertext]);
    return `${key.id}.${sealed.toString("base64url")}`;
}

function openWith(keys: readonly SealKey[], sealed: string): string | undefined {
    const separator = sealed.indexOf(".");
    const key = keys.find(candidate => candidate.id === sealed.slice(0, separator));
    const bytes = Buffer.from(sealed.slice(separator + 1), "base64url");
    if (separator < 0 || key === undefined || bytes.length < nonceBytes + tagBytes) {
        return undefined;
    }
    try {
        return decrypt(key, bytes);
    } catch {
        return undefined;
    }
}

function decrypt(key: SealKey, bytes: Buffer): string {
    const tagEnd = nonceBytes + tagBytes;
    const options = { authTagLength: tagBytes };
    const decipher = createDecipheriv("aes-256-gcm", key.secret, bytes.subarray(0, nonceBytes), options);
    decipher.setAAD(Buffer.from(key.id));
    decipher.setAuthTag(bytes.subarray(nonceBytes, tagEnd));
    return decipher.update(bytes.subarray(tagEnd), undefined, "utf8") + decipher.final("utf8");
}
