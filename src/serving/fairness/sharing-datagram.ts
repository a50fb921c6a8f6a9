/** Encodes what entry instances tell each other while capacity is short, as one optional field of their datagrams. */
import * as z from "zod";
import type { AnnouncedSession } from "./request-precedence.js";
import type { AnnouncedPlace } from "./return-places.js";
import type { AnnouncedUsage } from "./workspace-usage.js";

/** What one entry instance tells the others about its callers while capacity is short. */
export interface SharingAnnouncement {
    /** Pools that could not serve all requests of the sender in time. */
    readonly shortPools: readonly string[];
    readonly places: readonly AnnouncedPlace[];
    readonly usage: readonly AnnouncedUsage[];
    /** Sessions on which the sender decided last. */
    readonly sessions: readonly AnnouncedSession[];
}

export const noSharing: SharingAnnouncement = { shortPools: [], places: [], usage: [], sessions: [] };

export const sharingSchema = z.object({
    short: z.array(z.string()).default([]),
    /**
     * Identity of a refused request, milliseconds since its refusal and until its return is expected, and whether it is
     * promised to be served then.
     */
    places: z.array(z.tuple([z.string(), z.number(), z.number(), z.boolean()])).default([]),
    /** Pool, workspace, and its work that arrived and that was started since the start of the sender, in milliseconds. */
    usage: z.array(z.tuple([z.string(), z.string(), z.number(), z.number()])).default([]),
    /** Session, its refusals in a row, and milliseconds since the last decision. */
    sessions: z.array(z.tuple([z.string(), z.number(), z.number()])).default([]),
});

type SharingField = z.input<typeof sharingSchema>;

/** Returns the field of a datagram; undefined if there is nothing to tell. */
export function encodeSharing(sharing: SharingAnnouncement): SharingField | undefined {
    const { shortPools, places, usage, sessions } = sharing;
    return [shortPools, places, usage, sessions].every(each => each.length === 0)
        ? undefined
        : {
              short: [...shortPools],
              places: places.map(({ identity, waitedMilliseconds, dueInMilliseconds, isPromised }) => [
                  identity,
                  waitedMilliseconds,
                  dueInMilliseconds,
                  isPromised,
              ]),
              usage: usage.map(each => [
                  each.pool,
                  each.workspace,
                  each.arrivedMilliseconds,
                  each.startedMilliseconds,
              ]),
              sessions: sessions.map(({ session, refusals, ageMilliseconds }) => [
                  session,
                  refusals,
                  ageMilliseconds,
              ]),
          };
}

export function decodeSharing(field: z.output<typeof sharingSchema> | undefined): SharingAnnouncement {
    if (field === undefined) {
        return noSharing;
    }
    const { short, places, usage, sessions } = field;
    return {
        shortPools: short,
        places: places.map(([identity, waitedMilliseconds, dueInMilliseconds, isPromised]) => ({
            identity,
            waitedMilliseconds,
            dueInMilliseconds,
            isPromised,
        })),
        usage: usage.map(([pool, workspace, arrivedMilliseconds, startedMilliseconds]) => ({
            pool,
            workspace,
            arrivedMilliseconds,
            startedMilliseconds,
        })),
        sessions: sessions.map(([session, refusals, ageMilliseconds]) => ({
            session,
            refusals,
            ageMilliseconds,
        })),
    };
}
