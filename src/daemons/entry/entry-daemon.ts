/** The entry daemon: its caller port, its admin port and its shutdown. */
import type { RunningDaemon } from "../../commands/daemon-command.js";
import type { RequestLimits } from "../../core/configuration-schemas.js";
import { pathSchemas } from "../../core/configuration-schemas.js";
import { ChervilError } from "../../core/errors.js";
import { startAdminServer } from "../../links/admin-server.js";
import type { CallerServerLimits } from "../../links/caller-server.js";
import { startCallerServer } from "../../links/caller-server.js";
import { createNode } from "../node.js";
import type { Settings } from "../settings.js";
import type { Readiness } from "./caller-handler.js";
import { createCallerHandler } from "./caller-handler.js";
import { handleCompletion } from "./completion-handler.js";
import type { EntryContext } from "./entry-context.js";
import { createEntryContext } from "./entry-context.js";
import { startGauges } from "./gauges.js";
import { createServiceHandler } from "./service-handler.js";
import { entryStatus } from "./entry-status.js";

/** Time for which a leaving process reports that it is not ready before it closes its port, in milliseconds. */
const leavingNoticeMilliseconds = 1_000;
/** Interval at which a leaving process checks whether all requests have ended, in milliseconds. */
const drainPollIntervalMilliseconds = 50;

/**
 * Maximum time that a leaving process waits for outcomes of service calls to be recorded, in milliseconds; longer than
 * any service call. A retry of a call whose outcome is not recorded is answered with an unknown outcome.
 */
const outcomeRecordingTimeoutMilliseconds = 30_000;

/** Starts the daemon; throws a ChervilError if a port cannot be opened. */
export async function startEntryDaemon(settings: Settings): Promise<RunningDaemon> {
    const { caller } = requireCallerSettings(settings);
    const node = createNode(settings);
    const context = await createEntryContext(node);
    let isLeaving = false;
    const readiness = (): Readiness => {
        if (isLeaving) {
            return "leaving";
        }
        return context.view.configuration() === undefined ? "starting" : "ready";
    };
    const server = await startCallerServer({
        listen: caller.listen,
        tls: caller.tls,
        limits: toCallerBounds(pathSchemas.requestLimits.schema.parse({})),
        handle: createCallerHandler({
            view: context.view,
            clock: node.clock,
            credentials: context.credentials,
            readiness,
            handleCompletion: exchange => handleCompletion({ ...context, clock: node.clock }, exchange),
            handleService: createServiceHandler({
                view: context.view,
                clock: node.clock,
                run: context.serviceCalls.run,
                onSettled: outcome => node.metrics.count("chervil.action.settled", 1, { outcome }),
            }),
        }),
    });
    const bounds = context.view.mesh.configuration.subscribe(({ limits }) =>
        server.applyLimits(toCallerBounds(limits.requests)),
    );
    const admin = await startAdminServer(settings.admin.listen, {
        timeline: node.timeline,
        status: () => entryStatus(node, context, readiness()),
    });
    const gauges = startGauges(node, context);
    node.record({ kind: "processStarted" });
    const log = node.logs("entry");
    log.info("started", { callers: server.address, admin: admin.address });
    return {
        stop: async reason => {
            log.info("finishing requests in progress", { reason });
            node.record({ kind: "processStopping", reason });
            isLeaving = true;
            context.view.mesh.startLeaving();
            await delay(leavingNoticeMilliseconds);
            bounds.unsubscribe();
            gauges.unsubscribe();
            const closed = server.close();
            await waitUntilDrained(context);
            await closed;
            context.close();
            await context.view.mesh.leave();
            await admin.close();
            node.close();
        },
    };
}

function requireCallerSettings(settings: Settings): { readonly caller: NonNullable<Settings["caller"]> } {
    if (settings.caller === undefined) {
        const message = "expected a [caller] section with the callers' port";
        const path = ["caller"];
        throw ChervilError.create({ code: "invalidSettings", message, step: "settings", path, notRun: true });
    }
    return { caller: settings.caller };
}

function toCallerBounds(limits: RequestLimits): CallerServerLimits {
    return {
        connections: limits.connections,
        headerMilliseconds: limits.headerMilliseconds,
        requestMilliseconds: limits.headerMilliseconds + limits.bodyMilliseconds,
    };
}

function delay(milliseconds: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, milliseconds));
}

async function waitUntilDrained(context: EntryContext): Promise<void> {
    while (context.loop.activeRequestCount > 0) {
        await delay(drainPollIntervalMilliseconds);
    }
    await Promise.race([context.serviceCalls.whenIdle(), delay(outcomeRecordingTimeoutMilliseconds)]);
}
