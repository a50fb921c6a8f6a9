/**
 * The mesh state of one process: members, endpoint health, configuration, placement values and usage, with the
 * exchanges that propagate them. Performs no input or output and reads no clock; src/daemons/mesh.ts drives it.
 */
import { ConfigurationFollower } from "./configuration-follower.js";
import type { EndpointHealth, EndpointReport } from "./endpoints.js";
import { HealthTable, toEndpointRecord } from "./health-table.js";
import type { Instance, InstanceId } from "./instances.js";
import type { ExchangeEffects, ExchangeTables } from "./mesh-exchange.js";
import { applyMessage, buildMessage } from "./mesh-exchange.js";
import type { MemberId, PeerExchange } from "./mesh-messages.js";
import type { MeshStateOptions, MeshTick } from "./mesh-state-options.js";
import { meshRules } from "./mesh-state-options.js";
import { PauseDetector } from "./pause-detector.js";
import { ExchangeRounds } from "./exchange-rounds.js";
import { watchersOf } from "./mesh-topology.js";
import type { PlacementEntry, Usage } from "./mesh-values.js";
import { PlacementTable, UsageTable, maximumCrashEvidenceCharacters } from "./mesh-values.js";
import type { Member } from "./membership.js";
import { Membership } from "./membership.js";

/** Time that a new process waits for peers before it relies on the store alone, in milliseconds. */
export const peerGraceMilliseconds = 3_000;

/** Time after its start during which a process probes only its own failure domain, in milliseconds. */
const substituteProbingGraceMilliseconds = 30_000;

/** Holds the state that is propagated through the mesh. */
export class MeshState {
    public readonly configuration: ConfigurationFollower;
    private readonly membership: Membership;
    private readonly healthTable: HealthTable;
    private readonly usageTable: UsageTable;
    private readonly crashEvidenceTable: UsageTable;
    private readonly placementTable: PlacementTable;
    private readonly rounds = ExchangeRounds.create();
    private readonly tables: ExchangeTables;
    private instanceList: readonly Instance[] = [];
    private change = 0;
    private confirmedAt: number | undefined;
    private usageSequence = 0;
    private crashEvidenceSequence = 0;
    private readonly pauseDetector: PauseDetector;
    private pausedMilliseconds: number | undefined;
    private hasExchanged = false;

    private constructor(private readonly options: MeshStateOptions) {
        const nextChange = () => (this.change += 1);
        const { id, body, incarnation, rules = meshRules } = options;
        const { compare } = rules.evidence;
        this.configuration = ConfigurationFollower.create(rules.configuration);
        this.membership = Membership.create({ id, body, incarnation, nextChange, compare });
        this.healthTable = HealthTable.create(nextChange, rules.evidence);
        this.usageTable = UsageTable.create(nextChange);
        this.crashEvidenceTable = UsageTable.create(nextChange, maximumCrashEvidenceCharacters);
        this.placementTable = PlacementTable.create(nextChange);
        this.pauseDetector = PauseDetector.create(options.now);
        this.membership.emitHeartbeat(options.now);
        this.tables = {
            self: id,
            failureDomain: body.failureDomain,
            membership: this.membership,
            health: this.healthTable,
            usages: this.usageTable,
            crashEvidence: this.crashEvidenceTable,
            placements: this.placementTable,
            configuration: this.configuration,
            change: () => this.change,
            confirmedAt: () => this.confirmedAt,
            confirm: at => this.confirm(at),
            endpointsOutside: domain =>
                this.instanceList.filter(
                    instance => instance.role === "engine" && instance.failureDomain !== domain,
                ).length,
        };
    }

    public static create(options: MeshStateOptions): MeshState {
        return new MeshState(options);
    }

    /** Local time up to which every change accepted by the store is in force here; undefined if unknown. */
    public get configurationConfirmedAt(): number | undefined {
        return this.confirmedAt;
    }

