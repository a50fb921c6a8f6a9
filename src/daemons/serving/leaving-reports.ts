/** Instances that leave, as their own responses, their registrations and the other entry instances state it. */
import type { PartLogger } from "../../links/logs.js";
import type { Fleet, FleetInstance } from "../../serving/fleets.js";
import type { LeavingInstance } from "../../serving/leaving-instances.js";
import { LeavingInstances } from "../../serving/leaving-instances.js";

export interface LeavingReportsOptions {
    /** The fleet in use. */
    readonly fleet: () => Fleet;
    /** Called when instances were found to be leaving, before any further request is sent. */
    readonly onChange: () => void;
    /** Called when this process itself found an instance to be leaving. */
    readonly onOwnChange: () => void;
    readonly log: PartLogger;
}

export class LeavingReports {
    private readonly stated = LeavingInstances.create();

    private constructor(private readonly options: LeavingReportsOptions) {}

    public static create(options: LeavingReportsOptions): LeavingReports {
        return new LeavingReports(options);
    }

    /** All instances that are known to leave, for the other entry instances. */
    public get all(): readonly LeavingInstance[] {
        const { instances } = this.options.fleet();
        const registered = [...instances.values()].filter(({ isLeaving }) => isLeaving);
        const unregistered = this.stated.all.filter(({ id }) => !instances.has(id));
        return [...registered.map(startOf), ...unregistered];
    }

    public isLeaving(instance: FleetInstance): boolean {
        return this.stated.has(startOf(instance));
    }

    /** Returns the fleet with its leaving instances marked. */
    public apply(fleet: Fleet): Fleet {
        return this.stated.apply(fleet);
    }

    /** Takes an instance out of use that states in a response that it leaves. */
    public record(instance: FleetInstance): void {
        const { log, onChange, onOwnChange } = this.options;
        if (this.stated.record(startOf(instance))) {
            log.info("instance states that it leaves", { instance: instance.id });
            onChange();
            onOwnChange();
        }
    }

    /** Takes the instances out of use that another entry instance found to be leaving. */
    public recordFromPeer(from: string, leaving: readonly LeavingInstance[]): void {
        const { fleet, log, onChange } = this.options;
        const { instances } = fleet();
        const known = leaving.filter(({ id, incarnation }) => {
            const instance = instances.get(id);
            return instance !== undefined && instance.status.incarnation === incarnation;
        });
        const added = known.filter(each => this.stated.record(each)).map(({ id }) => id);
        if (added.length > 0) {
            log.info("a peer states that instances leave", { from, instances: added });
            onChange();
        }
    }
}

/** Returns the present start of an instance. */
function startOf({ id, status }: FleetInstance): LeavingInstance {
    return { id, incarnation: status.incarnation };
}
