/** Creates teams for experiments. */
import type { Team } from "../../src/core/teams.js";

/** Returns a team whose limits allow long queues. */
export function createTeam(id: string, share = 1, rank = 0): Team {
    const limits = {
        queuedPerSubscriber: 64,
        queuedPerTeam: 2_000,
        requestMilliseconds: 120_000,
        maximumTokens: 4_096,
    };
    return { id, share, rank, models: ["model"], services: [], limits, subscribers: [] };
}
