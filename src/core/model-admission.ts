/** Admission state of one model: its queue, the recent usage of callers, and the estimates. */
import { AnswerEstimate, ChargeRatio, StartEstimate } from "./admission-estimates.js";
import type { RequestQueue } from "./fair-queue.js";
import type { Caller } from "./requests.js";
import type { Team } from "./teams.js";
import type { PeerCharge } from "./usage-exchange.js";
import { RecentUsage } from "./recent-usage.js";

/** Queue, recent usage and estimates of one model. */
export class ModelAdmission {
    public readonly recentUsage = RecentUsage.create();
    public readonly answerEstimate = AnswerEstimate.create();
    private readonly startEstimate = StartEstimate.create();
    private readonly chargeRatio = ChargeRatio.create();

    private constructor(public readonly queue: RequestQueue) {}

    public static create(queue: RequestQueue): ModelAdmission {
        return new ModelAdmission(queue);
    }

    public applyTeams(teams: Iterable<Team>): void {
        for (const team of teams) {
            this.queue.applyTeamWeight(team.id, team);
            this.recentUsage.applyTeam(team.id, team.share);
        }
    }

    /** Records that a request of the caller was taken from the queue; `cost` is the tokens charged at its start. */
    public recordStart({ team }: Caller, cost: number, now: number): void {
        this.startEstimate.recordStart(team, this.queue.virtualTimeOf(team), now);
        this.answerEstimate.recordStart(cost);
    }

    /** Charges tokens used through this process; a negative number refunds. */
    public charge(caller: Caller, tokens: number, now: number): void {
        this.queue.charge(caller, tokens);
        this.recentUsage.add(caller, tokens, now);
        this.chargeRatio.addOwn(tokens, now);
    }

    /** Charges tokens that callers used through another entry process. */
    public chargePeer({ team, subscriber, tokens }: PeerCharge, now: number): void {
        if (subscriber === undefined) {
            this.queue.chargeTeam(team, tokens);
            this.recentUsage.addToTeam(team, tokens, now);
            this.chargeRatio.addPeer(tokens, now);
            return;
        }
        this.queue.chargeSubscriber({ team, subscriber }, tokens);
        this.recentUsage.addToSubscriber({ team, subscriber }, tokens, now);
    }

    /** Returns the estimated milliseconds until a new request of the caller would start, 0 if not known. */
    public estimateWait(caller: Caller, now: number): number {
        if (this.queue.size === 0) {
            return 0;
        }
        const ahead = this.queue.virtualTimeAhead(caller, this.answerEstimate.meanCost);
        return this.startEstimate.estimateWait(caller.team, ahead * this.chargeRatio.totalPerOwnToken, now);
    }
}
