/**
 * Calls of plain services: one loop that feeds callers' requests, answers of the store, answers of services and timers
 * to the claim machine, and carries out its commands.
 *
 * - Idempotent calls are repeated on another instance within the retry budget.
 * - Keyed calls are claimed first and run at most once.
 * - Other calls are sent once and never repeated.
 */
import type { ServiceCalls, ServiceCallsOptions } from "./claim-options.js";
import { ServiceCallLoop } from "./claim-loops.js";

export type { ServiceOutcome } from "./claim-calls.js";
export type { RouteCall, ServiceCalls, ServiceCallsOptions } from "./claim-options.js";

/** Starts a driver. */
export function createServiceCalls(options: ServiceCallsOptions): ServiceCalls {
    const loop = ServiceCallLoop.create(options);
    return { run: call => loop.run(call), idle: () => loop.idle() };
}
