/** The placer daemon's wiring: merges all inputs into one stream, feeds the core, and carries out its commands. */
import type { Observable, Subscription } from "rxjs";
import { Subject, interval, map, merge } from "rxjs";
import type { RandomNumber } from "../../contracts/clocks.js";
import type { FailureDomainId } from "../../core/failure-domains.js";
import type { EndpointHealth } from "../../core/endpoints.js";
import type { Instance, InstanceId } from "../../core/instances.js";
import type { DomainCommand, DomainEvent } from "../../core/placement-domains.js";
import { DomainPlacers } from "../../core/placement-domains.js";
import type { PlacementPolicy } from "../../core/placement-policies.js";
import type { FabricPlacement } from "../../core/placement-values.js";
import type { DecideRepair } from "../../core/repairs.js";
import { priceRepair } from "../../core/repairs.js";
import type { CommandContext } from "./commands.js";
import { runCommand } from "./commands.js";

/** What the placer daemon is started with. Health reports must reach it within their health deadline. */
export interface PlacerDaemonOptions extends CommandContext {
    readonly instance: InstanceId;
    readonly failureDomain: FailureDomainId;
    readonly random: RandomNumber;
    readonly instances: Observable<readonly Instance[]>;
    readonly health: Observable<EndpointHealth>;
    readonly policy: Observable<PlacementPolicy>;
    readonly decideRepair?: DecideRepair;
}

/** One fabric domain on the status page. */
export interface FabricDomainStatus {
    readonly fabricDomain: string;
    readonly isHolder: boolean;
    readonly placement?: FabricPlacement;
}

/** A running placer daemon. */
export interface PlacerDaemon {
    readonly status: () => readonly FabricDomainStatus[];
    /** Stops deciding and gives up all leases. */
    readonly stop: () => Promise<void>;
}

const tickMilliseconds = 250;

/** Starts to compete for the leases of all fabric domains of the failure domain. */
export function startPlacer(options: PlacerDaemonOptions): PlacerDaemon {
    const now = options.clock.monotonicMilliseconds;
    const answers = new Subject<DomainEvent>();
    const placers = DomainPlacers.create({
        failureDomain: options.failureDomain,
        instance: options.instance,
        holder: `${options.instance}/${createNonce(options.random)}`,
        createNonce: () => createNonce(options.random),
        decideRepair: options.decideRepair ?? priceRepair,
    });
    const run = async (command: DomainCommand): Promise<void> => {
        const event = await runCommand(command, options);
        if (event !== undefined) {
            answers.next({ kind: "answer", fabricDomain: command.fabricDomain, event });
        }
    };
    const subscription: Subscription = mergeInputs(options, answers).subscribe(event => {
        placers.step(event, now()).forEach(command => void run(command));
    });
    return {
        status: () => describe(placers, now()),
        stop: async () => {
            subscription.unsubscribe();
            await Promise.all(placers.stop(now()).map(run));
        },
    };
}

function mergeInputs(
    options: PlacerDaemonOptions,
    answers: Observable<DomainEvent>,
): Observable<DomainEvent> {
    return merge(
        answers,
        options.instances.pipe(map((instances): DomainEvent => ({ kind: "instances", instances }))),
        options.health.pipe(map((health): DomainEvent => ({ kind: "health", health }))),
        options.policy.pipe(map((policy): DomainEvent => ({ kind: "policy", policy }))),
        interval(tickMilliseconds).pipe(map((): DomainEvent => ({ kind: "tick" }))),
    );
}

function describe(placers: DomainPlacers, now: number): readonly FabricDomainStatus[] {
    return placers.fabricDomains.map(fabricDomain => {
        const placer = placers.placerOf(fabricDomain);
        return {
            fabricDomain,
            isHolder: placer?.isHolder(now) ?? false,
            placement: placer?.placement,
        };
    });
}

/** A text that no other process or write uses, from 106 random bits. */
function createNonce(random: RandomNumber): string {
    const part = (): string => Math.floor(random() * Number.MAX_SAFE_INTEGER).toString(36);
    return `${part()}${part()}`;
}
