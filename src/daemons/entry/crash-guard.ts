/**
 * Attributes crashes of engines and services to single requests, with the attribution that the serving process uses, and
 * exchanges the evidence with the other entry processes: repetitions of a request arrive at any of them.
 */
import { Subject, Subscription, interval, merge, throttleTime } from "rxjs";
import type { Observable } from "rxjs";
import * as z from "zod";
import type { Clock } from "../../contracts/clocks.js";
import type { CrashGuard, GuardedRequest } from "../../core/crash-guard.js";
import type { InstanceId } from "../../core/instances.js";
import { parseJson } from "../../links/json.js";
import type { CrashEvidence, CrashSubject } from "../../serving/crash-attribution.js";
import { CrashAttribution } from "../../serving/crash-attribution.js";
import { requestTrait, resourceTrait } from "../../serving/crash-causes.js";
import type { PeerEvidence } from "../system-view.js";

/** Time over which entry processes spread their clearances of a request, in milliseconds. */
const clearanceSpreadMilliseconds = 200;
/** Interval at which new evidence is evaluated, in milliseconds. */
const evaluationIntervalMilliseconds = 100;
/** Interval at which evidence that is still relevant is published, in milliseconds. */
const publicationIntervalMilliseconds = 1_000;

const evidenceSchema: z.ZodType<CrashEvidence> = z.object({
    reports: z.array(
        z.object({
            request: z.string(),
            start: z.string(),
            traits: z.array(z.string()),
            hasHead: z.boolean(),
            age: z.number(),
        }),
    ),
    sound: z.array(z.tuple([z.string(), z.number()])),
    quarantines: z.array(z.tuple([z.array(z.string()), z.number()])),
});

export interface CrashGuardOptions {
    readonly clock: Clock;
    /** Increases each time the instance starts; undefined if the instance has not reported yet. */
    readonly incarnationOf: (instance: InstanceId) => number | undefined;
    readonly random: () => number;
    readonly onQuarantine: (traits: readonly string[]) => void;
    /** Sends evidence to the other entry processes. */
    readonly publish: (payload: string) => void;
    readonly peers: Observable<PeerEvidence>;
}

export interface RunningCrashGuard extends CrashGuard {
    readonly close: () => void;
}

/** Starts the guard and the exchange of evidence. */
export function startCrashGuard(options: CrashGuardOptions): RunningCrashGuard {
    const { clock, publish, peers } = options;
    const changes = new Subject<void>();
    const attribution = CrashAttribution.create({
        random: options.random,
        clearanceSpreadMilliseconds: () => clearanceSpreadMilliseconds,
        onQuarantine: options.onQuarantine,
        onQuarantineEnd: () => undefined,
        onChange: () => changes.next(),
    });
    const exchange = new Subscription();
    exchange.add(
        interval(evaluationIntervalMilliseconds).subscribe(() =>
            attribution.tick(clock.monotonicMilliseconds()),
        ),
    );
    const publications = changes.pipe(
        throttleTime(evaluationIntervalMilliseconds, undefined, { leading: false, trailing: true }),
    );
    exchange.add(
        merge(publications, interval(publicationIntervalMilliseconds)).subscribe(() => {
            const evidence = attribution.announcement(clock.monotonicMilliseconds());
            if (hasContent(evidence)) {
                publish(JSON.stringify(evidence));
            }
        }),
    );
    exchange.add(
        peers.subscribe(({ process, payload, publishedAt }) => {
            const now = clock.monotonicMilliseconds();
            const evidence = evidenceSchema.safeParse(parseJson(payload));
            if (evidence.success) {
                attribution.apply(process, addAge(evidence.data, Math.max(0, now - publishedAt)), now);
            }
        }),
    );
    return { ...createGuard(attribution, options), close: () => exchange.unsubscribe() };
}

function createGuard(attribution: CrashAttribution, options: CrashGuardOptions): CrashGuard {
    return {
        recordCrash: (request, instance, hasResponseHead, now) => {
            const start = `${instance}/${options.incarnationOf(instance) ?? 0}`;
            attribution.recordCrash(toSubject(request), start, hasResponseHead ? "head" : "none", now);
        },
        recordComplete: (request, now) => attribution.recordSound(toSubject(request), now),
        quarantinedUntil: (request, now) => {
            attribution.tick(now);
            return attribution.recordRequest(toSubject(request), now);
        },
        isSuspect: (request, now) => attribution.isSuspect(toSubject(request), now),
    };
}

function toSubject({ request, resource }: GuardedRequest): CrashSubject {
    return { request: requestTrait(request), resource: resourceTrait(resource), segments: [] };
}

function hasContent({ reports, sound, quarantines }: CrashEvidence): boolean {
    return reports.length + sound.length + quarantines.length > 0;
}

function addAge({ reports, sound, quarantines }: CrashEvidence, milliseconds: number): CrashEvidence {
    return {
        reports: reports.map(report => ({ ...report, age: report.age + milliseconds })),
        sound: sound.map(([trait, age]) => [trait, age + milliseconds] as const),
        quarantines: quarantines.map(([traits, age]) => [traits, age + milliseconds] as const),
    };
}
