/**
 * Runs calls of plain services: one loop feeds callers' requests, responses of the store and of services, and timer
 * ticks to the claim state machine, and executes the commands that it returns.
 *
 * - Idempotent calls are retried on other instances within the retry budget.
 * - Calls with an idempotency key are claimed first and run at most once.
 * - Other calls are sent once and never retried.
 */
import type { ServiceCalls, ServiceCallsOptions } from "./claim-options.js";
import { ServiceCallLoop } from "./claim-loops.js";

export type { ServiceOutcome } from "./claim-calls.js";
export type { RouteCall, ServiceCalls, ServiceCallsOptions } from "./claim-options.js";

/** Starts the loop and returns the functions that use it. */
export function createServiceCalls(options: ServiceCallsOptions): ServiceCalls {
    const loop = ServiceCallLoop.create(options);
    return { run: call => loop.run(call), whenIdle: () => loop.whenIdle() };
}
