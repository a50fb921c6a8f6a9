/** Authentication of callers: bearer credentials against the configured hashes. */
import { createHash, timingSafeEqual } from "node:crypto";
import type { Fault, Result } from "../../core/errors.js";
import { fail, succeed } from "../../core/errors.js";
import type { Caller } from "../../core/requests.js";
import type { Team } from "../../core/teams.js";

interface KnownCredential {
    readonly hash: Buffer;
    readonly caller: Caller;
}

/** Returns the SHA-256 hash of a credential in hexadecimal, as the configuration stores it. */
export function hashCredential(credential: string): string {
    return createHash("sha256").update(credential).digest("hex");
}

function unauthenticatedFault(message: string): Fault {
    return { code: "unauthenticated", message, step: "authenticate", notRun: true };
}

/** Maps credentials to callers. Only hashes are stored and compared. */
export class Credentials {
    private constructor(private readonly byHash: ReadonlyMap<string, KnownCredential>) {}

    /** Builds the map from the configured teams. A credential that two subscribers share is valid for neither. */
    public static create(teams: readonly Team[]): Credentials {
        const byHash = new Map<string, KnownCredential>();
        const shared = new Set<string>();
        for (const team of teams) {
            for (const { id, credentialHash } of team.subscribers) {
                if (byHash.has(credentialHash)) {
                    shared.add(credentialHash);
                }
                const caller = { team: team.id, subscriber: id };
                byHash.set(credentialHash, { hash: Buffer.from(credentialHash, "hex"), caller });
            }
        }
        shared.forEach(hash => byHash.delete(hash));
        return new Credentials(byHash);
    }

    /** Authenticates the value of an Authorization header. */
    public authenticate(header: string | undefined): Result<Caller> {
        const credential = /^Bearer ([\x21-\x7e]{1,512})$/.exec(header ?? "")?.[1];
        if (credential === undefined) {
            return fail(unauthenticatedFault("expected the header Authorization: Bearer <credential>"));
        }
        const hash = hashCredential(credential);
        const known = this.byHash.get(hash);
        if (known === undefined || !timingSafeEqual(known.hash, Buffer.from(hash, "hex"))) {
            return fail(unauthenticatedFault("the credential is unknown"));
        }
        return succeed(known.caller);
    }
}
