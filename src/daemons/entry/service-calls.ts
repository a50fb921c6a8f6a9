/**
 * Runs calls of plain services: one loop feeds callers' requests, responses of the store and of services, and timer
 * ticks to the claim state machine, and executes the commands that it returns.
 *
 * - Idempotent calls are retried on other instances within the retry budget.
 * - Calls with an idempotency key are claimed first and run at most once.
 * - Other calls are sent once and never retried.
 */
import type { ServiceCalls, ServiceCallsOptions } from "./service-call-options.js";
import { ServiceCallLoop } from "./service-call-loop.js";

export type { ServiceOutcome } from "./running-call.js";
export type { RouteCall, ServiceCalls, ServiceCallsOptions } from "./service-call-options.js";

/** Starts the loop and returns the functions that use it. */
export function createServiceCalls(options: ServiceCallsOptions): ServiceCalls {
    const loop = ServiceCallLoop.create(options);
    return { run: call => loop.run(call), whenIdle: () => loop.whenIdle() };
}
