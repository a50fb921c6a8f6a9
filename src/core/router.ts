/**
 * Routing: decides how many requests of a model may be dispatched now, and to which replica group the next one goes.
 * Pure: time, serving gate and randomness are arguments. Times are local monotonic milliseconds.
 */
import type { CacheEvent } from "../contracts/engines.js";
import { slotCreditOf } from "./credits.js";
import type { EndpointLoad, EndpointReport } from "./endpoints.js";
import { isLaterReport } from "./endpoints.js";
import type { Fault, Result } from "./errors.js";
import { fail, succeed } from "./errors.js";
import { PromptBlockCache, blockTokens } from "./prefix-blocks.js";
import { PrefixIndex } from "./prefix-index.js";
import type { ReplicaGroupId } from "./replica-groups.js";
import type { RequestId } from "./requests.js";
import { CapacityCache } from "./capacity-cache.js";
import type { InFlightRequest, InFlightOutcome } from "./in-flight-request.js";
import type { RouteRequest, RoutedGroup, RouterOptions } from "./route-options.js";
import type { RouteCandidate } from "./route-policies.js";
import { chooseByEstimate } from "./route-policies.js";
import type { ModelGroups } from "./model-groups.js";
import { indexByModel } from "./model-groups.js";
import type { RouteState } from "./route-state.js";
import * as states from "./route-state.js";
import { ModelPaces } from "./model-paces.js";
import type { StragglerDetector } from "./straggler-detector.js";

export type { RouteRequest, RoutedGroup, RouterOptions } from "./route-options.js";

/** Time for which `capacity` caches the serving gate's decision on a group, in milliseconds. */
const gateCacheMilliseconds = 50;

/** Router of one entry process. */
export class Router {
    private readonly groups = new Map<ReplicaGroupId, RouteState>();
    private byModel = new Map<string, ModelGroups>();
    private readonly capacities = CapacityCache.create();
    private readonly paces: ModelPaces;
    private readonly inFlightRequests = new Map<RequestId, InFlightRequest>();
    private readonly prefixes = PrefixIndex.create();
    private entries: readonly string[];
    private readonly promptBlocks = PromptBlockCache.create();

    private constructor(private readonly options: RouterOptions) {
        this.entries = [options.entry];
        this.paces = ModelPaces.create(options.paceReference);
    }

    public static create(options: RouterOptions): Router {
        return new Router(options);
    }

    /** Number of this entry's requests in flight at all groups. */
    public get inFlight(): number {
        return this.inFlightRequests.size;
    }

    /** Number of this entry's requests in flight at one group. */
    public inFlightAt(group: ReplicaGroupId): number {
        return this.groups.get(group)?.load.ownRequests ?? 0;
    }

    /** Replaces the set of groups; the state of groups that remain is kept. */
    public applyGroups(routed: readonly RoutedGroup[]): void {
        const present = new Set(routed.map(next => next.group.id));
        for (const [id, state] of this.groups) {
            if (!present.has(id)) {
                this.removeGroup(id, state.routed.group.model.model);
            }
        }
        for (const next of routed) {
            this.applyGroup(next);
        }
        this.byModel = indexByModel(this.groups.values());
        this.capacities.clear();
    }

    /** Sets the reachable entry processes that share the replicas' slots with this one. */
    public applyEntries(entries: readonly string[]): void {
        if (haveSameItems(entries, this.entries)) {
            return;
        }
        this.entries = entries.includes(this.options.entry) ? entries : [...entries, this.options.entry];
        for (const state of this.groups.values()) {
            state.credit = this.creditAt(state);
        }
        this.capacities.clear();
    }

    /** Applies a load report of a group's leader; a report that is not later than the previous one is ignored. */
    public observe(group: ReplicaGroupId, load: EndpointLoad, now: number, report?: EndpointReport): void {
        const state = this.groups.get(group);
        if (state === undefined || (report !== undefined && !isLaterReport(report, state.report))) {
            return;
        }
        state.report = report;
        const slotsBefore = state.load.slots;
        state.load.observe(load.running, load.waiting, load.slots, now);
        if (slotsBefore !== load.slots) {
            state.credit = this.creditAt(state);
        }
    }

    /** Applies cache events of a group's leader. */
    public applyCacheEvents(group: ReplicaGroupId, events: readonly CacheEvent[], now: number): void {
        this.prefixes.apply(group, events, now);
    }

    /** Sequence number of the last cache event seen from a group; later events are still to be fetched. */
    public cacheSequenceOf(group: ReplicaGroupId): number {
        return this.prefixes.sequenceOf(group);
    }

