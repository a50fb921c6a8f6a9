/** Datagram with which a relay passes changes of the store on. Fields may be added as optional ones only. */
import { inflateRawSync } from "node:zlib";
import * as z from "zod";
import type { KeyValueEntry } from "../../contracts/key-value-stores.js";
import { parseJson } from "../../links/json.js";
import type { RelayedChanges } from "./change-relay.js";
import type { CompactChanges } from "./recent-changes.js";
import { compress } from "./recent-changes.js";

/** Maximum size of compressed changes once they are restored, in bytes. */
const maximumRestoredBytes = 16 * 1024 * 1024;

/** Key, value, revision of the last change and of the creation. */
const putSchema = z.tuple([z.string(), z.string(), z.number(), z.number().nullable()]);
/** Index, number of removed characters, inserted text. */
const editSchema = z.tuple([z.int().nonnegative(), z.int().nonnegative(), z.string()]);

const compactSchema = z.object({
    after: z.number(),
    puts: z.array(putSchema),
    deletes: z.array(z.string()),
    /** As a put, with the hash of the value in its place; then the revision of the base, and the edits. */
    edited: z.array(
        z.tuple([z.string(), z.string(), z.number(), z.number().nullable(), z.number(), z.array(editSchema)]),
    ),
});

const changesSchema = z.object({
    era: z.number().nullable(),
    after: z.number(),
    revision: z.number(),
    puts: z.array(putSchema),
    deletes: z.array(z.string()),
    /** The changes from an earlier revision as JSON, deflated, in base64; earlier versions read the store for them. */
    compact: z.string().optional(),
    faultAge: z.number().nullable().default(null),
});

export const relayDatagramSchema = z.object({
    from: z.string(),
    changes: changesSchema,
    /**
     * Start and number of the receiver's latest datagram that had arrived before the relay called the store; null if there was
     * none, absent in messages of earlier versions.
     */
    heard: z.tuple([z.string(), z.number()]).nullable().optional(),
});

/** Datagram with which a receiver of changes states that it is there, for the relay to name in its next message. */
export const markDatagramSchema = z.object({
    from: z.string(),
    incarnation: z.string(),
    sequence: z.number(),
    mark: z.literal(true),
    /** Era and revision up to which the sender knows all changes; null if it is reading the store. */
    position: z.tuple([z.number().nullable(), z.number()]).nullable(),
});

export function encodeChanges(changes: RelayedChanges): z.infer<typeof changesSchema> {
    const { era, after, revision, puts, deletes, faultAge, compact } = changes;
    return {
        era: era ?? null,
        after,
        revision,
        puts: puts.map(encodePut),
        deletes: [...deletes],
        compact: compact && encodeCompact(compact),
        faultAge: faultAge ?? null,
    };
}

export function decodeChanges({ compact, ...wire }: z.infer<typeof changesSchema>): RelayedChanges {
    return {
        ...wire,
        era: wire.era ?? undefined,
        puts: wire.puts.map(decodePut),
        ...(compact !== undefined && { compact: decodeCompact(compact) }),
        faultAge: wire.faultAge ?? undefined,
    };
}

function encodeCompact({ after, puts, deletes, edited }: CompactChanges): string {
    const wire: z.infer<typeof compactSchema> = {
        after,
        puts: puts.map(encodePut),
        deletes: [...deletes],
        edited: edited.map(({ digest, baseRevision, edits, ...entry }) => [
            ...encodePut({ ...entry, value: digest }),
            baseRevision,
            edits.map(({ at, removed, inserted }) => [at, removed, inserted]),
        ]),
    };
    return compress(JSON.stringify(wire)).toString("base64");
}

/** Returns undefined if the text cannot be read; the receiver then reads the store, as without it. */
function decodeCompact(text: string): CompactChanges | undefined {
    const parsed = compactSchema.safeParse(parseJson(inflate(text)));
    if (!parsed.success) {
        return undefined;
    }
    const { edited, puts, ...wire } = parsed.data;
    return {
        ...wire,
        puts: puts.map(decodePut),
        edited: edited.map(([key, digest, modRevision, createRevision, baseRevision, edits]) => ({
            key,
            digest,
            modRevision,
            createRevision: createRevision ?? undefined,
            baseRevision,
            edits: edits.map(([at, removed, inserted]) => ({ at, removed, inserted })),
        })),
    };
}

function inflate(text: string): string {
    try {
        const bytes = Buffer.from(text, "base64");
        return inflateRawSync(bytes, { maxOutputLength: maximumRestoredBytes }).toString("utf8");
    } catch {
        return "";
    }
}

function encodePut({ key, value, modRevision, createRevision }: KeyValueEntry): z.infer<typeof putSchema> {
    return [key, value, modRevision, createRevision ?? null];
}

function decodePut([key, value, modRevision, createRevision]: z.infer<typeof putSchema>): KeyValueEntry {
    return { key, value, modRevision, createRevision: createRevision ?? undefined };
}