    public get instances(): readonly Instance[] {
        return this.instanceList;
    }

    public get placements(): readonly PlacementEntry[] {
        return this.placementTable.entries;
    }

    public get usages(): readonly Usage[] {
        return this.usageTable.usages;
    }

    public get crashEvidence(): readonly Usage[] {
        return this.crashEvidenceTable.usages;
    }

    /** Number of members and endpoints, for metrics. */
    public get sizes(): { readonly members: number; readonly endpoints: number } {
        return { members: this.membership.table.size, endpoints: this.healthTable.endpoints.size };
    }

    /** Emits a heartbeat, removes expired state, and starts the exchanges of a round. */
    public tick(now: number): MeshTick {
        this.detectPause(now);
        const { pausedMilliseconds } = this;
        this.pausedMilliseconds = undefined;
        this.healthTable.tick(now);
        this.usageTable.tick(now);
        this.crashEvidenceTable.tick(now);
        this.observeLeavingInstances(now);
        const memberChanges = this.membership.tick(now);
        const members = this.membership.members(now);
        const self = members.find(member => member.id === this.options.id)!;
        const contacts = [...this.options.seeds, ...this.contactAddresses()];
        const view = { self, members, contacts, random: this.options.random };
        const exchanges = this.rounds
            .targets(view, now)
            .map(address => ({ address, request: this.begin(address, now) }));
        return { pausedMilliseconds, memberChanges, exchanges };
    }

    /**
     * Detects a pause of this process. Must be called often, and before any received message is handled: after a long
     * pause health is stale, and after any pause waiting messages are up to as old as the pause.
     */
    public detectPause(now: number): void {
        const pause = this.pauseDetector.recordActivity(now);
        if (pause !== undefined) {
            this.pausedMilliseconds = pause;
            this.expireAfterPause(pause, now);
        }
    }

    /** Returns the earliest local time at which a message that is handled now can have arrived. */
    public arrivalTime(now: number): number {
        this.detectPause(now);
        return this.pauseDetector.arrivalTime(now);
    }

    /** Applies a peer's exchange request and builds the response. */
    public answer(
        request: PeerExchange,
        now: number,
    ): { readonly answer: PeerExchange; readonly absorbed: ExchangeEffects } {
        const absorbed = applyMessage(this.tables, request, this.arrivalTime(now));
        this.hasExchanged = true;
        const isCurrent = request.acknowledgedIncarnation === this.membership.ownIncarnation;
        const answer = buildMessage(
            this.tables,
            {
                peer: request.sender,
                failureDomain: request.failureDomain,
                since: isCurrent ? request.acknowledged : 0,
                acknowledged: request.change,
                acknowledgedIncarnation: request.incarnation,
                wantedByPeer: request.wanted,
                wanted: absorbed.unknownKeys,
                configuration: request.configuration,
            },
            now,
        );
        return { answer, absorbed };
    }

    /** Applies the response to an exchange that this process started. */
    public finishExchange(
        address: string,
        request: PeerExchange,
        answer: PeerExchange,
        now: number,
    ): ExchangeEffects {
        const absorbed = applyMessage(this.tables, answer, now);
        this.hasExchanged = true;
        this.rounds.finish(address, request, answer, absorbed.unknownKeys, now);
        return absorbed;
    }

    public failExchange(address: string, now: number): void {
        this.rounds.fail(address, now);
    }

    /** Starts an exchange with an address; also used outside the rounds by a leaving process. */
    public begin(address: string, now: number): PeerExchange {
        return buildMessage(this.tables, this.rounds.begin(address, now), now);
    }

    public setInstances(instances: readonly Instance[], now: number): void {
        this.instanceList = instances;
        this.observeLeavingInstances(now);
    }

    /** Applies the report of a probe; returns whether it was later than the known one. */
    public observeReport(report: EndpointReport, now: number): boolean {
        const record = toEndpointRecord(report, this.options.body.failureDomain, now);
        return this.healthTable.endpoints.accept(record, this.options.id);
    }

