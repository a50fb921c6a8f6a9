/** Attributes crashes of engines and services to single requests, with the attribution that the serving process uses. */
import type { CrashGuard } from "../../core/crash-guard.js";
import type { InstanceId } from "../../core/instances.js";
import { CrashAttribution } from "../../serving/crash-attribution.js";

export interface CrashGuardOptions {
    /** Increases each time the instance starts; undefined if the instance has not reported yet. */
    readonly incarnationOf: (instance: InstanceId) => number | undefined;
    readonly random: () => number;
    readonly onQuarantine: (fingerprints: readonly string[]) => void;
}

/** Time over which entry processes spread their clearances of a request, in milliseconds. */
const clearanceSpreadMilliseconds = 200;

export function createCrashGuard(options: CrashGuardOptions): CrashGuard {
    const attribution = CrashAttribution.create({
        random: options.random,
        clearanceSpreadMilliseconds: () => clearanceSpreadMilliseconds,
        onQuarantine: options.onQuarantine,
        onQuarantineEnd: () => undefined,
        onChange: () => undefined,
    });
    const toSegmented = ({ id, fingerprints }: Parameters<CrashGuard["recordComplete"]>[0]) => ({
        request: id,
        segments: fingerprints,
    });
    return {
        recordCrash: (request, instance, hasResponseHead, now) => {
            const start = `${instance}/${options.incarnationOf(instance) ?? 0}`;
            attribution.recordCrash(toSegmented(request), start, hasResponseHead, now);
        },
        recordComplete: ({ fingerprints }, now) => attribution.recordSound(fingerprints, now),
        isQuarantined: ({ fingerprints }, now) => {
            attribution.tick(now);
            return attribution.recordRequest(fingerprints, now);
        },
        isSuspect: (request, now) => attribution.isSuspect(toSegmented(request), now),
    };
}
