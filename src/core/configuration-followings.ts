/**
 * State machine that follows one prefix of the store: lists it, watches it, lists it again after a gap or a silent
 * watch, and backs off exponentially with jitter while the store fails. A process that is not a watcher polls at a long
 * interval, and at a shorter one while no peer confirms that its state is the latest.
 */
import type { ReadResponse, WatchEvent } from "../contracts/key-value-stores.js";
import type { Result } from "./errors.js";

/** Time-out of a read, in milliseconds. */
export const listMilliseconds = 2_000;
/** Silence in milliseconds after which a watch counts as broken. */
export const watchSilenceMilliseconds = 5_000;
/** Poll interval in milliseconds of a process that is not a watcher, while peers confirm its state. */
export const pollMilliseconds = 60_000;
/** Time in milliseconds without confirmation after which a process that is not a watcher reads at once. */
export const unconfirmedMilliseconds = 6_000;
/** Poll interval in milliseconds while a process that is not a watcher has no confirmation. */
const unconfirmedPollMilliseconds = 4_000;
/** Bounds of the delay after a failed read, in milliseconds. */
const shortestBackoffMilliseconds = 500;
const longestBackoffMilliseconds = 4_000;

/** Time-outs and delays that vary between deployments, in milliseconds. */
export interface FollowingTimes {
    readonly listMilliseconds: number;
    readonly watchSilenceMilliseconds: number;
    readonly shortestBackoffMilliseconds: number;
    readonly longestBackoffMilliseconds: number;
}

const defaultTimes: FollowingTimes = {
    listMilliseconds,
    watchSilenceMilliseconds,
    shortestBackoffMilliseconds,
    longestBackoffMilliseconds,
};

/** Input of the state machine. */
export type FollowingEvent =
    | { readonly kind: "tick"; readonly confirmedAt: number | undefined }
    | { readonly kind: "mode"; readonly watching: boolean }
    | { readonly kind: "listed"; readonly attempt: number; readonly answer: Result<ReadResponse> }
    | { readonly kind: "watched"; readonly attempt: number; readonly event: WatchEvent };

/** What the driver is to do. A command with a new `attempt` cancels every earlier attempt. */
export type FollowingCommand =
    | { readonly kind: "list"; readonly attempt: number; readonly deadline: number }
    | { readonly kind: "watch"; readonly attempt: number; readonly fromRevision: number }
    | { readonly kind: "unwatch" }
    | { readonly kind: "apply"; readonly answer: ReadResponse }
    | { readonly kind: "applyWatch"; readonly event: WatchEvent };

type Phase =
    | { readonly kind: "idle"; readonly listAt: number; readonly sinceAt: number }
    | { readonly kind: "listing"; readonly deadline: number }
    | { readonly kind: "watching"; readonly deadline: number };

/** State of following one prefix. */
export class StoreFollowing {
    private phase: Phase;
    private attempt = 0;
    private failures = 0;

    private constructor(
        private watching: boolean,
        now: number,
        private readonly random: () => number,
        private readonly readsAfterGap: boolean,
        private readonly times: FollowingTimes,
    ) {
        this.phase = { kind: "idle", listAt: now, sinceAt: now };
    }

    public static create(options: {
        readonly watching: boolean;
        readonly now: number;
        readonly random: () => number;
        /** False is a deliberate defect for tests: after a gap the watch resumes from now, without a read. */
        readonly readsAfterGap?: boolean;
        readonly times?: FollowingTimes;
    }): StoreFollowing {
        const { watching, now, random, readsAfterGap = true, times = defaultTimes } = options;
        return new StoreFollowing(watching, now, random, readsAfterGap, times);
    }

    /** True while a watch is open and not silent. */
    public get isWatching(): boolean {
        return this.phase.kind === "watching";
    }

