/**
 * State machine that follows one prefix of the store: lists it, watches it, lists it again after a gap or a silent
 * watch, and backs off exponentially with jitter while the store fails. A process that is not a watcher polls at a long
 * interval, and at a shorter one while no peer confirms that its state is the latest.
 */
import type { ReadResponse, StorePosition, WatchEvent } from "../contracts/key-value-stores.js";
import type { Result } from "./errors.js";

/** Time-out of a read, in milliseconds. */
export const defaultListTimeoutMilliseconds = 2_000;
/** Silence in milliseconds after which a watch counts as broken. */
export const defaultWatchSilenceTimeoutMilliseconds = 5_000;
/** Poll interval in milliseconds of a process that is not a watcher, while peers confirm its state. */
export const pollIntervalMilliseconds = 60_000;
/** Time in milliseconds without confirmation after which a process that is not a watcher reads at once. */
export const confirmationTimeoutMilliseconds = 6_000;
/** Poll interval in milliseconds while a process that is not a watcher has no confirmation. */
const unconfirmedPollIntervalMilliseconds = 4_000;
/** Bounds of the delay after a failed read, in milliseconds. */
const defaultMinimumBackoffMilliseconds = 500;
const defaultMaximumBackoffMilliseconds = 4_000;

/** Time-outs and delays that vary between deployments, in milliseconds. */
export interface FollowerTimes {
    readonly listTimeoutMilliseconds: number;
    /** Time after which a read whose response has not begun counts as lost; that of the whole read if undefined. */
    readonly responseTimeoutMilliseconds?: number;
    readonly watchSilenceTimeoutMilliseconds: number;
    readonly minimumBackoffMilliseconds: number;
    readonly maximumBackoffMilliseconds: number;
}

const defaultTimes: FollowerTimes = {
    listTimeoutMilliseconds: defaultListTimeoutMilliseconds,
    watchSilenceTimeoutMilliseconds: defaultWatchSilenceTimeoutMilliseconds,
    minimumBackoffMilliseconds: defaultMinimumBackoffMilliseconds,
    maximumBackoffMilliseconds: defaultMaximumBackoffMilliseconds,
};

/** Input of the state machine. */
export type FollowerEvent =
    | { readonly kind: "tick"; readonly confirmedAt: number | undefined }
    | { readonly kind: "mode"; readonly watching: boolean }
    | { readonly kind: "listed"; readonly attempt: number; readonly answer: Result<ReadResponse> }
    | { readonly kind: "watched"; readonly attempt: number; readonly event: WatchEvent };

/** Output of the state machine, for its driver. A command with a new `attempt` cancels every earlier attempt. */
export type FollowerCommand =
    | { readonly kind: "list"; readonly attempt: number; readonly deadline: number }
    | { readonly kind: "watch"; readonly attempt: number; readonly from: StorePosition }
    | { readonly kind: "unwatch" }
    | { readonly kind: "apply"; readonly answer: ReadResponse }
    | { readonly kind: "applyWatch"; readonly event: WatchEvent };

type Phase =
    | { readonly kind: "idle"; readonly listAt: number; readonly sinceAt: number }
    | { readonly kind: "listing"; readonly deadline: number }
    | { readonly kind: "watching"; readonly deadline: number };

/** State of following one prefix. */
export class StoreFollower {
    private phase: Phase;
    private attempt = 0;
    private failures = 0;

    private constructor(
        private watching: boolean,
        now: number,
        private readonly random: () => number,
        private readonly readsAfterGap: boolean,
        private readonly times: FollowerTimes,
    ) {
        this.phase = { kind: "idle", listAt: now, sinceAt: now };
    }

    public static create(options: {
        readonly watching: boolean;
        readonly now: number;
        readonly random: () => number;
        /** Tests set false to inject a defect: after a gap the watch resumes from now, without a read. */
        readonly readsAfterGap?: boolean;
        readonly times?: FollowerTimes;
    }): StoreFollower {
        const { watching, now, random, readsAfterGap = true, times = defaultTimes } = options;
        return new StoreFollower(watching, now, random, readsAfterGap, times);
    }

    /** True while a watch is open and not silent. */
    public get isWatching(): boolean {
        return this.phase.kind === "watching";
    }

    public step(event: FollowerEvent, now: number): readonly FollowerCommand[] {
        switch (event.kind) {
            case "tick":
                return this.tick(event.confirmedAt, now);
            case "mode":
                return this.setWatching(event.watching, now);
            case "listed":
                return event.attempt === this.attempt ? this.handleList(event.answer, now) : [];
            case "watched":
                return event.attempt === this.attempt ? this.handleWatch(event.event, now) : [];
        }
    }

    private tick(confirmedAt: number | undefined, now: number): readonly FollowerCommand[] {
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
        const unconfirmedFrom = (confirmedAt ?? phase.sinceAt) + confirmationTimeoutMilliseconds;
        return Math.min(
            phase.listAt,
            Math.max(unconfirmedFrom, phase.sinceAt + unconfirmedPollIntervalMilliseconds),
        );
    }

    private setWatching(watching: boolean, now: number): readonly FollowerCommand[] {
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
        this.schedulePoll(now);
        return [{ kind: "unwatch" }];
    }

    private handleList(answer: Result<ReadResponse>, now: number): readonly FollowerCommand[] {
        if (this.phase.kind !== "listing") {
            return [];
        }
        if (!answer.success) {
            return this.backOff(now);
        }
        this.failures = 0;
        const apply: FollowerCommand = { kind: "apply", answer: answer.data };
        if (!this.watching) {
            this.schedulePoll(now);
            return [apply];
        }
        this.attempt += 1;
        this.phase = { kind: "watching", deadline: now + this.times.watchSilenceTimeoutMilliseconds };
        const { era, revision } = answer.data;
        return [apply, { kind: "watch", attempt: this.attempt, from: { era, revision: revision + 1 } }];
    }

    private handleWatch(event: WatchEvent, now: number): readonly FollowerCommand[] {
        if (this.phase.kind !== "watching") {
            return [];
        }
        if (event.kind === "gap") {
            return this.handleGap(now);
        }
        this.phase = { kind: "watching", deadline: now + this.times.watchSilenceTimeoutMilliseconds };
        return [{ kind: "applyWatch", event }];
    }

    private handleGap(now: number): readonly FollowerCommand[] {
        if (this.readsAfterGap) {
            return [{ kind: "unwatch" }, ...this.backOff(now)];
        }
        this.attempt += 1;
        return [{ kind: "unwatch" }, { kind: "watch", attempt: this.attempt, from: { revision: 0 } }];
    }

    private list(now: number): readonly FollowerCommand[] {
        this.attempt += 1;
        const deadline = now + this.times.listTimeoutMilliseconds;
        this.phase = { kind: "listing", deadline };
        return [{ kind: "list", attempt: this.attempt, deadline }];
    }

    private backOff(now: number): readonly FollowerCommand[] {
        const ceiling = Math.min(
            this.times.maximumBackoffMilliseconds,
            this.times.minimumBackoffMilliseconds * 2 ** Math.min(this.failures, 10),
        );
        this.failures += 1;
        this.attempt += 1;
        this.phase = { kind: "idle", listAt: now + ceiling * (0.5 + this.random() / 2), sinceAt: now };
        return [];
    }

    private schedulePoll(now: number): void {
        this.attempt += 1;
        const listAt = now + pollIntervalMilliseconds * (0.75 + this.random() / 2);
        this.phase = { kind: "idle", listAt, sinceAt: now };
    }
}
