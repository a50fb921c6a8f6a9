/**
 * Finds replica groups that stand still because a member is lost: the leader goes on accepting requests and says
 * nothing. Silence of a group's streams only raises the question; the members' own answers decide, since a group that
 * reads long prompts is silent as well.
 */
import type { Clock } from "../contracts/clocks.js";
import type { Result } from "../core/errors.js";
import { keepOnlyKeys } from "./collections.js";
import type { EngineStatus, FleetInstance, ObservedGroup } from "./fleets.js";
import { groupKey } from "./fleets.js";
import type { FleetView } from "./fleet-views.js";
import { estimatePass } from "./engine-models.js";
import type { ActiveGroup, GroupFlights } from "./group-flights.js";

/** Shortest silence of running streams that raises the question, in milliseconds: about three events' time. */
const shortestSilenceMilliseconds = 130;
/** The same while no stream has begun, in milliseconds: a lone first event takes as long. */
const firstEventSilenceMilliseconds = 200;
/** Factor on the expected time of a pass, for what the estimate does not know. */
const silenceFactor = 1.5;
/** Time that a member has for its answer, in milliseconds. */
const answerMilliseconds = 80;
/** Time after which a member that has not answered is asked again, in milliseconds: one lost packet is no verdict. */
const secondAskMilliseconds = 30;
/** Lateness of this process beyond which its time-outs prove nothing, in milliseconds. */
const lateMilliseconds = 30;
/** Pause after the first round of questions to a silent group whose members all answer, in milliseconds; it doubles. */
const roundPauseMilliseconds = 200;
/** Most doublings of that pause. */
const mostDoublings = 3;
/** Pause between two rounds to a group that is already suspect, in milliseconds. */
const suspectRoundPauseMilliseconds = 1_500;
/** Age up to which progress elsewhere shows that this process's links work, in milliseconds. */
const linkProofMilliseconds = 300;

/** Time for which a group's reported pace is believed, in milliseconds. */
const slownessMilliseconds = 2_000;

/** Factor by which a group is slower than its model says. */
interface Slowness {
    readonly factor: number;
    readonly until: number;
}

/** One suspicion as it is told to others. */
export interface Suspicion {
    readonly group: string;
    readonly instances: readonly string[];
}

export interface GroupSuspicionParts {
    readonly clock: Clock;
    readonly view: () => FleetView;
    readonly flights: GroupFlights;
    readonly report: (instance: FleetInstance, deadline: number) => Promise<Result<EngineStatus>>;
    /**
     * Time over which entry instances spread their first questions, in milliseconds. Where many share a group, one of
     * them asks all members, and the others only those that it names.
     */
    readonly spreadMilliseconds: () => number;
    /** Returns a number in [0, 1). */
    readonly random: () => number;
    /** Takes each new suspicion of this process's own. */
    readonly onSuspect: (suspicion: Suspicion) => void;
    readonly onCleared: (group: string) => void;
}

export class GroupSuspicions {
    private readonly suspects = new Map<string, readonly string[]>();
    private readonly nextRoundAt = new Map<string, number>();
    private readonly slowness = new Map<string, Slowness>();
    /** Rounds in a row in which all members of a silent group answered, with the progress that they followed. */
    private readonly cleanRounds = new Map<string, { readonly progressAt: number; readonly count: number }>();
    /** This process's place in the spread of first questions, by group, in [0, 1). */
    private readonly places = new Map<string, number>();

    private constructor(private readonly parts: GroupSuspicionParts) {}

    public static create(parts: GroupSuspicionParts): GroupSuspicions {
        return new GroupSuspicions(parts);
    }

    /** Groups that stand still, with the members that were found silent. */
    public get current(): readonly Suspicion[] {
        return [...this.suspects].map(([group, instances]) => ({ group, instances }));
    }

    public isSuspect(group: string): boolean {
        return this.suspects.has(group);
    }

    /** Factor by which a group was last seen to be slower than its model says. */
    public slownessOf(group: string): number {
        const slowness = this.slowness.get(group);
        const isFresh = slowness !== undefined && this.parts.clock.monotonicMilliseconds() < slowness.until;
        return isFresh ? slowness.factor : 1;
    }

    /** Asks the members of groups that have been silent for too long, and of those that are suspect. */
    public tick(): void {
        const now = this.parts.clock.monotonicMilliseconds();
        const { groups } = this.parts.view();
        this.forget(new Set(groups.keys()));
        for (const active of this.parts.flights.active()) {
            const allowed = this.allowedSilence(active, now) + this.delayOf(active.group);
            if (now - active.progressAt > allowed && !this.suspects.has(active.group)) {
                this.check(active.group, undefined, now);
            }
        }
        for (const [group, instances] of this.suspects) {
            this.check(group, instances, now);
        }
    }

    /** Another process suspects a group: the members that it found silent are asked now. */
    public checkNow({ group, instances }: Suspicion): void {
        if (!this.suspects.has(group)) {
            this.check(group, instances, this.parts.clock.monotonicMilliseconds());
        }
    }

