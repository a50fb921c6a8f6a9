/** A part of prompts that was served until then begins to crash replicas. */
import { setTimeout as pause } from "node:timers/promises";
import type { Answer, Deployment } from "../deployment-2.js";
import {
    call,
    countStatuses,
    hasTrouble,
    modelName,
    runCase,
    stabilityMilliseconds,
} from "../deployment-2.js";
import { tenantKeys, zones } from "../deployment-2.js";

const enginesPerZone = 6;
const badPart = "bad0c0de";
const soundPart = "5c1e07a2";
/** Time from the arrival to the head of the answer, to the crash after it, and until the replica is back. */
const prefillMilliseconds = 40;
const crashDelayMilliseconds = 5;
const downMilliseconds = 3_000;
const servedMilliseconds = 6_000;
const crashingMilliseconds = 20_000;
const badIntervalMilliseconds = 500;
const soundIntervalMilliseconds = 250;
const countedCrashes = 5;
const allowedRequests = 3;

function isBad(headers: Readonly<Record<string, string | string[] | undefined>>): boolean {
    const entries = String(headers["chervilrouter-prompt-prefix"] ?? "").split(",");
    return entries.slice(0, -1).some(entry => entry.startsWith(`${badPart}:`));
}

class Callers {
    public readonly bad: Promise<Answer>[] = [];
    public readonly sound: Promise<Answer>[] = [];

    public constructor(private readonly deployment: Deployment) {}

    public async sendSound(until: number): Promise<void> {
        while (Date.now() < until) {
            const number = this.sound.length;
            const prefix = `${soundPart}:400,5${number.toString(16).padStart(7, "0")}:200`;
            this.sound.push(this.send(`sound-${number}`, prefix, tenantKeys[0]));
            await pause(soundIntervalMilliseconds);
        }
    }

    /** Sends requests with the part, no two alike. */
    public async sendBad(until: number): Promise<void> {
        while (Date.now() < until) {
            const number = this.bad.length;
            const prefix = `${soundPart}:400,${badPart}:200,b${number.toString(16).padStart(7, "0")}:200`;
            this.bad.push(this.send(`part-${number}`, prefix, tenantKeys[1]));
            await pause(badIntervalMilliseconds);
        }
    }

    private send(id: string, prefix: string, key: string): Promise<Answer> {
        const { entries } = this.deployment;
        const { port } = entries[(this.bad.length + this.sound.length) % entries.length]!;
        const more = [
            ...["Chervilrouter-Model", modelName, "Chervilrouter-Token-Counts", "800,80"],
            ...["Chervilrouter-Prompt-Prefix", prefix],
        ];
        return call(port, { path: "/draft/1", method: "POST", body: id, id, more, key, timeout: 6_000 });
    }
}

await runCase(async deployment => {
    const { record } = deployment;
    const engines = await deployment.startEngines(enginesPerZone);
    const crashTimes: number[] = [];
    let isCrashing = false;
    for (const engine of engines) {
        engine.intercept = (arrival, response) => {
            if (!isBad(arrival.headers)) {
                return false;
            }
            record.write(`${engine.id} begins to run ${arrival.id}`);
            if (!isCrashing) {
                return false;
            }
            setTimeout(() => {
                response.writeHead(200, {
                    "Content-Type": "text/event-stream",
                    "Chervilrouter-Request-Id": arrival.id,
                    "Chervilrouter-Response-Seal": `seal-${engine.id}-${arrival.id}`,
                });
                response.flushHeaders();
                setTimeout(() => {
                    if (engine.crash(downMilliseconds)) {
                        crashTimes.push(Date.now());
                    }
                }, crashDelayMilliseconds);
            }, prefillMilliseconds);
            return true;
        };
    }
    for (const zone of zones) {
        await deployment.startEntry(zone);
    }
    await deployment.waitUntilReady();
    const callers = new Callers(deployment);
    const endsAt = Date.now() + servedMilliseconds + crashingMilliseconds;
    const sound = callers.sendSound(endsAt);
    await callers.sendBad(Date.now() + servedMilliseconds);
    record.write(`requests with the part so far: ${countStatuses(await Promise.all(callers.bad))}`);
    const served = callers.bad.length;
    isCrashing = hasTrouble;
    record.write(hasTrouble ? "from now on the part crashes replicas" : "the part goes on to be served");
    await Promise.all([callers.sendBad(endsAt), sound]);
    record.write(
        `requests with the part since: ${countStatuses(await Promise.all(callers.bad.slice(served)))}`,
    );
    record.write(`all other requests: ${countStatuses(await Promise.all(callers.sound))}`);
    const fifth = crashTimes[countedCrashes - 1];
    if (fifth === undefined) {
        record.write(`${crashTimes.length} crashes`);
        return false;
    }
    const late = engines
        .flatMap(({ arrivals }) => arrivals)
        .filter(({ at, headers }) => isBad(headers) && at > fifth + stabilityMilliseconds).length;
    record.write(
        `${crashTimes.length} crashes; later than ${stabilityMilliseconds} ms after the fifth, ${late} requests with the part reached replicas; allowed: ${allowedRequests}`,
    );
    return late > allowedRequests;
});
