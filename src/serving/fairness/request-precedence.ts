/** Derives the precedence of each request while capacity is short, from what its workspace, key, kind and session received. */
import { RecentUsage } from "../../core/recent-usage.js";
import { scoreOf, ScoreWindow } from "./precedence.js";
import type { ReturnKind } from "./return-places.js";
import { ServedParts } from "./served-parts.js";
import type { ArrivingRequest, SharingSubject } from "./sharing-subject.js";
import type { AnnouncedUsage } from "./workspace-usage.js";
import { WorkspaceUsage } from "./workspace-usage.js";

/** Served part of a workspace, relative to all, below which it goes first; the requirement is a quarter. */
const minimumWorkspacePart = 0.4;
/** The same for the largest tenth by work; the requirement is a half. */
const minimumLargePart = 0.75;
/** The same for a kind of request, so that the least urgent ones don't starve. */
const minimumKindPart = 0.5;
/** Difference by which a less urgent rank may be served more often; the requirement is 0.05. */
const maximumRankDeficit = 0.02;
/** Part of the recent requests with less work above which a request is one of the largest. */
const largeQuantile = 0.9;
/** Lowest rank number of a configuration and highest one that is distinguished. */
const rankCount = 10;
/** Time for which the refusal or the start of a session's last request counts, in milliseconds. */
const sessionMilliseconds = 10_000;
/** Refusals of a session in a row, over all entry instances, after which its next request goes first. */
const maximumSessionRefusals = 3;
/** Maximum number of sessions that are remembered, and of those in one datagram. */
const maximumSessions = 2_000;
const maximumAnnouncedSessions = 16;

/** What one entry instance decided last on a session. */
export interface AnnouncedSession {
    readonly session: string;
    /** Refusals in a row; 0 if the last request was served. */
    readonly refusals: number;
    readonly ageMilliseconds: number;
}

interface SessionRecord {
    /** Known refusals since a request of the session was served; 0 if its last request was served. */
    readonly refusals: number;
    /** Local monotonic milliseconds. */
    readonly changedAt: number;
    /** True if a peer decided on the request; it is not announced again. */
    readonly isFromPeer: boolean;
}

export class RequestPrecedence {
    private readonly usage = WorkspaceUsage.create();
    /** Work that keys of a pool's workspaces asked for, as far as this entry instance knows. */
    private readonly keyUsage = new Map<string, RecentUsage>();
    private readonly parts = ServedParts.create();
    private readonly scores = new Map<string, ScoreWindow>();
    private readonly sizes = new Map<string, ScoreWindow>();
    /** In order of last change, oldest first. */
    private readonly sessions = new Map<string, SessionRecord>();

    private constructor() {}

    public static create(): RequestPrecedence {
        return new RequestPrecedence();
    }

    /** Records a request that arrived. Repetitions are no new demand. */
    public recordArrival(request: ArrivingRequest, returnKind: ReturnKind, now: number): void {
        const { pool, workspace, callerKey, workMilliseconds } = request;
        const caller = { team: workspace, subscriber: callerKey };
        entryOf(this.keyUsage, pool, RecentUsage.create).addToSubscriber(caller, workMilliseconds, now);
        if (returnKind === "new") {
            this.usage.recordArrival(pool, workspace, workMilliseconds, now);
            this.keysOf(request).forEach(key => this.parts.recordArrival(key, now));
            entryOf(this.sizes, pool, ScoreWindow.create).add(workMilliseconds);
        }
    }

    /** Returns the precedence of an arriving request from 0 to 1, and compares later ones with it. */
    public precedenceOf(request: ArrivingRequest, returnKind: ReturnKind, draw: number, now: number): number {
        const { pool, workspace, callerKey, rank, session } = request;
        const caller = { team: workspace, subscriber: callerKey };
        const score = scoreOf({
            rank,
            overuse: this.usage.overuseOf(pool, workspace, now),
            keyRatio: entryOf(this.keyUsage, pool, RecentUsage.create).ratioInTeam(caller, now),
            session: this.sessionStateOf(session, now),
            isReturning: returnKind === "unpromised",
            draw,
        });
        const window = entryOf(this.scores, pool, ScoreWindow.create);
        const precedence = window.precedenceOf(score);
        window.add(score);
        const isSessionStarving = (this.sessionRefusals(session, now) ?? 0) >= maximumSessionRefusals;
        return isSessionStarving || this.isDeprived(request, now) ? 1 : precedence;
    }

