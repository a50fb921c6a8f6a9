/** The entry daemon's process: node, view, core, callers' port and admin port. */
import { randomBytes } from "node:crypto";
import type { RunningDaemon } from "../../commands/daemon-commands.js";
import { Admission } from "../../core/admissions.js";
import { defaultAnswerOptions } from "../../core/answers-options.js";
import { pathSchemas } from "../../core/configuration-schemas.js";
import { EntryCore } from "../../core/entries.js";
import type { EntryCommand } from "../../core/entry-commands.js";
import { ChervilError } from "../../core/errors.js";
import { hashText } from "../../core/hashes.js";
import type { InstanceId } from "../../core/instances.js";
import type { ReplicaGroup } from "../../core/replica-groups.js";
import { sealResumeToken } from "../../core/resume-tokens.js";
import { RetryBudget } from "../../core/retries.js";
import { Router } from "../../core/routes.js";
import { isHealthy } from "../../core/serving-gates.js";
import { startAdminServer } from "../../links/admin-servers.js";
import { startCallerServer } from "../../links/caller-servers.js";
import { createEngines } from "../../links/engines.js";
import type { Seals } from "../../links/seals.js";
import { createSeals } from "../../links/seals.js";
import { createSendToService } from "../../links/services.js";
import type { DirectView } from "../direct-views.js";
import { startDirectView } from "../direct-views.js";
import type { Node } from "../nodes.js";
import { createNode } from "../nodes.js";
import type { Settings } from "../settings.js";
import type { SystemView } from "../views.js";
import type { Readiness } from "./caller-handlers.js";
import { createCallerHandler } from "./caller-handlers.js";
import { handleCompletion } from "./completions.js";
import { Credentials } from "./credentials.js";
import { EntryLoop } from "./entry-loops.js";
import { isGateOpen, startRoutingInputs } from "./routing-inputs.js";
import { createServiceCalls } from "./service-calls.js";
import { createServiceRoute } from "./service-endpoints.js";
import { createServiceHandler } from "./service-routes.js";
import { entryStatus } from "./statuses.js";

/** Time for which a leaving process still answers new callers' health checks before it closes its port. */
const noticeMilliseconds = 1_000;
/** Time between looks at whether all requests have ended, in milliseconds. */
const drainPollMilliseconds = 50;
const resumeTokenMilliseconds = 600_000;
const processSecretBytes = 32;

/** Starts the daemon. */
export async function startEntry(settings: Settings): Promise<RunningDaemon> {
    const { caller } = settings;
    if (caller === undefined) {
        const message = "expected a [caller] section with the callers' port";
        throw ChervilError.create({
            code: "invalidSettings",
            message,
            step: "settings",
            path: ["caller"],
            notRun: true,
        });
    }
    const node = createNode(settings);
    const parts = createParts(node);
    let readiness: Readiness = "starting";
    const readinessNow = (): Readiness =>
        readiness === "starting" && parts.view.configuration() !== undefined ? "ready" : readiness;
    const limits = parts.limits;
    const server = await startCallerServer({
        listen: caller.listen,
        tls: caller.tls,
        bounds: {
            connections: limits.connections,
            headerBytes: limits.headerBytes,
            headerMilliseconds: limits.headerMilliseconds,
            requestMilliseconds: limits.headerMilliseconds + limits.bodyMilliseconds,
        },
        handle: createCallerHandler({
            view: parts.view,
            clock: node.clock,
            credentials: parts.credentials,
            readiness: readinessNow,
            completion: exchange => handleCompletion({ ...parts, clock: node.clock }, exchange),
            service: createServiceHandler({
                view: parts.view,
                clock: node.clock,
                run: parts.serviceCalls.run,
            }),
        }),
    });
    const admin = await startAdminServer(settings.admin.listen, {
        timeline: node.timeline,
        status: () => entryStatus(node, parts, readinessNow()),
    });
    node.record({ kind: "processStarted" });
    const log = node.logs("entry");
    log.info("started", { callers: server.address, admin: admin.address });
    return {
        stop: async reason => {
            log.info("finishing requests in progress", { reason });
            node.record({ kind: "processStopping", reason });
            readiness = "leaving";
            await delay(noticeMilliseconds);
            const closed = server.close();
            await drained(parts);
            await closed;
            parts.close();
            await admin.close();
            node.close();
        },
    };
}

/** The parts of one entry process. */
export interface EntryParts {
    readonly view: DirectView;
    readonly loop: EntryLoop;
    readonly admission: Admission;
    readonly router: Router;
    readonly credentials: () => Credentials;
    readonly serviceCalls: ReturnType<typeof createServiceCalls>;
    readonly openSeal: Seals["open"];
    readonly limits: NonNullable<ReturnType<SystemView["configuration"]>>["limits"]["requests"];
    readonly close: () => void;
}

