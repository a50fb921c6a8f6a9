/**
 * Stored form of claims in the key-value service: one value per bucket and shard, with a JSON object that maps
 * idempotency keys to records. Within a value, a record is removed only when its claim is released, by the claim
 * attempt that created it; the values of an expired bucket are deleted as a whole.
 */
import * as z from "zod";
import type { Result } from "./errors.js";
import { fail, succeed } from "./errors.js";

/** Maximum length of one value, in characters; the service accepts up to a megabyte. */
export const maximumValueLength = 512 * 1024;

/** Length in characters above which a value accepts no more claims, so that outcomes of its existing claims still fit. */
export const maximumClaimableLength = 256 * 1024;

/** Maximum length of a response body that is recorded, in characters. */
export const maximumRecordedBodyLength = 4 * 1024;

const responseSchema = z.strictObject({
    status: z.number().int(),
    contentType: z.string().optional(),
    body: z.string(),
    /** True if the body was too long to be recorded. */
    bodyOmitted: z.boolean().optional(),
});

const recordSchema = z.strictObject({
    digest: z.string(),
    /** Identifies the one claim attempt that may send; unique to that attempt. */
    nonce: z.string(),
    state: z.enum(["claimed", "done", "unknown"]),
    /** Wall-clock milliseconds until which the claiming entry instance may still be waiting for a response. */
    until: z.number(),
    answer: responseSchema.optional(),
});

const valueSchema = z.strictObject({
    /** Unique to each write, so that a write without other changes still changes the value. */
    writer: z.string(),
    claims: z.record(z.string(), recordSchema),
});

/** A recorded response of a plain service. */
export type RecordedResponse = Readonly<z.infer<typeof responseSchema>>;

/** One claim. */
export type ClaimRecord = Readonly<z.infer<typeof recordSchema>>;

/** All claims of one stored value, by idempotency key. */
export type ClaimTable = ReadonlyMap<string, ClaimRecord>;

/** The table of a store key that is absent. */
export const emptyClaimTable: ClaimTable = new Map();

/** Returns the stored text of a table. */
export function formatClaims(table: ClaimTable, writer: string): string {
    return JSON.stringify({ writer, claims: Object.fromEntries(table) });
}

/** Parses the stored text of a table. Text in another format is a fault, and no claim may be made in that value. */
export function safeParseClaims(text: string): Result<ClaimTable> {
    try {
        const parsed = valueSchema.parse(JSON.parse(text));
        return succeed(new Map(Object.entries(parsed.claims)));
    } catch {
        const message = "a stored value of claims has an unknown format and cannot be parsed";
        return fail({ code: "internal", message, step: "claim", notRun: false });
    }
}

/** Returns the response as it is recorded: without its body if the body is too long. */
export function toRecordedResponse(answer: RecordedResponse): RecordedResponse {
    if (answer.body.length <= maximumRecordedBodyLength) {
        return answer;
    }
    return { status: answer.status, contentType: answer.contentType, body: "", bodyOmitted: true };
}
