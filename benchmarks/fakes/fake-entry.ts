/** A fake entry process: runs the real admission and routing between fake callers and fake engines. */
import type { Admission, StartedRequest } from "../../src/core/admission.js";
import { blocksOf } from "../../src/core/prefix-blocks.js";
import type { Router, RouteRequest } from "../../src/core/router.js";
import type { VirtualLoop } from "../virtual-loop.js";
import type { Arrival } from "./arrivals.js";
import { maximumOutputTokens } from "./arrivals.js";
import type { FakeEngine } from "./fake-engine.js";
import type { Figures } from "./figures.js";

/** One-way network delays to a caller and to an engine, in milliseconds. */
export const callerDelayMilliseconds = 3;
export const engineDelayMilliseconds = 0.5;
/** Time from arrival to the deadline of a whole answer, in milliseconds. */
export const answerTimeoutMilliseconds = 60_000;
const tickIntervalMilliseconds = 20;
/** Delay before a failed attempt is retried, in milliseconds. */
const retryDelayMilliseconds = 25;

/** Called when a request was refused or abandoned; `retryAt` is undefined if the caller got no retry time. */
export type OnRefused = (arrival: Arrival, retryAt: number | undefined, now: number) => void;

/** Decides whether a failed attempt may be retried. */
export type MayRetry = (arrival: Arrival, attempt: number, now: number) => boolean;

interface OpenRequest {
    readonly arrival: Arrival;
    readonly route: Omit<RouteRequest, "borrowed">;
    readonly blocks: readonly string[];
    readonly deadline: number;
    attempt: number;
    lastTokenAt: number | undefined;
    /** Tokens that have been delivered. */
    tokens: number;
}

/** Dependencies of a fake entry. */
export interface FakeEntryDependencies {
    readonly loop: VirtualLoop;
    readonly admission: Admission;
    readonly router: Router;
    /** Returns the engine of a group; undefined if the engine cannot be reached. */
    readonly engineFor: (group: string) => FakeEngine | undefined;
    readonly figures: Figures;
    readonly onRefused: OnRefused;
    readonly mayRetry: MayRetry;
}

/** One entry process in virtual time. */
export class FakeEntry {
    private readonly open = new Map<string, OpenRequest>();

    private constructor(private readonly dependencies: FakeEntryDependencies) {}

    public static create(dependencies: FakeEntryDependencies): FakeEntry {
        const entry = new FakeEntry(dependencies);
        dependencies.loop.every(tickIntervalMilliseconds, () => {
            entry.tick();
        });
        return entry;
    }

    public get admission(): Admission {
        return this.dependencies.admission;
    }

    public get router(): Router {
        return this.dependencies.router;
    }

    /** Offers a newly arrived request to admission, which queues or refuses it. */
    public receive(arrival: Arrival): void {
        const { loop, admission, figures } = this.dependencies;
        const now = loop.now();
        const deadline = arrival.at + answerTimeoutMilliseconds;
        const request = {
            id: arrival.id,
            caller: arrival.caller,
            model: "model",
            promptTokens: arrival.promptTokens,
            expectedTokens: maximumOutputTokens,
            deadline,
        };
        const offer = admission.offer(request, now);
        if (offer.kind === "refused") {
            figures.refused += this.isCounted(arrival) ? 1 : 0;
            this.refuse(arrival, offer.fault.retryAt);
            return;
        }
        this.open.set(arrival.id, openRequest(arrival, deadline));
        this.pump();
    }

    /** Dispatches the queued requests that may start. */
    public pump(): void {
        const { loop, admission, router } = this.dependencies;
        const now = loop.now();
        const capacityOf = (model: string, borrowed: boolean): number =>
            router.capacity(model, borrowed, now);
        for (const started of admission.takeStartable(now, capacityOf)) {
            this.send(started);
        }
    }

    private tick(): void {
        const { loop, admission, figures } = this.dependencies;
        for (const refusal of admission.expire(loop.now())) {
            const { arrival } = this.open.get(refusal.id)!;
            this.open.delete(refusal.id);
            figures.givenUp += this.isCounted(arrival) ? 1 : 0;
            this.refuse(arrival, refusal.fault.retryAt);
        }
        this.pump();
    }

