/**
 * Engines that form groups by orders, in virtual time, for tests of the planner. They check two promises while they run:
 * no instance joins another group while its leader may serve, and no leader opens before all members were ready.
 */
import type { EngineProfile } from "../engine-models.js";
import type { EngineStatus, FleetInstance, GroupMembership } from "../fleets.js";
import { groupKey } from "../fleets.js";
import type { GroupOrder, OrderReply } from "../group-orders.js";
import type { ModelSupply } from "../model-demands.js";
import { GroupPlanner } from "../group-planners.js";

export const stepMilliseconds = 25;
const heartbeatMilliseconds = 1_200;
const registrationDelayMilliseconds = 300;
const silenceMilliseconds = 100;
const openMilliseconds = 300;
const sameModelMilliseconds = 200;

export const profile: EngineProfile = {
    slots: 18,
    models: [
        { name: "large", size: 4, pace: 1, share: 0.67, loadMilliseconds: 16_000, warmMilliseconds: 1_600 },
        { name: "small", size: 2, pace: 0.6, share: 0.33, loadMilliseconds: 12_000, warmMilliseconds: 1_100 },
    ],
    stepMilliseconds: 6,
    perSequenceMilliseconds: 0.35,
    contextMillisecondsPerThousand: 0.007,
    readTokensPerMillisecond: 46,
    pairMillisecondsPerMillion: 0.7,
    chunkTokens: 2_048,
    stride: 5,
    loadsPerSecond: 4,
    concurrentLoads: 6,
    usualPromptTokens: 1_076,
    usualAnswerTokens: 116,
};

interface FakeEngine {
    readonly id: string;
    readonly address: string;
    incarnation: number;
    isUp: boolean;
    /** True while the placer's questions do not reach it, though others' do. */
    isHidden: boolean;
    /** True while it serves but cannot register. */
    isCutFromStore: boolean;
    isLeaving: boolean;
    heartbeat: number;
    membership: GroupMembership | undefined;
    members: readonly string[];
    model: string | undefined;
    staged: string[];
    changesAt: number;
    next: GroupMembership["state"] | undefined;
    highestEpoch: number;
    /** Groups, by key, that it has left by an order. */
    readonly left: Set<string>;
    /** Groups, by key, in which it has been ready. */
    readonly readyIn: Set<string>;
    stagingUntil: number;
    stagingModel: string | undefined;
}

interface Due {
    readonly at: number;
    readonly run: () => void;
}

/** A fabric domain of engines and the planner that places it. */
export class FakeFleet {
    public now = 10_000;
    public readonly violations: string[] = [];
    public readonly loadsAt: number[] = [];
    private readonly engines = new Map<string, FakeEngine>();
    private readonly due: Due[] = [];
    private registered: readonly FleetInstance[] = [];
    private planner: GroupPlanner;
    private term = 1;
    /** Part of the orders that stay unanswered and are carried out late. */
    public lateOrders = 0;

    private constructor(
        count: number,
        private readonly random: () => number,
    ) {
        for (let index = 0; index < count; index += 1) {
            this.addEngine(`i-${index}`);
        }
        this.planner = this.createPlanner(true);
    }

    public static create(count: number, random: () => number): FakeFleet {
        return new FakeFleet(count, random);
    }

    public addEngine(id: string): void {
        this.engines.set(id, {
            id,
            address: `10.0.0.${this.engines.size}:80`,
            incarnation: this.now,
            isUp: true,
            isHidden: false,
            isCutFromStore: false,
            isLeaving: false,
            heartbeat: 1,
            membership: undefined,
            members: [],
            model: undefined,
            staged: [],
            changesAt: Infinity,
            next: undefined,
            highestEpoch: 0,
            left: new Set(),
            readyIn: new Set(),
            stagingUntil: Infinity,
            stagingModel: undefined,
        });
    }

    /** Starts a new term of another placer, as after the loss of the first. */
    public replacePlanner(): void {
        this.term += 7;
        this.planner = this.createPlanner(false);
    }

    public suspect(id: string): void {
        this.planner.suspect(id);
    }

    public crash(id: string): void {
        this.engineOf(id).isUp = false;
    }

    /** Starts a crashed instance again under its id; its host keeps what was staged. */
    public restart(id: string): void {
        const engine = this.engineOf(id);
        Object.assign(engine, {
            isUp: true,
            incarnation: this.now,
            heartbeat: 1,
            membership: undefined,
            model: undefined,
            highestEpoch: 0,
            next: undefined,
            changesAt: Infinity,
        });
        engine.readyIn.clear();
        engine.left.clear();
    }

    public hide(id: string, isHidden: boolean): void {
        this.engineOf(id).isHidden = isHidden;
    }

    /** Cuts an instance off from the store; callers and placers reach it. */
    public cutFromStore(id: string, isCut: boolean): void {
        this.engineOf(id).isCutFromStore = isCut;
    }

