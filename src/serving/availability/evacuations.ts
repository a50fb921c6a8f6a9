/**
 * Failure domains whose replicas operators have evacuated, as the store or another entry instance stated them last. The
 * statement with the latest position in the store's history is in force, so the order of arrival does not matter, and the last
 * known one stays in force while the store is unavailable. A store that is restored from an older copy may lack an evacuation
 * until the operators write it again: it is held meanwhile.
 */

/** All evacuated failure domains at one position in the store's history. */
export interface EvacuationStatement {
    /** Era of the store; 0 if it reports none. */
    readonly era: number;
    readonly revision: number;
    readonly failureDomains: readonly string[];
}

/** Time after a restore of the store within which operators write again what the copy lacks, in milliseconds. */
const rewriteMilliseconds = 2_000;

export class Evacuations {
    private statement: EvacuationStatement | undefined;
    /** Failure domains that a restored store lacks, with the local monotonic milliseconds at which they count as removed. */
    private readonly heldUntil = new Map<string, number>();
    private hasNamedAny = false;

    private constructor(private readonly readDelayMilliseconds: () => number) {}

    /** `readDelayMilliseconds`: time after which a write to the store is known here. */
    public static create(readDelayMilliseconds: () => number): Evacuations {
        return new Evacuations(readDelayMilliseconds);
    }

    /** The statement in force, for the other entry instances; undefined if none has named a failure domain yet. */
    public get announcement(): EvacuationStatement | undefined {
        return this.hasNamedAny ? this.statement : undefined;
    }

    /** Returns the failure domains that are evacuated now. */
    public current(now: number): ReadonlySet<string> {
        const held = [...this.heldUntil].filter(([, until]) => now < until).map(([name]) => name);
        return new Set([...(this.statement?.failureDomains ?? []), ...held]);
    }

    /** Records a statement of the store or of another entry instance; an older one than that in force is ignored. */
    public record(statement: EvacuationStatement, now: number): void {
        const before = this.statement;
        if (before !== undefined && !isLater(statement, before)) {
            return;
        }
        if (before !== undefined && statement.era > before.era) {
            const until = now + rewriteMilliseconds + this.readDelayMilliseconds();
            this.current(now).forEach(name => this.heldUntil.set(name, until));
        }
        // Once the restored store has the evacuation, its removal takes effect at once.
        statement.failureDomains.forEach(name => this.heldUntil.delete(name));
        this.statement = statement;
        this.hasNamedAny ||= statement.failureDomains.length > 0;
    }
}

function isLater(statement: EvacuationStatement, other: EvacuationStatement): boolean {
    return statement.era === other.era ? statement.revision > other.revision : statement.era > other.era;
}
