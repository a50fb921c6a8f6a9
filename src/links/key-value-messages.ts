/** Messages of the etcd v3 JSON gateway: keys and values in base64, 64-bit numbers as strings. */
import * as z from "zod";
import type { KeyValueEntry, Swap, WatchEvent } from "../contracts/key-value-stores.js";

const integerSchema = z.union([z.string().regex(/^-?\d+$/), z.number()]).transform(Number);
const headerSchema = z.object({ revision: integerSchema });
const keyValueSchema = z.object({
    key: z.string(),
    value: z.string().default(""),
    mod_revision: integerSchema.default(0),
    create_revision: integerSchema.optional(),
});

/** Response of `/v3/kv/range`. */
export const rangeResponseSchema = z.object({
    header: headerSchema,
    kvs: z.array(keyValueSchema).default([]),
});
/** Response of `/v3/kv/txn`; `responses` holds the range that is read if the comparison fails. */
export const transactionResponseSchema = z.object({
    header: headerSchema,
    succeeded: z.boolean().default(false),
    responses: z
        .array(
            z.object({ response_range: z.object({ kvs: z.array(keyValueSchema).default([]) }).optional() }),
        )
        .default([]),
});
/** Response of `/v3/lease/grant`; a 64-bit id stays a string. */
export const leaseGrantResponseSchema = z.object({ ID: z.string(), TTL: integerSchema });
/** Response of `/v3/lease/keepalive`; a time to live of 0 means that the lease has expired. */
export const leaseRenewalResponseSchema = z.object({ result: z.object({ TTL: integerSchema.default(0) }) });
/** Response of `/v3/lease/revoke`. */
export const leaseRevocationResponseSchema = z.object({ header: headerSchema.optional() });
/** One line of `/v3/watch`. */
export const watchLineSchema = z.object({
    result: z.object({
        header: headerSchema.optional(),
        created: z.boolean().default(false),
        canceled: z.boolean().default(false),
        cancel_reason: z.string().optional(),
        compact_revision: integerSchema.optional(),
        events: z
            .array(z.object({ type: z.enum(["PUT", "DELETE"]).default("PUT"), kv: keyValueSchema }))
            .default([]),
    }),
});

type KeyValueMessage = z.infer<typeof keyValueSchema>;
type WatchLine = z.infer<typeof watchLineSchema>;

/** Decoded line of a watch. */
export type WatchMessage =
    | { readonly kind: "event"; readonly event: WatchEvent }
    | { readonly kind: "opened" }
    | { readonly kind: "ended"; readonly reason: string };

export function encodeText(text: string): string {
    return Buffer.from(text, "utf8").toString("base64");
}

function decodeText(text: string): string {
    return Buffer.from(text, "base64").toString("utf8");
}

/** Returns the smallest key after all keys that start with `prefix`, in base64; "\0" means the end of all keys. */
export function prefixRangeEnd(prefix: string): string {
    const bytes = Buffer.from(prefix, "utf8");
    for (let index = bytes.length - 1; index >= 0; index -= 1) {
        if (bytes[index]! < 0xff) {
            const end = Buffer.from(bytes.subarray(0, index + 1));
            end[index]! += 1;
            return end.toString("base64");
        }
    }
    return encodeText("\0");
}

export function decodeEntry(message: KeyValueMessage): KeyValueEntry {
    return {
        key: decodeText(message.key),
        value: decodeText(message.value),
        modRevision: message.mod_revision,
        createRevision: message.create_revision,
    };
}

/** Encodes a transaction of one comparison, with one put or delete on success and one range on failure. */
export function encodeSwap(swap: Swap): unknown {
    const key = encodeText(swap.key);
    const change =
        swap.value === undefined
            ? { request_delete_range: { key } }
            : { request_put: { key, value: encodeText(swap.value), lease: swap.lease } };
    return {
        compare: [{ key, target: "MOD", result: "EQUAL", mod_revision: String(swap.expectedRevision) }],
        success: [change],
        failure: [{ request_range: { key } }],
    };
}

export function encodeWatch(prefix: string, fromRevision: number): unknown {
    return {
        create_request: {
            key: encodeText(prefix),
            range_end: prefixRangeEnd(prefix),
            start_revision: String(fromRevision),
            progress_notify: true,
        },
    };
}

/**
 * Decodes a line. It may change a key several times; only the last change counts. The header holds the store's revision,
 * which may be ahead of the changes sent so far. So the revision of a line with changes is the highest of its changes,
 * and the line that opens a watch gives no revision.
 */
export function decodeWatchLine(line: WatchLine): WatchMessage {
    const { result } = line;
    if (result.canceled || result.compact_revision !== undefined) {
        return { kind: "ended", reason: result.cancel_reason ?? "the watch was cancelled" };
    }
    const changed = Math.max(0, ...result.events.map(event => event.kv.mod_revision));
    const revision = changed > 0 ? changed : (result.header?.revision ?? 0);
    if (result.created && result.events.length === 0) {
        return { kind: "opened" };
    }
    if (result.events.length === 0) {
        return { kind: "event", event: { kind: "progress", revision } };
    }
    const lastOfKey = new Map(result.events.map(event => [event.kv.key, event]));
    const last = [...lastOfKey.values()];
    const puts = last.filter(event => event.type === "PUT").map(event => decodeEntry(event.kv));
    const deletes = last.filter(event => event.type === "DELETE").map(event => decodeText(event.kv.key));
    return { kind: "event", event: { kind: "changes", revision, puts, deletes } };
}
