/**
 * Era of the store, which rises each time the store comes back from an older copy. Within one era, revisions and lease ids
 * only rise; across eras they are given out again and cannot be compared.
 */

/** Highest era that counts as valid: epochs of groups contain the era and must stay exact as JSON numbers. */
export const maximumEra = 899;
/** Number of revisions in one era for which terms are unique. */
const revisionsPerEra = 10_000_000_000;

/** How the era stated in a response relates to the known one. */
export type EraReading =
    /** The response belongs to `era`, which may have risen with this response. */
    | { readonly kind: "accepted"; readonly era: number }
    /** The response was sent before a restore that is already known, and must not be used. */
    | { readonly kind: "outdated" };

/** Receives changes of the known era, without the first one seen. */
export interface EraObserver {
    readonly onRise: (era: number, previous: number) => void;
    /** Called once for the first response with a missing, malformed or falling era. */
    readonly onInvalid: (stated: string | undefined) => void;
}

/** Tracks the era over all calls of one process. */
export class StoreEra {
    private known: number | undefined;
    private changedAt = 0;
    private hasReportedInvalid = false;

    private constructor(private readonly observer: EraObserver) {}

    public static create(observer: EraObserver): StoreEra {
        return new StoreEra(observer);
    }

    /** The highest era that a response stated; 0 before the first. */
    public get current(): number {
        return this.known ?? 0;
    }

    /** Local monotonic milliseconds at which the current era was first seen. */
    public get seenAt(): number {
        return this.changedAt;
    }

    /** Records the era stated in the response to a call that was made while `eraAtCall` was current. */
    public record(stated: string | undefined, eraAtCall: number, now: number): EraReading {
        const era = parseEra(stated);
        const { current } = this;
        if (era === undefined || (era < current && eraAtCall === current)) {
            this.reportInvalid(stated);
            return { kind: "accepted", era: current };
        }
        if (era < current) {
            return { kind: "outdated" };
        }
        if (era > current || this.known === undefined) {
            const isFirst = this.known === undefined;
            this.known = era;
            this.changedAt = now;
            if (!isFirst) {
                this.observer.onRise(era, current);
            }
        }
        return { kind: "accepted", era };
    }

    private reportInvalid(stated: string | undefined): void {
        if (!this.hasReportedInvalid) {
            this.hasReportedInvalid = true;
            this.observer.onInvalid(stated);
        }
    }
}

function parseEra(text: string | undefined): number | undefined {
    const era = text !== undefined && /^\d{1,9}$/.test(text) ? Number(text) : undefined;
    return era !== undefined && era <= maximumEra ? era : undefined;
}

/**
 * Returns the number of a term that began at a revision of an era: it rises with the revision and across eras. Undefined if
 * the revision is too high for terms to stay unique.
 */
export function termNumber(era: number, revision: number): number | undefined {
    return revision < revisionsPerEra && era <= maximumEra ? era * revisionsPerEra + revision : undefined;
}
