/** Checks of what endpoints say. */
import * as z from "zod";

const count = z.number().int().nonnegative();

/** An endpoint report, see docs/PROTOCOLS.md. */
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

/** Answer to an order. */
export const orderAnswerSchema = z.object({ accepted: z.boolean(), report: endpointReportSchema });

/** One token of an engine's stream. */
export const tokenSchema = z.object({ offset: count, text: z.string() });

/** The terminal event of an engine's stream. */
export const finishedSchema = z.object({ reason: z.enum(["stop", "length"]), nextOffset: count });

/** A refusal by an endpoint; only `notRun` is relied on. */
export const refusalSchema = z.object({
    error: z.object({ code: z.string(), message: z.string(), notRun: z.boolean() }),
});

/** A page of cache events. */
export const cacheEventsSchema = z.object({
    events: z.array(
        z.object({ sequence: count, kind: z.enum(["stored", "evicted", "cleared"]), block: z.string() }),
    ),
});
