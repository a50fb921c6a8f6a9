/** Carries out a placer's commands through the key-value service and the engines, and returns the answers as events. */
import type { Clock } from "../../contracts/clocks.js";
import type { Engines } from "../../contracts/engines.js";
import type { KeyValueStore, StoreCallOptions } from "../../contracts/key-value-stores.js";
import type { Fault } from "../../core/errors.js";
import { fail, toFault } from "../../core/errors.js";
import type { RecordEvent } from "../../core/events.js";
import type { DomainCommand } from "../../core/placement-domains.js";
import type { LeaseCommand, LeaseEvent } from "../../core/placement-leases.js";
import type { PlacerCommand, PlacerEvent } from "../../core/placement-messages.js";
import { placementKey, placementLeaseKey } from "../../core/placement-values.js";

/** What commands need. */
export interface CommandContext {
    readonly store: KeyValueStore;
    readonly engines: Pick<Engines, "order" | "probe">;
    readonly clock: Clock;
    readonly record: RecordEvent;
}

/** Time that one call of the key-value service or one probe may take, in milliseconds. */
const callMilliseconds = 2_000;

/** Carries out one command; undefined if it has no answer. Never rejects. */
export async function runCommand(
    { fabricDomain, command }: DomainCommand,
    context: CommandContext,
): Promise<PlacerEvent | undefined> {
    switch (command.kind) {
        case "record":
            context.record(command.body);
            return undefined;
        case "readPlacement":
        case "swapPlacement":
            return runPlacementCommand(placementKey(fabricDomain), command, context);
        case "probe":
        case "order":
            return runEngineCommand(command, context);
        case "readLease":
        case "grantLease":
        case "claimLease":
        case "renewLease":
        case "revokeLease":
            return runLeaseCommand(placementLeaseKey(fabricDomain), command, context);
    }
}

type CommandOf<Kind extends PlacerCommand["kind"]> = Extract<PlacerCommand, { readonly kind: Kind }>;

/** Carries out one command of a lease on a key; undefined if it has no answer. */
export async function runLeaseCommand(
    key: string,
    command: LeaseCommand,
    context: Pick<CommandContext, "store" | "clock">,
): Promise<LeaseEvent | undefined> {
    const { store } = context;
    const options = callOptions("lease", context);
    switch (command.kind) {
        case "readLease":
            return { kind: "leaseRead", call: command.call, result: await store.get(key, options) };
        case "grantLease": {
            const result = await store.grantLease(command.seconds, options);
            return { kind: "leaseGranted", call: command.call, result };
        }
        case "claimLease": {
            const { value, lease, expectedRevision } = command;
            const outcome = await store.compareAndSwap({ key, expectedRevision, value, lease }, options);
            return { kind: "leaseClaimed", call: command.call, outcome };
        }
        case "renewLease": {
            const result = await store.renewLease(command.lease, options);
            return { kind: "leaseRenewed", call: command.call, result };
        }
        case "revokeLease":
            await store.revokeLease(command.lease, options);
            return undefined;
    }
}

async function runPlacementCommand(
    key: string,
    command: CommandOf<"readPlacement" | "swapPlacement">,
    context: CommandContext,
): Promise<PlacerEvent> {
    const options = callOptions("placement", context);
    if (command.kind === "readPlacement") {
        const result = await context.store.get(key, options);
        return { kind: "placementRead", call: command.call, result };
    }
    const { call, expectedRevision, value, notAfter } = command;
    if (context.clock.monotonicMilliseconds() >= notAfter) {
        return {
            kind: "placementSwapped",
            call,
            outcome: { kind: "notSent", fault: createLapsedFault("place") },
        };
    }
    const outcome = await context.store.compareAndSwap({ key, expectedRevision, value }, options);
    return { kind: "placementSwapped", call, outcome };
}

/** The lease deadline is checked immediately before the send, as time may have passed since the decision. */
async function runEngineCommand(
    command: CommandOf<"probe" | "order">,
    context: CommandContext,
): Promise<PlacerEvent> {
    const sentAt = context.clock.monotonicMilliseconds();
    const { call, instance } = command;
    if (command.kind === "probe") {
        const result = await context.engines
            .probe(instance, sentAt + callMilliseconds)
            .catch((thrown: unknown) => fail(toFault(thrown, "probe", instance.id)));
        return { kind: "probed", call, instance: instance.id, sentAt, result };
    }
    if (sentAt >= command.notAfter) {
        const result = fail(createLapsedFault("order"));
        return { kind: "orderAnswered", call, instance: instance.id, sentAt, result };
    }
    const result = await context.engines
        .order(instance, command.order)
        .catch((thrown: unknown) => fail(toFault(thrown, "order", instance.id)));
    return { kind: "orderAnswered", call, instance: instance.id, sentAt, result };
}

function callOptions(
    priority: StoreCallOptions["priority"],
    context: Pick<CommandContext, "clock">,
): StoreCallOptions {
    return { deadline: context.clock.monotonicMilliseconds() + callMilliseconds, priority };
}

function createLapsedFault(step: Fault["step"]): Fault {
    return {
        code: "deadlinePassed",
        message: "the placement lease lapsed before the send",
        step,
        notRun: true,
    };
}
