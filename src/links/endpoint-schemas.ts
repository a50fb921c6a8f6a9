/** Zod schemas of the messages that endpoints (engines) send. */
import * as z from "zod";

const count = z.number().int().nonnegative();

/** Report of an endpoint; docs/PROTOCOLS.md describes its fields. */
export const endpointReportSchema = z.object({
    instance: z.string().min(1),
    incarnation: count,
    sequence: count,
    state: z.enum(["idle", "loading", "ready", "serving", "draining"]),
    group: z.string().optional(),
    epoch: count,
    leaving: z.boolean(),
    load: z.object({ running: count, waiting: count, slots: count }),
    warm: z.array(z.object({ model: z.string(), version: z.string() })),
});

/** Response to an order. */
export const orderResponseSchema = z.object({ accepted: z.boolean(), report: endpointReportSchema });

/** One token of an engine's stream. */
export const tokenSchema = z.object({ offset: count, text: z.string() });

/** The terminal event of an engine's stream. */
export const finishedSchema = z.object({ reason: z.enum(["stop", "length"]), nextOffset: count });

/** Error response of an endpoint that refuses a request; only `notRun` affects how the request is handled. */
export const refusalSchema = z.object({
    error: z.object({ code: z.string(), message: z.string(), notRun: z.boolean() }),
});

/** A page of cache events. */
export const cacheEventsSchema = z.object({
    events: z.array(
        z.object({ sequence: count, kind: z.enum(["stored", "evicted", "cleared"]), block: z.string() }),
    ),
});
