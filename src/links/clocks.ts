/** The machine's clocks. */
import { performance } from "node:perf_hooks";
import type { Clock } from "../contracts/clocks.js";

/** Clocks of this process. */
export const systemClock: Clock = {
    monotonicMilliseconds: () => performance.now(),
    wallMilliseconds: () => Date.now(),
};
