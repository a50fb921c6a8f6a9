/** Executes the commands of a lease through the key-value service. */
import type { Clock } from "../contracts/clocks.js";
import type { KeyValueStore, StoreCallOptions } from "../contracts/key-value-stores.js";
import type { LeaseCommand, LeaseEvent } from "../core/placer-lease.js";

/** Time-out of one call of the key-value service or of one probe, in milliseconds. */
export const callTimeoutMilliseconds = 2_000;

/** Dependencies of lease commands. */
export interface LeaseCommandContext {
    readonly store: KeyValueStore;
    readonly clock: Clock;
}

/** Executes one command of a lease on a key; resolves to undefined if the command has no response. */
export async function runLeaseCommand(
    key: string,
    command: LeaseCommand,
    context: LeaseCommandContext,
): Promise<LeaseEvent | undefined> {
    const { store } = context;
    const options = createCallOptions("lease", context);
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

/** Returns the options of a call of the key-value service that starts now. */
export function createCallOptions(
    priority: StoreCallOptions["priority"],
    context: Pick<LeaseCommandContext, "clock">,
): StoreCallOptions {
    return { deadline: context.clock.monotonicMilliseconds() + callTimeoutMilliseconds, priority };
}
