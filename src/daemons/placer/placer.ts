/**
 * Merges all inputs of the placers into one event stream, passes it to the placement core and executes the core's
 * commands.
 */
import type { Observable, Subscription } from "rxjs";
import { Subject, interval, map, merge } from "rxjs";
import type { RandomNumber } from "../../contracts/clocks.js";
import type { FailureDomainId } from "../../core/failure-domains.js";
import type { EndpointHealth } from "../../core/endpoints.js";
import type { Instance, InstanceId } from "../../core/instances.js";
import type { DomainCommand, DomainEvent } from "../../core/domain-placers.js";
import { DomainPlacers } from "../../core/domain-placers.js";
import type { PlacementPolicy } from "../../core/placement-policy.js";
import type { FabricPlacement } from "../../core/fabric-placement.js";
import type { DecideRepair } from "../../core/repair-decision.js";
import { chooseCheapestRepair } from "../../core/repair-decision.js";
import type { CommandContext } from "./commands.js";
import { runCommand } from "./commands.js";

/** Options of `startPlacer`. Health reports must reach the placer within their health deadline. */
export interface PlacerOptions extends CommandContext {
    readonly instance: InstanceId;
    readonly failureDomain: FailureDomainId;
    readonly random: RandomNumber;
    readonly instances: Observable<readonly Instance[]>;
    readonly health: Observable<EndpointHealth>;
    readonly policy: Observable<PlacementPolicy>;
    readonly decideRepair?: DecideRepair;
}

/** Status of one fabric domain, as served on the admin port. */
export interface FabricDomainStatus {
    readonly fabricDomain: string;
    readonly isHolder: boolean;
    readonly placement?: FabricPlacement;
}

/** A running placer. */
export interface RunningPlacer {
    readonly status: () => readonly FabricDomainStatus[];
    /** Stops making decisions and releases all leases. */
    readonly stop: () => Promise<void>;
}

const tickIntervalMilliseconds = 250;

/** Starts competing for the leases of all fabric domains of the failure domain. */
export function startPlacer(options: PlacerOptions): RunningPlacer {
    const now = options.clock.monotonicMilliseconds;
    const responses = new Subject<DomainEvent>();
    const placers = DomainPlacers.create({
        failureDomain: options.failureDomain,
        instance: options.instance,
        holder: `${options.instance}/${createNonce(options.random)}`,
        createNonce: () => createNonce(options.random),
        decideRepair: options.decideRepair ?? chooseCheapestRepair,
    });
    const run = async (command: DomainCommand): Promise<void> => {
        const event = await runCommand(command, options);
        if (event !== undefined) {
            responses.next({ kind: "answer", fabricDomain: command.fabricDomain, event });
        }
    };
    const subscription: Subscription = mergeInputs(options, responses).subscribe(event => {
        placers.step(event, now()).forEach(command => void run(command));
    });
    return {
        status: () => createStatus(placers, now()),
        stop: async () => {
            subscription.unsubscribe();
            await Promise.all(placers.stop(now()).map(run));
        },
    };
}

function mergeInputs(options: PlacerOptions, responses: Observable<DomainEvent>): Observable<DomainEvent> {
    return merge(
        responses,
        options.instances.pipe(map((instances): DomainEvent => ({ kind: "instances", instances }))),
        options.health.pipe(map((health): DomainEvent => ({ kind: "health", health }))),
        options.policy.pipe(map((policy): DomainEvent => ({ kind: "policy", policy }))),
        interval(tickIntervalMilliseconds).pipe(map((): DomainEvent => ({ kind: "tick" }))),
    );
}

function createStatus(placers: DomainPlacers, now: number): readonly FabricDomainStatus[] {
    return placers.fabricDomains.map(fabricDomain => {
        const placer = placers.placerOf(fabricDomain);
        return {
            fabricDomain,
            isHolder: placer?.isHolder(now) ?? false,
            placement: placer?.placement,
        };
    });
}

/** Returns a string of 106 random bits that no other process or write uses. */
function createNonce(random: RandomNumber): string {
    const randomPart = (): string => Math.floor(random() * Number.MAX_SAFE_INTEGER).toString(36);
    return `${randomPart()}${randomPart()}`;
}
