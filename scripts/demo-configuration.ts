/** The demo's configuration: the example of Anadolu, adapted to the demo's size. */
import { randomBytes } from "node:crypto";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import type { KeyValueStore } from "../src/contracts/key-value-stores.js";
import { safeParseConfigurationValue } from "../src/core/configuration-values.js";
import { unwrap } from "../src/core/errors.js";
import { systemClock } from "../src/links/system-clock.js";
import { demoModel } from "./demo-layout.js";
import { findPackageDirectory } from "./demo-process.js";

const callTimeoutMilliseconds = 3000;

/** Instances of one replica of the demo's model. */
export const instancesPerReplica = 4;

/** Reads an example directory, which has one JSON file for each path below `config/`. */
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

/** Returns the example's values with smaller groups, the added service `depot` and a new random sealing key. */
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
        const deadline = systemClock.monotonicMilliseconds() + callTimeoutMilliseconds;
        const outcome = await store.compareAndSwap(
            { key, expectedRevision: 0, value },
            { deadline, priority: "configuration" },
        );
        if (outcome.kind !== "swapped") {
            throw new Error(`could not write "${key}" to the empty store: ${outcome.kind}`);
        }
    });
    await Promise.all(writes);
}
