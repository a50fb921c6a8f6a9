/**
 * Operators' writes: compare-and-swap on the revision that the operator saw. If the response is lost, the outcome is
 * resolved by reading the key and, where it has been written since, its history; a write is never retried.
 */
import { lastValueFrom, takeUntil, takeWhile, timer, toArray } from "rxjs";
import type { Clock } from "../../contracts/clocks.js";
import type { KeyValueEntry, KeyValueStore, WatchEvent } from "../../contracts/key-value-stores.js";
import type { Fault } from "../../core/errors.js";

/** One change of one path. */
export interface OperatorWrite {
    readonly key: string;
    /** Undefined deletes the path. */
    readonly value: string | undefined;
    /** The revision that the operator saw; 0 for a path that did not exist. */
    readonly expectedRevision: number;
}

/** The outcome of a write. */
export type WriteOutcome =
    | { readonly kind: "accepted"; readonly revision: number }
    /** The write took effect, and the path has been written again since. */
    | { readonly kind: "superseded"; readonly current: KeyValueEntry | undefined }
    /** Another operator wrote first; nothing of this write took effect. */
    | { readonly kind: "lostRace"; readonly current: KeyValueEntry | undefined }
    /** The response was lost and the history does not show the write; the write may still take effect. */
    | { readonly kind: "notKnown"; readonly fault: Fault; readonly current: KeyValueEntry | undefined }
    /** The write certainly had no effect. */
    | { readonly kind: "notSent"; readonly fault: Fault };

/** Dependencies of a write. */
export interface WriteContext {
    readonly store: KeyValueStore;
    readonly clock: Clock;
    /** Time-out of each call of the key-value service, in milliseconds. */
    readonly callTimeoutMilliseconds: number;
}

/** Writes once and returns the outcome. */
export async function writeOnce(context: WriteContext, write: OperatorWrite): Promise<WriteOutcome> {
    const { key, value, expectedRevision } = write;
    const outcome = await context.store.compareAndSwap(
        { key, value, expectedRevision },
        callOptions(context),
    );
    switch (outcome.kind) {
        case "swapped":
            return { kind: "accepted", revision: outcome.revision };
        case "conflict":
            return { kind: "lostRace", current: outcome.current };
        case "notSent":
            return { kind: "notSent", fault: outcome.fault };
        case "ambiguous":
            return resolveLostResponse(context, write, outcome.fault);
    }
}

function callOptions(context: WriteContext): {
    readonly deadline: number;
    readonly priority: "configuration";
} {
    return {
        deadline: context.clock.monotonicMilliseconds() + context.callTimeoutMilliseconds,
        priority: "configuration",
    };
}

async function resolveLostResponse(
    context: WriteContext,
    write: OperatorWrite,
    fault: Fault,
): Promise<WriteOutcome> {
    const read = await context.store.get(write.key, callOptions(context));
    if (!read.success) {
        return { kind: "notKnown", fault: read.fault, current: undefined };
    }
    const current = read.data.entries[0];
    const currentRevision = current?.modRevision ?? 0;
    if (currentRevision === write.expectedRevision) {
        return { kind: "notKnown", fault, current };
    }
    const history = await readHistory(context, write, read.data.revision);
    // Only the first change after the expected revision can be this write: each later write swapped against that change.
    const [first, later] = history;
    if (first === undefined) {
        return { kind: "notKnown", fault, current };
    }
    if (first.value !== write.value) {
        return { kind: "lostRace", current };
    }
    return later === undefined
        ? { kind: "accepted", revision: first.revision }
        : { kind: "superseded", current };
}

interface HistoricValue {
    readonly revision: number;
    readonly value: string | undefined;
}

/** Reads the values of a key after the expected revision, oldest first. */
async function readHistory(
    context: WriteContext,
    write: OperatorWrite,
    untilRevision: number,
): Promise<readonly HistoricValue[]> {
    const events = await lastValueFrom(
        context.store.watch(write.key, { revision: write.expectedRevision + 1 }).pipe(
            takeUntil(timer(context.callTimeoutMilliseconds)),
            takeWhile(event => event.kind !== "gap" && event.revision < untilRevision, true),
            toArray(),
        ),
        { defaultValue: [] as WatchEvent[] },
    );
    return events.flatMap(event => valuesOf(event, write.key));
}

function valuesOf(event: WatchEvent, key: string): readonly HistoricValue[] {
    if (event.kind !== "changes") {
        return [];
    }
    const puts = event.puts.filter(put => put.key === key);
    const deletes = event.deletes.filter(deleted => deleted === key);
    return [
        ...puts.map(put => ({ revision: put.modRevision, value: put.value })),
        ...deletes.map(() => ({ revision: event.revision, value: undefined })),
    ];
}
