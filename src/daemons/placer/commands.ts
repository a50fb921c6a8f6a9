/** Executes a placer's commands through the key-value service and the engines, and returns the responses as events. */
import type { Clock } from "../../contracts/clocks.js";
import type { Engines } from "../../contracts/engines.js";
import type { KeyValueStore } from "../../contracts/key-value-stores.js";
import type { Fault } from "../../core/errors.js";
import { fail, toFault } from "../../core/errors.js";
import type { RecordEvent } from "../../core/events.js";
import type { DomainCommand } from "../../core/domain-placers.js";
import type { PlacerCommand, PlacerEvent } from "../../core/placement-messages.js";
import { placementKey, placementLeaseKey } from "../../core/fabric-placement.js";
import { callTimeoutMilliseconds, createCallOptions, runLeaseCommand } from "../lease-commands.js";

/** Dependencies of commands. */
export interface CommandContext {
    readonly store: KeyValueStore;
    readonly engines: Pick<Engines, "order" | "probe">;
    readonly clock: Clock;
    readonly record: RecordEvent;
}

/** Executes one command; resolves to undefined if the command has no response. Never rejects. */
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

async function runPlacementCommand(
    key: string,
    command: CommandOf<"readPlacement" | "swapPlacement">,
    context: CommandContext,
): Promise<PlacerEvent> {
    const options = createCallOptions("placement", context);
    if (command.kind === "readPlacement") {
        const result = await context.store.get(key, options);
        return { kind: "placementRead", call: command.call, result };
    }
    const { call, expectedRevision, value, notAfter } = command;
    if (context.clock.monotonicMilliseconds() >= notAfter) {
        return {
            kind: "placementSwapped",
            call,
            outcome: { kind: "notSent", fault: createExpiredLeaseFault("place") },
        };
    }
    const outcome = await context.store.compareAndSwap({ key, expectedRevision, value }, options);
    return { kind: "placementSwapped", call, outcome };
}

/** Checks the lease deadline immediately before sending, because time may have passed since the decision. */
async function runEngineCommand(
    command: CommandOf<"probe" | "order">,
    context: CommandContext,
): Promise<PlacerEvent> {
    const sentAt = context.clock.monotonicMilliseconds();
    const { call, instance } = command;
    if (command.kind === "probe") {
        const result = await context.engines
            .probe(instance, sentAt + callTimeoutMilliseconds)
            .catch((thrown: unknown) => fail(toFault(thrown, "probe", instance.id)));
        return { kind: "probed", call, instance: instance.id, sentAt, result };
    }
    if (sentAt >= command.notAfter) {
        const result = fail(createExpiredLeaseFault("order"));
        return { kind: "orderAnswered", call, instance: instance.id, sentAt, result };
    }
    const result = await context.engines
        .order(instance, command.order)
        .catch((thrown: unknown) => fail(toFault(thrown, "order", instance.id)));
    return { kind: "orderAnswered", call, instance: instance.id, sentAt, result };
}

function createExpiredLeaseFault(step: Fault["step"]): Fault {
    return {
        code: "deadlinePassed",
        message: "the placement lease expired before the request was sent",
        step,
        notRun: true,
    };
}
