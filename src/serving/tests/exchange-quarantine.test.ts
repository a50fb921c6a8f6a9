import { IncomingMessage, ServerResponse } from "node:http";
import { Socket } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import test from "ava";
import { systemClock } from "../../links/system-clock.js";
import { BackPressure } from "../back-pressure.js";
import type { DispatchChoice } from "../dispatcher.js";
import type { AdmittedRequest, ExchangeContext } from "../exchange-context.js";
import { Exchange } from "../exchange.js";
import { InFlightRequests } from "../in-flight-requests.js";
import { ReplicaRecords } from "../replica-records.js";
import { RetryWindow } from "../retry-window.js";
import { RouteTable } from "../serving-configuration.js";
import { createServingMetrics } from "../serving-metrics.js";
import { groupMember } from "./fleet-fixtures.js";

const ignore = (): void => undefined;

const admitted = {
    request: { id: "r1", method: "POST", target: "/", work: undefined, headers: [] },
    table: RouteTable.create({
        version: 1,
        routes: [],
        services: [],
        limits: { headerBytes: 1, bodyBytes: 1, headerMilliseconds: 1, idleMilliseconds: 1 },
        workspaces: undefined,
    }),
    route: { repeatability: "stream", isResumable: true, maximumAttempts: 3, objectiveMilliseconds: 5_000 },
    service: "llm",
    identity: {},
    rank: 0,
} as unknown as AdmittedRequest;

function targetOf(group: string): DispatchChoice {
    const target = {
        instance: groupMember(group, 0),
        group,
        model: "small",
        expectedMilliseconds: 10,
        fleetRevision: 1,
        isDeferred: false,
    };
    return { kind: "target", target };
}

test("a request that waits at a silent replica is not called refused when its prompt is quarantined before a retry", async t => {
    const choices = [targetOf("a"), targetOf("b")];
    const cancelled: string[] = [];
    let isQuarantined = false;
    const now = systemClock.monotonicMilliseconds();
    const retries = RetryWindow.create({ windowMilliseconds: 1_000, fraction: 10, allowance: 10 }, now);
    const context = {
        clock: systemClock,
        random: () => 0.5,
        wire: { encodeReplicaRequest: () => [], requestIdHeader: "Id" },
        upstreams: {
            send: (instance: string, _: unknown, events: { onFailure: (...args: unknown[]) => void }) => {
                if (instance === "b-0") {
                    isQuarantined = true;
                    queueMicrotask(() => events.onFailure("connection refused", false));
                }
                return { cancel: () => cancelled.push(instance), pause: ignore, resume: ignore };
            },
        },
        dispatcher: { choose: () => choices.shift()! },
        inFlightRequests: InFlightRequests.create(),
        replicaRecords: ReplicaRecords.create(),
        backPressure: BackPressure.create(() => 0),
        isDoubtful: () => true,
        crashAttribution: { recordRequest: () => isQuarantined, isSuspect: () => false },
        retryWindowOf: () => retries,
        log: { debug: ignore, info: ignore, warn: ignore, error: ignore },
        metrics: createServingMetrics(),
        isStopping: () => false,
    } as unknown as ExchangeContext;
    const response = new ServerResponse(new IncomingMessage(new Socket()));
    const ended = new Promise(resolve => (response.end = resolve as typeof response.end));
    const exchange = Exchange.start(
        context,
        { ...admitted, arrivedAt: now, deadline: now + 10_000 },
        response,
    );
    await pause(150);
    exchange.handleSilentGroup();
    await ended;
    t.deepEqual(cancelled, ["a-0"]);
    t.is(response.statusCode, 502);
});
