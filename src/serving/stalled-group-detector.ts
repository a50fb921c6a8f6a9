/**
 * Detects replica groups that are stalled by a lost member: their leader still accepts requests but produces no events.
 * Silent streams only trigger a probe of the members, whose responses decide, since a group that reads long prompts is
 * silent as well.
 */
import type { Clock } from "../contracts/clocks.js";
import type { Result } from "../core/errors.js";
import { keepOnlyKeys } from "./collections.js";
import type { EngineStatus, FleetInstance, ObservedGroup } from "./fleets.js";
import { groupKey } from "./fleets.js";
import type { FleetView } from "./fleet-view.js";
import { estimatePassMilliseconds } from "./engine-model.js";
import type { ActiveGroup, InFlightRequests } from "./in-flight-requests.js";

/** Minimum silence of running streams that triggers a probe, in milliseconds: about the time of three events. */
const minimumSilenceMilliseconds = 130;
/** Minimum silence before any stream has begun, in milliseconds: the first event of a stream may take that long. */
const minimumFirstEventSilenceMilliseconds = 200;
/** Minimum silence of a group that cannot be probed after which its streams are tried elsewhere as well, in milliseconds. */
const minimumUnprobedSilenceMilliseconds = 2_000;
/** Safety factor on the expected duration of a pass, since the estimate does not cover everything. */
const silenceFactor = 1.5;
/** Time-out of a probe of one member, in milliseconds. */
const probeTimeoutMilliseconds = 80;
/** Time after which an unanswered probe is sent again, in milliseconds: a single packet may be lost. */
const secondProbeDelayMilliseconds = 30;
/** Delay of this process beyond which its probe time-outs are inconclusive, in milliseconds. */
const maximumProcessDelayMilliseconds = 30;
/** Pause after the first round of probes that all members answer, in milliseconds; doubles each round. */
const roundPauseMilliseconds = 200;
/** Maximum doublings of the pause between rounds. */
const maximumPauseDoublings = 3;
/** Pause between two rounds of probes to a group that is already suspect, in milliseconds. */
const suspectRoundPauseMilliseconds = 1_500;
/** Maximum age of progress at other groups that proves this process's connections work, in milliseconds. */
const maximumProgressAgeMilliseconds = 300;

/** Time for which a group's reported pace stays valid, in milliseconds. */
const slownessValidityMilliseconds = 2_000;

/** Factor by which a group is slower than its model's estimate. */
interface Slowness {
    readonly factor: number;
    readonly until: number;
}

/** A suspicion as it is announced to other entry instances. */
export interface Suspicion {
    readonly group: string;
    readonly instances: readonly string[];
}

export interface StalledGroupDetectorOptions {
    readonly clock: Clock;
    readonly view: () => FleetView;
    readonly flights: InFlightRequests;
    readonly report: (instance: FleetInstance, deadline: number) => Promise<Result<EngineStatus>>;
    /**
     * Time over which entry instances spread their first probes, in milliseconds. Where many share a group, the first
     * entry instance probes all members, and the others probe only the members that it names as silent.
     */
    readonly probeSpreadMilliseconds: () => number;
    /** Returns a number in [0, 1). */
    readonly random: () => number;
    /** False while the links of this process to the replicas are in doubt, so that silence says nothing about a group. */
    readonly areLinksSound: () => boolean;
    /** Called with each new suspicion that this process has found itself. */
    readonly onSuspect: (suspicion: Suspicion) => void;
    readonly onCleared: (group: string) => void;
}

export class StalledGroupDetector {
    private isClosed = false;
    private readonly suspects = new Map<string, readonly string[]>();
    private readonly nextRoundAt = new Map<string, number>();
    private readonly slowness = new Map<string, Slowness>();
    /** Consecutive rounds in which all members of a silent group answered, and the time of the progress before them. */
    private readonly healthyRounds = new Map<
        string,
        { readonly progressAt: number; readonly count: number }
    >();
    /** This process's position in the spread of first probes, by group, in [0, 1). */
    private readonly spreadPositions = new Map<string, number>();

    private constructor(private readonly options: StalledGroupDetectorOptions) {}

    public static create(options: StalledGroupDetectorOptions): StalledGroupDetector {
        return new StalledGroupDetector(options);
    }