    /** Returns how many more requests of a model may be dispatched now. */
    public capacity(model: string, borrowed: boolean, now: number): number {
        const groups = this.byModel.get(model);
        if (groups === undefined) {
            return 0;
        }
        if (groups.isSmall) {
            return this.countCapacity(groups, borrowed, now);
        }
        return this.capacities.get(model, borrowed, now, () => this.countCapacity(groups, borrowed, now));
    }

    /** Chooses a group whose serving gate is open now; fails with `noReplica` if there is none. */
    public choose(request: RouteRequest, now: number): Result<RoutedGroup> {
        const groups = this.byModel.get(request.model);
        if (groups === undefined) {
            return fail(noReplica(request.model));
        }
        const blocks = this.promptBlocks.blocksOf(request.prompt);
        const preferred = blocks.length === 0 ? [] : groups.preferredFor(blocks[0]!);
        const shortlist = groups.shortlist(preferred, this.options.random);
        const usable = this.usableOf(shortlist, groups, request, now);
        if (usable.length === 0) {
            return fail(noReplica(request.model));
        }
        const candidates = usable.map(state => this.createCandidate(state, blocks, preferred[0], now));
        const choice = this.options.chooseRoute ?? defaultChoice;
        const chosen = choice(candidates, request.promptTokens, this.options.random);
        return succeed(this.groups.get(chosen.group)!.routed);
    }

    /** Records the dispatch of a request to a group; an earlier attempt of the request is abandoned. */
    public dispatched(request: RouteRequest, group: ReplicaGroupId, now: number): void {
        this.endRequest(request.id, "abandoned", now);
        const state = this.groups.get(group);
        if (state === undefined) {
            return;
        }
        const blocks = this.promptBlocks.blocksOf(request.prompt);
        const cachedTokens = this.prefixes.countMatchingBlocks(group, blocks, now) * blockTokens;
        const prefillTokens = Math.max(0, request.promptTokens - cachedTokens);
        this.inFlightRequests.set(request.id, {
            group,
            model: request.model,
            lastTokenAt: undefined,
            prefillTokens,
        });
        state.load.change(1, now);
        this.capacities.change(request.model, -1);
        state.prefillTokens += prefillTokens;
        this.paceOf(request.model).recordStart(group, now);
        this.prefixes.recordDispatch(group, blocks, now);
    }

    /** Records that a token of a request has arrived. */
    public progress(request: RequestId, now: number): void {
        const inFlightRequest = this.inFlightRequests.get(request);
        if (inFlightRequest === undefined) {
            return;
        }
        const gap = inFlightRequest.lastTokenAt === undefined ? undefined : now - inFlightRequest.lastTokenAt;
        this.endPrefill(inFlightRequest);
        inFlightRequest.lastTokenAt = now;
        this.paceOf(inFlightRequest.model).recordProgress(inFlightRequest.group, gap, now);
    }

    public finished(request: RequestId, now: number): void {
        this.endRequest(request, "finished", now);
    }

    public failed(request: RequestId, now: number): void {
        this.endRequest(request, "failed", now);
    }

    /** Ends a request whose caller has disconnected; the replica's pace and failures are not affected. */
    public abandoned(request: RequestId, now: number): void {
        this.endRequest(request, "abandoned", now);
    }

    private endRequest(request: RequestId, outcome: InFlightOutcome, now: number): void {
        const inFlightRequest = this.inFlightRequests.get(request);
        if (inFlightRequest === undefined) {
            return;
        }
        this.inFlightRequests.delete(request);
        this.endPrefill(inFlightRequest);
        const state = this.groups.get(inFlightRequest.group);
        if (state !== undefined) {
            state.load.change(-1, now);
            this.capacities.change(inFlightRequest.model, 1);
            this.byModel.get(inFlightRequest.model)?.recordFreedSlot(state);
            this.paceOf(inFlightRequest.model).recordEnd(inFlightRequest.group, outcome, now);
        }
    }

    private endPrefill(inFlightRequest: InFlightRequest): void {
        const state = this.groups.get(inFlightRequest.group);
        if (state !== undefined) {
            state.prefillTokens -= inFlightRequest.prefillTokens;
        }
        inFlightRequest.prefillTokens = 0;
    }

