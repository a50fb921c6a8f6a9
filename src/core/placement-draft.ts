/**
 * A draft of the next placement. Every method keeps an instance in at most one list and raises the epoch of a changed
 * group.
 */
import type { InstanceId } from "./instances.js";
import type { FabricPlacement, PlacedGroup } from "./fabric-placement.js";
import type { ModelVersion, ReplicaGroupId, ReplicaGroupState } from "./replica-groups.js";

/** Collects the changes of one compare-and-swap. */
export class PlacementDraft {
    private epoch: number;
    private nextGroup: number;
    private readonly groupById: Map<ReplicaGroupId, PlacedGroup>;
    private readonly spareSet: Set<InstanceId>;
    private readonly quarantinedSet: Set<InstanceId>;
    private changed = false;

    private constructor(private readonly base: FabricPlacement) {
        this.epoch = base.epoch;
        this.nextGroup = base.nextGroup;
        this.groupById = new Map(base.groups.map(group => [group.id, group]));
        this.spareSet = new Set(base.spares);
        this.quarantinedSet = new Set(base.quarantined);
    }

    public static create(base: FabricPlacement): PlacementDraft {
        return new PlacementDraft(base);
    }

    public get groups(): readonly PlacedGroup[] {
        return [...this.groupById.values()];
    }

    public get spares(): readonly InstanceId[] {
        return [...this.spareSet];
    }

    public get quarantined(): readonly InstanceId[] {
        return [...this.quarantinedSet];
    }

    public isSpare(instance: InstanceId): boolean {
        return this.spareSet.has(instance);
    }

    /** Keeps the epoch counter at or above an epoch that an engine reported. */
    public raiseEpochTo(epoch: number): void {
        if (epoch > this.epoch) {
            this.epoch = epoch;
            this.changed = true;
        }
    }

    /** Creates a group from spares, in state "forming" until it may load. */
    public startGroup(model: ModelVersion, members: readonly InstanceId[]): void {
        const id = `${this.base.fabricDomain}/${this.nextGroup}`;
        this.nextGroup += 1;
        const epoch = this.raiseEpoch();
        members.forEach(member => this.spareSet.delete(member));
        const fabricDomain = this.base.fabricDomain;
        this.groupById.set(id, { id, model, fabricDomain, members, epoch, loadEpoch: 0, state: "forming" });
    }

    /** Moves a group to another state. */
    public moveGroup(id: ReplicaGroupId, state: ReplicaGroupState): void {
        const group = this.groupById.get(id);
        if (group === undefined) {
            return;
        }
        const epoch = this.raiseEpoch();
        const loadEpoch = state === "loading" ? epoch : group.loadEpoch;
        this.groupById.set(id, { ...group, state, epoch, loadEpoch });
    }

    /** Replaces the members of a group. New members are taken from the spares; removed members are quarantined. */
    public reformGroup(id: ReplicaGroupId, members: readonly InstanceId[]): void {
        const group = this.groupById.get(id);
        if (group === undefined) {
            return;
        }
        const kept = new Set(members);
        members.forEach(member => this.spareSet.delete(member));
        group.members.filter(member => !kept.has(member)).forEach(member => this.quarantinedSet.add(member));
        this.groupById.set(id, { ...group, members, state: "forming", epoch: this.raiseEpoch() });
    }

    /** Removes a group. Members that acknowledged their release become spares, the others are quarantined. */
    public dissolveGroup(id: ReplicaGroupId, isReleased: (instance: InstanceId) => boolean): void {
        const group = this.groupById.get(id);
        if (group === undefined) {
            return;
        }
        this.raiseEpoch();
        this.groupById.delete(id);
        for (const member of group.members) {
            (isReleased(member) ? this.spareSet : this.quarantinedSet).add(member);
        }
    }

    /** Adds an instance that belongs to no group and reported idle as a spare. */
    public addSpare(instance: InstanceId): void {
        this.quarantinedSet.delete(instance);
        this.spareSet.add(instance);
        this.changed = true;
    }

    /** Drops a spare or quarantined instance from the value. */
    public forget(instance: InstanceId): void {
        const dropped = this.spareSet.delete(instance) || this.quarantinedSet.delete(instance);
        this.changed ||= dropped;
    }

    /** Returns the changed placement, or undefined if nothing changed. */
    public finish(nonce: string): FabricPlacement | undefined {
        if (!this.changed) {
            return undefined;
        }
        const { epoch, nextGroup, groups, spares, quarantined } = this;
        return { fabricDomain: this.base.fabricDomain, nonce, epoch, nextGroup, groups, spares, quarantined };
    }

    private raiseEpoch(): number {
        this.epoch += 1;
        this.changed = true;
        return this.epoch;
    }
}
