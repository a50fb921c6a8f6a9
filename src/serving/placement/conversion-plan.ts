/**
 * Decides which replica groups should become groups of another model. Covers a mix of requests that differs from the configured
 * shares: one model refuses most of its work while another one has room. All holders of placement leases calculate the same
 * plan from the state that they share, so that they agree who converts first.
 */
import { groupBy } from "../collections.js";
import type { EngineModel } from "../engine-model.js";
import type { FleetView } from "../fleet-view.js";
import type { ModelSupply } from "./model-demand-tracker.js";

/** Minimum lacking groups that are worth the loads of a conversion. */
const minimumLackingGroups = 0.5;
/** Maximum utilization of a model after it gives up a group; above it, its own callers begin to miss their objective. */
const donorUtilization = 0.8;
/** Utilization that a donor may have in any case, as a fraction of the short model's utilization after the conversion. */
const donorUtilizationRatio = 0.6;
/** Groups that a donor keeps in any case: any one of them may lose a member. */
const minimumDonorGroups = 2;

/** One fabric domain, as far as conversions depend on it. */
export interface ConversionSite {
    /** Service and fabric domain. */
    readonly key: string;
    readonly failureDomain: string;
    /** Serving groups by model. */
    readonly groups: ReadonlyMap<string, number>;
    /** Instances in no serving group, whatever they are about to do. */
    readonly unusedInstances: number;
}

export interface ConversionState {
    readonly models: readonly EngineModel[];
    readonly sites: readonly ConversionSite[];
    readonly supplies: ReadonlyMap<string, ModelSupply>;
    /** Conversions of all failure domains that are in progress. */
    readonly running: readonly RunningConversion[];
}

/** A conversion in progress, as its holder announces it. */
export interface RunningConversion {
    readonly failureDomain: string;
    readonly from: string;
    readonly to: string;
    /** Groups of the new model that will be formed; 0 once the groups that are converted take no more requests. */
    readonly newGroups: number;
}

/** A conversion that is worth its loads. */
export interface ConversionProposal extends RunningConversion {
    /** Key of the fabric domain. */
    readonly site: string;
    /** Number of groups that give up their instances. */
    readonly donors: number;
    /** Groups that the short model lacks after all that is under way. */
    readonly lackingGroups: number;
}

/** Collects the fabric domains of a service from the registrations. */
export function collectSites(view: FleetView, service: string): readonly ConversionSite[] {
    // Nothing is ordered in an evacuated failure domain, so its turn would only hold up the others.
    const engines = [...view.fleet.instances.values()].filter(
        each => each.service === service && !view.isEvacuated(each),
    );
    return [...groupBy(engines, each => each.fabricDomain)].map(([fabricDomain, instances]) => {
        const servable = [...view.groups.values()].filter(
            ({ group }) => group.service === service && group.fabricDomain === fabricDomain,
        );
        const groups = new Map<string, number>();
        servable.forEach(({ model }) => groups.set(model.name, (groups.get(model.name) ?? 0) + 1));
        const members = new Set(servable.flatMap(({ group }) => group.members.map(({ id }) => id)));
        return {
            key: `${service} ${fabricDomain}`,
            failureDomain: instances[0]!.failureDomain,
            groups,
            unusedInstances: instances.filter(({ id, isLeaving }) => !isLeaving && !members.has(id)).length,
        };
    });
}

/** Returns the conversions for the scarcest model, at most one of each failure domain; the first one should be carried out. */
export function planConversions(state: ConversionState): readonly ConversionProposal[] {
    for (const to of shortModelsOf(state)) {
        const lackingGroups = lackOf(to, state);
        if (lackingGroups < minimumLackingGroups) {
            continue;
        }
        const proposals = state.sites.flatMap(site =>
            state.models.flatMap(from => proposeFor(site, from, to, lackingGroups, state) ?? []),
        );
        if (proposals.length > 0) {
            return orderByFailureDomain(proposals, state);
        }
    }
    return [];
}

function shortModelsOf({ models, supplies }: ConversionState): readonly EngineModel[] {
    const coverage = (model: EngineModel): number => {
        const { groups, steadyGroupsInUse = 0 } = supplyOf(model, supplies);
        return groups / Math.max(steadyGroupsInUse, Number.EPSILON);
    };
    return models
        .filter(model => supplyOf(model, supplies).isPersistentlyShort)
        .sort((left, right) => coverage(left) - coverage(right));
}

/** Groups that a model lacks beyond those that are formed from unused instances and by running conversions. */
function lackOf(model: EngineModel, { sites, supplies, running }: ConversionState): number {
    const { groups, steadyGroupsInUse = 0 } = supplyOf(model, supplies);
    const formable = sites.map(site => Math.floor(site.unusedInstances / model.size));
    const converted = running.filter(({ to }) => to === model.name).map(({ newGroups }) => newGroups);
    return [...formable, ...converted].reduce((lack, count) => lack - count, steadyGroupsInUse - groups);
}

