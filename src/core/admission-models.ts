/** Admission state of one model: its queue, the recent usage of callers, and the estimates. */
import { AnswerEstimate, ChargeShare, StartEstimate } from "./admission-estimates.js";
import type { RequestQueue } from "./fair-queues.js";
import type { Caller } from "./requests.js";
import type { Team } from "./teams.js";
import type { PeerCharge } from "./usage-exchanges.js";
import { RecentUsage } from "./usages.js";

/** Queue, recent usage and estimates of one model. */
export class ModelAdmission {
    public readonly usage = RecentUsage.create();
    public readonly answers = AnswerEstimate.create();
    private readonly estimate = StartEstimate.create();
    private readonly charges = ChargeShare.create();

    private constructor(public readonly queue: RequestQueue) {}

    public static create(queue: RequestQueue): ModelAdmission {
        return new ModelAdmission(queue);
    }

    public applyTeams(teams: Iterable<Team>): void {
        for (const team of teams) {
            this.queue.applyTeam(team.id, team);
            this.usage.applyTeam(team.id, team.share);
        }
    }

    /** Records that a request of the caller was taken from the queue; `cost` is the tokens charged at its start. */
    public started({ team }: Caller, cost: number, now: number): void {
        this.estimate.started(team, this.queue.virtualTimeOf(team), now);
        this.answers.started(cost);
    }

    /** Charges tokens used through this process; a negative number refunds. */
    public charge(caller: Caller, tokens: number, now: number): void {
        this.queue.charge(caller, tokens);
        this.usage.add(caller, tokens, now);
        this.charges.addOwn(tokens, now);
    }

    /** Charges tokens that callers used through another entry process. */
    public chargePeer({ team, subscriber, tokens }: PeerCharge, now: number): void {
        if (subscriber === undefined) {
            this.queue.chargeTeam(team, tokens);
            this.usage.addToTeam(team, tokens, now);
            this.charges.addPeers(tokens, now);
            return;
        }
        this.queue.chargeSubscriber({ team, subscriber }, tokens);
        this.usage.addToSubscriber({ team, subscriber }, tokens, now);
    }

    /** Returns the estimated milliseconds until a new request of the caller would start, 0 if not known. */
    public waitOf(caller: Caller, now: number): number {
        if (this.queue.size === 0) {
            return 0;
        }
        const ahead = this.queue.aheadOf(caller, this.answers.meanCost);
        return this.estimate.waitOf(caller.team, ahead * this.charges.factor, now);
    }
}
