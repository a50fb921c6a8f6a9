/** Capacity of the fake engines: the request rate that they complete with all slots taken. */
import { createArrivals, equalSubscribers } from "./callers.js";
import type { EngineShape } from "./engines.js";
import { createTeam } from "./teams.js";
import { World, leastInFlightPolicy } from "./worlds.js";

const warmUp = 30_000;
const end = 90_000;
/** A rate that is above the capacity of any set-up. */
const backlogPerEngine = 25;

/** Returns completed requests per second of `engines` engines that always have requests waiting. */
export function measureCapacity(seed: number, engines = 4, shape?: EngineShape): number {
    const rates = equalSubscribers("team", 20, (engines * backlogPerEngine) / 20);
    const world = World.create({
        policy: leastInFlightPolicy,
        seed,
        arrivals: createArrivals(rates, end, seed, () => 1),
        teams: [createTeam("team")],
        engines,
        entries: 1,
        shape,
        warmUp,
        end,
    }).run();
    return world.figures.completed / ((end - warmUp) / 1_000);
}
