/** Seals resume tokens of streams with the configured keys. */
import { randomBytes } from "node:crypto";
import type { Configuration } from "../../core/configuration-values.js";
import type { EntryCommand } from "../../core/entry-commands.js";
import { hashText } from "../../core/hashes.js";
import { sealResumeToken } from "../../core/resume-tokens.js";
import type { Seals } from "../../links/seals.js";
import { createSeals } from "../../links/seals.js";

const resumeTokenLifetimeMilliseconds = 600_000;
const processSecretBytes = 32;

/**
 * Creates the seals from the configured keys; new tokens are sealed with the current key. Without configured keys, a
 * random key of this process is used, and only this process can open its tokens.
 */
export function createConfiguredSeals(configuration: Configuration | undefined): Seals {
    const sealingKeys = configuration?.sealingKeys;
    if (sealingKeys === undefined) {
        return createSeals([{ id: "process", secret: randomBytes(processSecretBytes) }]);
    }
    const keys = sealingKeys.keys.map(({ id, secret }) => ({ id, secret: Buffer.from(secret, "base64") }));
    const current = keys.filter(key => key.id === sealingKeys.current);
    return createSeals([...current, ...keys.filter(key => key.id !== sealingKeys.current)]);
}

/** Returns the token with which the caller can resume the stream at any entry instance. */
export function createResumeToken(
    command: Extract<EntryCommand, { kind: "start" | "resume" }>,
    seals: Seals,
    wallNow: number,
): string {
    const { request, group, epoch, leader, attempt } = command.dispatch;
    const content = {
        request: request.id,
        team: request.caller.team,
        subscriber: request.caller.subscriber,
        model: request.model,
        promptHash: hashText(request.prompt),
        group,
        instance: leader.id,
        epoch,
        attempt,
        expiresAt: wallNow + resumeTokenLifetimeMilliseconds,
    };
    return sealResumeToken(content, seals.seal);
}