    public recordStart(subject: SharingSubject, now: number): void {
        const { pool, workspace, workMilliseconds, session } = subject;
        this.usage.recordStart(pool, workspace, workMilliseconds, now);
        this.keysOf(subject).forEach(key => this.parts.recordServed(key, now));
        this.recordSession(session, { refusals: 0, changedAt: now, isFromPeer: false });
    }

    public recordRefusal({ session }: SharingSubject, now: number): void {
        const refusals = (this.sessionRefusals(session, now) ?? 0) + 1;
        this.recordSession(session, { refusals, changedAt: now, isFromPeer: false });
    }

    public announcedUsage(pools: readonly string[], now: number): readonly AnnouncedUsage[] {
        return this.usage.announcement(pools, now);
    }

    /** Sessions whose last request was decided here, the latest first. */
    public announcedSessions(now: number): readonly AnnouncedSession[] {
        return [...this.sessions]
            .filter(([, { changedAt, isFromPeer }]) => now < changedAt + sessionMilliseconds && !isFromPeer)
            .slice(-maximumAnnouncedSessions)
            .map(([session, { refusals, changedAt }]) => ({
                session,
                refusals,
                ageMilliseconds: Math.round(now - changedAt),
            }));
    }

    public applyPeer(
        peer: string,
        usage: readonly AnnouncedUsage[],
        sessions: readonly AnnouncedSession[],
        now: number,
    ): void {
        this.usage.applyPeer(peer, usage, now);
        for (const { session, refusals, ageMilliseconds } of sessions.slice(0, maximumAnnouncedSessions)) {
            const changedAt = now - ageMilliseconds;
            if (changedAt > (this.sessions.get(session)?.changedAt ?? Number.NEGATIVE_INFINITY)) {
                this.recordSession(session, { refusals, changedAt, isFromPeer: true });
            }
        }
    }

    /** True if requests like this one were served so seldom that this one goes first whatever its score. */
    private isDeprived(request: ArrivingRequest, now: number): boolean {
        const { pool, workspace, kind, rank } = request;
        const partOf = (key: string): number | undefined => this.parts.partOf(key, now);
        const all = partOf(`all ${pool}`);
        if (all === undefined) {
            return false;
        }
        const rankPart = partOf(rankKey(pool, rank));
        const lessUrgent = Array.from({ length: rankCount - rank - 1 }, (_, index) =>
            partOf(rankKey(pool, rank + index + 1)),
        );
        const isBelow = (key: string, minimum: number): boolean => (partOf(key) ?? all) < minimum * all;
        return (
            this.usage.servedRatioOf(pool, workspace, now) < minimumWorkspacePart ||
            isBelow(`kind ${pool} ${kind}`, minimumKindPart) ||
            (this.isLarge(request) && isBelow(`large ${pool}`, minimumLargePart)) ||
            lessUrgent.some(part => (part ?? 0) > (rankPart ?? 1) + maximumRankDeficit)
        );
    }

    private isLarge({ pool, workMilliseconds }: ArrivingRequest): boolean {
        return entryOf(this.sizes, pool, ScoreWindow.create).precedenceOf(workMilliseconds) >= largeQuantile;
    }

    private keysOf(request: ArrivingRequest): readonly string[] {
        const { pool, kind, rank } = request;
        return [
            `all ${pool}`,
            `kind ${pool} ${kind}`,
            rankKey(pool, rank),
            ...(this.isLarge(request) ? [`large ${pool}`] : []),
        ];
    }

    private sessionStateOf(session: string | undefined, now: number): "refused" | "served" | "unknown" {
        const refusals = this.sessionRefusals(session, now);
        if (refusals === undefined) {
            return "unknown";
        }
        return refusals > 0 ? "refused" : "served";
    }

    private sessionRefusals(session: string | undefined, now: number): number | undefined {
        const record = session === undefined ? undefined : this.sessions.get(session);
        return record !== undefined && now < record.changedAt + sessionMilliseconds
            ? record.refusals
            : undefined;
    }

    private recordSession(session: string | undefined, record: SessionRecord): void {
        if (session === undefined) {
            return;
        }
        this.sessions.delete(session);
        this.sessions.set(session, record);
        if (this.sessions.size > maximumSessions) {
            this.sessions.delete(this.sessions.keys().next().value!);
        }
    }
}

function rankKey(pool: string, rank: number): string {
    return `rank ${pool} ${rank}`;
}

function entryOf<T>(map: Map<string, T>, key: string, create: () => T): T {
    const entry = map.get(key) ?? create();
    map.set(key, entry);
    return entry;
}
