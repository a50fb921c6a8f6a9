/** Measures the capacity of the fake engines: the rate of completed requests while all slots are occupied. */
import { createArrivals, equalSubscribers } from "./arrivals.js";
import type { EngineShape } from "./fake-engine.js";
import { createTeam } from "./team.js";
import { RoutingSimulation, leastInFlightPolicy } from "./routing-simulation.js";

const warmUp = 30_000;
const end = 90_000;
/** Requests per second and engine; above the capacity of every simulated fleet. */
const backlogPerEngine = 25;

/** Returns completed requests per second of `engines` engines that always have requests waiting. */
export function measureCapacity(seed: number, engines = 4, shape?: EngineShape): number {
    const rates = equalSubscribers("team", 20, (engines * backlogPerEngine) / 20);
    const simulation = RoutingSimulation.create({
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
    return simulation.figures.completed / ((end - warmUp) / 1_000);
}