function createParts(node: Node): EntryParts {
    const engines = createEngines(node.clock);
    const view = startDirectView(node, engines);
    const { admission, router, core } = createCore(node, view);
    const seals = createCurrent(view, configuration => sealsOf(configuration?.sealingKeys));
    const credentials = createCurrent(view, configuration =>
        Credentials.create([...(configuration?.teams.values() ?? [])]),
    );
    const loop = EntryLoop.create({
        core,
        engines,
        clock: node.clock,
        record: node.record,
        metrics: node.metrics,
        sealResume: command => sealStream(command, seals(), node.clock.wallMilliseconds()),
    });
    const inputs = startRoutingInputs({
        router,
        view,
        engines,
        clock: node.clock,
        entryNames: () =>
            view.instances().flatMap(instance => (instance.role === "entry" ? [instance.id] : [])),
        changed: () => {
            admission.applyTeams([...(view.configuration()?.teams.values() ?? [])]);
            loop.lookAgain();
        },
    });
    const serviceCalls = createServiceCalls({
        store: node.store,
        send: createSendToService(node.clock),
        route: createServiceRoute(view, node.clock, node.settings.failureDomain),
        clock: node.clock,
        random: Math.random,
        record: node.record,
    });
    return {
        view,
        loop,
        admission,
        router,
        credentials,
        serviceCalls,
        openSeal: sealed => seals().open(sealed),
        limits: pathSchemas.requestLimits.schema.parse({}),
        close: () => {
            inputs.unsubscribe();
            loop.close();
            view.close();
        },
    };
}

function createCore(
    node: Node,
    view: SystemView,
): { readonly admission: Admission; readonly router: Router; readonly core: EntryCore } {
    const { settings } = node;
    const admission = Admission.create({ random: Math.random });
    const router = Router.create({
        entry: settings.instance,
        failureDomain: settings.failureDomain,
        isOpen: (group, now) => isGateOpen(group, view, now),
        random: Math.random,
    });
    const core = EntryCore.create({
        admission,
        router,
        retries: RetryBudget.create(),
        instanceOf: view.instanceOf,
        missingMember: (group, now) => findMissingMember(group, view, now),
        answerOptions: () => answerOptionsOf(view),
    });
    return { admission, router, core };
}

function findMissingMember(group: ReplicaGroup, view: SystemView, now: number): InstanceId | undefined {
    return group.members.find(member => !isHealthy(view.healthOf(member), now));
}

function answerOptionsOf(view: SystemView): typeof defaultAnswerOptions {
    const streams = view.configuration()?.limits.streams;
    if (streams === undefined) {
        return defaultAnswerOptions;
    }
    const options = {
        ...defaultAnswerOptions,
        resumeWindowMilliseconds: streams.resumeWindowMilliseconds,
        maximumUntakenTokens: streams.bufferedTokens,
    };
    return options as typeof defaultAnswerOptions;
}

/** Computes a value anew only after the configuration has changed. */
function createCurrent<T>(
    view: SystemView,
    compute: (configuration: ReturnType<SystemView["configuration"]>) => T,
): () => T {
    let from = view.configuration();
    let value = compute(from);
    return () => {
        const configuration = view.configuration();
        if (configuration !== from) {
            from = configuration;
            value = compute(configuration);
        }
        return value;
    };
}

type SealingKeysOf = NonNullable<ReturnType<SystemView["configuration"]>>["sealingKeys"];

/** Without configured keys, tokens open only at the process that sealed them. */
function sealsOf(sealingKeys: SealingKeysOf): Seals {
    if (sealingKeys === undefined) {
        return createSeals([{ id: "process", secret: randomBytes(processSecretBytes) }]);
    }
    const keys = sealingKeys.keys.map(({ id, secret }) => ({ id, secret: Buffer.from(secret, "base64") }));
    const current = keys.filter(key => key.id === sealingKeys.current);
    return createSeals([...current, ...keys.filter(key => key.id !== sealingKeys.current)]);
}

function sealStream(
    command: Extract<EntryCommand, { kind: "start" | "resume" }>,
    seals: Seals,
    wallNow: number,
): string {
    const { request, group, epoch, leader, attempt } = command.dispatch;
    const content = {
        request: request.id,
        team: request.caller.team,
        subscriber: request.caller.subscriber,
        model: request.model,
        promptHash: hashText(request.prompt),
        group,
        instance: leader.id,
        epoch,
        attempt,
        expiresAt: wallNow + resumeTokenMilliseconds,
    };
    return sealResumeToken(content, seals.seal);
}

function delay(milliseconds: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, milliseconds));
}

async function drained(parts: EntryParts): Promise<void> {
    while (parts.loop.size > 0) {
        await delay(drainPollMilliseconds);
    }
    await parts.serviceCalls.idle();
}
