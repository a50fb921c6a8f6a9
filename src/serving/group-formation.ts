/**
 * Forms one replica group, from the first join order to the open leader. The leader is opened only after every member
 * has itself reported ready under the group's name and epoch.
 */
import type { EngineModel } from "./engine-model.js";
import { groupKey } from "./fleets.js";
import type { EngineStatus } from "./fleets.js";
import type { GroupOrder, OrderReply } from "./group-orders.js";

/** Interval between report requests to a member that may be ready, in milliseconds. */
const formationReportIntervalMilliseconds = 150;
/** Maximum interval between report requests to a member that cannot be ready yet: its loss has to be noticed. */
const maximumReportIntervalMilliseconds = 1_000;
/** Time beyond the expected load time after which a formation has failed, in milliseconds. */
const formationSlackMilliseconds = 20_000;

/** Time after which an accepted open order that had no effect is sent again, in milliseconds. */
const openTimeoutMilliseconds = 1_500;

/** An order that is due to be sent to an instance. */
export interface PlannedOrder {
    readonly instance: string;
    readonly order: GroupOrder;
}

export interface FormationOptions {
    readonly group: string;
    readonly epoch: number;
    readonly model: EngineModel;
    readonly members: readonly string[];
    /** Local monotonic milliseconds. */
    readonly startedAt: number;
    /** Key of the group that this one replaces if its silent members stay silent. */
    readonly replacedGroup?: string | undefined;
    /** Members that are still in the replaced group; they join once they are released. */
    readonly boundMembers?: readonly string[];
    /** Local monotonic milliseconds before which a member cannot be ready; members without an entry may be at any time. */
    readonly earliestReadyAt?: ReadonlyMap<string, number>;
}

/** State machine of the formation of one group. */
export class GroupFormation {
    private readonly bound: Set<string>;
    private readonly joined = new Set<string>();
    private readonly ready = new Set<string>();
    private isLeaderOpen = false;
    private isRefused = false;
    /** Local monotonic milliseconds until which an accepted open order may take effect. */
    private openingUntil = 0;

    private constructor(public readonly options: FormationOptions) {
        this.bound = new Set(options.boundMembers);
    }

    public static create(options: FormationOptions): GroupFormation {
        return new GroupFormation(options);
    }

    public get key(): string {
        return groupKey(this.options);
    }

    public get isOpen(): boolean {
        return this.isLeaderOpen;
    }

    /** Members that are not released yet from the group that they were in. */
    public get boundMembers(): readonly string[] {
        return [...this.bound];
    }

    /** Lets a member join that has left the group that it was in. */
    public release(member: string): void {
        this.bound.delete(member);
    }

    public hasFailed(now: number): boolean {
        const { model, startedAt } = this.options;
        return this.isRefused || now > startedAt + model.loadMilliseconds + formationSlackMilliseconds;
    }

    /** Returns the due orders. Orders are idempotent, so each may be sent again until it gets a reply. */
    public dueOrders(now: number): readonly PlannedOrder[] {
        const { group, epoch, model, members } = this.options;
        const unjoined = members.filter(member => !this.joined.has(member));
        if (unjoined.length > 0) {
            const order: GroupOrder = { kind: "join", group, epoch, model: model.name, members };
            const released = unjoined.filter(member => !this.bound.has(member));
            return released.map(instance => ({ instance, order }));
        }
        const leader = members[0];
        const isOpening = this.isLeaderOpen || now < this.openingUntil;
        if (leader === undefined || isOpening || !members.every(member => this.ready.has(member))) {
            return [];
        }
        return [{ instance: leader, order: { kind: "open", group, epoch } }];
    }

    /** Returns the members whose reports the formation waits for, with the interval between requests in milliseconds. */
    public awaitedReports(now: number): ReadonlyMap<string, number> {
        const { members, earliestReadyAt } = this.options;
        const unready = members.filter(member => !this.ready.has(member) && !this.bound.has(member));
        const awaited = unready.length > 0 ? unready : members.slice(0, 1);
        return new Map(
            awaited.map(member => {
                const remaining = (earliestReadyAt?.get(member) ?? now) - now;
                const interval = Math.max(formationReportIntervalMilliseconds, remaining);
                return [member, Math.min(maximumReportIntervalMilliseconds, interval)];
            }),
        );
    }

    public handleReply(instance: string, order: GroupOrder, reply: OrderReply, now: number): void {
        const isAccepted = reply.kind === "begun" || reply.kind === "holds";
        if (order.kind === "join") {
            if (isAccepted) {
                this.joined.add(instance);
            }
            this.isRefused ||= reply.kind === "refused";
        }
        if (order.kind === "open" && isAccepted) {
            this.openingUntil = now + openTimeoutMilliseconds;
        }
    }

    public handleReport(instance: string, status: EngineStatus): void {
        const { membership } = status;
        if (membership === undefined || groupKey(membership) !== this.key) {
            this.isRefused ||= this.ready.has(instance);
            return;
        }
        this.joined.add(instance);
        if (membership.state === "ready" || membership.state === "open") {
            this.ready.add(instance);
        }
        if (membership.state === "open") {
            this.isLeaderOpen = true;
        }
        this.isRefused ||= membership.state === "broken";
    }
}
