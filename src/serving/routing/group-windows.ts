/**
 * Assigns a few replica groups of each model to each entry instance. Covers many entry instances with few requests each: a
 * group that few of them prefer can be known to those few in time, and every group is preferred equally often. All entry
 * instances calculate the same windows from the registrations, so they need no messages to agree.
 */
import { groupBy } from "../collections.js";
import type { ServableGroup } from "../fleet-view.js";

/**
 * Entry instances that prefer one group, where the groups suffice. In simulations 8 sent more requests to full groups, and
 * 16 took a sixth more datagrams without serving more requests in time (docs/design/request-cost.md).
 */
const sharersPerGroup = 12;
/** Minimum number of groups in a window: with a single one, an entry instance could not avoid a busy group. */
const minimumWindow = 2;

/** A registered entry instance. */
export interface WindowEntry {
    readonly name: string;
    readonly failureDomain: string;
}

export class GroupWindows {
    private constructor(
        private readonly groupsByEntry: ReadonlyMap<string, ReadonlySet<string>>,
        private readonly entriesByGroup: ReadonlyMap<string, readonly string[]>,
    ) {}

    /** Calculates the windows of all entry instances over all groups. */
    public static create(entries: readonly WindowEntry[], groups: Iterable<ServableGroup>): GroupWindows {
        const groupsByEntry = new Map<string, Set<string>>();
        const entriesByGroup = new Map<string, string[]>();
        const domains = [...groupBy([...entries].sort(compareNames), entry => entry.failureDomain)];
        for (const ofModel of groupBy(
            groups,
            ({ group, model }) => `${group.service} ${model.name}`,
        ).values()) {
            const keysByDomain = groupBy(ofModel, ({ group }) => group.leader!.failureDomain);
            for (const [failureDomain, members] of domains) {
                // A failure domain without groups of a model is served by those of all others.
                const available = keysByDomain.get(failureDomain) ?? ofModel;
                const keys = available.map(({ group }) => group.key).sort();
                members.forEach(({ name }, position) => {
                    for (const key of windowAt(position, members.length, keys)) {
                        append(entriesByGroup, key, name);
                        groupsByEntry.set(name, (groupsByEntry.get(name) ?? new Set()).add(key));
                    }
                });
            }
        }
        return new GroupWindows(groupsByEntry, entriesByGroup);
    }

    /** Keys of the groups that an entry instance prefers; undefined if it is not registered or there are no groups. */
    public groupsOf(entry: string): ReadonlySet<string> | undefined {
        return this.groupsByEntry.get(entry);
    }

    /** Names of the entry instances that prefer a group. */
    public entriesOf(group: string): readonly string[] {
        return this.entriesByGroup.get(group) ?? [];
    }
}

/**
 * Windows of neighbouring entry instances overlap, so that load moves on along the ring, and a group that is added or
 * removed shifts each window by one place at most.
 */
function windowAt(position: number, entryCount: number, keys: readonly string[]): readonly string[] {
    const share = Math.floor((sharersPerGroup * keys.length) / entryCount);
    const size = Math.min(keys.length, Math.max(minimumWindow, share));
    const first = Math.floor((position * keys.length) / entryCount);
    return Array.from({ length: size }, (_, index) => keys[(first + index) % keys.length]!);
}

function append(lists: Map<string, string[]>, key: string, item: string): void {
    const list = lists.get(key);
    if (list === undefined) {
        lists.set(key, [item]);
    } else {
        list.push(item);
    }
}

function compareNames(left: WindowEntry, right: WindowEntry): number {
    return left.name < right.name ? -1 : Number(left.name > right.name);
}
