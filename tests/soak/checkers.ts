/** Checks the guarantees of the serving process on the history of one run. Each checker returns a text per violation. */
import { countBy, groupBy } from "../../src/serving/collections.js";
import type { CallerRecord, RunRecord, SoakHistory } from "./history.js";
import { expectedResponse, expectedStream, workspaceOf } from "./workload.js";

export type Checker = (history: SoakHistory) => readonly string[];

/** Time bounds, in milliseconds, and retry budget of the deployment that the soak runs. */
export interface SoakBounds {
    /** From the store's response to a write until the configuration is in force. */
    readonly configurationMilliseconds: number;
    /** From a replica's announcement that it leaves until it receives no more requests. */
    readonly leavingMilliseconds: number;
    /** From the end of a disturbance until the time bounds apply again. */
    readonly settleMilliseconds: number;
    /** Shortest time that a request may take until it is ended: of its caller and of its route. */
    readonly timeLimitMilliseconds: number;
    /** From the last byte of a request until a process that closes an idle connection must have noticed it. */
    readonly lossSlackMilliseconds: number;
    readonly retryBudget: {
        readonly windowMilliseconds: number;
        readonly fraction: number;
        readonly allowance: number;
    };
}

const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

export function checkAtMostOnce({ callers, runs }: SoakHistory): readonly string[] {
    const counts = countById(runs);
    return callers
        .filter(({ kind, id }) => kind === "once" && (counts.get(id) ?? 0) > 1)
        .map(({ id }) => `${id} ran ${counts.get(id)} times`);
}

export function checkNotRunStatuses({ callers, runs }: SoakHistory): readonly string[] {
    const counts = countById(runs);
    return callers
        .filter(({ kind, status, id }) => kind === "once" && notRunStatuses.has(status) && counts.has(id))
        .map(({ id, status }) => `${id} ran although its response had status ${status}`);
}

export function checkCompleteResponses({ callers, runs }: SoakHistory): readonly string[] {
    return callers
        .filter(({ status, isWhole }) => status === 200 && isWhole)
        .filter(record => !expectedBodies(record, runs).includes(record.body))
        .map(
            ({ id, body }) =>
                `${id} got a complete response with a wrong body: ${JSON.stringify(body.slice(0, 80))}`,
        );
}

export function checkResponseIds({ callers }: SoakHistory): readonly string[] {
    return callers
        .filter(({ id, status, answeredId }) => status === 200 && answeredId !== id)
        .map(({ id, answeredId }) => `${id} got the response to ${answeredId ?? "an unnamed request"}`);
}

export function checkOnlySentRequests({ callers, runs }: SoakHistory): readonly string[] {
    const sentIds = new Set(callers.map(({ id }) => id));
    return runs
        .filter(({ id }) => !sentIds.has(id))
        .map(({ id, replica }) => `${replica} ran ${id}, which no caller sent`);
}

export function checkWorkspaces({ callers, runs }: SoakHistory): readonly string[] {
    const credentials = new Map(callers.map(({ id, credential }) => [id, credential]));
    return runs.flatMap(({ id, replica, workspace, hasCredential }) => {
        const expected = workspaceOf(credentials.get(id) ?? "");
        const isOther = workspace !== expected;
        return [
            ...(hasCredential ? [`${replica} received the credential of ${id}`] : []),
            ...(isOther
                ? [`${id} ran for ${workspace ?? "no workspace"} instead of ${expected ?? "no workspace"}`]
                : []),
        ];
    });
}

export function checkVersionsIncrease({ versions }: SoakHistory): readonly string[] {
    const highest = new Map<string, number>();
    // A replica that is silent delays some responses, so the records are in the order of the responses.
    const inSendingOrder = [...versions].sort((left, right) => left.at - right.at);
    return inSendingOrder.flatMap(({ entry, start, version, status }) => {
        const key = `${entry} start ${start}`;
        const before = highest.get(key) ?? 0;
        highest.set(key, Math.max(before, version));
        const shownBy = status === undefined ? "" : `, as status ${status} shows`;
        return version < before ? [`${key} went from version ${before} back to ${version}${shownBy}`] : [];
    });
}

export function checkVersionsInTime(bounds: SoakBounds): Checker {
    return history =>
        history.versions.flatMap(({ entry, at, version }) => {
            const dueAt = at - bounds.configurationMilliseconds;
            const due = Math.max(
                0,
                ...history.published.filter(each => each.at <= dueAt).map(each => each.version),
            );
            const isCalm = !isDisturbed(history, entry, dueAt - bounds.settleMilliseconds, at);
            return isCalm && version < due
                ? [`${entry} acts on version ${version}, but version ${due} is due`]
                : [];
        });
}

