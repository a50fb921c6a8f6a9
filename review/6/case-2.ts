/** A request that crashes each replica as soon as it begins to run it, and that its caller sends again and again. */
import { setTimeout as pause } from "node:timers/promises";
import type { Answer } from "../deployment-2.js";
import {
    call,
    countStatuses,
    hasTrouble,
    runCase,
    stabilityMilliseconds,
    tenantKeys,
} from "../deployment-2.js";
import { zones } from "../deployment-2.js";

const path = "/board/bad";
/** Time from the start of a run to the crash, and from the crash until the replica is back, in milliseconds. */
const crashDelayMilliseconds = 2;
const downMilliseconds = 3_000;
const loadMilliseconds = 45_000;
const callIntervalMilliseconds = 100;
/** One in this many requests is the one that crashes replicas. */
const badInterval = 10;
/** Retries that may reach replicas after the bound. */
const allowedRetries = 3;
const countedCrashes = 3;

await runCase(async deployment => {
    const { record, entries } = deployment;
    const replicas = await deployment.startPlainReplicas();
    for (const replica of replicas) {
        replica.intercept = arrival => {
            const isBad = arrival.target === path;
            if (isBad) {
                record.write(`${replica.id} begins to run ${arrival.id}`);
            }
            if (isBad && hasTrouble) {
                setTimeout(() => replica.crash(downMilliseconds), crashDelayMilliseconds);
            }
            return isBad && hasTrouble;
        };
    }
    for (const zone of zones) {
        await deployment.startEntry(zone);
    }
    await deployment.waitUntilReady();
    const bad: Promise<Answer>[] = [];
    const sound: Promise<Answer>[] = [];
    const endsAt = Date.now() + loadMilliseconds;
    for (let count = 1; Date.now() < endsAt; count += 1) {
        const { port } = entries[count % entries.length]!;
        sound.push(call(port, { path: `/board/${count}`, id: `sound-${count}` }));
        if (count % badInterval === 0) {
            const number = count / badInterval;
            const id = `bad-${number}`;
            const at = entries[number % entries.length]!;
            const sent = call(at.port, { path, id, key: tenantKeys[1] });
            bad.push(sent);
            void sent.then(({ status }) => record.write(`${id} at ${at.name}: answered ${status}`));
        }
        await pause(callIntervalMilliseconds);
    }
    record.write(`the request that crashes replicas: ${countStatuses(await Promise.all(bad))}`);
    record.write(`all other requests: ${countStatuses(await Promise.all(sound))}`);
    const runs = replicas.flatMap(({ arrivals }) => arrivals).filter(({ target }) => target === path);
    const times = runs.map(({ at }) => at).sort((left, right) => left - right);
    const crashes = replicas.reduce((sum, { crashCount }) => sum + crashCount, 0);
    record.write(`it ran ${runs.length} times; ${crashes} crashes`);
    if (crashes < countedCrashes) {
        return false;
    }
    const boundAt = times[countedCrashes - 1]! + crashDelayMilliseconds + stabilityMilliseconds;
    const late = times.filter(at => at > boundAt).length;
    record.write(
        `later than ${stabilityMilliseconds} ms after the third crash it reached replicas ${late} times; allowed: ${allowedRetries}`,
    );
    return late > allowedRetries;
});
