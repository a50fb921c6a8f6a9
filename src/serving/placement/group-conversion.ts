/**
 * Converts replica groups of a model with room into groups of a short model. The members load the new weights while they serve,
 * so that no capacity is lost during the loads and the conversion can still be given up when the demand changes; then the groups
 * are closed, and their members are free once the streams have ended.
 */
import type { EngineModel } from "../engine-model.js";
import type { OrderReply } from "../group-orders.js";
import type { RunningConversion } from "./conversion-plan.js";

/** Multiple of a load after which members that still lack the weights get no more time. */
const maximumStagingLoads = 3;
/** Time beyond a load within which former members are in their new groups, in milliseconds. */
const formingMilliseconds = 3_000;

export interface GroupConversionOptions extends Omit<RunningConversion, "to"> {
    readonly to: EngineModel;
    /** Keys of the groups that give up their members. */
    readonly donors: readonly string[];
    readonly members: readonly string[];
    /** Local monotonic milliseconds, as for all times in this module. */
    readonly startedAt: number;
}

/** What is known of the groups and instances of a conversion. */
export interface ConversionFacts {
    /** True while the new model is short of groups. */
    readonly isWanted: boolean;
    /** True if all donors are complete and open. */
    readonly areDonorsServing: boolean;
    /** Unused instances that hold the weights of the new model. */
    readonly unusedHolders: number;
    /** Members that hold the weights of the new model. */
    readonly memberHolders: number;
    /** Members that are still in a donor. */
    readonly boundMembers: number;
    /** Members that are in no group and join none. */
    readonly idleMembers: number;
}

export type ConversionStep =
    | { readonly kind: "wait" }
    /** The donors take no further requests. */
    | { readonly kind: "close"; readonly reason: string }
    /** The donors go on as before. */
    | { readonly kind: "abandon"; readonly reason: string }
    | { readonly kind: "end" };

const wait: ConversionStep = { kind: "wait" };

export class GroupConversion {
    private hasClosed = false;
    private hasRefusal = false;
    private hasAcceptance = false;
    /** Time until which former members may still join their new groups; undefined while members are in a donor. */
    private formingUntil: number | undefined;

    private constructor(public readonly options: GroupConversionOptions) {}

    public static create(options: GroupConversionOptions): GroupConversion {
        return new GroupConversion(options);
    }

    /** True once the donors are to take no further requests. */
    public get isClosed(): boolean {
        return this.hasClosed;
    }

    /** What other holders are told. Instances of closed groups count as unused, so their new groups are not stated again. */
    public get announcement(): RunningConversion {
        const { failureDomain, from, to, newGroups } = this.options;
        return { failureDomain, from, to: to.name, newGroups: this.hasClosed ? 0 : newGroups };
    }

    public isClosing(group: string): boolean {
        return this.hasClosed && this.options.donors.includes(group);
    }

    /** Handles the reply to an order to load weights. */
    public handleStagingReply(id: string, reply: OrderReply): void {
        if (this.options.members.includes(id)) {
            this.hasRefusal ||= reply.kind === "refused";
            this.hasAcceptance ||= reply.kind === "begun" || reply.kind === "holds";
        }
    }

    /** Returns the next step; a step other than waiting is taken at once. */
    public advance(facts: ConversionFacts, now: number): ConversionStep {
        const step = this.hasClosed ? this.stepAfterClosing(facts, now) : this.stepWhileServing(facts, now);
        this.hasClosed ||= step.kind === "close";
        return step;
    }

    private stepWhileServing(facts: ConversionFacts, now: number): ConversionStep {
        const { to, startedAt } = this.options;
        if (!facts.areDonorsServing) {
            return { kind: "abandon", reason: "a group to convert no longer serves" };
        }
        if (!facts.isWanted) {
            return { kind: "abandon", reason: "the model is no longer short of groups" };
        }
        const { unusedHolders, memberHolders } = facts;
        const formable = Math.floor(unusedHolders / to.size);
        if (unusedHolders + memberHolders >= (formable + 1) * to.size) {
            return { kind: "close", reason: "the members complete a group that needs no load" };
        }
        const isRefused = this.hasRefusal && !this.hasAcceptance;
        if (isRefused && now >= startedAt + to.loadMilliseconds) {
            return { kind: "close", reason: "the members load no weights while they serve" };
        }
        return now >= startedAt + maximumStagingLoads * to.loadMilliseconds
            ? { kind: "abandon", reason: "the weights were not loaded in time" }
            : wait;
    }

    private stepAfterClosing({ boundMembers, idleMembers }: ConversionFacts, now: number): ConversionStep {
        if (boundMembers > 0) {
            return wait;
        }
        this.formingUntil ??= now + this.options.to.loadMilliseconds + formingMilliseconds;
        return idleMembers === 0 || now >= this.formingUntil ? { kind: "end" } : wait;
    }
}