    /**
     * Returns the open groups with capacity on the shortlist; failing that, among all groups; failing that, all open
     * groups, preferring those with credit and those not ejected as stragglers.
     */
    private usableOf(
        shortlist: readonly RouteState[],
        groups: ModelGroups,
        request: RouteRequest,
        now: number,
    ): readonly RouteState[] {
        const hasCapacity = (state: RouteState): boolean => this.capacityAt(state, request.borrowed, now) > 0;
        const isOpen = (state: RouteState): boolean => this.isOpenFor(state, request, now);
        const withCapacity = shortlist.filter(state => hasCapacity(state) && isOpen(state));
        if (withCapacity.length > 0) {
            return withCapacity;
        }
        const others = groups.isSmall
            ? []
            : groups.states.filter(state => hasCapacity(state) && isOpen(state));
        if (others.length > 0) {
            return others;
        }
        const open = groups.states.filter(isOpen);
        const withCredit = open.filter(state => state.credit > 0);
        const reachable = withCredit.length > 0 ? withCredit : open;
        const serving = reachable.filter(state => this.isInService(state, now));
        return serving.length > 0 ? serving : reachable;
    }

    private isOpenFor(state: RouteState, request: RouteRequest, now: number): boolean {
        const { group } = state.routed;
        return request.excluded?.includes(group.id) !== true && this.options.isOpen(group, now);
    }

    private countCapacity(groups: ModelGroups, borrowed: boolean, now: number): number {
        let capacity = 0;
        let credits = 0;
        for (const state of groups.states) {
            if (this.isOpenCached(state, now)) {
                capacity += this.capacityAt(state, borrowed, now);
                credits += state.credit;
            }
        }
        const isReserving = borrowed && this.options.usesCredits !== false;
        return isReserving ? Math.floor(capacity - credits * states.reservedFraction) : capacity;
    }

    private isInService(state: RouteState, now: number): boolean {
        const { id, model } = state.routed.group;
        return (
            this.options.detectsStragglers === false ||
            this.paceOf(model.model).serviceOf(id, now) !== "ejected"
        );
    }

    private capacityAt(state: RouteState, borrowed: boolean, now: number): number {
        const { id, model } = state.routed.group;
        const service =
            this.options.detectsStragglers === false ? "full" : this.paceOf(model.model).serviceOf(id, now);
        if (service !== "full") {
            return service === "trial" ? 1 : 0;
        }
        return this.options.usesCredits === false
            ? states.capacityByOwnRequests(state)
            : states.capacityByCredits(state, borrowed, this.entries.length);
    }

    private isOpenCached(state: RouteState, now: number): boolean {
        if (now >= state.gateExpiresAt) {
            state.gateExpiresAt = now + gateCacheMilliseconds;
            state.isOpen = this.options.isOpen(state.routed.group, now);
        }
        return state.isOpen;
    }

    private createCandidate(
        state: RouteState,
        blocks: readonly string[],
        preferred: RouteState | undefined,
        now: number,
    ): RouteCandidate {
        const { id, model } = state.routed.group;
        const pace = this.paceOf(model.model);
        return {
            group: id,
            isLocal: state.routed.failureDomain === this.options.failureDomain,
            slots: state.load.slots ?? states.unreportedSlots,
            credit: state.credit,
            ownRequests: state.load.ownRequests,
            allRequests: state.load.allRequests,
            prefillTokens: state.prefillTokens,
            slowdown: this.options.detectsStragglers === false ? 1 : pace.slowdownOf(id, now),
            cachedTokens: this.prefixes.countMatchingBlocks(id, blocks, now) * blockTokens,
            isPreferred: state === preferred,
        };
    }

    private applyGroup(routed: RoutedGroup): void {
        const known = this.groups.get(routed.group.id);
        if (known !== undefined) {
            known.routed = routed;
            known.gateExpiresAt = -Infinity;
            return;
        }
        const state = states.createRouteState(routed);
        state.credit = this.creditAt(state);
        this.groups.set(routed.group.id, state);
    }

    private removeGroup(id: ReplicaGroupId, model: string): void {
        this.groups.delete(id);
        this.prefixes.remove(id);
        this.paceOf(model).removeReplica(id);
    }

    private creditAt(state: RouteState): number {
        const slots = state.load.slots ?? states.unreportedSlots;
        return slotCreditOf(this.options.entry, state.routed.group.id, slots, this.entries);
    }

    private paceOf(model: string): StragglerDetector {
        return this.paces.forModel(model);
    }
}

const defaultChoice = chooseByEstimate();

function haveSameItems(left: readonly string[], right: readonly string[]): boolean {
    return left.length === right.length && left.every((item, index) => item === right[index]);
}

function noReplica(model: string): Fault {
    const message = `no replica of model "${model}" can serve the request now`;
    return { code: "noReplica", message, step: "route", notRun: true };
}