    /** Delay of this process's first questions to a silent group. */
    private delayOf(group: string): number {
        const place = this.places.get(group) ?? this.parts.random();
        this.places.set(group, place);
        return place * this.parts.spreadMilliseconds();
    }

    private allowedSilence({ group, hasWriters }: ActiveGroup, now: number): number {
        const shortest = hasWriters ? shortestSilenceMilliseconds : firstEventSilenceMilliseconds;
        const servable = this.parts.view().groups.get(group);
        if (servable === undefined) {
            return shortest;
        }
        const load = this.parts.flights.backlogOf(group, now).all;
        const pass = estimatePass(servable.profile, servable.model, load) * this.slownessOf(group);
        return Math.max(shortest, silenceFactor * pass);
    }

    /** Asks the members with the given ids, or all, unless a round is under way or was a moment ago. */
    private check(key: string, instances: readonly string[] | undefined, now: number): void {
        const servable = this.parts.view().groups.get(key);
        if (servable === undefined || now < (this.nextRoundAt.get(key) ?? 0)) {
            return;
        }
        const pause = this.suspects.has(key) ? suspectRoundPauseMilliseconds : this.nextPause(key);
        this.nextRoundAt.set(key, now + pause);
        const { members } = servable.group;
        const named = members.filter(member => instances?.includes(member.id) ?? true);
        void this.askMembers(
            servable.group,
            named.length > 0 ? named : members,
            instances !== undefined,
            now,
        );
    }

    /** Pause until the next round: the longer, the more rounds have found a group silent but sound. */
    private nextPause(key: string): number {
        const progressAt = this.parts.flights.progressOf(key);
        const before = this.cleanRounds.get(key);
        const count = before?.progressAt === progressAt ? before.count + 1 : 0;
        this.cleanRounds.set(key, { progressAt, count });
        return roundPauseMilliseconds * 2 ** Math.min(count, mostDoublings);
    }

    private async askMembers(
        group: ObservedGroup,
        members: readonly FleetInstance[],
        isNamed: boolean,
        askedAt: number,
    ): Promise<void> {
        const answers = await Promise.all(members.map(member => this.ask(group, member)));
        if (this.parts.clock.monotonicMilliseconds() - askedAt > answerMilliseconds + lateMilliseconds) {
            // This process was late itself: answers may lie unread.
            return;
        }
        const silent = members.filter((_, index) => answers[index] === undefined);
        this.noteSlowness(group.key, answers);
        if (silent.length === 0) {
            if (this.suspects.delete(group.key)) {
                this.parts.onCleared(group.key);
            }
            return;
        }
        const hasAnswer = silent.length < members.length;
        const provedAt = this.parts.flights.progressElsewhereAt(group.key);
        // Who named the member has shown that its links work.
        const isProved = isNamed || hasAnswer || provedAt > askedAt - linkProofMilliseconds;
        if (isProved && !this.suspects.has(group.key)) {
            const instances = silent.map(member => member.id);
            this.suspects.set(group.key, instances);
            this.parts.onSuspect({ group: group.key, instances });
        }
    }

    /** Returns what a member says, or undefined if it says nothing or is not in the group any more. */
    private async ask(group: ObservedGroup, member: FleetInstance): Promise<EngineStatus | undefined> {
        const { clock, report } = this.parts;
        const deadline = clock.monotonicMilliseconds() + answerMilliseconds;
        const first = report(member, deadline);
        const second = new Promise<Result<EngineStatus>>(resolve => {
            let hasAskedAgain = false;
            const askAgain = (): void => {
                if (!hasAskedAgain) {
                    hasAskedAgain = true;
                    resolve(report(member, deadline));
                }
            };
            const timer = setTimeout(askAgain, secondAskMilliseconds);
            void first.then(answer => {
                clearTimeout(timer);
                if (answer.success) {
                    resolve(answer);
                } else if (clock.monotonicMilliseconds() < deadline) {
                    // A kept connection that the member had dropped says nothing about the member.
                    askAgain();
                }
            });
        });
        const answers = await Promise.race([
            first.then(answer => (answer.success ? answer : second)),
            second.then(answer => (answer.success ? answer : first)),
        ]);
        const membership = answers.success ? answers.data.membership : undefined;
        const isMember = membership !== undefined && groupKey(membership) === group.key;
        return answers.success && isMember && membership.state !== "broken" ? answers.data : undefined;
    }

    private noteSlowness(key: string, answers: readonly (EngineStatus | undefined)[]): void {
        const paces = answers.flatMap(answer => (answer?.pace === undefined ? [] : [answer.pace]));
        if (paces.length > 0) {
            const until = this.parts.clock.monotonicMilliseconds() + slownessMilliseconds;
            this.slowness.set(key, { factor: Math.max(1, ...paces), until });
        }
    }

    private forget(groups: ReadonlySet<string>): void {
        for (const book of [this.suspects, this.nextRoundAt, this.slowness, this.cleanRounds, this.places]) {
            keepOnlyKeys(book, groups);
        }
    }
}
