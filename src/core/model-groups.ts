/**
 * The groups of one model and the shortlist that one choice considers: those that the hash ring prefers for the
 * beginning of the prompt, those with a recently freed slot, and some at random.
 */
import type { RandomNumber } from "../contracts/clocks.js";
import { hashNumber } from "./hashes.js";
import type { RouteState } from "./route-state.js";

/** With this many groups or fewer, a choice considers all of them. */
export const shortlistThreshold = 24;
const preferredGroupCount = 3;
const randomGroupCount = 6;
const freedGroupCount = 3;
/** Points of each group on the hash ring. */
const ringPointsPerGroup = 16;

interface RingPoint {
    readonly point: number;
    readonly state: RouteState;
}

/** Replica groups of one model. */
export class ModelGroups {
    private readonly ring: readonly RingPoint[];
    private recentlyFreed: RouteState[] = [];

    private constructor(public readonly states: readonly RouteState[]) {
        this.ring = states.flatMap(ringPointsOf).sort((left, right) => left.point - right.point);
    }

    public static create(states: readonly RouteState[]): ModelGroups {
        return new ModelGroups(states);
    }

    /** True if a choice considers all groups. */
    public get isSmall(): boolean {
        return this.states.length <= shortlistThreshold;
    }

    /** Returns the groups that every entry prefers for a prompt that begins with `block`, in order. */
    public preferredFor(block: string): readonly RouteState[] {
        const preferred = new Set<RouteState>();
        const wanted = Math.min(preferredGroupCount, this.states.length);
        const start = this.firstPointAfter(hashNumber(block));
        for (let step = 0; preferred.size < wanted && step < this.ring.length; step += 1) {
            preferred.add(this.ring[(start + step) % this.ring.length]!.state);
        }
        return [...preferred];
    }

    /** Records that a slot of a group has become free. */
    public recordFreedSlot(state: RouteState): void {
        if (!this.isSmall && !this.recentlyFreed.includes(state)) {
            this.recentlyFreed = [state, ...this.recentlyFreed.slice(0, freedGroupCount - 1)];
        }
    }

    /** Returns the groups that one choice considers. */
    public shortlist(preferred: readonly RouteState[], random: RandomNumber): readonly RouteState[] {
        if (this.isSmall) {
            return this.states;
        }
        const chosen = new Set([...preferred, ...this.recentlyFreed]);
        for (let count = 0; count < randomGroupCount; count += 1) {
            chosen.add(this.states[Math.floor(random() * this.states.length)]!);
        }
        return [...chosen];
    }

    private firstPointAfter(point: number): number {
        let low = 0;
        let high = this.ring.length;
        while (low < high) {
            const middle = (low + high) >> 1;
            if (this.ring[middle]!.point < point) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low;
    }
}

function ringPointsOf(state: RouteState): readonly RingPoint[] {
    return [...Array(ringPointsPerGroup).keys()].map(index => ({
        point: hashNumber(`${state.routed.group.id}\u0000${index}`),
        state,
    }));
}

/** Indexes the groups by model. */
export function indexByModel(all: Iterable<RouteState>): Map<string, ModelGroups> {
    const index = new Map<string, RouteState[]>();
    for (const state of all) {
        const model = state.routed.group.model.model;
        const known = index.get(model) ?? [];
        known.push(state);
        index.set(model, known);
    }
    return new Map([...index].map(([model, states]) => [model, ModelGroups.create(states)]));
}