    public step(event: FollowingEvent, now: number): readonly FollowingCommand[] {
        switch (event.kind) {
            case "tick":
                return this.tick(event.confirmedAt, now);
            case "mode":
                return this.setMode(event.watching, now);
            case "listed":
                return event.attempt === this.attempt ? this.listed(event.answer, now) : [];
            case "watched":
                return event.attempt === this.attempt ? this.watched(event.event, now) : [];
        }
    }

    private tick(confirmedAt: number | undefined, now: number): readonly FollowingCommand[] {
        const { phase } = this;
        switch (phase.kind) {
            case "listing":
                return now >= phase.deadline ? this.backOff(now) : [];
            case "watching":
                return now >= phase.deadline ? [{ kind: "unwatch" }, ...this.list(now)] : [];
            case "idle":
                return now >= this.listAt(phase, confirmedAt) ? this.list(now) : [];
        }
    }

    private listAt(phase: Extract<Phase, { kind: "idle" }>, confirmedAt: number | undefined): number {
        if (this.watching || this.failures > 0) {
            return phase.listAt;
        }
        const unconfirmedFrom = (confirmedAt ?? phase.sinceAt) + unconfirmedMilliseconds;
        return Math.min(phase.listAt, Math.max(unconfirmedFrom, phase.sinceAt + unconfirmedPollMilliseconds));
    }

    private setMode(watching: boolean, now: number): readonly FollowingCommand[] {
        if (watching === this.watching) {
            return [];
        }
        this.watching = watching;
        if (watching) {
            return this.phase.kind === "idle" ? this.list(now) : [];
        }
        if (this.phase.kind !== "watching") {
            return [];
        }
        this.waitForPoll(now);
        return [{ kind: "unwatch" }];
    }

    private listed(answer: Result<ReadResponse>, now: number): readonly FollowingCommand[] {
        if (this.phase.kind !== "listing") {
            return [];
        }
        if (!answer.success) {
            return this.backOff(now);
        }
        this.failures = 0;
        const apply: FollowingCommand = { kind: "apply", answer: answer.data };
        if (!this.watching) {
            this.waitForPoll(now);
            return [apply];
        }
        this.attempt += 1;
        this.phase = { kind: "watching", deadline: now + this.times.watchSilenceMilliseconds };
        return [apply, { kind: "watch", attempt: this.attempt, fromRevision: answer.data.revision + 1 }];
    }

    private watched(event: WatchEvent, now: number): readonly FollowingCommand[] {
        if (this.phase.kind !== "watching") {
            return [];
        }
        if (event.kind === "gap") {
            return this.afterGap(now);
        }
        this.phase = { kind: "watching", deadline: now + this.times.watchSilenceMilliseconds };
        return [{ kind: "applyWatch", event }];
    }

    private afterGap(now: number): readonly FollowingCommand[] {
        if (this.readsAfterGap) {
            return [{ kind: "unwatch" }, ...this.backOff(now)];
        }
        this.attempt += 1;
        return [{ kind: "unwatch" }, { kind: "watch", attempt: this.attempt, fromRevision: 0 }];
    }

    private list(now: number): readonly FollowingCommand[] {
        this.attempt += 1;
        const deadline = now + this.times.listMilliseconds;
        this.phase = { kind: "listing", deadline };
        return [{ kind: "list", attempt: this.attempt, deadline }];
    }

    private backOff(now: number): readonly FollowingCommand[] {
        const ceiling = Math.min(
            this.times.longestBackoffMilliseconds,
            this.times.shortestBackoffMilliseconds * 2 ** Math.min(this.failures, 10),
        );
        this.failures += 1;
        this.attempt += 1;
        this.phase = { kind: "idle", listAt: now + ceiling * (0.5 + this.random() / 2), sinceAt: now };
        return [];
    }

    private waitForPoll(now: number): void {
        this.attempt += 1;
        const listAt = now + pollMilliseconds * (0.75 + this.random() / 2);
        this.phase = { kind: "idle", listAt, sinceAt: now };
    }
}
