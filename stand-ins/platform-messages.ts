/** Requests and responses of the etcd v3 JSON gateway, as far as the stand-in supports them. */
import * as z from "zod";
import type { StoredChange, StoredEntry } from "./key-value-data.js";

const base64Text = z.string().transform(value => Buffer.from(value, "base64").toString("utf8"));
const wholeNumber = z.union([z.string().regex(/^\d+$/), z.number()]).transform(Number);
const putSchema = z.object({ key: base64Text, value: base64Text.default(""), lease: z.string().optional() });
const keyRangeSchema = z.object({ key: base64Text, range_end: base64Text.optional() });

/** Body of `/v3/kv/range`. */
export const rangeSchema = keyRangeSchema;

const operationSchema = z.object({
    request_put: putSchema.optional(),
    request_range: keyRangeSchema.optional(),
    request_delete_range: keyRangeSchema.optional(),
});

/** Body of `/v3/kv/txn`: one comparison of mod_revision. */
export const transactionSchema = z.object({
    compare: z
        .array(
            z.object({
                key: base64Text,
                target: z.literal("MOD"),
                result: z.literal("EQUAL").default("EQUAL"),
                mod_revision: wholeNumber.default(0),
            }),
        )
        .length(1),
    success: z.array(operationSchema).default([]),
    failure: z.array(operationSchema).default([]),
});

/** One operation of a transaction. */
export type Operation = z.infer<typeof operationSchema>;

export const leaseGrantSchema = z.object({ TTL: wholeNumber, ID: z.unknown().optional() });
export const leaseIdSchema = z.object({ ID: z.union([z.string(), z.number()]).transform(String) });

/** Body of `/v3/watch`. */
export const watchSchema = z.object({
    create_request: keyRangeSchema.extend({
        start_revision: wholeNumber.default(0),
        progress_notify: z.boolean().default(false),
    }),
});

/** Converts every field name to snake_case, since the gateway accepts snake_case and camelCase. */
export function toSnakeCaseKeys(value: unknown): unknown {
    if (Array.isArray(value)) {
        return value.map(toSnakeCaseKeys);
    }
    if (typeof value !== "object" || !value) {
        return value;
    }
    return Object.fromEntries(
        Object.entries(value).map(([name, inner]) => [
            name.replace(/(?<=[a-z])[A-Z]/g, letter => `_${letter.toLowerCase()}`),
            toSnakeCaseKeys(inner),
        ]),
    );
}

function encodeBase64(value: string): string {
    return Buffer.from(value, "utf8").toString("base64");
}

export function encodeEntry(entry: StoredEntry): Record<string, string> {
    return {
        key: encodeBase64(entry.key),
        value: encodeBase64(entry.value),
        create_revision: String(entry.createRevision),
        mod_revision: String(entry.modRevision),
        version: String(entry.version),
        ...(entry.lease === undefined ? {} : { lease: entry.lease }),
    };
}

export function encodeChange(change: StoredChange): unknown {
    return change.entry === undefined
        ? { type: "DELETE", kv: { key: encodeBase64(change.key), mod_revision: String(change.revision) } }
        : { kv: encodeEntry(change.entry) };
}

export function encodeHeader(revision: number): unknown {
    return { cluster_id: "1", member_id: "1", revision: String(revision), raft_term: "1" };
}