    /** Has an instance lead its last group again, as late join and open orders do. */
    public reopen(id: string, members: readonly string[]): void {
        const engine = this.engineOf(id);
        const lastLeft = [...engine.left].at(-1);
        if (lastLeft === undefined || engine.membership !== undefined) {
            return;
        }
        const [group = "", epoch = "0"] = lastLeft.split("@");
        engine.members = members;
        engine.membership = { group, epoch: Number(epoch), rank: 0, state: "open" };
    }

    public leave(id: string): void {
        this.engineOf(id).isLeaving = true;
    }

    public ids(): readonly string[] {
        return [...this.engines.keys()];
    }

    /** Members of the groups whose leader is open and whose members are all up and in it. */
    public servingGroups(): readonly { readonly model: string; readonly members: readonly string[] }[] {
        return [...this.engines.values()].flatMap(leader => {
            const { membership } = leader;
            if (!leader.isUp || membership?.rank !== 0 || membership.state !== "open") {
                return [];
            }
            const key = groupKey(membership);
            const isWhole = leader.members.every(id => {
                const member = this.engineOf(id);
                return member.isUp && member.membership !== undefined && groupKey(member.membership) === key;
            });
            return isWhole ? [{ model: leader.model ?? "", members: leader.members }] : [];
        });
    }

    /** Groups that their leaders are still joining. */
    public joiningGroups(): readonly { readonly model: string; readonly members: readonly string[] }[] {
        return [...this.engines.values()]
            .filter(({ membership }) => membership?.rank === 0 && membership.state === "joining")
            .map(leader => ({ model: leader.model ?? "", members: leader.members }));
    }

    public stagedOf(id: string): readonly string[] {
        return this.engineOf(id).staged;
    }

    public stagedModels(): readonly (readonly string[])[] {
        return [...this.engines.values()]
            .filter(each => each.membership === undefined)
            .map(each => each.staged);
    }

    /** Plays until the given time has passed. */
    public play(milliseconds: number): void {
        const end = this.now + milliseconds;
        while (this.now < end) {
            this.now += stepMilliseconds;
            this.engines.forEach(engine => this.advance(engine));
            this.refreshRegistrations();
            const ready = this.due.filter(each => each.at <= this.now);
            ready.forEach(each => {
                this.due.splice(this.due.indexOf(each), 1);
                each.run();
            });
            this.planner.applyRegistrations(this.registered, [], this.now);
            const surroundings = { profileOf: () => profile, supplies: new Map<string, ModelSupply>() };
            for (const command of this.planner.step(surroundings, this.now)) {
                if (command.kind === "report") {
                    this.answerReport(command.instance.id, this.planner);
                } else if (command.kind === "order") {
                    this.takeOrder(command.instance.id, command.order, this.planner);
                }
            }
        }
    }

    private createPlanner(isFirstStart: boolean): GroupPlanner {
        return GroupPlanner.create({
            term: this.term,
            startedAt: this.now,
            heartbeatMilliseconds,
            failureDomains: 1,
            isFirstStart,
        });
    }

    private engineOf(id: string): FakeEngine {
        return this.engines.get(id)!;
    }

    private after(milliseconds: number, run: () => void): void {
        this.due.push({ at: this.now + milliseconds, run });
    }

    private advance(engine: FakeEngine): void {
        if (!engine.isUp) {
            return;
        }
        if (this.now % heartbeatMilliseconds < stepMilliseconds && !engine.isCutFromStore) {
            engine.heartbeat += 1;
        }
        if (this.now >= engine.stagingUntil) {
            engine.staged = [engine.stagingModel!];
            engine.stagingUntil = Infinity;
        }
        if (engine.membership !== undefined && this.now >= engine.changesAt) {
            engine.changesAt = Infinity;
            engine.membership = { ...engine.membership, state: engine.next! };
            if (engine.next === "ready") {
                engine.readyIn.add(groupKey(engine.membership));
                engine.staged = [engine.model!];
            }
        }
    }

    private refreshRegistrations(): void {
        if (this.now % registrationDelayMilliseconds >= stepMilliseconds) {
            return;
        }
        const registered = [...this.engines.values()].filter(engine => this.isRegistered(engine));
        this.registered = registered.map(engine => ({
            id: engine.id,
            service: "llm",
            address: engine.address,
            failureDomain: "a",
            fabricDomain: "f",
            slots: 18,
            isLeaving: engine.isLeaving,
            heartbeat: engine.heartbeat,
            status: this.statusOf(engine),
        }));
    }

    /** Registrations lapse after three heartbeats of silence. */
    private isRegistered(engine: FakeEngine): boolean {
        if (engine.isUp && !engine.isCutFromStore) {
            this.seenAt.set(engine.id, this.now);
        }
        return this.now - (this.seenAt.get(engine.id) ?? 0) < 3 * heartbeatMilliseconds;
    }

    private readonly seenAt = new Map<string, number>();

    private statusOf(engine: FakeEngine): EngineStatus {
        return {
            membership: engine.membership,
            model: engine.model,
            staged: engine.staged,
            incarnation: engine.incarnation,
        };
    }

