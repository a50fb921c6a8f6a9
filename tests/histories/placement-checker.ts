/** Checks a placement history only by the engines' own states, accepted work and orders, and the entries' dispatches. */
import type { AcceptedWork, EngineBelief, FakeEngine } from "../../benchmarks/placement-engines.js";
import type { HolderTerm } from "../../benchmarks/placement-store.js";

/** Input of the checker. */
export interface PlacementHistory {
    readonly engines: ReadonlyMap<string, FakeEngine>;
    readonly accepted: readonly AcceptedWork[];
    /** Validation errors of the placement values that were written. */
    readonly faultyValues: readonly string[];
    readonly terms: readonly HolderTerm[];
    readonly healthMilliseconds: number;
    readonly dispatchMilliseconds: number;
    readonly enginesCheckEpochs: boolean;
}

/** Returns one text for each breach of a guarantee. */
export function findBreaches(history: PlacementHistory): readonly string[] {
    return [
        ...history.faultyValues.map(message => `value: ${message}`),
        ...history.accepted.flatMap(work => findMissingMembers(history, work)),
        ...findSharedMembers(history.accepted),
        ...[...history.engines.values()].flatMap(findDirectMoves),
        ...(history.enginesCheckEpochs
            ? [...history.engines.values()].flatMap(findOldEpochs)
            : [...history.engines.values()].flatMap(engine => findOldTerms(engine, history.terms))),
    ];
}

/** Every member must have served the work's group and epoch at some moment within the health deadline before dispatch. */
function findMissingMembers(history: PlacementHistory, work: AcceptedWork): readonly string[] {
    const from = work.dispatchedAt - history.healthMilliseconds;
    const late =
        work.at > work.dispatchedAt + history.dispatchMilliseconds ? [`late: ${describe(work)}`] : [];
    const missing = work.members.filter(member => {
        const beliefs = history.engines.get(member)?.beliefs ?? [];
        return !beliefsBetween(beliefs, from, work.dispatchedAt).some(belief => serves(belief, work));
    });
    return [...late, ...missing.map(member => `missing ${member}: ${describe(work)}`)];
}

function serves(belief: EngineBelief, work: AcceptedWork): boolean {
    const isServing = belief.isAlive && belief.state === "serving" && !belief.leaving;
    return isServing && belief.group === work.group && belief.epoch === work.epoch;
}

function beliefsBetween(beliefs: readonly EngineBelief[], from: number, to: number): readonly EngineBelief[] {
    return beliefs.filter((belief, index) => belief.at <= to && (beliefs[index + 1]?.at ?? Infinity) > from);
}

/** Once a group and epoch accepted work with a member, no earlier group or epoch may accept work with it again. */
function findSharedMembers(accepted: readonly AcceptedWork[]): readonly string[] {
    const latest = new Map<string, string>();
    const seen = new Map<string, Set<string>>();
    const breaches: string[] = [];
    for (const work of [...accepted].sort((left, right) => left.at - right.at)) {
        const key = `${work.group} ${work.epoch}`;
        for (const member of work.members) {
            const earlier = seen.get(member) ?? new Set<string>();
            if (latest.get(member) !== key && earlier.has(key)) {
                breaches.push(`shared ${member} with ${latest.get(member)}: ${describe(work)}`);
            }
            seen.set(member, earlier.add(key));
            latest.set(member, key);
        }
    }
    return breaches;
}

/** An engine must leave its group before it joins another. */
function findDirectMoves(engine: FakeEngine): readonly string[] {
    return engine.beliefs.flatMap((belief, index) => {
        const next = engine.beliefs[index + 1];
        const isMove = belief.group !== undefined && next?.group !== undefined && belief.group !== next.group;
        return isMove
            ? [`moved ${engine.instance.id} from ${belief.group} to ${next.group} at ${next.at}`]
            : [];
    });
}

/** An engine that checks epochs must not act on an older epoch within one incarnation. */
function findOldEpochs(engine: FakeEngine): readonly string[] {
    return engine.acted.flatMap((order, index) => {
        const before = engine.acted[index - 1];
        const isOld = before?.incarnation === order.incarnation && order.epoch < before.epoch;
        return isOld ? [`old epoch ${order.epoch} at ${engine.instance.id} at ${order.at}`] : [];
    });
}

/** An engine that does not check epochs must not act on an order of a lease holder after one of a later lease holder. */
function findOldTerms(engine: FakeEngine, terms: readonly HolderTerm[]): readonly string[] {
    const termAt = (sender: string, at: number): number =>
        terms.findLastIndex(term => term.from <= at && term.holder.startsWith(`${sender}/`));
    let latest = -1;
    return engine.acted.flatMap(order => {
        const term = termAt(order.sender, order.at);
        const isOld = term < latest;
        latest = Math.max(latest, term);
        return isOld
            ? [`order of an earlier holder ${order.sender} at ${engine.instance.id} at ${order.at}`]
            : [];
    });
}

function describe(work: AcceptedWork): string {
    return `${work.instance} accepted ${work.group} epoch ${work.epoch} at ${work.at}`;
}