    /** Stalled groups, with the members that were found silent. */
    public get current(): readonly Suspicion[] {
        return [...this.suspects].map(([group, instances]) => ({ group, instances }));
    }

    public isSuspect(group: string): boolean {
        return this.suspects.has(group);
    }

    /** Returns the last known factor by which a group is slower than its model's estimate, or 1. */
    public slownessOf(group: string): number {
        const slowness = this.slowness.get(group);
        const isFresh = slowness !== undefined && this.options.clock.monotonicMilliseconds() < slowness.until;
        return isFresh ? slowness.factor : 1;
    }

    /** Local monotonic milliseconds at which the next check is due; Infinity while no group is active. */
    public nextCheckAt(now: number): number {
        if (!this.options.areLinksSound()) {
            return Infinity;
        }
        if ([...this.suspects.keys()].some(group => !this.isEvacuated(group))) {
            return now;
        }
        const active = this.options.flights.activeGroups().filter(({ group }) => !this.suspects.has(group));
        const times = active.map(each => this.checkAt(each, now));
        return Math.min(Infinity, ...times);
    }

    /** Probes the members of groups that have been silent for too long and of suspect groups. */
    public tick(): void {
        const now = this.options.clock.monotonicMilliseconds();
        const { groups } = this.options.view();
        this.forget(new Set(groups.keys()));
        if (!this.options.areLinksSound()) {
            return;
        }
        for (const active of this.options.flights.activeGroups()) {
            if (now > this.checkAt(active, now) && !this.suspects.has(active.group)) {
                this.handleSilence(active.group, now);
            }
        }
        for (const [group, instances] of this.suspects) {
            this.check(group, instances, now);
        }
    }

    /** Drops what was concluded over links that turned out to be lost; silent groups are probed again. */
    public forgetSuspicions(): void {
        this.suspects.clear();
        this.nextRoundAt.clear();
    }

    /** Stops probing; covers second probes that would follow the end of the process. */
    public close(): void {
        this.isClosed = true;
    }

    /** Probes the members that another process found silent. */
    public handleSuspicion({ group, instances }: Suspicion): void {
        if (!this.suspects.has(group) && this.options.areLinksSound()) {
            this.check(group, instances, this.options.clock.monotonicMilliseconds());
        }
    }

    /** Probes the members of a group, or suspects it at once if its failure domain is evacuated and nothing is sent there. */
    private handleSilence(key: string, now: number): void {
        const servable = this.options.view().groups.get(key);
        if (servable === undefined || !this.isEvacuated(key)) {
            this.check(key, undefined, now);
            return;
        }
        const instances = servable.group.members.map(({ id }) => id);
        this.suspects.set(key, instances);
        this.options.onSuspect({ group: key, instances });
    }

    private isEvacuated(key: string): boolean {
        const view = this.options.view();
        const servable = view.groups.get(key);
        return servable !== undefined && view.isGroupEvacuated(servable.group);
    }

    private checkAt(active: ActiveGroup, now: number): number {
        const allowed = this.allowedSilence(active, now) + this.delayOf(active.group);
        return (
            active.lastProgressAt +
            (this.isEvacuated(active.group) ? Math.max(minimumUnprobedSilenceMilliseconds, allowed) : allowed)
        );
    }

    /** Returns the delay of this process's first probes to a silent group. */
    private delayOf(group: string): number {
        const position = this.spreadPositions.get(group) ?? this.options.random();
        this.spreadPositions.set(group, position);
        return position * this.options.probeSpreadMilliseconds();
    }

    private allowedSilence({ group, hasRunningStreams: hasWriters }: ActiveGroup, now: number): number {
        const minimum = hasWriters ? minimumSilenceMilliseconds : minimumFirstEventSilenceMilliseconds;
        const servable = this.options.view().groups.get(group);
        if (servable === undefined) {
            return minimum;
        }
        const load = this.options.flights.backlogOf(group, now).all;
        const pass =
            estimatePassMilliseconds(servable.profile, servable.model, load) * this.slownessOf(group);
        return Math.max(minimum, silenceFactor * pass);
    }