    private answerReport(id: string, planner: GroupPlanner): void {
        const askedAt = this.now;
        const engine = this.engineOf(id);
        if (!engine.isUp || engine.isHidden) {
            this.after(silenceMilliseconds, () => planner.handleReport(id, { kind: "silent" }, askedAt));
            return;
        }
        const status = this.statusOf(engine);
        this.after(stepMilliseconds, () => planner.handleReport(id, { kind: "answered", status }, askedAt));
    }

    private takeOrder(id: string, order: GroupOrder, planner: GroupPlanner): void {
        const engine = this.engineOf(id);
        const isLate = this.random() < this.lateOrders;
        if (!engine.isUp || engine.isHidden || isLate) {
            if (isLate) {
                this.after(2_000 + 10_000 * this.random(), () => engine.isUp && this.carryOut(engine, order));
            }
            this.after(400, () =>
                planner.handleReply(id, order, { kind: "unknown", message: "no answer" }, this.now),
            );
            return;
        }
        this.after(stepMilliseconds * Math.floor(3 * this.random()), () => {
            const reply = this.carryOut(engine, order);
            this.after(stepMilliseconds, () => planner.handleReply(id, order, reply, this.now));
        });
    }

    private carryOut(engine: FakeEngine, order: GroupOrder): OrderReply {
        switch (order.kind) {
            case "stage":
                return this.stage(engine, order.model);
            case "join":
                return this.join(engine, order);
            default:
                return this.change(engine, order);
        }
    }

    private stage(engine: FakeEngine, model: string): OrderReply {
        this.loadsAt.push(this.now);
        engine.stagingModel = model;
        engine.stagingUntil = this.now + profile.models.find(each => each.name === model)!.loadMilliseconds;
        return { kind: "begun" };
    }

    private join(engine: FakeEngine, order: Extract<GroupOrder, { readonly kind: "join" }>): OrderReply {
        if (order.epoch < engine.highestEpoch) {
            return { kind: "refused", message: "412" };
        }
        if (
            engine.membership !== undefined &&
            groupKey(engine.membership) === `${order.group}@${order.epoch}`
        ) {
            return { kind: "holds" };
        }
        this.checkFreeToJoin(engine, order);
        engine.highestEpoch = order.epoch;
        const model = profile.models.find(each => each.name === order.model)!;
        const isStaged = engine.staged.includes(model.name);
        if (!isStaged) {
            this.loadsAt.push(this.now);
        }
        const warm = isStaged ? model.warmMilliseconds : model.loadMilliseconds;
        engine.changesAt = this.now + (engine.model === model.name ? sameModelMilliseconds : warm);
        engine.next = "ready";
        engine.model = model.name;
        engine.members = order.members;
        const rank = order.members.indexOf(engine.id);
        engine.membership = { group: order.group, epoch: order.epoch, rank, state: "joining" };
        return { kind: "begun" };
    }

    private checkFreeToJoin(engine: FakeEngine, order: Extract<GroupOrder, { readonly kind: "join" }>): void {
        for (const leader of this.engines.values()) {
            const { membership } = leader;
            const isServing = membership?.state === "open" || membership?.state === "closing";
            const isOther = membership?.group !== order.group;
            const isLeader = leader.isUp && membership?.rank === 0;
            const hasLeft = membership !== undefined && engine.left.has(groupKey(membership));
            const isCounted = leader.members.includes(engine.id) && !hasLeft;
            if (isLeader && isServing && isOther && isCounted) {
                const text = `${engine.id} joins ${order.group} while ${leader.id} serves ${membership!.group}`;
                this.violations.push(`${this.now}: ${text}`);
            }
        }
    }

    private change(
        engine: FakeEngine,
        order: Extract<GroupOrder, { readonly kind: "open" | "close" | "leave" }>,
    ): OrderReply {
        const { membership } = engine;
        if (membership === undefined || groupKey(membership) !== `${order.group}@${order.epoch}`) {
            return { kind: "holds" };
        }
        switch (order.kind) {
            case "leave":
                engine.left.add(groupKey(membership));
                engine.membership = undefined;
                return { kind: "holds" };
            case "close":
                engine.membership = { ...membership, state: "closing" };
                engine.changesAt = this.now + 500;
                engine.next = "ready";
                return { kind: "begun" };
            case "open":
                return this.open(engine, membership);
        }
    }

    private open(engine: FakeEngine, membership: GroupMembership): OrderReply {
        if (membership.state === "open") {
            return { kind: "holds" };
        }
        if (membership.state !== "ready") {
            return { kind: "refused", message: "409" };
        }
        if (engine.next === "open" && engine.changesAt !== Infinity) {
            return { kind: "begun" };
        }
        const key = groupKey(membership);
        const unready = engine.members.filter(id => !this.engineOf(id).readyIn.has(key));
        if (unready.length > 0) {
            this.violations.push(`${this.now}: ${engine.id} opens ${key} without ${unready.join()}`);
        }
        engine.next = "open";
        engine.changesAt = this.now + openMilliseconds;
        return { kind: "begun" };
    }
}