    private refuse(arrival: Arrival, retryAt: number | undefined): void {
        const { loop, figures, onRefused } = this.dependencies;
        if (this.isCounted(arrival)) {
            figures.refusal.add(loop.now() + callerDelayMilliseconds - arrival.at);
        }
        onRefused(arrival, retryAt, loop.now());
    }

    private send(started: StartedRequest): void {
        const { loop, admission, router, figures } = this.dependencies;
        const request = this.open.get(started.id)!;
        const route = { ...request.route, borrowed: started.borrowed };
        const chosen = router.choose(route, loop.now());
        if (!chosen.success) {
            admission.requeue(started.id, loop.now());
            return;
        }
        const group = chosen.data.group.id;
        router.dispatched(route, group, loop.now());
        figures.sends += 1;
        figures.retries += request.attempt > 0 ? 1 : 0;
        request.attempt += 1;
        const attempt = request.attempt;
        loop.after(engineDelayMilliseconds, () => {
            const engine = this.dependencies.engineFor(group);
            if (engine === undefined) {
                this.ended(request, started, false, loop.now());
                return;
            }
            engine.submit({
                id: started.id,
                priority: started.priority,
                promptTokens: request.arrival.promptTokens + request.tokens,
                blocks: request.blocks,
                outputTokens: request.arrival.outputTokens - request.tokens,
                onToken: now => {
                    this.token(request, attempt, now);
                },
                onEnd: (now, finished) => {
                    this.ended(request, started, finished, now);
                },
            });
        });
    }

    private token(request: OpenRequest, attempt: number, now: number): void {
        if (request.attempt !== attempt) {
            return;
        }
        const { admission, router, figures } = this.dependencies;
        const { arrival } = request;
        admission.charge(arrival.id, 1, now);
        router.progress(arrival.id, now);
        if (this.isCounted(arrival)) {
            if (request.lastTokenAt === undefined) {
                figures.addFirstToken(
                    arrival.caller,
                    now + engineDelayMilliseconds + callerDelayMilliseconds - arrival.at,
                );
            } else {
                figures.addGap(arrival.caller, now - request.lastTokenAt);
            }
        }
        if (now >= figures.from) {
            figures.addTokens(arrival.caller, 1);
            figures.addCost(arrival.caller.team, request.tokens === 0 ? arrival.promptTokens + 1 : 1);
        }
        request.tokens += 1;
        request.lastTokenAt = now;
    }

    private ended(request: OpenRequest, started: StartedRequest, finished: boolean, now: number): void {
        const { admission, router, figures } = this.dependencies;
        const { arrival } = request;
        if (!finished) {
            router.failed(arrival.id, now);
            this.failed(request, started, now);
            return;
        }
        router.finished(arrival.id, now);
        admission.finish(arrival.id, now);
        this.open.delete(arrival.id);
        this.countWhole(request, now, figures);
        this.pump();
    }

    private countWhole(request: OpenRequest, now: number, figures: Figures): void {
        if (now < figures.from) {
            return;
        }
        figures.completed += 1;
        const inTime = now + engineDelayMilliseconds + callerDelayMilliseconds <= request.deadline;
        figures.goodTokens += inTime ? request.tokens : 0;
        figures.lateTokens += inTime ? 0 : request.tokens;
    }

    private failed(request: OpenRequest, started: StartedRequest, now: number): void {
        const { admission, figures, mayRetry, loop } = this.dependencies;
        const { arrival } = request;
        figures.failures += 1;
        if (now < request.deadline && mayRetry(arrival, request.attempt, now)) {
            loop.after(retryDelayMilliseconds, () => {
                this.send(started);
            });
            return;
        }
        admission.abandon(arrival.id, now);
        this.open.delete(arrival.id);
        this.refuse(arrival, undefined);
    }

    private isCounted(arrival: Arrival): boolean {
        return arrival.at >= this.dependencies.figures.from;
    }
}

function openRequest(arrival: Arrival, deadline: number): OpenRequest {
    const prompt = arrival.prompt ?? "";
    return {
        arrival,
        route: { id: arrival.id, model: "model", prompt, promptTokens: arrival.promptTokens },
        blocks: blocksOf(prompt),
        deadline,
        attempt: 0,
        lastTokenAt: undefined,
        tokens: 0,
    };
}
