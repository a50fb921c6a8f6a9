/**
 * Loads one real entry process against the stand-ins: requests per second, overhead over a direct call, processor
 * time per request and per token. Callers and stand-ins share the machine with it, so the rates are lower bounds.
 */
import { readFileSync } from "node:fs";
import * as histograms from "hdr-histogram-js";
import { authorize, makeCall, readStream } from "../scripts/demo-calls.js";
import type { Call } from "../scripts/demo-calls.js";
import { Demo } from "../scripts/demo-deployment.js";
import type { Experiment } from "./experiment.js";

const runMilliseconds = 4_000;
const callers = 16;
const tokensPerAnswer = 32;
/** Clock ticks per second in which Linux counts processor time. */
const ticksPerSecond = 100;
const millisecondsPerSecond = 1_000;
/** Fraction of a core that the control work of an idle entry process may use. */
const maximumIdleCore = 0.042;
const idleMilliseconds = 5_000;
/** Time after the start that is not measured, because code is still being compiled. */
const warmUpMilliseconds = 8_000;

interface LoadResult {
    readonly requestsPerSecond: number;
    readonly p50Milliseconds: number;
    readonly p95Milliseconds: number;
    readonly failed: number;
    readonly finished: number;
}

/** Runs one call after another in each caller; `call` returns its time in milliseconds, or undefined if it failed. */
async function runLoad(call: () => Promise<number | undefined>): Promise<LoadResult> {
    const times = histograms.build({ numberOfSignificantValueDigits: 3 });
    const end = performance.now() + runMilliseconds;
    let failed = 0;
    const caller = async (): Promise<void> => {
        while (performance.now() < end) {
            const milliseconds = await call();
            if (milliseconds === undefined) {
                failed += 1;
            } else {
                times.recordValue(Math.round(milliseconds * millisecondsPerSecond));
            }
        }
    };
    await Promise.all(Array.from({ length: callers }, caller));
    return {
        requestsPerSecond: Math.round(times.totalCount / (runMilliseconds / millisecondsPerSecond)),
        p50Milliseconds: times.getValueAtPercentile(50) / millisecondsPerSecond,
        p95Milliseconds: times.getValueAtPercentile(95) / millisecondsPerSecond,
        failed,
        finished: times.totalCount,
    };
}

async function timeRead(call: Call): Promise<number | undefined> {
    const startedAt = performance.now();
    const response = await makeCall(call);
    return response.status === 200 ? performance.now() - startedAt : undefined;
}

/** Time to the first token of a whole streamed response. */
async function timeFirstToken(call: Call): Promise<number | undefined> {
    const startedAt = performance.now();
    let first: number | undefined;
    const response = await readStream(call, () => {
        first ??= performance.now() - startedAt;
    });
    return response.isWhole ? first : undefined;
}

/** Returns the processor seconds that a process has used. */
function processorSeconds(pid: number): number {
    const fields = readFileSync(`/proc/${pid}/stat`, "utf8").split(") ")[1]!.split(" ");
    return (Number(fields[11]) + Number(fields[12])) / ticksPerSecond;
}

function residentMegabytes(pid: number): number {
    const line = /VmRSS:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, "utf8"));
    return Math.round(Number(line?.[1] ?? 0) / 1_000);
}

async function withProcessorTime<T>(pid: number, run: () => Promise<T>): Promise<readonly [T, number]> {
    const before = processorSeconds(pid);
    const result = await run();
    return [result, processorSeconds(pid) - before];
}

function pause(milliseconds: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, milliseconds));
}

async function measure(
    demo: Demo,
): Promise<{ readonly measured: object; readonly direct: object; readonly core: number }> {
    const ready = demo.ready();
    const entry = ready.entries[0]!;
    const { pid } = ready.processes.find(candidate => candidate.name === "entry-1")!;
    const headers = authorize(ready.credentials[0]!);
    const services = await demo.fetchJson<{ replicas: readonly { address: string }[] }>("/services");
    const read: Call = { method: "GET", url: `${entry}${ready.service.read}`, headers };
    const directRead: Call = { method: "GET", url: `http://${services.replicas[0]!.address}/boards/1` };
    const body = JSON.stringify({
        model: ready.model,
        prompt: "one two three",
        max_tokens: tokensPerAnswer,
        stream: true,
    });
    const completion: Call = { method: "POST", url: `${entry}/v1/completions`, headers, body };
    await pause(warmUpMilliseconds);
    const [, idleSeconds] = await withProcessorTime(pid, () => pause(idleMilliseconds));
    const [reads, readSeconds] = await withProcessorTime(pid, () => runLoad(() => timeRead(read)));
    const [streams, streamSeconds] = await withProcessorTime(pid, () =>
        runLoad(() => timeFirstToken(completion)),
    );
    const direct = await runLoad(() => timeRead(directRead));
    const core = idleSeconds / (idleMilliseconds / millisecondsPerSecond);
    return {
        core,
        direct: { reads: direct },
        measured: {
            idleCore: core,
            residentMegabytes: residentMegabytes(pid),
            reads,
            readProcessorMilliseconds: (readSeconds / reads.finished) * millisecondsPerSecond,
            readAddedMilliseconds: reads.p50Milliseconds - direct.p50Milliseconds,
            firstTokens: streams,
            streamProcessorMilliseconds: (streamSeconds / streams.finished) * millisecondsPerSecond,
            tokenProcessorMilliseconds:
                (streamSeconds / (streams.finished * tokensPerAnswer)) * millisecondsPerSecond,
        },
    };
}

/** Starts the demo's processes, loads one entry process, and ends them. */
export const entryProcess: Experiment = async seed => {
    const demo = await Demo.create({
        seed,
        onUnexpectedEnd: end => process.stderr.write(`process "${end.name}" ended unexpectedly\n`),
    });
    try {
        const { measured, direct, core } = await measure(demo);
        return {
            experiment: "entry-process",
            seed,
            target: { idleCore: maximumIdleCore },
            measured: { ...measured },
            baseline: { ...direct },
            holds: core <= maximumIdleCore,
        };
    } finally {
        await demo.stop();
    }
};
