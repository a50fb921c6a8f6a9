/**
 * Resume tokens: what a caller shows to any entry instance to go on with its stream after its own entry instance is
 * lost. A token is opaque (sealed) and bound to one team, subscriber and request.
 */
import * as z from "zod";
import type { Fault, Result } from "./errors.js";
import { fail, succeed } from "./errors.js";
import type { Caller } from "./requests.js";

/** Longest token that is opened, in characters. */
export const maximumResumeTokenLength = 4096;

const contentSchema = z.strictObject({
    request: z.string().min(1),
    team: z.string().min(1),
    subscriber: z.string().min(1),
    model: z.string().min(1),
    /** Hash of the prompt that the stream answers. */
    promptHash: z.string().min(1),
    group: z.string().min(1),
    /** The leader instance that holds the stream. */
    instance: z.string().min(1),
    epoch: z.number().int().nonnegative(),
    /** Attempt that holds the stream; attempts after the resume are numbered from here. */
    attempt: z.number().int().nonnegative(),
    /** Wall milliseconds after which the token is refused. */
    expiresAt: z.number(),
});

/** What a token says. */
export type ResumeTokenContent = Readonly<z.infer<typeof contentSchema>>;

/** Seals a text for this system's own processes. */
export type Seal = (text: string) => string;

/** Opens a sealed text; undefined if it was not sealed with a known key, or was altered. */
export type OpenSeal = (sealed: string) => string | undefined;

/** Returns the token for a stream. */
export function sealResumeToken(content: ResumeTokenContent, seal: Seal): string {
    return seal(JSON.stringify(content));
}

// One fault for every cause: the caller learns nothing about tokens of others.
const refused: Fault = {
    code: "forbidden",
    message: "the resume token is not valid for this caller",
    step: "authenticate",
    notRun: true,
};

/** Opens a token of this caller; every other token gives the same fault. */
export function openResumeToken(
    token: string,
    caller: Caller,
    open: OpenSeal,
    wallNow: number,
): Result<ResumeTokenContent> {
    const text = token.length > maximumResumeTokenLength ? undefined : open(token);
    const content = text === undefined ? undefined : parseContent(text);
    if (content === undefined || content.expiresAt <= wallNow) {
        return fail(refused);
    }
    if (content.team !== caller.team || content.subscriber !== caller.subscriber) {
        return fail(refused);
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