    /**
     * Records that an endpoint has not responded to this process since a time; a later response to another prober
     * prevails.
     */
    public observeFailure(instance: InstanceId, since: number, now: number): boolean {
        return this.healthTable.observeFailure(instance, since, now, this.options.id);
    }

    public health(instance: InstanceId): EndpointHealth | undefined {
        return this.healthTable.health(instance, this.healthMilliseconds);
    }

    public isLeaving(instance: InstanceId): boolean {
        return this.healthTable.isLeaving(instance);
    }

    public members(now: number): readonly Member[] {
        return this.membership.members(now);
    }

    public liveIn(failureDomain: string, now: number): readonly MemberId[] {
        return this.membership.liveIn(failureDomain, now);
    }

    /**
     * Returns the daemons that may probe endpoints of a failure domain without live daemons; none while this process is
     * too new to know the other members.
     */
    public substituteProbers(now: number): readonly MemberId[] {
        const isNew = now - this.options.now < substituteProbingGraceMilliseconds;
        const live = this.membership.members(now).filter(member => member.judged === "live");
        return isNew ? [] : live.map(member => member.id);
    }

    /** True if this process watches the store for its failure domain. */
    public isWatcher(now: number): boolean {
        const own = this.options.body.failureDomain;
        return watchersOf(own, this.membership.liveIn(own, now)).includes(this.options.id);
    }

    public publishUsage(payload: string, now: number): boolean {
        this.usageSequence += 1;
        return this.usageTable.accept(this.createOwnValue(payload, this.usageSequence, now), now);
    }

    public publishCrashEvidence(payload: string, now: number): boolean {
        this.crashEvidenceSequence += 1;
        const value = this.createOwnValue(payload, this.crashEvidenceSequence, now);
        return this.crashEvidenceTable.accept(value, now);
    }

    /** Applies a snapshot of all placement values. */
    public observePlacements(revision: number, entries: readonly PlacementEntry[]): boolean {
        return this.placementTable.applySnapshot(revision, entries);
    }

    /** Applies one placement value, from a watch or from a write of this process. */
    public observePlacement(entry: PlacementEntry): boolean {
        return this.placementTable.accept(entry);
    }

    /** Records that the store confirmed the held configuration at a local time. */
    public confirm(at: number): void {
        this.confirmedAt = Math.max(at, this.confirmedAt ?? at);
    }

    /** True once a configuration is held and reachable peers have had time to send a later one. */
    public isReady(now: number): boolean {
        const hasWaited = this.hasExchanged || now - this.options.now >= peerGraceMilliseconds;
        return this.configuration.revisionInForce > 0 && hasWaited;
    }

    public declareLeaving(now: number): void {
        this.membership.declareState("leaving", now);
    }

    public declareLeft(now: number): void {
        this.membership.declareState("left", now);
    }

    private get healthMilliseconds(): number {
        return this.configuration.configuration.placement.healthMilliseconds;
    }

    private contactAddresses(): readonly string[] {
        return this.instanceList
            .filter(instance => instance.role === "entry")
            .map(instance => instance.address);
    }

    private observeLeavingInstances(now: number): void {
        for (const instance of this.instanceList) {
            if (instance.state === "leaving") {
                this.healthTable.observeLeaving(instance.id, now);
            }
        }
    }

    /** Expires all health reports after a pause, and excludes the pause from the silence of members. */
    private expireAfterPause(gapMilliseconds: number, now: number): void {
        this.healthTable.expireAll(now, this.healthMilliseconds);
        this.membership.excludePause(gapMilliseconds);
    }

    private createOwnValue(payload: string, sequence: number, now: number): Usage {
        const { id: process, body } = this.options;
        const incarnation = this.membership.ownIncarnation;
        return { process, home: body.failureDomain, incarnation, sequence, payload, publishedAt: now };
    }
}