export function checkLeaving(bounds: SoakBounds): Checker {
    return history =>
        history.leaving.flatMap(({ replica, at }) => {
            const from = at + bounds.leavingMilliseconds;
            const late = history.runs.filter(run => run.replica === replica && run.at > from);
            return late
                .filter(run => !isDisturbed(history, undefined, run.at - bounds.settleMilliseconds, run.at))
                .map(
                    run =>
                        `${replica} received ${run.id} ${Math.round(run.at - at)} ms after it announced that it leaves`,
                );
        });
}

/**
 * An undisturbed process responds to every request that was sent whole; a request may only cross the close of an idle
 * connection, and then it isn't passed on.
 */
export function checkNoLostRequests({ lossSlackMilliseconds }: SoakBounds): Checker {
    return ({ callers, runs }) => {
        const counts = countById(runs);
        const isCrossing = ({ id, isOnKeptConnection, writtenAt, endedAt }: CallerRecord): boolean =>
            isOnKeptConnection && !counts.has(id) && endedAt - writtenAt <= lossSlackMilliseconds;
        return callers
            .filter(record => record.status === 0 && !record.isExcused && !isCrossing(record))
            .map(
                ({ id, entry, writtenAt, endedAt }) =>
                    `${entry} closed the connection of ${id} without a response after ${Math.round(endedAt - writtenAt)} ms`,
            );
    };
}

/**
 * An undisturbed process relays a response to its end, unless a replica broke it off, a connection to a replica was
 * disturbed, or its time ran out. The silence of a replica is no reason to end it.
 */
export function checkNoCutResponses({ timeLimitMilliseconds }: SoakBounds): Checker {
    return ({ callers, runs, breaks, linkFaults }) => {
        const broken = new Set(breaks.map(({ id }) => id));
        const replicasOf = groupBy(runs, ({ id }) => id);
        const hadLinkFault = ({ id, sentAt, endedAt }: CallerRecord): boolean => {
            const involved = new Set(
                (replicasOf.get(id) ?? []).flatMap(({ replica, members }) => [replica, ...members]),
            );
            return linkFaults.some(
                ({ replica, from, to }) => involved.has(replica) && from <= endedAt && to >= sentAt,
            );
        };
        return callers
            .filter(({ status, isWhole, isExcused }) => status !== 0 && !isWhole && !isExcused)
            .filter(({ sentAt, endedAt }) => endedAt - sentAt < timeLimitMilliseconds)
            .filter(record => !broken.has(record.id) && !hadLinkFault(record))
            .map(
                ({ id, entry, sentAt, endedAt }) =>
                    `${entry} cut the response to ${id} after ${Math.round(endedAt - sentAt)} ms`,
            );
    };
}

export function checkRetryBudget({ retryBudget: repeats }: SoakBounds): Checker {
    return ({ runs, callers }) => {
        const firstRuns = new Set<string>();
        const retries = runs.filter(({ id }) => firstRuns.has(id) || !firstRuns.add(id));
        return retries.flatMap(({ at }) => {
            const isWithin = (each: number, length: number): boolean => each >= at - length && each <= at;
            const count = retries.filter(each => isWithin(each.at, repeats.windowMilliseconds)).length;
            const requests = callers.filter(each =>
                isWithin(each.sentAt, 2 * repeats.windowMilliseconds),
            ).length;
            const allowed = repeats.allowance + repeats.fraction * requests;
            return count > allowed ? [`${count} retries in a window that allows ${Math.floor(allowed)}`] : [];
        });
    };
}

export function checkGroups({ groupViolations }: SoakHistory): readonly string[] {
    return groupViolations;
}

/** All checkers by name. */
export function allCheckers(bounds: SoakBounds): Readonly<Record<string, Checker>> {
    return {
        atMostOnce: checkAtMostOnce,
        notRunIsTrue: checkNotRunStatuses,
        wholeAnswers: checkCompleteResponses,
        noCrossedAnswers: checkResponseIds,
        onlyAsked: checkOnlySentRequests,
        workspaces: checkWorkspaces,
        versionsRise: checkVersionsIncrease,
        versionsInTime: checkVersionsInTime(bounds),
        leaving: checkLeaving(bounds),
        nothingIsLost: checkNoLostRequests(bounds),
        nothingIsCut: checkNoCutResponses(bounds),
        repeats: checkRetryBudget(bounds),
        groups: checkGroups,
    };
}

function countById(runs: readonly RunRecord[]): ReadonlyMap<string, number> {
    return countBy(runs, ({ id }) => id);
}

function expectedBodies({ id, kind }: CallerRecord, runs: readonly RunRecord[]): readonly string[] {
    return kind === "stream"
        ? [expectedStream(id)]
        : runs.filter(run => run.id === id).map(({ replica }) => expectedResponse(id, replica));
}

function isDisturbed(history: SoakHistory, entry: string | undefined, from: number, to: number): boolean {
    return history.disturbed.some(
        span =>
            (span.entry === undefined || entry === undefined || span.entry === entry) &&
            span.from <= to &&
            span.to >= from,
    );
}
