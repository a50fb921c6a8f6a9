import test from "ava";
import { countBy, groupBy, keepOnlyKeys } from "../collections.js";

test("items are grouped and counted by key, in their order", t => {
    const words = ["able", "bake", "axis"];
    const groups = groupBy(words, word => word[0]!);
    t.deepEqual(
        [...groups],
        [
            ["a", ["able", "axis"]],
            ["b", ["bake"]],
        ],
    );
    t.deepEqual(
        [...countBy(words, word => word[0]!)],
        [
            ["a", 2],
            ["b", 1],
        ],
    );
    t.is(groupBy([], String).size, 0);
});

test("entries whose keys are not kept are deleted", t => {
    const map = new Map([
        ["a", 1],
        ["b", 2],
        ["c", 3],
    ]);
    keepOnlyKeys(map, new Set(["b"]));
    t.deepEqual([...map.keys()], ["b"]);
});
