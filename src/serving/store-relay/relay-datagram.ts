/** Datagram with which a relay passes changes of the store on. Fields may be added as optional ones only. */
import * as z from "zod";
import type { RelayedChanges } from "./change-relay.js";

const changesSchema = z.object({
    era: z.number().nullable(),
    after: z.number(),
    revision: z.number(),
    /** Key, value, revision of the last change and of the creation. */
    puts: z.array(z.tuple([z.string(), z.string(), z.number(), z.number().nullable()])),
    deletes: z.array(z.string()),
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
    const { era, after, revision, puts, deletes, faultAge } = changes;
    return {
        era: era ?? null,
        after,
        revision,
        puts: puts.map(put => [put.key, put.value, put.modRevision, put.createRevision ?? null]),
        deletes: [...deletes],
        faultAge: faultAge ?? null,
    };
}

export function decodeChanges(wire: z.infer<typeof changesSchema>): RelayedChanges {
    return {
        ...wire,
        era: wire.era ?? undefined,
        puts: wire.puts.map(([key, value, modRevision, createRevision]) => ({
            key,
            value,
            modRevision,
            createRevision: createRevision ?? undefined,
        })),
        faultAge: wire.faultAge ?? undefined,
    };
}
