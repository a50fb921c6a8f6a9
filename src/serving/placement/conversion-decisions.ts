/** Decides the conversions of one failure domain during a term of its placement lease, and states each decision's reason. */
import type { EngineModel } from "../engine-model.js";
import type { FleetView } from "../fleet-view.js";
import type { PlannerCommand } from "./group-planner.js";
import type { ModelSupply } from "./model-demand-tracker.js";
import type { ConversionProposal, ConversionSite, RunningConversion } from "./conversion-plan.js";
import { collectSites, planConversions } from "./conversion-plan.js";
import type { Turn } from "./conversion-turns.js";
import { ConversionTurns } from "./conversion-turns.js";

/** An engine service and its models. */
export interface EngineService {
    readonly service: string;
    readonly models: readonly EngineModel[];
}

/** State of the whole deployment. */
export interface DeploymentState {
    readonly view: FleetView;
    readonly services: readonly EngineService[];
    readonly supplies: ReadonlyMap<string, ModelSupply>;
    readonly running: readonly RunningConversion[];
}

export interface ConversionDecision {
    /** Conversion that the failure domain should begin now. */
    readonly conversion: ConversionProposal | undefined;
    readonly notes: readonly Extract<PlannerCommand, { readonly kind: "note" }>[];
}

export class ConversionDecisions {
    private readonly turnsByService = new Map<string, ConversionTurns>();
    /** Models that were persistently short at the last decision. */
    private shortModels: ReadonlySet<string> = new Set();
    /** Turns for which a hold was noted, by service. */
    private readonly notedHolds = new Map<string, string>();

    private constructor(private readonly failureDomain: string) {}

    public static create(failureDomain: string): ConversionDecisions {
        return new ConversionDecisions(failureDomain);
    }

    public decide(state: DeploymentState, now: number): ConversionDecision {
        const sites = (service: string): readonly ConversionSite[] => collectSites(state.view, service);
        return this.decideForSites(state, sites, now);
    }

    /** As `decide`; `sitesOf` returns the fabric domains of a service. */
    public decideForSites(
        { services, supplies, running }: Omit<DeploymentState, "view">,
        sitesOf: (service: string) => readonly ConversionSite[],
        now: number,
    ): ConversionDecision {
        const notes = [...this.noteShortages(supplies)];
        const turns = services.flatMap(({ service, models }) => {
            const isAnyShort = models.some(({ name }) => this.shortModels.has(name));
            const sites = isAnyShort ? sitesOf(service) : [];
            const proposals = planConversions({ models, sites, supplies, running });
            const turn = this.turnsOf(service).decide({ proposals, running, models }, now);
            notes.push(...this.noteHold(service, turn, now));
            return turn === undefined ? [] : [turn];
        });
        return { conversion: turns.find(({ isDue }) => isDue)?.proposal, notes };
    }

    private turnsOf(service: string): ConversionTurns {
        const turns = this.turnsByService.get(service) ?? ConversionTurns.create(this.failureDomain);
        this.turnsByService.set(service, turns);
        return turns;
    }

    private noteShortages(supplies: ReadonlyMap<string, ModelSupply>): ConversionDecision["notes"] {
        const before = this.shortModels;
        const short = [...supplies].filter(([, supply]) => supply.isPersistentlyShort);
        this.shortModels = new Set(short.map(([model]) => model));
        return [...supplies]
            .filter(([model]) => before.has(model) !== this.shortModels.has(model))
            .map(([model, { groups, steadyGroupsInUse, groupsRefused }]) => ({
                kind: "note",
                message: this.shortModels.has(model)
                    ? "a model is short of groups"
                    : "a model is no longer short of groups",
                fields: { model, groups, demandedGroups: steadyGroupsInUse, refusedGroups: groupsRefused },
            }));
    }

    /** Notes once that a conversion waits for its turn. */
    private noteHold(service: string, turn: Turn | undefined, now: number): ConversionDecision["notes"] {
        const key = turn === undefined || turn.isDue ? "" : `${turn.proposal.site} ${turn.rank}`;
        if (turn === undefined || key === "" || this.notedHolds.get(service) === key) {
            this.notedHolds.set(service, key);
            return [];
        }
        this.notedHolds.set(service, key);
        const { site, from, to, lackingGroups } = turn.proposal;
        const fields = {
            failureDomain: this.failureDomain,
            site,
            from,
            to,
            lackingGroups,
            rank: turn.rank,
            waitMilliseconds: Math.round(turn.startsAt - now),
        };
        return [{ kind: "note", message: "a conversion waits for its turn", fields }];
    }
}
