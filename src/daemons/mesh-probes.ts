/** Probes the endpoints that are assigned to this process and records their reports in the mesh state. */
import type { Clock } from "../contracts/clocks.js";
import type { Engines } from "../contracts/engines.js";
import type { RecordEvent } from "../core/events.js";
import type { Instance, InstanceId } from "../core/instances.js";
import type { MeshState } from "../core/mesh-state.js";
import type { ProbeView } from "../core/probe-plan.js";
import { ProbePlan, probeTimeoutMilliseconds } from "../core/probe-plan.js";

/** Options of `MeshProbes`. */
export interface MeshProbesOptions {
    readonly state: MeshState;
    readonly probe: Engines["probe"];
    readonly clock: Clock;
    readonly recordEvent: RecordEvent;
    readonly view: (now: number) => ProbeView;
    readonly onChange: () => void;
}

/** Runs the probes of this process. */
export class MeshProbes {
    private readonly plan = ProbePlan.create();
    private readonly lastStates = new Map<InstanceId, string>();

    private constructor(private readonly options: MeshProbesOptions) {}

    public static create(options: MeshProbesOptions): MeshProbes {
        return new MeshProbes(options);
    }

    /** Number of endpoints that are assigned to this process. */
    public get assignedCount(): number {
        return this.plan.size;
    }

    /** Starts the probes that are due. */
    public tick(): void {
        const now = this.now();
        for (const instance of this.plan.takeDue(this.options.view(now), now)) {
            void this.probe(instance);
        }
    }

    /** Probes an endpoint soon because a stream or a peer indicated a problem. */
    public expedite(instance: InstanceId): void {
        this.plan.expedite(instance, this.now());
    }

    private now(): number {
        return this.options.clock.monotonicMilliseconds();
    }

    private async probe(instance: Instance): Promise<void> {
        const startedAt = this.now();
        const response = await this.options.probe(instance, startedAt + probeTimeoutMilliseconds);
        const now = this.now();
        if (!response.success || response.data.instance !== instance.id) {
            this.handleFailure(instance, startedAt, now);
            return;
        }
        this.plan.recordSuccess(instance.id, this.options.view(now), now);
        // The report's age counts from the start of the probe, so that a response that is read late does not appear
        // newer.
        if (this.options.state.observeReport(response.data, startedAt)) {
            this.recordState(instance.id, response.data.leaving ? "leaving" : response.data.state);
            this.options.onChange();
        }
    }

    private handleFailure(instance: Instance, startedAt: number, now: number): void {
        const failingSince = this.plan.recordFailure(instance.id, startedAt, now);
        if (failingSince !== undefined && this.options.state.observeFailure(instance.id, failingSince, now)) {
            this.recordState(instance.id, "unreachable");
            this.options.onChange();
        }
    }

    private recordState(instance: InstanceId, state: string): void {
        if (this.lastStates.get(instance) !== state) {
            this.lastStates.set(instance, state);
            this.options.recordEvent({ kind: "endpointChanged", instance, state });
        }
    }
}
