/** The system clock. */
import { performance } from "node:perf_hooks";
import type { Clock } from "../contracts/clocks.js";

/** Monotonic and wall clock of this process. */
export const systemClock: Clock = {
    monotonicMilliseconds: () => performance.now(),
    wallMilliseconds: () => Date.now(),
};
