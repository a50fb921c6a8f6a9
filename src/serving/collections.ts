/** Helpers for maps keyed by strings. */

/** Groups items by key; items of one key keep their order. */
export function groupBy<T>(
    items: Iterable<T>,
    keyOf: (item: T) => string,
): ReadonlyMap<string, readonly T[]> {
    const byKey = new Map<string, T[]>();
    for (const item of items) {
        const key = keyOf(item);
        const sameKey = byKey.get(key);
        if (sameKey === undefined) {
            byKey.set(key, [item]);
        } else {
            sameKey.push(item);
        }
    }
    return byKey;
}

/** Counts items by key. */
export function countBy<T>(items: Iterable<T>, keyOf: (item: T) => string): ReadonlyMap<string, number> {
    return new Map([...groupBy(items, keyOf)].map(([key, sameKey]) => [key, sameKey.length]));
}

/** True if two sets have the same items. */
export function haveSameItems(left: ReadonlySet<string>, right: ReadonlySet<string>): boolean {
    return left.size === right.size && [...left].every(item => right.has(item));
}

/** Deletes the entries whose keys are not in `kept`. */
export function keepOnlyKeys(
    map: Map<string, unknown>,
    kept: { readonly has: (key: string) => boolean },
): void {
    for (const key of map.keys()) {
        if (!kept.has(key)) {
            map.delete(key);
        }
    }
}
