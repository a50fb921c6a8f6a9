/**
 * Claims as the key-value service holds them: one value per bucket and shard, a JSON object from idempotency key to
 * record. A record is removed only while its claim is released, by the writer that made it.
 */
import * as z from "zod";
import type { Result } from "./errors.js";
import { fail, succeed } from "./errors.js";

/** Largest text of one value, in characters; the service's bound is a megabyte. */
export const maximumValueLength = 512 * 1024;

/** Above this length a value takes no more claims, so that outcomes of those it has still fit. */
export const maximumClaimedLength = 256 * 1024;

/** Longest body of an outcome that is kept, in characters. */
export const maximumRecordedBody = 4 * 1024;

const answerSchema = z.strictObject({
    status: z.number().int(),
    contentType: z.string().optional(),
    body: z.string(),
    /** True if the body was too long to be kept. */
    bodyOmitted: z.boolean().optional(),
});

const recordSchema = z.strictObject({
    digest: z.string(),
    /** Names the one claim attempt that may send; unlike for any two attempts. */
    nonce: z.string(),
    state: z.enum(["claimed", "done", "unknown"]),
    /** Wall milliseconds until which the claim's own entry instance may still be waiting for an answer. */
    until: z.number(),
    answer: answerSchema.optional(),
});

const valueSchema = z.strictObject({
    /** Differs at each write, so that a write without other changes still is one. */
    writer: z.string(),
    claims: z.record(z.string(), recordSchema),
});

/** A recorded answer of a plain service. */
export type RecordedAnswer = Readonly<z.infer<typeof answerSchema>>;

/** One claim. */
export type ClaimRecord = Readonly<z.infer<typeof recordSchema>>;

/** All claims of one value, by idempotency key. */
export type ClaimTable = ReadonlyMap<string, ClaimRecord>;

/** The table of a key that is absent from the store. */
export const emptyClaimTable: ClaimTable = new Map();

/** Returns the text of a value. */
export function formatClaims(table: ClaimTable, writer: string): string {
    return JSON.stringify({ writer, claims: Object.fromEntries(table) });
}

/** Parses the text of a value; a value that is not ours is a fault, and nothing may be claimed in it. */
export function safeParseClaims(text: string): Result<ClaimTable> {
    try {
        const parsed = valueSchema.parse(JSON.parse(text));
        return succeed(new Map(Object.entries(parsed.claims)));
    } catch {
        const message = "a value of claims cannot be read";
        return fail({ code: "internal", message, step: "claim", notRun: false });
    }
}

/** Returns the form in which an answer is kept. */
export function recordAnswer(answer: RecordedAnswer): RecordedAnswer {
    if (answer.body.length <= maximumRecordedBody) {
        return answer;
    }
    return { status: answer.status, contentType: answer.contentType, body: "", bodyOmitted: true };
}
