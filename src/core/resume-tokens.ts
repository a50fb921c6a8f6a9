/**
 * Resume tokens: a caller whose entry instance is lost presents its token to any other entry instance to continue its
 * stream. A token is opaque (sealed) and bound to one team, subscriber and request.
 */
import * as z from "zod";
import type { Fault, Result } from "./errors.js";
import { fail, succeed } from "./errors.js";
import type { Caller } from "./requests.js";

/** Maximum length of an accepted token, in characters. */
export const maximumResumeTokenLength = 4096;

const contentSchema = z.strictObject({
    request: z.string().min(1),
    team: z.string().min(1),
    subscriber: z.string().min(1),
    model: z.string().min(1),
    /** Hash of the prompt of the stream. */
    promptHash: z.string().min(1),
    group: z.string().min(1),
    /** The leader instance that holds the stream. */
    instance: z.string().min(1),
    epoch: z.number().int().nonnegative(),
    /** Attempt that holds the stream; attempts after the resume get higher numbers. */
    attempt: z.number().int().nonnegative(),
    /** Wall-clock milliseconds from which on the token is refused. */
    expiresAt: z.number(),
});

/** Content of a token. */
export type ResumeTokenContent = Readonly<z.infer<typeof contentSchema>>;

/** Seals a text so that only processes of this system can open it. */
export type Seal = (text: string) => string;

/** Opens a sealed text. Returns undefined if it was altered or was not sealed with a known key. */
export type OpenSeal = (sealed: string) => string | undefined;

/** Creates the token of a stream. */
export function sealResumeToken(content: ResumeTokenContent, seal: Seal): string {
    return seal(JSON.stringify(content));
}

// Every reason for a refusal gives one and the same fault, so that a caller learns nothing about the tokens of others.
const invalidTokenFault: Fault = {
    code: "forbidden",
    message: "the resume token is not valid for this caller",
    step: "authenticate",
    notRun: true,
};

/** Opens a token of this caller. Every invalid, expired or foreign token gives one fault, "forbidden". */
export function openResumeToken(
    token: string,
    caller: Caller,
    open: OpenSeal,
    wallNow: number,
): Result<ResumeTokenContent> {
    const text = token.length > maximumResumeTokenLength ? undefined : open(token);
    const content = text === undefined ? undefined : parseContent(text);
    if (content === undefined || content.expiresAt <= wallNow) {
        return fail(invalidTokenFault);
    }
    if (content.team !== caller.team || content.subscriber !== caller.subscriber) {
        return fail(invalidTokenFault);
    }
    return succeed(content);
}

function parseContent(text: string): ResumeTokenContent | undefined {
    try {
        return contentSchema.safeParse(JSON.parse(text)).data;
    } catch {
        return undefined;
    }
}
