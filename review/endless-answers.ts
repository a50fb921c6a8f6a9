/**
 * Load of the cases in which a replica's answer without end keeps a serving process busy. Counts the requests at the same entry
 * instance that are unanswered at the time-out of their route, and half a second later.
 */
import type { Sent } from "./caller.js";
import { couldNotRun, isTroubled, ruleBroken, ruleHeld, runCase } from "./run-case.js";
import type { CaseContext } from "./run-case.js";
import { configuration, poolService, trackerService, trackerTimeoutMilliseconds } from "./configuration.js";
import { askReadiness, pause } from "./deployment.js";
import type { Entry } from "./deployment.js";
import { hostName, hostReplicas, recordFromHost } from "./host.js";
import type { HostedReplica } from "./host.js";
import type { Record } from "./record.js";
import type { ServerResponse } from "node:http";
import type { Arrival } from "./replica.js";

const zones = ["izm-a", "izm-b"];
/** Seconds for which requests are sent before the fault and after it. */
const secondsBefore = 4;
const secondsAfter = 20;
/** Time from the time-out of a route after which a request counts as unanswered, by the rule. */
const lateMilliseconds = 500;
const deadlineMilliseconds = 1_500;

export interface EndlessAnswer {
    /** Bytes that follow the head of the answer at once. */
    readonly beginning: string;
    /** Bytes that are sent again and again, as fast as the caller reads them. */
    readonly repeated: Buffer;
    /** True if only one answer is spoilt. */
    readonly isSingle: boolean;
}

/** Answers a stream with a sealed head and chunks that do not end, until the caller closes. */
function sendWithoutEnd(arrival: Arrival, response: ServerResponse, answer: EndlessAnswer): void {
    const { socket } = response;
    if (socket === null) {
        return;
    }
    socket.setNoDelay(true);
    let bytes = 0;
    recordFromHost(`replica ${arrival.replica} begins the answer without end to ${arrival.id}`);
    socket.write(
        [
            "HTTP/1.1 200 OK",
            `Chervilrouter-Request-Id: ${arrival.id}`,
            `Chervilrouter-Response-Seal: seal.${arrival.replica}.${arrival.id}`,
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            "",
            answer.beginning,
        ].join("\r\n"),
    );
    const send = (): void => {
        while (!socket.destroyed) {
            bytes += answer.repeated.length;
            if (!socket.write(answer.repeated)) {
                socket.once("drain", send);
                return;
            }
        }
    };
    socket.once("close", () =>
        recordFromHost(
            `the caller of ${arrival.replica} closed the connection of ${arrival.id} (${bytes} bytes written)`,
        ),
    );
    send();
}

async function host(answer: EndlessAnswer): Promise<void> {
    let isArmed = false;
    const zone = hostName;
    const plain: HostedReplica = {
        id: `i-tracker-${zone}`,
        service: trackerService,
        zone,
        slots: 6,
        workMilliseconds: 30,
    };
    const member = (rank: number): HostedReplica => ({
        id: `i-pool-${zone}-${rank}`,
        service: poolService,
        zone,
        slots: 18,
        engine: { domain: `fabric-${zone}`, loadMilliseconds: 1_200 },
        workMilliseconds: 20,
        eventCount: 12,
        eventMilliseconds: 25,
        spoil: (arrival, response) => {
            const isSpoilt = isArmed && arrival.headers["chervilrouter-model"] !== undefined;
            if (isSpoilt) {
                isArmed = !answer.isSingle;
                sendWithoutEnd(arrival, response, answer);
            }
            return isSpoilt;
        },
    });
    await hostReplicas([plain, member(0), member(1)], word => (isArmed = word === "fault"));
}

/** Requests of a kept connection that may run once: their clients wait until their time limit. */
function judge(record: Record, sent: readonly Sent[]): boolean {
    const now = Date.now();
    const answeredBy = (each: Sent, at: number): boolean => (each.answeredAt ?? Infinity) <= at;
    const due = sent.filter(({ sentAt }) => sentAt + trackerTimeoutMilliseconds + lateMilliseconds <= now);
    const open = due.filter(each => !answeredBy(each, each.sentAt + trackerTimeoutMilliseconds));
    const late = open.filter(
        each => !answeredBy(each, each.sentAt + trackerTimeoutMilliseconds + lateMilliseconds),
    );
    record.say(
        `assignments: ${due.length}; unanswered at TimeoutMs: ${open.length}; half a second later: ${late.length}`,
    );
    return late.length * 2 > open.length;
}

async function play({ record, deployment, hosts, callers }: CaseContext): Promise<number> {
    const assignments: Sent[] = [];
    const probe = await callers.stream(deployment.entries[0]!);
    if (probe.status !== 200) {
        record.say(`no stream is served before the fault: ${probe.status}`);
        return couldNotRun;
    }
    let isSending = true;
    /** Longest time for which no readiness question was answered, in milliseconds, by entry instance. */
    const silences = new Map<string, number>();
    const follow = async (entry: Entry): Promise<void> => {
        let answeredAt = Date.now();
        while (isSending) {
            const isReady = await askReadiness(entry, 1_000);
            record.line(`${entry.name} ${isReady ? "is ready" : "does not answer the readiness question"}`);
            silences.set(entry.name, Math.max(silences.get(entry.name) ?? 0, Date.now() - answeredAt));
            answeredAt = isReady ? Date.now() : answeredAt;
            await pause(1_000);
        }
    };
    const load = async (entry: Entry): Promise<void> => {
        while (isSending) {
            const call = callers.assign(entry, deadlineMilliseconds);
            assignments.push(callers.sent.at(-1)!);
            void call;
            void callers.read(entry, deadlineMilliseconds);
            void callers.stream(entry);
            await pause(200);
        }
    };
    const running = deployment.entries.flatMap(entry => [follow(entry), load(entry)]);
    await pause(secondsBefore * 1_000);
    if (isTroubled) {
        record.say("the answers of izm-a are spoilt from now on");
        hosts.get(zones[0]!)!.send("fault");
    }
    await pause(secondsAfter * 1_000);
    isSending = false;
    await Promise.all(running);
    await pause(deadlineMilliseconds);
    silences.forEach((milliseconds, name) =>
        record.say(`${name}: longest time without an answer to the readiness question: ${milliseconds} ms`),
    );
    const broken = deployment.entries.filter(({ name }) => {
        record.say(`${name}:`);
        return judge(
            record,
            assignments.filter(({ entry }) => entry === name),
        );
    });
    record.say(broken.length > 0 ? "CONFIG is broken" : "CONFIG is kept");
    return broken.length > 0 ? ruleBroken : ruleHeld;
}

export async function runEndlessAnswer(answer: EndlessAnswer): Promise<void> {
    await runCase({
        zones,
        configuration: configuration(),
        hosts: zones,
        openGroups: zones.length,
        host: () => host(answer),
        play,
    });
}