function proposeFor(
    site: ConversionSite,
    from: EngineModel,
    to: EngineModel,
    lackingGroups: number,
    state: ConversionState,
): ConversionProposal | undefined {
    const { supplies, running } = state;
    const isBusy = running.some(each => each.failureDomain === site.failureDomain);
    if (from.name === to.name || isBusy || hasBetterUse(site.failureDomain, to, state)) {
        return undefined;
    }
    const formable = Math.floor(site.unusedInstances / to.size);
    const missing = (formable + 1) * to.size - site.unusedInstances;
    const donors = Math.ceil(missing / from.size);
    if ((site.groups.get(from.name) ?? 0) < donors) {
        return undefined;
    }
    const newGroups = Math.floor((site.unusedInstances + donors * from.size) / to.size) - formable;
    const leaving = running.filter(each => each.from === from.name && each.newGroups > 0).length;
    if (!canSpare(from, donors + leaving, to, newGroups, supplies)) {
        return undefined;
    }
    const { failureDomain, key } = site;
    return { failureDomain, site: key, from: from.name, to: to.name, donors, newGroups, lackingGroups };
}

/**
 * True if unused instances of a failure domain can form a group of the short model. Loads are few, and a group of unused instances
 * needs fewer of them than a conversion.
 */
function hasBetterUse(failureDomain: string, to: EngineModel, { sites, supplies }: ConversionState): boolean {
    const ofDomain = sites.filter(site => site.failureDomain === failureDomain);
    return supplyOf(to, supplies).groups > 0 && ofDomain.some(site => site.unusedInstances >= to.size);
}

/** True if callers gain more from the new groups than the donor's callers lose. */
function canSpare(
    from: EngineModel,
    donors: number,
    to: EngineModel,
    newGroups: number,
    supplies: ReadonlyMap<string, ModelSupply>,
): boolean {
    const donor = supplyOf(from, supplies);
    const short = supplyOf(to, supplies);
    const remaining = donor.groups - donors;
    if (short.groups === 0) {
        return remaining >= 1;
    }
    if (donor.isPersistentlyShort || remaining < minimumDonorGroups) {
        return false;
    }
    const utilization = (donor.steadyGroupsInUse ?? 0) / remaining;
    const shortUtilization = (short.steadyGroupsInUse ?? 0) / (short.groups + newGroups);
    return (
        utilization <= donorUtilization ||
        (utilization <= 1 && utilization <= donorUtilizationRatio * shortUtilization)
    );
}

/**
 * Orders the proposals by the spare capacity of their failure domains: the groups of the donor's model, then the unused
 * instances, then the name. Of each failure domain, the fabric domain with the most spare capacity is kept.
 */
function orderByFailureDomain(
    proposals: readonly ConversionProposal[],
    { sites }: ConversionState,
): readonly ConversionProposal[] {
    const groupsIn = (selected: readonly ConversionSite[], model: string): number =>
        selected.reduce((sum, site) => sum + (site.groups.get(model) ?? 0), 0);
    const unusedIn = (selected: readonly ConversionSite[]): number =>
        selected.reduce((sum, site) => sum + site.unusedInstances, 0);
    const spareOf = (proposal: ConversionProposal): readonly number[] => {
        const ofDomain = sites.filter(site => site.failureDomain === proposal.failureDomain);
        const ofSite = sites.filter(site => site.key === proposal.site);
        return [
            groupsIn(ofDomain, proposal.from),
            unusedIn(ofDomain),
            groupsIn(ofSite, proposal.from),
            unusedIn(ofSite),
        ];
    };
    const nameOf = ({ failureDomain, site, from }: ConversionProposal): string =>
        [failureDomain, site, from].join(" ");
    const ordered = proposals
        .map(proposal => ({ proposal, spare: spareOf(proposal), name: nameOf(proposal) }))
        .sort((left, right) => {
            const index = left.spare.findIndex((value, at) => value !== right.spare[at]);
            return index < 0
                ? Number(left.name > right.name) - Number(left.name < right.name)
                : right.spare[index]! - left.spare[index]!;
        })
        .map(({ proposal }) => proposal);
    return [...groupBy(ordered, proposal => proposal.failureDomain).values()].map(([first]) => first!);
}

const noSupply: ModelSupply = { groups: 0, groupsInUse: 0 };

function supplyOf(model: EngineModel, supplies: ReadonlyMap<string, ModelSupply>): ModelSupply {
    return supplies.get(model.name) ?? noSupply;
}
