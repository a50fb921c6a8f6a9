/** Creates and connects the components of an entry process: view, core, loop, service calls and seals. */
import { Admission } from "../../core/admission.js";
import type { AnswerOptions } from "../../core/answer-options.js";
import { defaultAnswerOptions } from "../../core/answer-options.js";
import type { Configuration } from "../../core/configuration-values.js";
import { CompletionCoordinator } from "../../core/completion-coordinator.js";
import type { CrashGuard } from "../../core/crash-guard.js";
import type { InstanceId } from "../../core/instances.js";
import type { ReplicaGroup } from "../../core/replica-groups.js";
import { RetryBudget } from "../../core/retry-budget.js";
import { Router } from "../../core/router.js";
import { isHealthy } from "../../core/serving-gate.js";
import { createEngines } from "../../links/engines.js";
import type { Seals } from "../../links/seals.js";
import { createSendToService } from "../../links/services.js";
import type { MeshView } from "../mesh-view.js";
import { startMeshView } from "../mesh-view.js";
import type { DaemonNode } from "../node.js";
import type { SystemView } from "../system-view.js";
import { startCrashGuard } from "./crash-guard.js";
import { Credentials } from "./credentials.js";
import { EntryLoop } from "./entry-loop.js";
import { isGateOpen, startRoutingInputs } from "./routing-inputs.js";
import { startClaimSweeps } from "./claim-sweeps.js";
import type { ServiceCalls } from "./service-calls.js";
import { createServiceCalls } from "./service-calls.js";
import { createServiceRouter } from "./service-router.js";
import { createResumeToken, createConfiguredSeals } from "./stream-seals.js";
import { startUsageExchange } from "./usage-exchange.js";

/** The components of one entry process. */
export interface EntryContext {
    readonly view: MeshView;
    readonly loop: EntryLoop;
    readonly admission: Admission;
    readonly router: Router;
    readonly credentials: () => Credentials;
    readonly serviceCalls: ServiceCalls;
    readonly openSeal: Seals["open"];
    readonly close: () => void;
}

/** Joins the mesh, then creates and connects the components. */
export async function createEntryContext(node: DaemonNode): Promise<EntryContext> {
    const engines = createEngines(node.clock);
    const view = await startMeshView(node, "entry", engines);
    const retries = RetryBudget.create();
    const log = node.logs("entry");
    const crashGuard = startCrashGuard({
        clock: node.clock,
        incarnationOf: instance => view.healthOf(instance)?.report.incarnation,
        random: Math.random,
        onQuarantine: traits => log.warn("requests that crash instances are refused", { traits }),
        publish: payload => void view.mesh.publishCrashEvidence(payload),
        peers: view.crashEvidence,
    });
    const { admission, router, core } = createCore(node, view, retries, crashGuard);
    const seals = cacheByConfiguration(view, createConfiguredSeals);
    const loop = EntryLoop.create({
        core,
        engines,
        clock: node.clock,
        record: node.record,
        metrics: node.metrics,
        createResumeToken: command => createResumeToken(command, seals(), node.clock.wallMilliseconds()),
    });
    const applyCurrentConfiguration = cacheByConfiguration(view, configuration =>
        applyConfiguration(configuration, admission, retries),
    );
    const inputs = startRoutingInputs({
        router,
        view,
        engines,
        clock: node.clock,
        entryNames: () => entryNames(view),
        onUpdate: () => {
            applyCurrentConfiguration();
            loop.tickNow();
        },
    });
    const publish = (payload: string): void => void view.mesh.publishUsage(payload);
    inputs.add(startUsageExchange({ admission, clock: node.clock, publish, peers: view.usages }));
    const serviceCalls = createServiceCalls({
        store: node.store,
        send: createSendToService(node.clock),
        route: createServiceRouter(view, node.clock, node.settings.failureDomain),
        clock: node.clock,
        random: Math.random,
        record: node.record,
        retryBudget: retries,
        crashGuard,
    });
    const stopSweeps = startClaimSweeps({ store: node.store, clock: node.clock });
    return {
        view,
        loop,
        admission,
        router,
        credentials: cacheByConfiguration(view, createCredentials),
        serviceCalls,
        openSeal: sealed => seals().open(sealed),
        close: () => {
            stopSweeps();
            crashGuard.close();
            inputs.unsubscribe();
            loop.close();
            view.close();
        },
    };
}

function applyConfiguration(
    configuration: Configuration | undefined,
    admission: Admission,
    retries: RetryBudget,
): void {
    if (configuration !== undefined) {
        admission.applyTeams([...configuration.teams.values()]);
        retries.applyFraction(configuration.limits.retries.fraction);
    }
}

/** Returns the instance names of the entry processes that the mesh holds to be live. */
function entryNames(view: MeshView): readonly string[] {
    return view.mesh
        .members()
        .filter(member => member.role === "entry" && member.judged === "live")
        .map(member => member.instance);
}

interface DecisionContext {
    readonly admission: Admission;
    readonly router: Router;
    readonly core: CompletionCoordinator;
}

function createCore(
    node: DaemonNode,
    view: SystemView,
    retries: RetryBudget,
    crashGuard: CrashGuard,
): DecisionContext {
    const { settings } = node;
    const admission = Admission.create({ random: Math.random });
    const router = Router.create({
        entry: settings.instance,
        failureDomain: settings.failureDomain,
        isOpen: (group, now) => isGateOpen(group, view, now),
        random: Math.random,
    });
    const core = CompletionCoordinator.create({
        admission,
        router,
        retries,
        crashGuard,
        instanceOf: view.instanceOf,
        missingMember: (group, now) => findMissingMember(group, view, now),
        answerOptions: () => createAnswerOptions(view.configuration()),
    });
    return { admission, router, core };
}

function findMissingMember(group: ReplicaGroup, view: SystemView, now: number): InstanceId | undefined {
    return group.members.find(member => !isHealthy(view.healthOf(member), now));
}

function createAnswerOptions(
    configuration: Configuration | undefined,
): Omit<AnswerOptions, "request" | "deadline" | "mayRetry"> {
    const streams = configuration?.limits.streams;
    if (streams === undefined) {
        return defaultAnswerOptions;
    }
    return {
        ...defaultAnswerOptions,
        pace: { ...defaultAnswerOptions.pace, maximumStallMilliseconds: streams.stallMilliseconds },
        resumeWindowMilliseconds: streams.resumeWindowMilliseconds,
        maximumUntakenTokens: streams.bufferedTokens,
    };
}

function createCredentials(configuration: Configuration | undefined): Credentials {
    return Credentials.create([...(configuration?.teams.values() ?? [])]);
}

/** Returns a function that caches a value derived from the configuration until the configuration changes. */
function cacheByConfiguration<T>(
    view: SystemView,
    compute: (configuration: Configuration | undefined) => T,
): () => T {
    let computedFrom = view.configuration();
    let value = compute(computedFrom);
    return () => {
        const configuration = view.configuration();
        if (configuration !== computedFrom) {
            computedFrom = configuration;
            value = compute(configuration);
        }
        return value;
    };
}