    /** Probes the members with the given ids, or all, unless the pause since the last round is not over. */
    private check(key: string, instances: readonly string[] | undefined, now: number): void {
        const servable = this.options.view().groups.get(key);
        if (servable === undefined || this.isEvacuated(key) || now < (this.nextRoundAt.get(key) ?? 0)) {
            return;
        }
        const pause = this.suspects.has(key) ? suspectRoundPauseMilliseconds : this.nextPause(key);
        this.nextRoundAt.set(key, now + pause);
        const { members } = servable.group;
        const named = members.filter(member => instances?.includes(member.id) ?? true);
        void this.probeMembers(
            servable.group,
            named.length > 0 ? named : members,
            instances !== undefined,
            now,
        );
    }

    /** Returns the pause until the next round, which grows with the rounds that found the group silent but healthy. */
    private nextPause(key: string): number {
        const progressAt = this.options.flights.lastProgressOf(key);
        const before = this.healthyRounds.get(key);
        const count = before?.progressAt === progressAt ? before.count + 1 : 0;
        this.healthyRounds.set(key, { progressAt, count });
        return roundPauseMilliseconds * 2 ** Math.min(count, maximumPauseDoublings);
    }

    private async probeMembers(
        group: ObservedGroup,
        members: readonly FleetInstance[],
        isNamed: boolean,
        probedAt: number,
    ): Promise<void> {
        const statuses = await Promise.all(members.map(member => this.probe(group, member)));
        if (
            this.options.clock.monotonicMilliseconds() - probedAt >
            probeTimeoutMilliseconds + maximumProcessDelayMilliseconds
        ) {
            // This process was delayed itself, so responses may have arrived unread.
            return;
        }
        if (!this.options.areLinksSound()) {
            return;
        }
        const silent = members.filter((_, index) => statuses[index] === undefined);
        this.noteSlowness(group.key, statuses);
        if (silent.length === 0) {
            if (this.suspects.delete(group.key)) {
                this.options.onCleared(group.key);
            }
            return;
        }
        const hasResponse = silent.length < members.length;
        const provedAt = this.options.flights.lastProgressElsewhereAt(group.key);
        // A process that names a silent member has already proved that its connections work.
        const isProved = isNamed || hasResponse || provedAt > probedAt - maximumProgressAgeMilliseconds;
        if (isProved && !this.suspects.has(group.key)) {
            const instances = silent.map(member => member.id);
            this.suspects.set(group.key, instances);
            this.options.onSuspect({ group: group.key, instances });
        }
    }

    /** Returns a member's status, or undefined if the member is silent, broken or no longer in the group. */
    private async probe(group: ObservedGroup, member: FleetInstance): Promise<EngineStatus | undefined> {
        const { clock, report } = this.options;
        const deadline = clock.monotonicMilliseconds() + probeTimeoutMilliseconds;
        const first = report(member, deadline);
        const second = new Promise<Result<EngineStatus>>(resolve => {
            let hasProbedAgain = false;
            const probeAgain = (): void => {
                if (!hasProbedAgain && !this.isClosed && !this.isEvacuated(group.key)) {
                    hasProbedAgain = true;
                    resolve(report(member, deadline));
                }
            };
            const timer = setTimeout(probeAgain, secondProbeDelayMilliseconds);
            void first.then(result => {
                clearTimeout(timer);
                if (result.success) {
                    resolve(result);
                } else if (clock.monotonicMilliseconds() < deadline) {
                    // A failure on a kept-alive connection that the member had closed says nothing about the member.
                    probeAgain();
                }
            });
        });
        const result = await Promise.race([
            first.then(probe => (probe.success ? probe : second)),
            second.then(probe => (probe.success ? probe : first)),
        ]);
        const membership = result.success ? result.data.membership : undefined;
        const isMember = membership !== undefined && groupKey(membership) === group.key;
        return result.success && isMember && membership.state !== "broken" ? result.data : undefined;
    }

    private noteSlowness(key: string, statuses: readonly (EngineStatus | undefined)[]): void {
        const paces = statuses.flatMap(status => (status?.pace === undefined ? [] : [status.pace]));
        if (paces.length > 0) {
            const until = this.options.clock.monotonicMilliseconds() + slownessValidityMilliseconds;
            this.slowness.set(key, { factor: Math.max(1, ...paces), until });
        }
    }

    private forget(groups: ReadonlySet<string>): void {
        for (const byGroup of [
            this.suspects,
            this.nextRoundAt,
            this.slowness,
            this.healthyRounds,
            this.spreadPositions,
        ]) {
            keepOnlyKeys(byGroup, groups);
        }
    }
}
