/** The demo's configuration: the example of Anadolu, fitted to the demo's size. */
import { randomBytes } from "node:crypto";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import type { KeyValueStore } from "../src/contracts/key-value-stores.js";
import { safeParseConfigurationValue } from "../src/core/configuration-values.js";
import { unwrap } from "../src/core/errors.js";
import { systemClock } from "../src/links/clocks.js";
import { demoModel } from "./demo-layouts.js";
import { findPackageDirectory } from "./demo-processes.js";

const callMilliseconds = 3000;

/** Instances that hold one copy of the demo's model together. */
export const instancesPerReplica = 4;

/** Reads a directory of one JSON file for each path below `config/`. */
function readExample(name: string): Map<string, string> {
    const directory = join(findPackageDirectory(), "examples", name);
    const files = readdirSync(directory, { recursive: true, encoding: "utf8" }).filter(file =>
        file.endsWith(".json"),
    );
    return new Map(
        files.map(file => [
            `config/${file.slice(0, -".json".length)}`,
            readFileSync(join(directory, file), "utf8"),
        ]),
    );
}

/** Values of the demo: smaller groups, the depot beside the tracker, and a sealing key of its own. */
function demoValues(checksFencing: boolean): Map<string, string> {
    const values = readExample("anadolu");
    const set = (path: string, value: unknown): void => {
        values.set(path, JSON.stringify(value));
    };
    const policy = JSON.parse(values.get("config/placement/policy") ?? "{}") as object;
    set("config/placement/policy", { ...policy, enginesCheckFencing: checksFencing });
    set(`config/models/${demoModel}`, { version: "2026-11", instancesPerReplica, floor: 6 });
    set("config/services/depot", {});
    for (const path of [...values.keys()].filter(key => key.endsWith("/services"))) {
        set(path, ["tracker", "depot"]);
    }
    const secret = randomBytes(32).toString("base64");
    set("config/keys/resume", { current: "demo", keys: [{ id: "demo", secret }] });
    return values;
}

/** Writes the demo's configuration to an empty store. */
export async function applyDemoConfiguration(store: KeyValueStore, checksFencing: boolean): Promise<void> {
    const values = demoValues(checksFencing);
    for (const [path, value] of values) {
        unwrap(safeParseConfigurationValue(path, value));
    }
    const writes = [...values].map(async ([key, value]) => {
        const deadline = systemClock.monotonicMilliseconds() + callMilliseconds;
        const outcome = await store.compareAndSwap(
            { key, expectedRevision: 0, value },
            { deadline, priority: "configuration" },
        );
        if (outcome.kind !== "swapped") {
            throw new Error(`"${key}" was not written: ${outcome.kind}`);
        }
    });
    await Promise.all(writes);
}
